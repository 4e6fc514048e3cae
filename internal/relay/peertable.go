// Package relay exchanges state between gateways by gossip: configurations, back ends, loads, and
// the addresses of other gateways. A gateway whose calls the platform's store rejects still learns
// what its peers learn.
//
// PeerTable is the state machine that tracks which gateways are known and decides which ones to
// connect to. Relay runs it, over WebSocket with CBOR.
package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// Peer describes a gateway in a message to other gateways.
type Peer struct {
	// ID is the gateway's ID.
	ID string `cbor:"1,keyasint"`
	// Address is the address of its listener for peers.
	Address string `cbor:"2,keyasint"`
	// AgeMillis is the time since it was last seen.
	AgeMillis int64 `cbor:"3,keyasint"`
	// StoreAgeMillis is how long ago the store had answered it at the time when it was last seen.
	StoreAgeMillis int64 `cbor:"4,keyasint"`
	// Zone is where it runs, and Capacity its share of a processor in hundredths of a core.
	Zone     string `cbor:"5,keyasint,omitempty"`
	Capacity int    `cbor:"6,keyasint,omitempty"`
}

const (
	// liveTimeout is how long a gateway counts as live after it was last seen, and
	// liveTimeoutPerPeer how much longer for each known gateway: in a large fleet, each one is
	// reported less often.
	liveTimeout        = 6 * time.Second
	liveTimeoutPerPeer = 50 * time.Millisecond
	// maxPeers limits the gateways that are remembered. Further ones are ignored.
	maxPeers = 4096
	// maxPeersPerMessage limits the peers in one message; the next message continues from there.
	maxPeersPerMessage = 16
	// forgetTimeout is how long a gateway is remembered after it was last seen. Reported store ages
	// are capped at it.
	forgetTimeout = 5 * time.Minute
	// fullMeshSize is the number of gateways up to which all are connected to each other.
	fullMeshSize = 10
	// smallFleetReaders and largeFleetReaders are the numbers of gateways that read and watch the
	// store continuously, in fleets of up to fullMeshSize gateways and in larger ones. The others
	// get updates from them and read rarely, so that the number of calls to the store doesn't grow
	// with the fleet. More readers cost more calls, but make it less likely that the store rejects
	// all of them at once. A larger fleet has one more, since there the others take longer to
	// notice a rejection.
	smallFleetReaders = 3
	largeFleetReaders = 4
	// maxStoreAge is the age up to which the store's last answer to a gateway counts as recent, and
	// maxStoreAgePerPeer how much older it may be for each known gateway.
	maxStoreAge        = 2 * time.Second
	maxStoreAgePerPeer = 10 * time.Millisecond
	// contactTimeout is the time within which a peer must have sent a message to this gateway for
	// it to leave reading the store to others.
	contactTimeout = time.Second
)

// PeerTable holds what is known of the other gateways. It is not safe for concurrent use.
type PeerTable struct {
	id       string
	address  string
	seeds    []string
	peers    map[string]*peerState
	dialedAt map[string]time.Time
	// lastSent is the ID of the last peer, apart from readers, that was included in a message.
	lastSent string
	// seedsDialedAt is when the seeds were last tried.
	seedsDialedAt time.Time
	// ring holds the neighbours as last computed.
	ring ring
}

// peerState is what is known of a peer.
type peerState struct {
	address string
	// lastSeenAt is when it was last seen, by this gateway or by one that reported it.
	lastSeenAt time.Time
	// lastMessageAt is when it last sent a message to this gateway.
	lastMessageAt time.Time
	// storeAnsweredAt is when the store last answered it.
	storeAnsweredAt time.Time
	// links is the number of open connections to it.
	links int
	// zone and capacity are those of Peer.
	zone     string
	capacity int
}

// NewPeerTable returns the table of a gateway that knows only the addresses of its seeds.
func NewPeerTable(id, address string, seeds []string) *PeerTable {
	return &PeerTable{id: id, address: address, seeds: seeds, peers: map[string]*peerState{}, dialedAt: map[string]time.Time{}}
}

// SetSeeds replaces the seeds.
func (t *PeerTable) SetSeeds(seeds []string) { t.seeds = seeds }

// ObserveMessage records a message from a peer and merges the peers that it reports.
func (t *PeerTable) ObserveMessage(now time.Time, from Peer, others []Peer) {
	t.merge(now, from)
	if sender := t.peers[from.ID]; sender != nil {
		sender.lastMessageAt = now
	}
	for _, other := range others {
		t.merge(now, other)
	}
}

