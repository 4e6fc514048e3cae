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
	redialPause = 700 * time.Millisecond
	// seedPause is the time between two tries at the seeds of a gateway that has its
	// neighbours, and seedPausePerPeer how much longer it is for each gateway known.
	// The tries join fleets that came up apart; more of them load the seeds.
	seedPause        = 5 * time.Second
	seedPausePerPeer = 100 * time.Millisecond
)

// Dial returns the addresses to connect to now.
func (b *Book) Dial(now time.Time) []string {
	b.forget(now)
	var wanted []string
	neighbours := b.neighbours()
	for _, id := range neighbours {
		if peer := b.peers[id]; peer.links <= 0 && peer.address != "" {
			wanted = append(wanted, peer.address)
		}
	}
	if b.areFew(neighbours) || now.Sub(b.seedsAt) >= seedPause+time.Duration(len(b.peers))*seedPausePerPeer {
		b.seedsAt = now
		wanted = append(wanted, b.unmetSeeds()...)
	}
	var due []string
	for _, address := range wanted {
		if now.Sub(b.dialed[address]) >= redialPause && !slices.Contains(due, address) {
			b.dialed[address] = now
			due = append(due, address)
		}
	}
	return due
}

// areFew tells whether fewer than half of the neighbours are connected.
func (b *Book) areFew(neighbours []string) bool {
	linked := 0
	for _, id := range neighbours {
		if b.peers[id].links > 0 {
			linked++
		}
	}
	return linked == 0 || 2*linked < len(neighbours)
}

// Surplus returns the peers to which a connection is needed no more: they are seeds and no
// neighbours, and the neighbours are there.
func (b *Book) Surplus(opened []string) []string {
	neighbours := b.neighbours()
	if len(opened) == 0 || b.areFew(neighbours) {
		return nil
	}
	return slices.DeleteFunc(opened, func(peer string) bool { return slices.Contains(neighbours, peer) })
}

// unmetSeeds returns the seeds that no linked peer has as its address.
func (b *Book) unmetSeeds() []string {
	linked := map[string]bool{b.address: true}
	for _, peer := range b.peers {
		if peer.links > 0 {
			linked[peer.address] = true
		}
	}
	var unmet []string
	for _, seed := range b.seeds {
		if !linked[seed] {
			unmet = append(unmet, seed)
		}
	}
	return unmet
}

// neighbours returns the peers to be connected to: all of a few; of many those
// at distances 1, 2, 4, ... on a ring in hash order. So news reaches every
// gateway in a logarithmic number of steps, and a gateway's cost grows as
// slowly.
func (b *Book) neighbours() []string {
	peers := b.ids()
	if len(peers) < meshSize {
		return peers
	}
	if !slices.Equal(peers, b.ring.of) {
		b.ring = chordsOf(b.id, peers)
	}
	return b.ring.chords
}

// ring is a list of peers and those that a gateway is connected to among them: the list
// seldom changes, and is looked at several times a second.
type ring struct {
	of     []string
	chords []string
}

// chordsOf returns the ring of the gateway and the peers.
func chordsOf(id string, peers []string) ring {
	type place struct {
		id   string
		hash uint64
	}
	places := []place{{id, xxhash.Sum64String(id)}}
	for _, each := range peers {
		places = append(places, place{each, xxhash.Sum64String(each)})
	}
	slices.SortFunc(places, func(a, c place) int { return cmp.Compare(a.hash, c.hash) })
	own := slices.IndexFunc(places, func(each place) bool { return each.id == id })
	made := ring{of: peers}
	for distance := 1; distance < len(places); distance *= 2 {
		made.chords = append(made.chords, places[(own+distance)%len(places)].id)
	}
	return made
}

// IsLarge tells whether a fleet has so many gateways that not all are connected.
func IsLarge(gateways int) bool { return gateways > meshSize }

// linksIn returns the number of connections that a gateway has in a fleet of so many:
// those that it opens, and as many that others open to it.
func linksIn(gateways int) int {
	if gateways <= meshSize {
		return gateways - 1
	}
	return 2 * bits.Len(uint(gateways-1))
}

func (b *Book) forget(now time.Time) {
	for id, peer := range b.peers {
		if peer.links <= 0 && now.Sub(peer.heardAt) > forgetAge {
			delete(b.peers, id)
		}
	}
}
