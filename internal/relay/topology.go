package relay

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// redialPause is the time between two tries at the same address.
	redialInterval = 700 * time.Millisecond
	// seedPause is the time between two tries at the seeds of a gateway that has its
	// neighbours, and seedPausePerPeer how much longer it is for each gateway known.
	// The tries join fleets that came up apart; more of them load the seeds.
	seedInterval        = 5 * time.Second
	seedIntervalPerPeer = 100 * time.Millisecond
)

// Dial returns the addresses to connect to now.
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

// areFew tells whether fewer than half of the neighbours are connected.
func (t *PeerTable) lacksNeighbours(neighbours []string) bool {
	linked := 0
	for _, id := range neighbours {
		if t.peers[id].links > 0 {
			linked++
		}
	}
	return linked == 0 || 2*linked < len(neighbours)
}

// Surplus returns the peers to which a connection is needed no more: they are seeds and no
// neighbours, and the neighbours are there.
func (t *PeerTable) Surplus(candidates []string) []string {
	neighbours := t.neighbours()
	if len(candidates) == 0 || t.lacksNeighbours(neighbours) {
		return nil
	}
	return slices.DeleteFunc(candidates, func(peer string) bool { return slices.Contains(neighbours, peer) })
}

// unmetSeeds returns the seeds that no linked peer has as its address.
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

// neighbours returns the peers to be connected to: all of a few; of many those
// at distances 1, 2, 4, ... on a ring in hash order. So news reaches every
// gateway in a logarithmic number of steps, and a gateway's cost grows as
// slowly.
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

// ring is a list of peers and those that a gateway is connected to among them: the list
// seldom changes, and is looked at several times a second.
type ring struct {
	peers      []string
	neighbours []string
}

// chordsOf returns the ring of the gateway and the peers.
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

// IsLarge tells whether a fleet has so many gateways that not all are connected.
func IsLarge(gateways int) bool { return gateways > fullMeshSize }

// linksIn returns the number of connections that a gateway has in a fleet of so many:
// those that it opens, and as many that others open to it.
func linkCount(gateways int) int {
	if gateways <= fullMeshSize {
		return gateways - 1
	}
	return 2 * bits.Len(uint(gateways-1))
}

func (t *PeerTable) forget(now time.Time) {
	for id, peer := range t.peers {
		if peer.links <= 0 && now.Sub(peer.lastSeenAt) > forgetTimeout {
			delete(t.peers, id)
		}
	}
}
