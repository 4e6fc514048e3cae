package coordination

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/membership"
)

// minRecordsPerLink lets each link carry at least the node's own record and one more.
const minRecordsPerLink = 2

func (n *Node) linkUp(now time.Time, event LinkUp) []Action {
	n.links = append(n.links, &link{id: event.Link, peer: event.Peer, dialed: event.Dialed, gossip: membership.NewLink()})
	return n.gossip(now, true)
}

func (n *Node) linkDown(now time.Time, event LinkDown) []Action {
	if event.Link == 0 {
		n.dialedAt[event.Address] = now
		return nil
	}
	n.links = slices.DeleteFunc(n.links, func(l *link) bool { return l.id == event.Link })
	return nil
}

func (n *Node) findLink(id LinkID) *link {
	for _, l := range n.links {
		if l.id == id {
			return l
		}
	}
	return nil
}

// gossip sends on each link the records that its peer lacks. A link with nothing new to send
// carries only one message in each heartbeat period. With force, every link gets a message at once.
func (n *Node) gossip(now time.Time, force bool) []Action {
	if len(n.links) == 0 {
		return nil
	}
	limit := max(minRecordsPerLink, n.config.RecordsPerPeriod/len(n.links))
	period := n.gossipPeriod()
	var actions []Action
	for _, l := range n.links {
		bundleChanged := l.sentBundle != n.bundleState(now)
		if !force && !bundleChanged && now.Sub(l.sentAt) < period {
			continue
		}
		records := l.gossip.Pending(now, n.table, limit, n.recordFilter(l))
		if !force && !bundleChanged && len(records) == 0 && now.Sub(l.sentAt) < n.config.HeartbeatPeriod {
			continue
		}
		message := n.message(now, l)
		message.Records = records
		l.sentAt = now
		l.sentBundle = n.bundleState(now)
		actions = append(actions, Send{Link: l.id, Message: message})
	}
	return actions
}

// gossipPeriod returns the shortest interval between gossip messages on a link while the bundle
// state is unchanged. It is reduced by half a tick, so that a tick that occurs slightly early still
// counts.
func (n *Node) gossipPeriod() time.Duration {
	period := n.config.GossipPeriod
	if pool := n.ownPool(); pool != nil {
		period = min(period, time.Duration(len(pool.BackEnds))*n.config.GossipPerMember)
	}
	return max(period, n.config.TickPeriod) - n.config.TickPeriod/2
}

// bundleState returns the bundle state that a message sent at now carries.
func (n *Node) bundleState(now time.Time) bundleState {
	_, confirmed := n.acceptor.ConfirmedAge(now)
	return bundleState{number: n.acceptor.Number(), confirmed: confirmed}
}

// message returns a message for the link, without records.
func (n *Node) message(now time.Time, l *link) Message {
	message := Message{
		From:               n.identity.ID,
		Number:             n.acceptor.Number(),
		ConfirmedAgeMillis: neverConfirmed,
		Stamp:              n.clock.stamp(now),
		Echo:               l.stamp,
	}
	if age, ok := n.acceptor.ConfirmedAge(now); ok {
		message.ConfirmedAgeMillis = age.Milliseconds()
	}
	return message
}

// recordFilter returns a filter that omits the records that the link's peer does not need.
//
// A router needs all records. An agent needs to know that each router exists, in case all routers
// in its zone are gone, but it needs heartbeats only from the routers in its zone. It also needs
// the loads of its own pool. It gets these from the pool's own ring, so a router forwards to it
// only which members are leaving or have left. A peer that is not in the table yet is treated as an
// agent.
func (n *Node) recordFilter(l *link) membership.Filter {
	peer := n.table.Entry(l.peer)
	peerIsRouter := peer != nil && peer.Role == membership.RoleRouter
	if peerIsRouter {
		return func(membership.Record, bool) bool { return true }
	}
	zone := n.zoneOf(l.peer)
	poolMember := n.poolMembership(l.peer)
	return func(record membership.Record, changed bool) bool {
		if record.Role == membership.RoleRouter {
			return changed || zone == "" || record.Zone == zone
		}
		mayForward := n.identity.Role == membership.RoleAgent || record.State != membership.StateServing
		return mayForward && poolMember(record.ID)
	}
}

