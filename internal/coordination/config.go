package coordination

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/membership"
)

// Config tunes a node's control plane. The defaults suit fleets from three
// nodes to a thousand: periods stretch with the number of nodes, so that the
// traffic of a node grows more slowly than the fleet.
type Config struct {
	// TickPeriod is the time between two ticks, and the shortest time between
	// two messages on a link. Default 150ms.
	TickPeriod time.Duration
	// GossipPerMember stretches the time between two messages on a link by so
	// much for every member of the pool, up to GossipPeriod: a small pool can
	// afford to tell every change, and needs it, since one request weighs more
	// there. Default 28ms.
	GossipPerMember time.Duration
	// GossipPeriod is the longest such time while there is news. Shorter
	// spreads loads faster and costs messages. Default 500ms.
	GossipPeriod time.Duration
	// HeartbeatPeriod is the longest time between two messages on a link.
	// Default 1s.
	HeartbeatPeriod time.Duration
	// AgentBeatPerMember stretches the time between two load reports of an
	// agent by so much for every member of its pool, up to HeartbeatPeriod.
	// Default 55ms.
	AgentHeartbeatPerMember time.Duration
	// RouterBeatPerRouter stretches the time between two records of a router
	// by so much for every router known. Default 30ms.
	RouterHeartbeatPerRouter time.Duration
	// RecordsPerPeriod bounds the records a node sends in one period over all
	// its links. Default 48.
	RecordsPerPeriod int
	// WatchersPerZone is the number of routers of a zone that watch the
	// platform. Default 2.
	WatchersPerZone int
	// WatchWait is how long a watch waits for a change. Default 5s.
	WatchTimeout time.Duration
	// PlatformBackoff is the first pause after a failed platform call; it
	// doubles up to PlatformBackoffMax. Defaults 500ms and 8s.
	PlatformBackoff    time.Duration
	PlatformBackoffMax time.Duration
	// MachineListPeriod is the time between two reads of the machine list by a
	// watcher. Default 3s.
	MachineListPeriod time.Duration
	// JoinPeers and JoinWait bound how long a fresh node that can't reach the
	// platform asks around before it trusts its peers' highest bundle: until
	// it heard from JoinPeers peers, or from one for JoinWait. Defaults 3, 3s.
	JoinPeers int
	JoinWait  time.Duration
	// FetchTimeout is how long a node waits for a bundle it asked a peer for.
	// Default 2s.
	FetchTimeout time.Duration
	// Membership tunes the table.
	Membership membership.Config
	// IgnorePauses goes on after a pause as if nothing had passed; only checks
	// of the checkers set it.
	IgnorePauses bool
	// AcceptAnyOrder asks for and takes every bundle whatever its number; only
	// checks of the checkers set it.
	AcceptAnyOrder bool
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		TickPeriod:               150 * time.Millisecond,
		GossipPerMember:          28 * time.Millisecond,
		GossipPeriod:             500 * time.Millisecond,
		HeartbeatPeriod:          time.Second,
		AgentHeartbeatPerMember:  55 * time.Millisecond,
		RouterHeartbeatPerRouter: 30 * time.Millisecond,
		RecordsPerPeriod:         48,
		WatchersPerZone:          2,
		WatchTimeout:             5 * time.Second,
		PlatformBackoff:          500 * time.Millisecond,
		PlatformBackoffMax:       8 * time.Second,
		MachineListPeriod:        3 * time.Second,
		JoinPeers:                3,
		JoinWait:                 3 * time.Second,
		FetchTimeout:             2 * time.Second,
		Membership:               membership.DefaultConfig(),
	}
}
