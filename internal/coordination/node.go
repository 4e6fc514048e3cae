package coordination

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/membership"
)

// Identity identifies and locates a node. It comes from the node's settings.
type Identity struct {
	// ID is unique in the fleet. An agent has the ID of its back end.
	ID string
	// Role is the node's role.
	Role membership.Role
	// Address is the address of the node's peer listener.
	Address string
	// Region and Zone are the node's location.
	Region string
	Zone   string
	// Seeds are the peer addresses to dial while the node has no link.
	Seeds []string
}

// LinkID identifies a connection to a peer. It is unique within the process.
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
	// stamp is the latest Stamp received from the peer.
	stamp int64
}

// bundleState holds the number of the bundle in force, and whether it was ever confirmed as the
// newest. If it changes, each link gets a message at the next tick at the latest, without waiting
// for the gossip period.
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
	// peersReviewedAt is when the wanted peers were last determined.
	peersReviewedAt time.Time
	watcher         bool
	// routerCount is the number of other routers known at peersReviewedAt.
	routerCount int
	clock       pauseClock
}

// joinState is the state of a new node until it may trust its bundle.
type joinState struct {
	startedAt        time.Time
	firstPeerAt      time.Time
	peersHeard       map[string]bool
	platformAnswered bool
	done             bool
}

// fetchState is the outstanding request for a bundle, of which there is at most one.
type fetchState struct {
	link LinkID
	at   time.Time
}

// NewNode returns a node that starts at now without a bundle.
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

// Bundle returns the bundle in force, or nil.
func (n *Node) Bundle() *bundle.Bundle { return n.acceptor.Current() }

// Table returns the node's view of the fleet.
func (n *Node) Table() *membership.Table { return n.table }

// HoldsLease reports whether this node may run keyed requests that must not be repeated.
func (n *Node) HoldsLease(now time.Time) bool { return n.acceptor.HoldsLease(now) }

// ConfirmedAge returns how long ago the bundle in force was last known to be the newest. The
// boolean is false if it never was.
func (n *Node) ConfirmedAge(now time.Time) (time.Duration, bool) { return n.acceptor.ConfirmedAge(now) }

// ContactAge returns how long ago this node last heard from any peer, or the time since its start
// if it never did. The contacts that senders of piggybacked records report count too.
func (n *Node) ContactAge(now time.Time) time.Duration { return now.Sub(n.contactAt) }

// HasFreshContact reports whether a peer is known to have sent a message since the process last
// resumed after a pause. Until then the node must not rely on its state. The result is true if the
// process was never paused.
func (n *Node) HasFreshContact() bool { return !n.clock.lastEchoAt.Before(n.clock.resumedAt) }

// RunningSince returns when the process started or last resumed after a pause. Information from
// before that time may be long out of date.
func (n *Node) RunningSince() time.Time { return n.clock.runningSince() }

// Links returns the number of open connections.
func (n *Node) Links() int { return len(n.links) }

// Ready reports whether the node has a bundle that it may trust to be no older than the one it had
// before a restart.
func (n *Node) Ready(now time.Time) bool {
	if n.Bundle() == nil {
		return false
	}
	n.updateJoin(now)
	return n.join.done
}

// updateJoin completes the join once two conditions hold: no higher bundle number than that of the
// node's bundle was observed; and the platform answered, JoinPeers peers with a bundle were heard
// from, or JoinWait has passed since the first of them.
func (n *Node) updateJoin(now time.Time) {
	if n.join.done || n.Bundle() == nil || n.acceptor.Behind() {
		return
	}
	waitedLong := !n.join.firstPeerAt.IsZero() && now.Sub(n.join.firstPeerAt) >= n.config.JoinWait
	n.join.done = n.join.platformAnswered || len(n.join.peersHeard) >= n.config.JoinPeers || waitedLong
}

// Step processes one event and returns the resulting actions.
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

// piggybackedRecords merges records that arrived with a request or an answer. After a pause they
// may have waited in a buffer, so they are ignored until a peer has answered a message sent since.
// The bundle number is recorded in any case.
func (n *Node) piggybackedRecords(now time.Time, event PiggybackedRecords) {
	n.acceptor.ObserveNumber(event.Number)
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

// tick runs the periodic work: expiry, heartbeat, peers, gossip and platform calls.
func (n *Node) tick(now time.Time) []Action {
	n.table.Expire(now)
	n.heartbeat(now)
	actions := n.maintainPeers(now)
	actions = append(actions, n.gossip(now, false)...)
	return append(actions, n.readPlatform(now)...)
}

// heartbeat updates the node's own record if the longest heartbeat period has passed, or if the
// load or the bundle has changed and the shortest one has passed.
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

// heartbeatPeriods returns the shortest interval between heartbeats, for a changed record, and the
// longest, for an unchanged one. Both intervals of a router grow with the number of routers. The
// shortest interval of an agent grows with its pool, up to HeartbeatPeriod. These are the nodes that
// each heartbeat must reach, so the growth limits the number of records that a node receives each
// second.
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

// countRouters updates routerCount, which is used too often to be counted each time.
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
