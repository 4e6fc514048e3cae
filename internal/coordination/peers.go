package coordination

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/membership"
	"github.com/harriernotch/harriernotch/internal/routing"
)

// redialDelay is the shortest interval between two attempts to dial an address.
const redialDelay = time.Second

// peer is a node that this node can dial.
type peer struct {
	id      string
	address string
	// alive is false while the node is silent or, if it is an agent, unreachable.
	alive bool
}

// peerReviewPeriod is the interval between reviews of the node's peers.
const peerReviewPeriod = 500 * time.Millisecond

// maintainPeers reviews the node's peers and whether it is a watcher. It does so only once every
// peerReviewPeriod, since both iterate over the whole table.
func (n *Node) maintainPeers(now time.Time) []Action {
	if now.Sub(n.peersReviewedAt) < peerReviewPeriod {
		return nil
	}
	n.peersReviewedAt = now
	n.countRouters()
	n.watcher = n.isWatcher(now)
	return n.connectPeers(now)
}

// connectPeers dials the wanted peers that are not linked, and closes the links that the node
// dialed and no longer wants.
//
// Each group of nodes (the agents of a pool, the routers of a zone, all routers) forms a ring in
// hash order, so its graph is connected regardless of the other links. One chord per node in each
// ring keeps paths short. The ring over the alive nodes lets gossip continue at once when some nodes
// have died. The ring over all nodes, silent ones included, reconnects partitions that had lost
// contact with each other. An agent also links to a router of its zone, which connects the pools.
func (n *Node) connectPeers(now time.Time) []Action {
	wanted := n.wantedPeers(now)
	if len(wanted) == 0 && len(n.links) == 0 {
		return n.dialSeed(now)
	}
	var actions []Action
	for _, p := range wanted {
		if !n.isLinked(p.id) && n.mayDial(now, p.address) {
			actions = append(actions, Connect{Address: p.address, Peer: p.id})
		}
	}
	if len(n.links) == 0 {
		actions = append(actions, n.dialSeed(now)...)
	}
	return append(actions, n.dropUnwanted(wanted)...)
}

// dialSeed dials the next seed, in turn, that may be dialed. It is used while the node has no link.
func (n *Node) dialSeed(now time.Time) []Action {
	for range n.identity.Seeds {
		address := n.identity.Seeds[n.nextSeed%len(n.identity.Seeds)]
		n.nextSeed++
		if address != n.identity.Address && n.mayDial(now, address) {
			return []Action{Connect{Address: address}}
		}
	}
	return nil
}

// mayDial reports whether the address may be dialed now, and if so records the attempt. An address
// may be dialed once every redialDelay, counted from the last attempt or failure.
func (n *Node) mayDial(now time.Time, address string) bool {
	if at, tried := n.dialedAt[address]; tried && now.Sub(at) < redialDelay {
		return false
	}
	n.dialedAt[address] = now
	return true
}

func (n *Node) isLinked(id string) bool {
	return slices.ContainsFunc(n.links, func(l *link) bool { return l.peer == id })
}

// dropUnwanted closes the links that the node dialed and no longer needs, such as one to a seed,
// once it has links to all wanted peers that are alive.
func (n *Node) dropUnwanted(wanted []peer) []Action {
	if slices.ContainsFunc(wanted, func(p peer) bool { return p.alive && !n.isLinked(p.id) }) {
		return nil
	}
	var actions []Action
	for _, l := range n.links {
		isWanted := slices.ContainsFunc(wanted, func(p peer) bool { return p.id == l.peer })
		if l.dialed && !isWanted && len(wanted) > 0 {
			actions = append(actions, Disconnect{Link: l.id})
		}
	}
	return actions
}

func (n *Node) wantedPeers(now time.Time) []peer {
	if n.identity.Role == membership.RoleRouter {
		return n.wantedByRouter(now)
	}
	return n.wantedByAgent(now)
}

// routersPerAgent is the number of routers in its zone that an agent links to.
const routersPerAgent = 1

func (n *Node) wantedByAgent(now time.Time) []peer {
	wanted := ringPeers(n.identity.ID, n.poolPeers(now))
	chosen := 0
	for _, p := range rankPeers("router/"+n.identity.ID, n.routers(now, n.identity.Zone)) {
		if p.alive && chosen < routersPerAgent {
			wanted = append(wanted, p)
			chosen++
		}
	}
	if chosen == 0 {
		wanted = append(wanted, n.fallbackRouter(now)...)
	}
	return wanted
}

