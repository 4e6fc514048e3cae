// Package relay lets gateways pass on to each other what they know:
// configurations, back ends, loads, and where other gateways are. A gateway that
// the platform's store turns away still learns what its peers learn.
//
// Book is the state machine of who is known and whom to connect to; Relay is its
// shell, over WebSocket with CBOR.
package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// Peer is another gateway as it is told to others.
type Peer struct {
	// ID is the gateway's name.
	ID string `cbor:"1,keyasint"`
	// Address is its listener for peers.
	Address string `cbor:"2,keyasint"`
	// AgeMillis is how long ago it was last heard of.
	AgeMillis int64 `cbor:"3,keyasint"`
	// StoreAgeMillis is how long ago, when it was last heard of, the store had
	// answered it.
	StoreAgeMillis int64 `cbor:"4,keyasint"`
	// Zone is where it runs, and Capacity its share of a processor in hundredths of a
	// core.
	Zone     string `cbor:"5,keyasint,omitempty"`
	Capacity int    `cbor:"6,keyasint,omitempty"`
}

const (
	// liveAge is how long a gateway counts as live after it was heard of, and
	// liveAgePerPeer how much longer for each gateway known: in a large fleet each
	// is told of more seldom.
	liveAge        = 6 * time.Second
	liveAgePerPeer = 50 * time.Millisecond
	// maxTold bounds the peers in one message; the next one goes on from there.
	maxTold = 16
	// forgetAge is how long its address is kept.
	forgetAge = 5 * time.Minute
	// meshSize is the number of gateways up to which all are connected.
	meshSize = 10
	// fewestReaders is the number of gateways that read and watch the store all the
	// time; the others learn from them and read seldom. So the calls to the store
	// don't grow with the fleet. More of them cost more calls, and make it less likely
	// that all are turned away at once: of more than meshSize gateways, mostReaders
	// read, since there it takes longer until the others notice.
	fewestReaders = 3
	mostReaders   = 4
	// freshStore is the age to which a gateway's last answer of the store counts,
	// and freshStorePerPeer how much older it may be for each gateway known.
	freshStore        = 2 * time.Second
	freshStorePerPeer = 10 * time.Millisecond
	// freshLink is how long ago a peer must have been heard directly for a gateway
	// to leave the reading to others.
	freshLink = time.Second
)

// Book knows the other gateways. It is not safe for concurrent use.
type Book struct {
	id      string
	address string
	seeds   []string
	peers   map[string]*known
	dialed  map[string]time.Time
	// toldUpTo is the last peer that was told to others.
	toldUpTo string
	// seedsAt is when the seeds were last tried.
	seedsAt time.Time
	// ring is that of the last look at the neighbours.
	ring ring
}

type known struct {
	address string
	heardAt time.Time
	// directAt is when its last own message came.
	directAt time.Time
	// storeAt is when the store last answered it.
	storeAt time.Time
	links   int
	// zone and capacity are those of Peer.
	zone     string
	capacity int
}

// NewBook returns the book of a gateway that knows its seeds' addresses alone.
func NewBook(id, address string, seeds []string) *Book {
	return &Book{id: id, address: address, seeds: seeds, peers: map[string]*known{}, dialed: map[string]time.Time{}}
}

// SetSeeds replaces the seeds.
func (b *Book) SetSeeds(seeds []string) { b.seeds = seeds }

// Heard notes a message from a peer, with the peers that it knows.
func (b *Book) Heard(now time.Time, from Peer, others []Peer) {
	b.note(now, from)
	if sender := b.peers[from.ID]; sender != nil {
		sender.directAt = now
	}
	for _, other := range others {
		b.note(now, other)
	}
}

func (b *Book) note(now time.Time, told Peer) {
	if told.ID == b.id || told.ID == "" || told.Address == "" || told.AgeMillis < 0 {
		return
	}
	peer := b.peers[told.ID]
	if peer == nil {
		peer = &known{}
		b.peers[told.ID] = peer
	}
	heardAt := now.Add(-time.Duration(told.AgeMillis) * time.Millisecond)
	if heardAt.After(peer.heardAt) {
		peer.heardAt = heardAt
		peer.address = told.Address
		peer.zone = told.Zone
		peer.capacity = told.Capacity
		peer.storeAt = heardAt.Add(-time.Duration(told.StoreAgeMillis) * time.Millisecond)
	}
}

// Place returns this gateway's place among the others. Those read the store all the time
// that are the first few, in hash order, of the live ones that the store answers. Where it
// answers fewer, as after a start or while it is away, all others look for it, the first few
// of the live ones at once and the rest at leisure: one that finds it is heard of at once.
// A gateway that hears of no peer reads for itself. The gateways may disagree for a moment:
// then a few more read, or the others' seldom reads make up for it. storeAge is how long ago
// the store answered this gateway.
func (b *Book) Place(now time.Time, storeAge time.Duration) gateway.Place {
	place := gateway.Place{Gateways: b.Live(now), Duty: gateway.Reader}
	if !b.isLinked(now) {
		return place
	}
	reading := b.reading(now)
	place.Rank = b.before(reading)
	switch {
	case len(reading) == b.readers() && place.Rank == len(reading):
		place.Duty = gateway.Learner
	case len(reading) == b.readers() || storeAge <= b.freshStore():
	case place.Rank+b.before(b.liveWithout(now, reading)) >= b.readers():
		place.Duty = gateway.Standby
	}
	return place
}

