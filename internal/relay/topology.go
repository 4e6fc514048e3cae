package relay

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// redialInterval is the minimum time between two attempts to connect to the same address.
	redialInterval = 700 * time.Millisecond
	// seedInterval is the time between two attempts to connect to the seeds while the gateway is
	// connected to its neighbours, and seedIntervalPerPeer how much longer it is for each known
	// gateway. The attempts join fleets that started separately; more frequent ones would load the
	// seeds.
	seedInterval        = 5 * time.Second
	seedIntervalPerPeer = 100 * time.Millisecond
)

// DialTargets returns the addresses to connect to now, and records that they are dialed. It also
// removes the peers that are to be forgotten.
func (t *PeerTable) DialTargets(now time.Time) []string {
	t.forget(now)
	var wanted []string
	neighbours := t.neighbours()
	for _, id := range neighbours {
		if peer := t.peers[id]; peer.links <= 0 && peer.address != "" {
			wanted = append(wanted, peer.address)
		}
	}
	if t.lacksNeighbours(neighbours) || now.Sub(t.seedsDialedAt) >= seedInterval+time.Duration(len(t.peers))*seedIntervalPerPeer {
		t.seedsDialedAt = now
		wanted = append(wanted, t.unconnectedSeeds()...)
	}
	var due []string
	for _, address := range wanted {
		if now.Sub(t.dialedAt[address]) >= redialInterval && !slices.Contains(due, address) {
			t.dialedAt[address] = now
			due = append(due, address)
		}
	}
	return due
}

// lacksNeighbours reports whether none or fewer than half of the neighbours are connected.
func (t *PeerTable) lacksNeighbours(neighbours []string) bool {
	linked := 0
	for _, id := range neighbours {
		if t.peers[id].links > 0 {
			linked++
		}
	}
	return linked == 0 || 2*linked < len(neighbours)
}

// Surplus returns those of the candidates to which a connection isn't needed any more, such as
// seeds: they aren't neighbours, and enough neighbours are connected. It modifies candidates.
func (t *PeerTable) Surplus(candidates []string) []string {
	neighbours := t.neighbours()
	if len(candidates) == 0 || t.lacksNeighbours(neighbours) {
		return nil
	}
	return slices.DeleteFunc(candidates, func(peer string) bool { return slices.Contains(neighbours, peer) })
}

// unconnectedSeeds returns the seeds that aren't the address of a connected peer or of this
// gateway.
func (t *PeerTable) unconnectedSeeds() []string {
	linked := map[string]bool{t.address: true}
	for _, peer := range t.peers {
		if peer.links > 0 {
			linked[peer.address] = true
		}
	}
	var unconnected []string
	for _, seed := range t.seeds {
		if !linked[seed] {
			unconnected = append(unconnected, seed)
		}
	}
	return unconnected
}

// neighbours returns the peers to be connected to. In a small fleet these are all of them; in a
// larger one, those at distances 1, 2, 4, ... on a ring in hash order. So an update reaches every
// gateway in a logarithmic number of steps, and the cost per gateway grows just as slowly.
func (t *PeerTable) neighbours() []string {
	peers := t.ids()
	if len(peers) < fullMeshSize {
		return peers
	}
	if !slices.Equal(peers, t.ring.peers) {
		t.ring = newRing(t.id, peers)
	}
	return t.ring.neighbours
}

// ring caches the neighbours that follow from a list of peers: the list rarely changes, but the
// neighbours are needed several times per second.
type ring struct {
	peers      []string
	neighbours []string
}

// newRing returns the ring of the gateway and its peers.
func newRing(id string, peers []string) ring {
	type point struct {
		id   string
		hash uint64
	}
	points := []point{{id, xxhash.Sum64String(id)}}
	for _, each := range peers {
		points = append(points, point{each, xxhash.Sum64String(each)})
	}
	slices.SortFunc(points, func(a, c point) int { return cmp.Compare(a.hash, c.hash) })
	own := slices.IndexFunc(points, func(each point) bool { return each.id == id })
	r := ring{peers: peers}
	for distance := 1; distance < len(points); distance *= 2 {
		r.neighbours = append(r.neighbours, points[(own+distance)%len(points)].id)
	}
	return r
}

// IsLarge reports whether a fleet has so many gateways that they aren't all connected to each
// other.
func IsLarge(gateways int) bool { return gateways > fullMeshSize }

// linkCount returns the number of connections of a gateway in a fleet of the given number of
// gateways. In a small fleet that is one to each other gateway; in a large one, those that it opens
// to its neighbours, and as many that others open to it.
func linkCount(gateways int) int {
	if gateways <= fullMeshSize {
		return gateways - 1
	}
	return 2 * bits.Len(uint(gateways-1))
}

// forget removes unconnected peers that haven't been seen for forgetTimeout.
func (t *PeerTable) forget(now time.Time) {
	for id, peer := range t.peers {
		if peer.links <= 0 && now.Sub(peer.lastSeenAt) > forgetTimeout {
			delete(t.peers, id)
		}
	}
}