// fallbackRouter returns one router of any zone, for an agent whose zone has none that is alive.
// It returns an alive router that the agent is linked to, or else the router whose last dial is
// longest ago, so that all are tried in turn.
func (n *Node) fallbackRouter(now time.Time) []peer {
	all := rankPeers("router/"+n.identity.ID, n.routers(now, ""))
	for _, p := range all {
		if p.alive && n.isLinked(p.id) {
			return []peer{p}
		}
	}
	if len(all) == 0 {
		return nil
	}
	return []peer{slices.MinFunc(all, func(a, b peer) int {
		return n.dialedAt[a.address].Compare(n.dialedAt[b.address])
	})}
}

func (n *Node) wantedByRouter(now time.Time) []peer {
	wanted := ringPeers(n.identity.ID, n.routers(now, n.identity.Zone))
	return append(wanted, ringPeers(n.identity.ID, n.routers(now, ""))...)
}

// poolPeers returns the other agents of the node's pool, except those that are leaving or have
// left. An agent that was never heard of counts as alive, since it may be starting.
func (n *Node) poolPeers(now time.Time) []peer {
	pool := n.ownPool()
	if pool == nil {
		return nil
	}
	var peers []peer
	for _, backEnd := range pool.BackEnds {
		if backEnd.ID == n.identity.ID {
			continue
		}
		liveness := membership.Alive
		if entry := n.table.Entry(backEnd.ID); entry != nil {
			liveness = n.table.Liveness(now, entry)
		}
		if liveness != membership.Leaving {
			peers = append(peers, peer{id: backEnd.ID, address: backEnd.Agent, alive: liveness != membership.Doubtful})
		}
	}
	return peers
}

// routers returns the other serving routers in the zone, or in all zones if zone is "".
func (n *Node) routers(now time.Time, zone string) []peer {
	var peers []peer
	n.table.Entries(func(entry *membership.Entry) {
		if entry.Role != membership.RoleRouter || zone != "" && entry.Zone != zone {
			return
		}
		if entry.State == membership.StateServing {
			peers = append(peers, peer{id: entry.ID, address: entry.Address, alive: n.isRouterAlive(now, entry)})
		}
	})
	return peers
}

// isRouterAlive reports whether the router counts as alive. A router may be silent for longer than
// an agent, since routers send their records less often in a large fleet.
func (n *Node) isRouterAlive(now time.Time, entry *membership.Entry) bool {
	allowed := 4 * max(n.config.HeartbeatPeriod, time.Duration(n.routerCount)*n.config.RouterHeartbeatPerRouter)
	return now.Sub(entry.RecordedAt) <= max(allowed, n.config.Membership.SilentAfter)
}

// ringPeers returns the next node on the ring, the next alive node if it is another one, and one
// more alive node as a chord.
func ringPeers(self string, others []peer) []peer {
	if len(others) == 0 {
		return nil
	}
	next := ringNext(self, others)
	wanted := []peer{next}
	alive := slices.DeleteFunc(slices.Clone(others), func(p peer) bool { return !p.alive })
	if len(alive) == 0 {
		return wanted
	}
	nextAlive := ringNext(self, alive)
	if nextAlive.id != next.id {
		wanted = append(wanted, nextAlive)
	}
	for _, p := range rankPeers("chord/"+self, alive) {
		if p.id != next.id && p.id != nextAlive.id {
			return append(wanted, p)
		}
	}
	return wanted
}

// ringNext returns the node that follows self on the ring, in hash order.
func ringNext(self string, others []peer) peer {
	selfHash := xxhash.Sum64String(self)
	return slices.MinFunc(others, func(a, b peer) int {
		// The unsigned subtraction wraps around, which gives the distance on the ring.
		distanceA := xxhash.Sum64String(a.id) - selfHash
		distanceB := xxhash.Sum64String(b.id) - selfHash
		if distanceA < distanceB {
			return -1
		}
		return 1
	})
}

// rankPeers returns the peers in the order in which routing.Rank ranks their IDs for the key.
func rankPeers(key string, peers []peer) []peer {
	ids := make([]string, len(peers))
	byID := make(map[string]peer, len(peers))
	for i, p := range peers {
		ids[i] = p.id
		byID[p.id] = p
	}
	ranked := make([]peer, len(peers))
	for i, id := range routing.Rank(key, ids) {
		ranked[i] = byID[id]
	}
	return ranked
}