// poolMembership returns a function that reports whether an ID is in the back end's pool.
func (n *Node) poolMembership(backEnd string) func(string) bool {
	current := n.Bundle()
	if current == nil {
		return func(string) bool { return false }
	}
	pool, _ := current.Content.PoolOf(backEnd)
	if pool == nil {
		return func(string) bool { return false }
	}
	return func(id string) bool {
		other, _ := current.Content.PoolOf(id)
		return other == pool
	}
}

// zoneOf returns the zone of a back end, or "" if it is unknown.
func (n *Node) zoneOf(id string) string {
	if current := n.Bundle(); current != nil {
		if _, backEnd := current.Content.PoolOf(id); backEnd != nil {
			return backEnd.Zone
		}
	}
	return ""
}

func (n *Node) received(now time.Time, event Received) []Action {
	l := n.findLink(event.Link)
	if l == nil {
		return nil
	}
	message := event.Message
	l.stamp = max(l.stamp, message.Stamp)
	n.noteContact(now)
	n.noteJoinPeer(now, message)
	l.gossip.Received(message.Records)
	ageCorrection := n.clock.recordEcho(now, message.Echo)
	n.table.Merge(now.Add(-ageCorrection), message.Records)
	n.adoptOwnState()
	var actions []Action
	if len(message.Bundle) > 0 {
		actions = append(actions, n.offerBundle(now, l.peer, message.Bundle)...)
	}
	n.noteBundleNumber(message)
	if message.Want {
		actions = append(actions, n.sendBundle(now, l)...)
	}
	return append(actions, n.fetchIfBehind(now, l, message.Number)...)
}

// noteJoinPeer records, while the node is joining, that a peer with a bundle was heard from.
func (n *Node) noteJoinPeer(now time.Time, message Message) {
	if n.join.done || message.Number == 0 {
		return
	}
	if n.join.firstPeerAt.IsZero() {
		n.join.firstPeerAt = now
	}
	n.join.peersHeard[message.From] = true
}

// adoptOwnState adopts a later state of this node that others reported, such as that the machine
// list shows it as leaving.
func (n *Node) adoptOwnState() {
	n.state = max(n.state, n.table.Self().State)
}

// noteBundleNumber records the peer's bundle number and its confirmation. The time of the
// confirmation is computed from the echoed stamp and not from the arrival of the message: the
// message may have waited in a buffer, and a confirmation dated too late would extend the lease
// beyond its end. For the same reason, a message without an echo confirms nothing.
func (n *Node) noteBundleNumber(message Message) {
	n.acceptor.ObserveNumber(message.Number)
	if message.ConfirmedAgeMillis >= 0 && message.Echo > 0 {
		age := time.Duration(message.ConfirmedAgeMillis) * time.Millisecond
		n.acceptor.Confirm(message.Number, n.clock.echoTime(message.Echo).Add(-age))
	}
}

// sendBundle answers a peer's request for the bundle.
func (n *Node) sendBundle(now time.Time, l *link) []Action {
	current := n.Bundle()
	if current == nil {
		return nil
	}
	message := n.message(now, l)
	message.Bundle = current.Raw
	return []Action{Send{Link: l.id, Message: message}}
}

// fetchIfBehind requests the peer's bundle if it is newer, unless a recent request is outstanding.
func (n *Node) fetchIfBehind(now time.Time, l *link, number uint64) []Action {
	isNewer := number > n.acceptor.Number()
	if n.config.AcceptAnyOrder {
		isNewer = number != n.acceptor.Number() && number > 0
	}
	if !isNewer {
		return nil
	}
	outstanding := n.fetch.link != 0 && n.findLink(n.fetch.link) != nil && now.Sub(n.fetch.at) < n.config.FetchTimeout
	if outstanding {
		return nil
	}
	n.fetch = fetchState{link: l.id, at: now}
	message := n.message(now, l)
	message.Want = true
	return []Action{Send{Link: l.id, Message: message}}
}

// offerBundle verifies a bundle from a peer and puts it into force if it is newer.
func (n *Node) offerBundle(now time.Time, from string, raw []byte) []Action {
	n.fetch = fetchState{}
	opened, err := n.open(raw)
	if err == nil {
		err = n.accept(opened)
	}
	if err != nil {
		return n.reportRefusal(from, err)
	}
	actions := []Action{BundleAdopted{Bundle: opened}}
	return append(actions, n.gossip(now, true)...)
}
