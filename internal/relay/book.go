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
	liveTimeout        = 6 * time.Second
	liveTimeoutPerPeer = 50 * time.Millisecond
	// maxTold bounds the peers in one message; the next one goes on from there.
	maxPeersPerMessage = 16
	// forgetAge is how long its address is kept.
	forgetTimeout = 5 * time.Minute
	// meshSize is the number of gateways up to which all are connected.
	fullMeshSize = 10
	// fewestReaders is the number of gateways that read and watch the store all the
	// time; the others learn from them and read seldom. So the calls to the store
	// don't grow with the fleet. More of them cost more calls, and make it less likely
	// that all are turned away at once: of more than meshSize gateways, mostReaders
	// read, since there it takes longer until the others notice.
	smallFleetReaders = 3
	largeFleetReaders = 4
	// freshStore is the age to which a gateway's last answer of the store counts,
	// and freshStorePerPeer how much older it may be for each gateway known.
	maxStoreAge        = 2 * time.Second
	maxStoreAgePerPeer = 10 * time.Millisecond
	// freshLink is how long ago a peer must have been heard directly for a gateway
	// to leave the reading to others.
	contactTimeout = time.Second
)

// Book knows the other gateways. It is not safe for concurrent use.
type PeerTable struct {
	id       string
	address  string
	seeds    []string
	peers    map[string]*peerState
	dialedAt map[string]time.Time
	// toldUpTo is the last peer that was told to others.
	lastSent string
	// seedsAt is when the seeds were last tried.
	seedsDialedAt time.Time
	// ring is that of the last look at the neighbours.
	ring ring
}

type peerState struct {
	address    string
	lastSeenAt time.Time
	// directAt is when its last own message came.
	lastMessageAt time.Time
	// storeAt is when the store last answered it.
	storeAnsweredAt time.Time
	links           int
	// zone and capacity are those of Peer.
	zone     string
	capacity int
}

// NewBook returns the book of a gateway that knows its seeds' addresses alone.
func NewPeerTable(id, address string, seeds []string) *PeerTable {
	return &PeerTable{id: id, address: address, seeds: seeds, peers: map[string]*peerState{}, dialedAt: map[string]time.Time{}}
}

// SetSeeds replaces the seeds.
func (t *PeerTable) SetSeeds(seeds []string) { t.seeds = seeds }

// Heard notes a message from a peer, with the peers that it knows.
func (t *PeerTable) ObserveMessage(now time.Time, from Peer, others []Peer) {
	t.merge(now, from)
	if sender := t.peers[from.ID]; sender != nil {
		sender.lastMessageAt = now
	}
	for _, other := range others {
		t.merge(now, other)
	}
}

func (t *PeerTable) merge(now time.Time, report Peer) {
	if report.ID == t.id || report.ID == "" || report.Address == "" || report.AgeMillis < 0 {
		return
	}
	peer := t.peers[report.ID]
	if peer == nil {
		peer = &peerState{}
		t.peers[report.ID] = peer
	}
	seenAt := now.Add(-time.Duration(report.AgeMillis) * time.Millisecond)
	if seenAt.After(peer.lastSeenAt) {
		peer.lastSeenAt = seenAt
		peer.address = report.Address
		peer.zone = report.Zone
		peer.capacity = report.Capacity
		peer.storeAnsweredAt = seenAt.Add(-time.Duration(report.StoreAgeMillis) * time.Millisecond)
	}
}

// Place returns this gateway's place among the others. Those read the store all the time
// that are the first few, in hash order, of the live ones that the store answers. Where it
// answers fewer, as after a start or while it is away, all others look for it, the first few
// of the live ones at once and the rest at leisure: one that finds it is heard of at once.
// A gateway that hears of no peer reads for itself. The gateways may disagree for a moment:
// then a few more read, or the others' seldom reads make up for it. storeAge is how long ago
// the store answered this gateway.
func (t *PeerTable) Place(now time.Time, storeAge time.Duration) gateway.Place {
	place := gateway.Place{Gateways: t.LiveCount(now), Duty: gateway.Reader}
	if !t.hasContact(now) {
		return place
	}
	readers := t.currentReaders(now)
	place.Rank = t.rankAmong(readers)
	switch {
	case len(readers) == t.readerCount() && place.Rank == len(readers):
		place.Duty = gateway.Learner
	case len(readers) == t.readerCount() || storeAge <= t.storeAgeLimit():
	case place.Rank+t.rankAmong(t.liveExcept(now, readers)) >= t.readerCount():
		place.Duty = gateway.Standby
	}
	return place
}