// isLinked tells whether a peer was heard directly of late.
func (b *Book) isLinked(now time.Time) bool {
	for _, peer := range b.peers {
		if now.Sub(peer.directAt) <= freshLink {
			return true
		}
	}
	return false
}

// before returns how many of the peers come before this gateway in hash order.
func (b *Book) before(peers []string) int {
	own, count := xxhash.Sum64String(b.id), 0
	for _, id := range peers {
		if xxhash.Sum64String(id) < own {
			count++
		}
	}
	return count
}

// liveWithout returns the live peers but those.
func (b *Book) liveWithout(now time.Time, but []string) []string {
	var live []string
	for id, peer := range b.peers {
		if b.isLive(now, peer) && !slices.Contains(but, id) {
			live = append(live, id)
		}
	}
	return live
}

// readers is how many gateways read the store all the time.
func (b *Book) readers() int {
	if len(b.peers) < meshSize {
		return fewestReaders
	}
	return mostReaders
}

// freshStore is the age to which a gateway's last answer of the store counts.
func (b *Book) freshStore() time.Duration {
	return freshStore + time.Duration(len(b.peers))*freshStorePerPeer
}

// reading returns the first peers, in hash order, that the store answers.
func (b *Book) reading(now time.Time) []string {
	fresh := b.freshStore()
	var answered []string
	for id, peer := range b.peers {
		if now.Sub(peer.heardAt) <= fresh && now.Sub(peer.storeAt) <= fresh {
			answered = append(answered, id)
		}
	}
	slices.SortFunc(answered, func(a, c string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(c)) })
	return answered[:min(b.readers(), len(answered))]
}

// LinkUp and LinkDown count the open connections to a peer.
func (b *Book) LinkUp(id string) {
	if b.peers[id] == nil {
		b.peers[id] = &known{}
	}
	b.peers[id].links++
}

// LinkDown is the end of a connection.
func (b *Book) LinkDown(id string) {
	if peer := b.peers[id]; peer != nil {
		peer.links--
	}
}

// Live returns the number of live gateways, this one included.
func (b *Book) Live(now time.Time) int {
	count := 1
	for _, peer := range b.peers {
		if b.isLive(now, peer) {
			count++
		}
	}
	return count
}

// Fleet returns all gateways that were heard of and aren't forgotten, live or not.
func (b *Book) Fleet() dispatch.Fleet {
	fleet := dispatch.Fleet{Self: b.id}
	for id, peer := range b.peers {
		if !peer.heardAt.IsZero() {
			fleet.Known = append(fleet.Known, id)
		}
	}
	for _, seed := range b.seeds {
		fleet.HasSeeds = fleet.HasSeeds || seed != b.address
	}
	return fleet
}

// LivePeers returns the other live gateways.
func (b *Book) LivePeers(now time.Time) []Peer {
	var live []Peer
	for _, id := range b.ids() {
		if b.isLive(now, b.peers[id]) {
			live = append(live, b.tell(now, id))
		}
	}
	return live
}

func (b *Book) isLive(now time.Time, peer *known) bool {
	return now.Sub(peer.heardAt) <= liveAge+time.Duration(len(b.peers))*liveAgePerPeer
}

// Known returns some of the live peers for a message: those that read the store,
// which all gateways must agree on, and some of the others, so that calls one after
// another go through all of them.
func (b *Book) Known(now time.Time) []Peer {
	ids := b.ids()
	first, _ := slices.BinarySearch(ids, b.toldUpTo+"\x00")
	reading := b.reading(now)
	var list []Peer
	for _, id := range reading {
		list = append(list, b.tell(now, id))
	}
	for i := 0; i < len(ids) && len(list) < maxTold; i++ {
		id := ids[(first+i)%len(ids)]
		if !b.isLive(now, b.peers[id]) || slices.Contains(reading, id) {
			continue
		}
		list = append(list, b.tell(now, id))
		b.toldUpTo = id
	}
	return list
}

func (b *Book) tell(now time.Time, id string) Peer {
	peer := b.peers[id]
	return Peer{
		ID: id, Address: peer.address, AgeMillis: now.Sub(peer.heardAt).Milliseconds(),
		StoreAgeMillis: min(peer.heardAt.Sub(peer.storeAt), forgetAge).Milliseconds(),
		Zone:           peer.zone, Capacity: peer.capacity,
	}
}

func (b *Book) ids() []string {
	ids := make([]string, 0, len(b.peers))
	for id := range b.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