// merge applies a report of a peer if it is newer than what is known of the peer.
func (t *PeerTable) merge(now time.Time, report Peer) {
	if report.ID == t.id || report.ID == "" || report.Address == "" || report.AgeMillis < 0 {
		return
	}
	peer := t.peers[report.ID]
	if peer == nil && len(t.peers) >= maxPeers {
		return
	}
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

// Place returns this gateway's place in the fleet. Readers are the first few gateways, in hash
// order, of the live ones that the store answers. While it answers fewer, as after a start or
// during an outage, every other gateway tries it too: the first few of the live ones, in hash
// order, continuously, and the rest occasionally as standbys. A gateway that gets an answer becomes
// a reader, and the others learn of that from its next messages. A gateway without contact to any
// peer reads for itself. The gateways may disagree for a moment; then a few more of them read, or
// the rare reads of the others make up for the missing readers. storeAge is how long ago the store
// answered this gateway.
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

// hasContact reports whether a peer has sent this gateway a message within contactTimeout.
func (t *PeerTable) hasContact(now time.Time) bool {
	for _, peer := range t.peers {
		if now.Sub(peer.lastMessageAt) <= contactTimeout {
			return true
		}
	}
	return false
}

// rankAmong returns how many of the peers precede this gateway in hash order.
func (t *PeerTable) rankAmong(peers []string) int {
	own, count := xxhash.Sum64String(t.id), 0
	for _, id := range peers {
		if xxhash.Sum64String(id) < own {
			count++
		}
	}
	return count
}

// liveExcept returns the live peers without the excluded ones.
func (t *PeerTable) liveExcept(now time.Time, excluded []string) []string {
	var live []string
	for id, peer := range t.peers {
		if t.isLive(now, peer) && !slices.Contains(excluded, id) {
			live = append(live, id)
		}
	}
	return live
}

// readerCount returns how many gateways should read the store continuously.
func (t *PeerTable) readerCount() int {
	if len(t.peers) < fullMeshSize {
		return smallFleetReaders
	}
	return largeFleetReaders
}

// storeAgeLimit returns the age up to which the store's last answer to a gateway counts as recent.
func (t *PeerTable) storeAgeLimit() time.Duration {
	return maxStoreAge + time.Duration(len(t.peers))*maxStoreAgePerPeer
}

// currentReaders returns the first peers, in hash order, that the store answers: as many as should
// read it, or fewer if it answers fewer.
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

// LinkUp records a new connection to a peer.
func (t *PeerTable) LinkUp(id string) {
	if t.peers[id] == nil && len(t.peers) >= maxPeers {
		return
	}
	if t.peers[id] == nil {
		t.peers[id] = &peerState{}
	}
	t.peers[id].links++
}

// LinkDown records the end of a connection to a peer.
func (t *PeerTable) LinkDown(id string) {
	if peer := t.peers[id]; peer != nil && peer.links > 0 {
		peer.links--
	}
}

// LiveCount returns the number of live gateways, including this one.
func (t *PeerTable) LiveCount(now time.Time) int {
	count := 1
	for _, peer := range t.peers {
		if t.isLive(now, peer) {
			count++
		}
	}
	return count
}

// Fleet returns all gateways that have been seen and aren't forgotten, live or not, and whether
// there are seeds other than this gateway.
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

// StoreAge returns the time since the store last answered any of the other gateways, as far as this one
// has heard; at most forgetTimeout.
func (t *PeerTable) StoreAge(now time.Time) time.Duration {
	age := forgetTimeout
	for _, peer := range t.peers {
		age = min(age, now.Sub(peer.storeAnsweredAt))
	}
	return age
}

// ContactAge returns the time since this gateway last heard of the live one of which it has heard longest ago; 0 if
// there are no others.
func (t *PeerTable) ContactAge(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, peer := range t.peers {
		if t.isLive(now, peer) {
			age = max(age, now.Sub(peer.lastSeenAt))
		}
	}
	return age
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

// isLive reports whether the peer was seen recently enough to count as live.
func (t *PeerTable) isLive(now time.Time, peer *peerState) bool {
	return now.Sub(peer.lastSeenAt) <= liveTimeout+time.Duration(len(t.peers))*liveTimeoutPerPeer
}

// PeersForMessage returns some of the live peers for a message: the readers of the store, on which
// all gateways must agree, and some of the others, so that successive calls go through all of them.
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

// describe returns the peer as it is reported to others.
func (t *PeerTable) describe(now time.Time, id string) Peer {
	peer := t.peers[id]
	return Peer{
		ID: id, Address: peer.address, AgeMillis: now.Sub(peer.lastSeenAt).Milliseconds(),
		StoreAgeMillis: min(peer.lastSeenAt.Sub(peer.storeAnsweredAt), forgetTimeout).Milliseconds(),
		Zone:           peer.zone, Capacity: peer.capacity,
	}
}

// ids returns the IDs of all peers, sorted.
func (t *PeerTable) ids() []string {
	ids := make([]string, 0, len(t.peers))
	for id := range t.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
