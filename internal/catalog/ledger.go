package catalog

import (
	"cmp"
	"slices"
)

// record is what is known of one named object of the platform's store at a revision.
type record[R any] interface {
	comparable
	// key is the object's name, and position that of what is said of it.
	key() string
	position() Position
	// removed is true when the object is no longer there.
	removed() bool
	// removedAt returns what is said of the same object once it is gone.
	asRemoved(position Position) R
	// at returns the same said of another position.
	withPosition(position Position) R
	// carrying returns what a record of a new era says, with what is known since an older one
	// and can't have been taken back.
	carryOver(known R) R
	// goesWithoutSaying tells whether who knows the other, older record will find out by
	// itself what this one says.
	needsNoUpdate(known R) bool
}

const (
	// mostAnnounced is how many new objects an offer may bring for each of them to be
	// numbered as a change, whatever is known already; announcedPart is the part of those
	// known, as one in so many, that it may bring. A change crosses every connection
	// between gateways, 18 to 74 of each in a fleet of hundreds, at 80 bytes. More are asked
	// for, of one peer: that costs processor time on both sides, which a gateway whose
	// neighbours all ask it again with each few new back ends doesn't have.
	alwaysAnnounced  = 8
	announcedDivisor = 4
)

// maxTombstones bounds the memory for objects that are gone.
const maxTombstones = 4096

// ledger holds the newest record of each object of one kind. Whatever the order in which
// records arrive, it ends with the newest: one is replaced only by that of a later position.
// So neither a stale read nor a peer that lags can take it back.
type recordSet[R record[R]] struct {
	records map[string]R
	// epoch is that of the view.
	eras *eraState
	// changes numbers the changes of records, for readers that follow them.
	changes  uint64
	changeOf map[string]uint64
	// mostAnnounced is how many new objects of one offer are always numbered, and
	// unannounced counts those that weren't.
	alwaysAnnounced int
	unannounced     uint64
	// order is the keys of removed objects in the order of their removal.
	removalOrder []string
}

func newRecordSet[R record[R]](eras *eraState, alwaysAnnounced int) recordSet[R] {
	return recordSet[R]{records: map[string]R{}, eras: eras, changeOf: map[string]uint64{}, alwaysAnnounced: alwaysAnnounced}
}

// version is another number whenever other objects are there than before.
func (s *recordSet[R]) version() uint64 { return s.changes + s.unannounced }

// offer takes changes from a watch or a peer and returns those that were news.
func (s *recordSet[R]) offer(records []R) []R {
	var changed []R
	announced := s.shouldAnnounce(records)
	for _, each := range records {
		if s.offerOne(each, announced) {
			changed = append(changed, each)
		}
	}
	s.pruneTombstones()
	return changed
}

// offerList takes a complete list that was read at the position. An object that it lacks is
// gone, unless it was heard of at a later one. A list of an era that has ended says nothing.
func (s *recordSet[R]) offerList(records []R, at Position) []R {
	if s.eras.isOutdated(at) {
		return nil
	}
	listed := make(map[string]bool, len(records))
	for _, each := range records {
		listed[each.key()] = true
	}
	changed := s.offer(records)
	for _, key := range s.keys() {
		known := s.records[key]
		if listed[key] || known.removed() || !s.impliesRemoval(known, at) {
			continue
		}
		if gone := known.asRemoved(at); s.offerOne(gone, true) {
			changed = append(changed, gone)
		}
	}
	s.pruneTombstones()
	return changed
}

// tellsRemoval tells whether a list of the position that lacks the record says that it is
// gone.
func (s *recordSet[R]) impliesRemoval(known R, at Position) bool {
	position := known.position()
	switch {
	case s.eras.ignored || position.Era == at.Era || !s.eras.isOutdated(position) && position.Era < at.Era:
		return position.Revision <= at.Revision
	case position.Era < at.Era:
		return s.eras.settled
	default:
		return false
	}
}

