package catalog

import (
	"math"
	"slices"
	"time"
)

// Incarnation identifies one run of a back end. A back end may restart under the same ID, and
// then has none of the state of its earlier run.
type Incarnation struct {
	// ID is the back end's ID.
	ID string
	// Born is the start time in milliseconds since 1970 by the back end's clock; 0 if unknown.
	// The clock may step back, so start times distinguish incarnations but don't order them.
	Born int64
}

// Matches reports whether both may be the same incarnation. An unknown start time matches any,
// because software that doesn't report the start time may run next to software that does.
func (i Incarnation) Matches(other Incarnation) bool {
	return i.ID == other.ID && (i.Born == other.Born || i.Born == 0 || other.Born == 0)
}

// BackEnd describes one incarnation of a back end. A restart begins a new incarnation.
type BackEnd struct {
	// ID is the back end's ID.
	ID string `cbor:"1,keyasint"`
	// Service is the pool that it belongs to.
	Service string `cbor:"2,keyasint"`
	// Address is its IP address and port. Another back end may get the same address later.
	Address string `cbor:"3,keyasint"`
	// Zone is the zone in which it runs.
	Zone string `cbor:"4,keyasint"`
	// Slots is the number of requests that it processes concurrently; 0 if unknown.
	Slots int `cbor:"5,keyasint,omitempty"`
	// Leaving is true once it takes no new requests.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// WarmUp is the remaining time of its warm-up when the entry was written; 0 if it is warm.
	// During the warm-up it can serve only few requests per second.
	WarmUp time.Duration `cbor:"7,keyasint,omitempty"`
	// Born is the start time of this incarnation in milliseconds since 1970 by the back end's
	// clock; 0 if unknown. A back end may restart under the same ID.
	Born int64 `cbor:"8,keyasint,omitempty"`
	// Version is the version of its software; "" if unknown.
	Version string `cbor:"9,keyasint,omitempty"`
	// WarmUpAt is the position of the entry that stated WarmUp, or zero for a warm back end. It
	// distinguishes a warm-up that begins again from an earlier one with the same time left. The
	// View sets it.
	WarmUpAt Position `cbor:"-"`
}

// Incarnation returns the identity of this incarnation.
func (b BackEnd) Incarnation() Incarnation { return Incarnation{ID: b.ID, Born: b.Born} }

