package coordination

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/membership"
)

// Identity is what a node is from its settings.
type Identity struct {
	// ID is unique in the fleet; an agent's is its back end's.
	ID string
	// Role is the node's role.
	Role membership.Role
	// Address is the peer listener.
	Address string
	// Region and Zone place the node.
	Region string
	Zone   string
	// Seeds are peer addresses to try while no other is known.
	Seeds []string
}

// LinkID identifies one connection to a peer for the life of the process.
type LinkID uint64

// Opener verifies a signed bundle.
type Opener func(raw []byte) (*bundle.Bundle, error)

// link is one connection to a peer.
type link struct {
	id         LinkID
	peer       string
	dialed     bool
	gossip     *membership.Link
	sentAt     time.Time
	sentBundle bundleState
	// stamp is the peer's last Stamp.
	stamp int64
}

// news is what every message carries beside records.
type bundleState struct {
	number    uint64
	confirmed bool
}

// Node is the control plane of one node. It is not safe for concurrent use.
type Node struct {
	config      Config
	identity    Identity
	open        Opener
	acceptor    *bundle.Acceptor
	table       *membership.Table
	links       []*link
	dialedAt    map[string]time.Time
	platform    platformState
	join        joinState
	fetch       fetchState
	load        uint32
	state       membership.State
	heartbeatAt time.Time
	contactAt   time.Time
	nextSeed    int
	// peersAt is when the peers were last reviewed.
	peersReviewedAt time.Time
	watcher         bool
	// routersKnown is the number of routers at the last review.
	routerCount int
	clock       pauseClock
}

// joinState follows a fresh node until it may trust its bundle.
type joinState struct {
	startedAt        time.Time
	firstPeerAt      time.Time
	peersHeard       map[string]bool
	platformAnswered bool
	done             bool
}

// fetchState is the one outstanding request for a bundle.
type fetchState struct {
	link LinkID
	at   time.Time
}

// NewNode returns a node that starts at the time, without a bundle.
func NewNode(config Config, identity Identity, open Opener, acceptor *bundle.Acceptor, now time.Time) *Node {
	self := membership.Record{
		ID:          identity.ID,
		Role:        identity.Role,
		Incarnation: membership.IncarnationAt(now),
	}
	if identity.Role == membership.RoleRouter {
		self.Address = identity.Address
		self.Zone = identity.Zone
	}
	return &Node{
		config:    config,
		identity:  identity,
		open:      open,
		acceptor:  acceptor,
		table:     membership.NewTable(config.Membership, self),
		dialedAt:  map[string]time.Time{},
		join:      joinState{startedAt: now, peersHeard: map[string]bool{}},
		contactAt: now,
		clock:     pauseClock{startedAt: now, lastStepAt: now},
	}
}

// Bundle returns the version in force, or nil.
func (n *Node) Bundle() *bundle.Bundle { return n.acceptor.Current() }

// Table returns the node's view of the fleet.
func (n *Node) Table() *membership.Table { return n.table }

// HoldsLease tells whether keyed unrepeatable requests may run here.
func (n *Node) HoldsLease(now time.Time) bool { return n.acceptor.HoldsLease(now) }

// ConfirmedAge returns how long ago the bundle was known to be the newest.
func (n *Node) ConfirmedAge(now time.Time) (time.Duration, bool) { return n.acceptor.ConfirmedAge(now) }

// ContactAge returns how long ago any peer was heard.
func (n *Node) ContactAge(now time.Time) time.Duration { return now.Sub(n.contactAt) }

// FreshContact tells whether a peer is known to have spoken since the process
// last woke from a pause. Until then the node must not rely on what it knew.
func (n *Node) HasFreshContact() bool { return !n.clock.lastEchoAt.Before(n.clock.resumedAt) }

// AwakeSince returns when the process started or last woke from a pause. What it
// knew before may be long out of date.
func (n *Node) RunningSince() time.Time { return n.clock.runningSince() }

// Links returns the number of open connections.
func (n *Node) Links() int { return len(n.links) }

// Ready tells whether the node has a bundle that it may trust to be no older
// than the one it had before a restart.
func (n *Node) Ready(now time.Time) bool {
	if n.Bundle() == nil {
		return false
	}
	n.updateJoin(now)
	return n.join.done
}

