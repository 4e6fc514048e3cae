package catalog

import (
	"math"
	"time"
)

// Incarnation is one life of a back end. A back end may start again under its ID, and then
// holds and knows nothing of before.
type Incarnation struct {
	// ID is the back end's.
	ID string
	// Born is when this life began, in milliseconds since 1970 by the back end's clock, which
	// may step back: it tells lives apart and doesn't order them. 0 where it isn't told.
	Born int64
}

// IsSame tells whether both are the same life, as far as is known: software that doesn't tell
// its start yet may stand beside software that does.
func (i Incarnation) Matches(other Incarnation) bool {
	return i.ID == other.ID && (i.Born == other.Born || i.Born == 0 || other.Born == 0)
}

// BackEnd is one incarnation of a back end. A restart makes a new one.
type BackEnd struct {
	// ID is that of the back end.
	ID string `cbor:"1,keyasint"`
	// Service is the pool that it belongs to.
	Service string `cbor:"2,keyasint"`
	// Address is its IP address and port. Later it may be another back end's.
	Address string `cbor:"3,keyasint"`
	// Zone is where it runs.
	Zone string `cbor:"4,keyasint"`
	// Slots is how many requests it works on at once; 0 when unknown.
	Slots int `cbor:"5,keyasint,omitempty"`
	// Leaving back ends take no new work.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// WarmUp is how much longer it bore few requests a second when the entry was
	// written; 0 for one that is warm.
	WarmUp time.Duration `cbor:"7,keyasint,omitempty"`
	// Born is when this life of it began, in milliseconds since 1970 by its own clock; 0 where
	// it isn't told. A back end may start again under its ID.
	Born int64 `cbor:"8,keyasint,omitempty"`
	// Version is that of its software; "" where it isn't told.
	Version string `cbor:"9,keyasint,omitempty"`
	// WarmUpAt is the position of the entry which told WarmUp, none for one that is warm: a
	// warm-up that begins anew may tell the same time. The View sets it.
	WarmUpAt Position `cbor:"-"`
}

// Incarnation returns which life of the back end this is.
func (b BackEnd) Incarnation() Incarnation { return Incarnation{ID: b.ID, Born: b.Born} }

// Entry is what is known of a back end at a revision of the platform's store.
type Entry struct {
	// BackEnd is the back end. Of one that is gone only the ID counts.
	BackEnd BackEnd `cbor:"1,keyasint"`
	// Gone is true when it is no longer listed.
	Gone bool `cbor:"2,keyasint,omitempty"`
	// Revision and Era are its position, which orders entries of the same back end.
	Revision uint64 `cbor:"3,keyasint"`
	Era      uint64 `cbor:"4,keyasint,omitempty"`
}

func (e Entry) key() string        { return e.BackEnd.ID }
func (e Entry) position() Position { return Position{Era: e.Era, Revision: e.Revision} }
func (e Entry) removed() bool      { return e.Gone }

func (e Entry) asRemoved(position Position) Entry {
	return Entry{BackEnd: e.BackEnd, Gone: true, Revision: position.Revision, Era: position.Era}
}

func (e Entry) withPosition(position Position) Entry {
	e.Revision, e.Era = position.Revision, position.Era
	return e
}

// carrying keeps that a back end leaves: within a life it doesn't come back, and the copy may
// be from before it said so.
func (e Entry) carryOver(known Entry) Entry {
	if !e.Gone && e.BackEnd.Incarnation().Matches(known.BackEnd.Incarnation()) {
		e.BackEnd.Leaving = e.BackEnd.Leaving || known.BackEnd.Leaving
	}
	return e
}

// goesWithoutSaying is true for the countdown of a warm-up: a back end that starts writes a
// new entry with each heartbeat until it is warm, and each would cross every connection
// between gateways.
func (e Entry) needsNoUpdate(known Entry) bool {
	if e.BackEnd.WarmUp >= known.BackEnd.WarmUp {
		return false
	}
	known.BackEnd.WarmUp, known.BackEnd.WarmUpAt = e.BackEnd.WarmUp, e.BackEnd.WarmUpAt
	return e.withPosition(Position{}) == known.withPosition(Position{})
}