// areAnnounced tells whether those of the records whose objects are new are few enough to
// be numbered as changes.
func (s *recordSet[R]) shouldAnnounce(records []R) bool {
	added := 0
	for _, each := range records {
		if _, exists := s.records[each.key()]; !exists {
			added++
		}
	}
	return added <= max(s.alwaysAnnounced, len(s.records)/announcedDivisor)
}

// offerOne applies one record. A new object is numbered as a change only if it is
// announced; what changes about a known one always is.
func (s *recordSet[R]) offerOne(offered R, announced bool) bool {
	key := offered.key()
	known, exists := s.records[key]
	if exists && !s.supersedes(offered, known) || !exists && !s.mayAdd(offered) {
		return false
	}
	if exists && offered.position().Era > known.position().Era {
		offered = offered.carryOver(known)
	}
	if offered.removed() && exists {
		offered = known.asRemoved(offered.position())
	}
	// The position is kept even where nothing else changed: a record between the two
	// may still arrive, and must not count as newer.
	s.records[key] = offered
	if !exists && !announced {
		s.unannounced++
	} else if !exists || !s.needsNoUpdate(offered, known) {
		s.changes++
		s.changeOf[key] = s.changes
	}
	if offered.removed() && !(exists && known.removed()) {
		s.removalOrder = append(s.removalOrder, key)
	}
	return !exists || offered.withPosition(Position{}) != known.withPosition(Position{})
}

// goesWithoutSaying tells whether a change needn't be told: with a new era every record
// changes its position, and whole fleets would tell each other all that they know.
func (s *recordSet[R]) needsNoUpdate(offered, known R) bool {
	if offered.position().Era != known.position().Era && offered.withPosition(known.position()) == known {
		return true
	}
	return offered.needsNoUpdate(known)
}

// mayBeNew tells whether an object that isn't known may be there by the record. Once an era has
// settled, what was said in an older one and is lacking in it is gone.
func (s *recordSet[R]) mayAdd(offered R) bool {
	return !s.eras.isOutdated(offered.position()) || !s.eras.settled && offered.position().Era > 0
}

// supersedes orders records of one object. At equal positions a removal wins: the store
// names the removal of an object by its last revision. Records without an era come from
// software that knows none, and are compared by their revision while the era that this one
// knows is its first.
func (s *recordSet[R]) supersedes(offered, known R) bool {
	offeredAt, knownAt := offered.position(), known.position()
	if s.eras.ignored || !s.eras.restored && (offeredAt.Era == 0 || knownAt.Era == 0) {
		offeredAt.Era, knownAt.Era = 0, 0
	}
	if offeredAt.Era > knownAt.Era && known.removed() && !offered.removed() && !s.eras.settled {
		// The copy may be from before the removal. The store will tell whether it is so.
		return false
	}
	if order := offeredAt.Compare(knownAt); order != 0 {
		return order > 0
	}
	isLaterEra := offered.position().Era > known.position().Era
	return offered.removed() && !known.removed() || isLaterEra && offered.removed() == known.removed()
}

// forget drops the oldest tombstones.
func (s *recordSet[R]) pruneTombstones() {
	for len(s.removalOrder) > maxTombstones {
		key := s.removalOrder[0]
		s.removalOrder = s.removalOrder[1:]
		if known, exists := s.records[key]; exists && known.removed() {
			delete(s.records, key)
			delete(s.changeOf, key)
		}
	}
}

func (s *recordSet[R]) keys() []string {
	keys := make([]string, 0, len(s.records))
	for key := range s.records {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// present returns the records of objects that are there, by key.
func (s *recordSet[R]) present() []R {
	var list []R
	for _, key := range s.keys() {
		if each := s.records[key]; !each.removed() {
			list = append(list, each)
		}
	}
	return list
}

// since returns the records that changed after the given number of changes, in the
// order of their change, and the number to go on from.
func (s *recordSet[R]) since(change uint64) ([]R, uint64) {
	var keys []string
	for key, at := range s.changeOf {
		if at > change {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(s.changeOf[a], s.changeOf[b]) })
	records := make([]R, len(keys))
	for i, key := range keys {
		records[i] = s.records[key]
	}
	return records, s.changes
}