// updateJoin ends the joining once the platform answered, or enough peers did.
func (n *Node) updateJoin(now time.Time) {
	if n.join.done || n.Bundle() == nil || n.acceptor.Behind() {
		return
	}
	waitedLong := !n.join.firstPeerAt.IsZero() && now.Sub(n.join.firstPeerAt) >= n.config.JoinWait
	n.join.done = n.join.platformAnswered || len(n.join.peersHeard) >= n.config.JoinPeers || waitedLong
}

// Step takes one event and returns the actions that it causes.
func (n *Node) Step(now time.Time, event Event) []Action {
	n.clock.step(now, n.config.IgnorePauses)
	switch e := event.(type) {
	case Tick:
		return n.tick(now)
	case LinkUp:
		return n.linkUp(now, e)
	case LinkDown:
		return n.linkDown(now, e)
	case Received:
		return n.received(now, e)
	case LocalLoad:
		n.load = e.Load
	case LocalState:
		n.advanceState(e.State)
		return n.gossip(now, true)
	case PiggybackedRecords:
		n.piggybackedRecords(now, e)
	case NodeUnreachable:
		n.table.MarkUnreachable(now, e.ID)
	case NodeLeaving:
		n.table.MarkLeaving(e.ID)
	case PlatformBundle:
		return n.platformBundle(now, e)
	case PlatformFailed:
		n.platformFailed(now)
	case MachineList:
		n.machineList(now, e)
	}
	return nil
}

// recordsHeard takes news that came with traffic. Right after a pause it may
// have lain in a buffer, so it is left aside until a peer has answered.
func (n *Node) piggybackedRecords(now time.Time, event PiggybackedRecords) {
	n.acceptor.Heard(event.Number)
	if !n.HasFreshContact() {
		return
	}
	n.table.Merge(now, event.Records)
	n.adoptOwnState()
	n.noteContact(now.Add(-event.ContactAge))
}

func (n *Node) advanceState(state membership.State) {
	n.state = max(n.state, state)
	n.table.UpdateSelf(n.state, n.load, n.acceptor.Number())
}

func (n *Node) noteContact(at time.Time) {
	if at.After(n.contactAt) {
		n.contactAt = at
	}
}

func (n *Node) tick(now time.Time) []Action {
	n.table.Expire(now)
	n.heartbeat(now)
	actions := n.maintainPeers(now)
	actions = append(actions, n.gossip(now, false)...)
	return append(actions, n.readPlatform(now)...)
}

// beat makes a new record when the load has changed, or as a sign of life.
func (n *Node) heartbeat(now time.Time) {
	shortest, longest := n.heartbeatPeriods()
	since := now.Sub(n.heartbeatAt)
	self := n.table.Self()
	changed := n.load != self.Load || n.acceptor.Number() != self.Number
	if since >= longest || changed && since >= shortest {
		n.table.UpdateSelf(n.state, n.load, n.acceptor.Number())
		n.heartbeatAt = now
	}
}

// beatPeriods stretch with the number of nodes that every beat must reach, so
// that the records a node receives each second stay bounded.
func (n *Node) heartbeatPeriods() (shortest, longest time.Duration) {
	if n.identity.Role == membership.RoleRouter {
		longest = max(n.config.HeartbeatPeriod, time.Duration(n.routerCount)*n.config.RouterHeartbeatPerRouter)
		return longest, longest
	}
	shortest = n.config.TickPeriod
	if pool := n.ownPool(); pool != nil {
		shortest = max(shortest, time.Duration(len(pool.BackEnds))*n.config.AgentHeartbeatPerMember)
	}
	return min(shortest, n.config.HeartbeatPeriod), n.config.HeartbeatPeriod
}

// countRouters notes the number of routers; it is needed too often to be counted
// each time.
func (n *Node) countRouters() {
	count := 0
	n.table.Entries(func(entry *membership.Entry) {
		if entry.Role == membership.RoleRouter {
			count++
		}
	})
	n.routerCount = count
}

func (n *Node) ownPool() *bundle.Pool {
	current := n.Bundle()
	if current == nil {
		return nil
	}
	pool, _ := current.Content.PoolOf(n.identity.ID)
	return pool
}
