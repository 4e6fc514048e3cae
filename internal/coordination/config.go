package coordination

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/membership"
)

// Config holds the parameters of a node's control plane. The defaults suit fleets of three to a
// thousand nodes: intervals grow with the number of nodes, so that the traffic of each node grows
// more slowly than the fleet.
type Config struct {
	// TickPeriod is the interval between ticks, and the shortest interval between regular
	// messages on a link. Default 150ms.
	TickPeriod time.Duration
	// GossipPerMember times the number of members of the node's pool is the shortest interval
	// between messages on a link, up to GossipPeriod. A small pool can afford to send every change,
	// and needs to, since one request is a larger part of its load. Default 28ms.
	GossipPerMember time.Duration
	// GossipPeriod is the longest interval between messages on a link while records are pending.
	// A shorter one spreads loads faster and costs more messages. Default 500ms.
	GossipPeriod time.Duration
	// HeartbeatPeriod is the longest interval between messages on a link, and between an agent's
	// updates of its own record. Default 1s.
	HeartbeatPeriod time.Duration
	// AgentHeartbeatPerMember times the number of members of an agent's pool is the shortest
	// interval between the agent's load reports, up to HeartbeatPeriod. Default 55ms.
	AgentHeartbeatPerMember time.Duration
	// RouterHeartbeatPerRouter times the number of other known routers is the interval between a
	// router's updates of its own record, but at least HeartbeatPeriod. Default 30ms.
	RouterHeartbeatPerRouter time.Duration
	// RecordsPerPeriod limits the records that a node sends in one round of gossip. The links
	// share it equally; each may carry at least two. Default 48.
	RecordsPerPeriod int
	// WatchersPerZone is the number of routers in each zone that watch the platform. Default 2.
	WatchersPerZone int
	// WatchTimeout is how long one watch call waits for a new version. Default 5s.
	WatchTimeout time.Duration
	// PlatformBackoff is the delay after the first failed platform call, before jitter. It doubles
	// with each further failure, up to PlatformBackoffMax. Defaults 500ms and 8s.
	PlatformBackoff    time.Duration
	PlatformBackoffMax time.Duration
	// MachineListPeriod is the interval between a watcher's reads of the machine list. Default 3s.
	MachineListPeriod time.Duration
	// JoinPeers and JoinWait limit how long a new node that can't reach the platform waits before
	// it trusts the highest bundle of its peers: until it has heard from JoinPeers peers that have a
	// bundle, or until JoinWait after the first of them. A node without a bundle reads the platform
	// itself after half to one and a half times JoinWait. Defaults 3 and 3s.
	JoinPeers int
	JoinWait  time.Duration
	// FetchTimeout is how long a node waits for a bundle that it requested from a peer before it
	// may request one from another. Default 2s.
	FetchTimeout time.Duration
	// Membership holds the parameters of the membership table.
	Membership membership.Config
	// IgnorePauses disables the detection of process pauses. It is set only to verify that the
	// simulation's checks detect the resulting faults.
	IgnorePauses bool
	// AcceptAnyOrder requests and accepts bundles of any number, lower ones too. It is set only to
	// verify that the simulation's checks detect the resulting faults.
	AcceptAnyOrder bool
}

// DefaultConfig returns the default parameters.
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