// isLinked tells whether a peer was heard directly of late.
func (t *PeerTable) hasContact(now time.Time) bool {
	for _, peer := range t.peers {
		if now.Sub(peer.lastMessageAt) <= contactTimeout {
			return true
		}
	}
	return false
}

// before returns how many of the peers come before this gateway in hash order.
func (t *PeerTable) rankAmong(peers []string) int {
	own, count := xxhash.Sum64String(t.id), 0
	for _, id := range peers {
		if xxhash.Sum64String(id) < own {
			count++
		}
	}
	return count
}

// liveWithout returns the live peers but those.
func (t *PeerTable) liveExcept(now time.Time, excluded []string) []string {
	var live []string
	for id, peer := range t.peers {
		if t.isLive(now, peer) && !slices.Contains(excluded, id) {
			live = append(live, id)
		}
	}
	return live
}

// readers is how many gateways read the store all the time.
func (t *PeerTable) readerCount() int {
	if len(t.peers) < fullMeshSize {
		return smallFleetReaders
	}
	return largeFleetReaders
}

// freshStore is the age to which a gateway's last answer of the store counts.
func (t *PeerTable) storeAgeLimit() time.Duration {
	return maxStoreAge + time.Duration(len(t.peers))*maxStoreAgePerPeer
}

// reading returns the first peers, in hash order, that the store answers.
func (t *PeerTable) currentReaders(now time.Time) []string {
	limit := t.storeAgeLimit()
	var answered []string
	for id, peer := range t.peers {
		if now.Sub(peer.lastSeenAt) <= limit && now.Sub(peer.storeAnsweredAt) <= limit {
			answered = append(answered, id)
		}
	}
	slices.SortFunc(answered, func(a, c string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(c)) })
	return answered[:min(t.readerCount(), len(answered))]
}

// LinkUp and LinkDown count the open connections to a peer.
func (t *PeerTable) LinkUp(id string) {
	if t.peers[id] == nil {
		t.peers[id] = &peerState{}
	}
	t.peers[id].links++
}

// LinkDown is the end of a connection.
func (t *PeerTable) LinkDown(id string) {
	if peer := t.peers[id]; peer != nil {
		peer.links--
	}
}

// Live returns the number of live gateways, this one included.
func (t *PeerTable) LiveCount(now time.Time) int {
	count := 1
	for _, peer := range t.peers {
		if t.isLive(now, peer) {
			count++
		}
	}
	return count
}

// Fleet returns all gateways that were heard of and aren't forgotten, live or not.
func (t *PeerTable) Fleet() dispatch.Fleet {
	fleet := dispatch.Fleet{Self: t.id}
	for id, peer := range t.peers {
		if !peer.lastSeenAt.IsZero() {
			fleet.Known = append(fleet.Known, id)
		}
	}
	for _, seed := range t.seeds {
		fleet.HasSeeds = fleet.HasSeeds || seed != t.address
	}
	return fleet
}

// LivePeers returns the other live gateways.
func (t *PeerTable) LivePeers(now time.Time) []Peer {
	var live []Peer
	for _, id := range t.ids() {
		if t.isLive(now, t.peers[id]) {
			live = append(live, t.describe(now, id))
		}
	}
	return live
}

func (t *PeerTable) isLive(now time.Time, peer *peerState) bool {
	return now.Sub(peer.lastSeenAt) <= liveTimeout+time.Duration(len(t.peers))*liveTimeoutPerPeer
}

// Known returns some of the live peers for a message: those that read the store,
// which all gateways must agree on, and some of the others, so that calls one after
// another go through all of them.
func (t *PeerTable) PeersForMessage(now time.Time) []Peer {
	ids := t.ids()
	first, _ := slices.BinarySearch(ids, t.lastSent+"\x00")
	readers := t.currentReaders(now)
	var list []Peer
	for _, id := range readers {
		list = append(list, t.describe(now, id))
	}
	for i := 0; i < len(ids) && len(list) < maxPeersPerMessage; i++ {
		id := ids[(first+i)%len(ids)]
		if !t.isLive(now, t.peers[id]) || slices.Contains(readers, id) {
			continue
		}
		list = append(list, t.describe(now, id))
		t.lastSent = id
	}
	return list
}

func (t *PeerTable) describe(now time.Time, id string) Peer {
	peer := t.peers[id]
	return Peer{
		ID: id, Address: peer.address, AgeMillis: now.Sub(peer.lastSeenAt).Milliseconds(),
		StoreAgeMillis: min(peer.lastSeenAt.Sub(peer.storeAnsweredAt), forgetTimeout).Milliseconds(),
		Zone:           peer.zone, Capacity: peer.capacity,
	}
}

func (t *PeerTable) ids() []string {
	ids := make([]string, 0, len(t.peers))
	for id := range t.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