// Entry is the record of a back end as of a position in the history of the platform's store.
type Entry struct {
	// BackEnd is the back end. If it is gone, only the ID is significant.
	BackEnd BackEnd `cbor:"1,keyasint"`
	// Gone is true once the back end is no longer listed.
	Gone bool `cbor:"2,keyasint,omitempty"`
	// Revision and Era are the position, which orders the entries of a back end.
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

// carryOver keeps the information that a back end is leaving. An incarnation that is leaving
// never returns to service, and the store's backup may be older than its announcement to leave.
func (e Entry) carryOver(known Entry) Entry {
	if !e.Gone && e.BackEnd.Incarnation().Matches(known.BackEnd.Incarnation()) {
		e.BackEnd.Leaving = e.BackEnd.Leaving || known.BackEnd.Leaving
	}
	return e
}

// needsNoUpdate is true for the countdown of a warm-up. A back end that has started writes a new
// entry with each heartbeat until it is warm, and each would be sent over every connection
// between gateways.
func (e Entry) needsNoUpdate(known Entry) bool {
	if e.BackEnd.WarmUp >= known.BackEnd.WarmUp {
		return false
	}
	known.BackEnd.WarmUp, known.BackEnd.WarmUpAt = e.BackEnd.WarmUp, e.BackEnd.WarmUpAt
	return e.withPosition(Position{}) == known.withPosition(Position{})
}

// withWarmUpPositions returns the entries with WarmUpAt set.
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

// View is a gateway's view of the fleet. A configuration is replaced only by one of a higher
// version, and an entry or an order only by one of a later position. So the view converges to the
// newest state in whatever order updates arrive, and neither a stale read nor a lagging peer can
// undo a change. It is not safe for concurrent use.
type View struct {
	eras        *eraState
	index       *Index
	entries     recordSet[Entry]
	evacuations recordSet[Evacuation]
	rollouts    recordSet[Rollout]
	// digest is the digest of the entries at the version digestVersion.
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

// Era returns the highest era of the store that has been observed; 0 for none.
func (v *View) Era() uint64 { return v.eras.era }

// ObserveEra processes an era reported by the store or a peer, and reports whether it is new. If
// so, records of earlier eras are kept until SettleEra, even if the store lacks them.
func (v *View) ObserveEra(era uint64) (isNew bool) { return v.eras.observe(era) }

// IgnoreEras makes the view order records by revision only. It is for tests which verify that the
// checks detect this.
func (v *View) IgnoreEras() { v.eras.ignored = true }

// SettleEra records that everything that the restored store lacked has been written again or no
// longer exists. From then on, objects that are missing in a list count as removed. If a later era
// has been observed, it does nothing.
func (v *View) SettleEra(era uint64) {
	if era == v.eras.era {
		v.eras.settled = true
	}
}

// Index returns the index of the current configuration, or nil if there is none yet.
func (v *View) Index() *Index { return v.index }

// Version returns the version of the current configuration, or 0.
func (v *View) Version() uint64 {
	if v.index == nil {
		return 0
	}
	return v.index.Version()
}

// OfferConfiguration adopts a checked configuration if its version is newer, or if it is the current
// version and completes the current document. It reports whether it did.
func (v *View) OfferConfiguration(configuration *Configuration) bool {
	isNewer := configuration.Version > v.Version()
	if !isNewer && !v.completes(configuration) {
		return false
	}
	v.index = NewIndex(configuration)
	return true
}

// completes reports whether the configuration is of the current version and states what the current document
// doesn't: the key policy, or limits on heads and idle connections. A document that a gateway of an earlier build
// passed on has neither.
func (v *View) completes(configuration *Configuration) bool {
	if v.index == nil || configuration.Version != v.Version() {
		return false
	}
	statesPolicy := configuration.KeyPolicy() != KeyPolicyUnknown
	if !v.KnowsKeyPolicy() {
		return statesPolicy
	}
	return statesPolicy && configuration.Limits.setsConnectionLimits() && !v.index.Configuration().Limits.setsConnectionLimits()
}

// KnowsKeyPolicy reports whether there is a configuration and it says whether requests need a key.
func (v *View) KnowsKeyPolicy() bool {
	return v.index != nil && v.index.KeyPolicy() != KeyPolicyUnknown
}

// OfferEntries merges changes from a watch or a peer, and returns those that were new.
func (v *View) OfferEntries(entries []Entry) []Entry {
	return v.entries.offer(withWarmUpPositions(entries))
}

// OfferList merges the complete list of back ends at the position, and returns the changes. A
// back end that isn't in the list is gone, unless its entry has a later position, or is of an
// earlier era and the current one hasn't settled.
func (v *View) OfferList(entries []Entry, at Position) []Entry {
	return v.entries.offerList(withWarmUpPositions(entries), at)
}

// AddsBackEnds reports whether a list has back ends that the view doesn't know and would add, of the buckets.
func (v *View) AddsBackEnds(entries []Entry, of Buckets) bool {
	return v.entries.adds(slices.DeleteFunc(slices.Clone(entries), func(each Entry) bool { return !of.Has(bucketOf(each.BackEnd.ID)) }))
}

// AddsEvacuations and AddsRollouts report whether a list has orders that the view doesn't know and would add.
func (v *View) AddsEvacuations(evacuations []Evacuation) bool { return v.evacuations.adds(evacuations) }
func (v *View) AddsRollouts(rollouts []Rollout) bool          { return v.rollouts.adds(rollouts) }

// LatestList returns the latest position of the lists that were merged, of any kind.
func (v *View) LatestList() Position {
	return slices.MaxFunc([]Position{v.entries.listedAt, v.evacuations.listedAt, v.rollouts.listedAt}, Position.Compare)
}

// ObserveFreshList processes the position of a list that wasn't stale. before is what LatestList returned before the list
// was read. If the list is older than that, the store was restored and assigns revisions again, so the positions of earlier
// lists are forgotten. A store that sends eras reports a restore by a new era instead.
func (v *View) ObserveFreshList(before, at Position) {
	if at.Era == 0 && at.Compare(before) < 0 {
		v.entries.listedAt, v.evacuations.listedAt, v.rollouts.listedAt = Position{}, Position{}, Position{}
	}
}

// BackEnds returns the back ends in service, including leaving ones, sorted by ID.
func (v *View) BackEnds() []BackEnd {
	var list []BackEnd
	for _, entry := range v.entries.present() {
		list = append(list, entry.BackEnd)
	}
	return list
}

// Changes returns the number of changes so far, which is the current cursor for Since.
func (v *View) Changes() uint64 { return v.entries.changes }

// Unannounced returns the number of back ends that were added in groups too large to be numbered
// as changes. A sender of changes must also send the digest whenever it has grown.
func (v *View) Unannounced() uint64 { return v.entries.unannounced }

// Since returns the entries that have changed since the cursor, in the order of their last
// change, and the next cursor.
func (v *View) Since(cursor uint64) ([]Entry, uint64) { return v.entries.since(cursor) }