// dated returns the entries with the position of their warm-ups.
func withWarmUpPositions(entries []Entry) []Entry {
	list := make([]Entry, len(entries))
	for i, each := range entries {
		if each.BackEnd.WarmUp > 0 {
			each.BackEnd.WarmUpAt = each.position()
		}
		list[i] = each
	}
	return list
}

// View is a gateway's knowledge. Whatever the order in which news arrives, it
// ends with the newest: a configuration is replaced only by a higher version, an
// entry or an order only by one of a later position. So neither a stale read nor a peer
// that lags can take it back. It is not safe for concurrent use.
type View struct {
	eras        *eraState
	index       *Index
	entries     recordSet[Entry]
	evacuations recordSet[Evacuation]
	rollouts    recordSet[Rollout]
	// digest is that of the entries when they were at the version digestOf.
	digest        Digest
	digestVersion uint64
}

// NewView returns an empty view.
func NewView() *View {
	eras := &eraState{settled: true}
	return &View{
		eras: eras, entries: newRecordSet[Entry](eras, alwaysAnnounced),
		evacuations: newRecordSet[Evacuation](eras, math.MaxInt), rollouts: newRecordSet[Rollout](eras, math.MaxInt),
	}
}

// Era returns the highest era of the store that was heard of; 0 for none.
func (v *View) Era() uint64 { return v.eras.era }

// HearEra takes an era that the store or a peer told, and tells whether it is a new one.
// Records from before are then kept though the store may lack them, until SettleEra.
func (v *View) ObserveEra(era uint64) (isNew bool) { return v.eras.observe(era) }

// IgnoreEras orders records by their revision alone; only checks of checks need it.
func (v *View) IgnoreEras() { v.eras.ignored = true }

// SettleEra notes that what a restored store lacked has been written to it again, or is gone:
// the next list says so.
func (v *View) SettleEra(era uint64) {
	if era == v.eras.era {
		v.eras.settled = true
	}
}

// Index returns the configuration in force, or nil before the first.
func (v *View) Index() *Index { return v.index }

// Version returns the version in force, or 0.
func (v *View) Version() uint64 {
	if v.index == nil {
		return 0
	}
	return v.index.Version()
}

// OfferConfiguration adopts a checked document if its version is newer, and
// tells whether it did.
func (v *View) OfferConfiguration(configuration *Configuration) bool {
	if configuration.Version <= v.Version() {
		return false
	}
	v.index = NewIndex(configuration)
	return true
}

// OfferEntries takes changes from a watch or a peer and returns those that were
// news.
func (v *View) OfferEntries(entries []Entry) []Entry {
	return v.entries.offer(withWarmUpPositions(entries))
}

// OfferList takes a complete list that was read at the position. A back end that
// it lacks is gone, unless it was heard of at a later one.
func (v *View) OfferList(entries []Entry, at Position) []Entry {
	return v.entries.offerList(withWarmUpPositions(entries), at)
}

// BackEnds returns those in service, leaving ones included, by ID.
func (v *View) BackEnds() []BackEnd {
	var list []BackEnd
	for _, entry := range v.entries.present() {
		list = append(list, entry.BackEnd)
	}
	return list
}

// Changes returns the number of changes so far.
func (v *View) Changes() uint64 { return v.entries.changes }

// Unannounced returns how many back ends came in such numbers at once that they aren't
// among the changes: who follows these compares digests whenever it grows.
func (v *View) Unannounced() uint64 { return v.entries.unannounced }

// Since returns the entries that changed after the given number of changes, in
// the order of their change, and the number to go on from.
func (v *View) Since(change uint64) ([]Entry, uint64) { return v.entries.since(change) }
