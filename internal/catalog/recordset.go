package catalog

import (
	"cmp"
	"slices"
)

// record is the state of one named object of the platform's store at a position.
type record[R any] interface {
	comparable
	// key returns the object's name, and position the position of the record.
	key() string
	position() Position
	// removed reports whether the object no longer exists.
	removed() bool
	// asRemoved returns the record of the object's removal at the position.
	asRemoved(position Position) R
	// withPosition returns the same record with another position.
	withPosition(position Position) R
	// carryOver returns this record of a new era, extended by what is known from an older era
	// and can't have been revoked since.
	carryOver(known R) R
	// needsNoUpdate reports whether a gateway that has the older record known arrives at the
	// content of this one without an update.
	needsNoUpdate(known R) bool
}

const (
	// New objects of one offer are numbered as changes if there are at most alwaysAnnounced of
	// them, or at most one for every announcedDivisor records that are already known. Each
	// change is sent over every connection between gateways, of which a gateway has 18 to 74 in
	// a fleet of hundreds, and takes 80 bytes. Larger numbers of new objects are requested from
	// one peer instead. Such requests cost processor time on both sides, and a gateway whose
	// neighbours all sent one for every few new back ends would be overloaded.
	alwaysAnnounced  = 8
	announcedDivisor = 4
)

// maxTombstones limits the number of records of removed objects that are kept, and thus their
// memory.
const maxTombstones = 4096

// recordSet holds the newest record of each object of one kind. A record is replaced only by one
// of a later position, so the set converges to the newest records in whatever order they arrive,
// and neither a stale read nor a lagging peer can undo a change.
type recordSet[R record[R]] struct {
	records map[string]R
	// eras is shared by all record sets of a view.
	eras *eraState
	// changes counts the changes of records, and changeOf has the number of the last change of
	// each record. The numbers are the cursors of updates to peers.
	changes  uint64
	changeOf map[string]uint64
	// alwaysAnnounced is the number of new objects in one offer that are always numbered as
	// changes. unannounced counts the new objects that weren't.
	alwaysAnnounced int
	unannounced     uint64
	// removalOrder holds the keys of removed objects in the order of their removal.
	removalOrder []string
	// listedAt is the latest position of a complete list that was merged.
	listedAt Position
}

func newRecordSet[R record[R]](eras *eraState, alwaysAnnounced int) recordSet[R] {
	return recordSet[R]{records: map[string]R{}, eras: eras, changeOf: map[string]uint64{}, alwaysAnnounced: alwaysAnnounced}
}

// version returns a number that changes whenever an object is added, or changes in a way that
// needs an update.
func (s *recordSet[R]) version() uint64 { return s.changes + s.unannounced }

// offer merges changes from a watch or a peer, and returns those that were new.
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

// offerList merges the complete list of objects at the position, and returns the changes. An
// object that isn't in the list has been removed, unless its record has a later position, or is of
// an earlier era and the current one hasn't settled. A list of an era that has ended is ignored.
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
	if at.Compare(s.listedAt) > 0 {
		s.listedAt = at
	}
	return changed
}

// predatesList reports whether a list that was merged is of the record's position or a later one. If it doesn't have
// the object, the object had been removed by then.
func (s *recordSet[R]) predatesList(position Position) bool {
	hasList := s.listedAt != Position{}
	return hasList && !s.eras.ignored && position.Era == s.listedAt.Era && position.Revision <= s.listedAt.Revision
}

// adds reports whether the records have an object that isn't known to exist and would be added.
func (s *recordSet[R]) adds(records []R) bool {
	return slices.ContainsFunc(records, func(each R) bool {
		known, exists := s.records[each.key()]
		return (!exists || known.removed()) && !each.removed() && s.accepts(each)
	})
}

// accepts reports whether the record is new: it is of an unknown object that may be added, or supersedes the known record.
// An object that a later list doesn't have no longer exists: a stale read, or a peer that was cut off, brings its record
// back. A removal of an earlier era doesn't show that: the list may have had the object, see supersedes.
func (s *recordSet[R]) accepts(offered R) bool {
	known, exists := s.records[offered.key()]
	isAbsent := !exists || known.removed() && known.position().Era == offered.position().Era
	if isAbsent && !offered.removed() && s.predatesList(offered.position()) {
		return false
	}
	if exists {
		return s.supersedes(offered, known)
	}
	return s.mayAdd(offered)
}

// impliesRemoval reports whether a known object has been removed if a list at the position
// doesn't contain it.
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

// shouldAnnounce reports whether the new objects among the records are few enough to be numbered
// as changes.
func (s *recordSet[R]) shouldAnnounce(records []R) bool {
	added := 0
	for _, each := range records {
		if _, exists := s.records[each.key()]; !exists {
			added++
		}
	}
	return added <= max(s.alwaysAnnounced, len(s.records)/announcedDivisor)
}

// offerOne merges one record, and reports whether anything but its position was new. A new object
// is numbered as a change only if announced is set. A change of a known object is always numbered
// if it needs an update.
func (s *recordSet[R]) offerOne(offered R, announced bool) bool {
	key := offered.key()
	known, exists := s.records[key]
	if !s.accepts(offered) {
		return false
	}
	if exists && offered.position().Era > known.position().Era {
		offered = offered.carryOver(known)
	}
	if offered.removed() && exists {
		offered = known.asRemoved(offered.position())
	}
	// The position is stored even if nothing else has changed: a record from between the two
	// positions may still arrive, and must not count as newer.
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

// needsNoUpdate reports whether peers need no update about a change. A new era changes the
// position of every record; if that counted, all gateways of a fleet would send each other all of
// their records.
func (s *recordSet[R]) needsNoUpdate(offered, known R) bool {
	if offered.position().Era != known.position().Era && offered.withPosition(known.position()) == known {
		return true
	}
	return offered.needsNoUpdate(known)
}

// mayAdd reports whether a record of an unknown object may be added. Once an era has settled, an
// object that is known only from an older era no longer exists.
func (s *recordSet[R]) mayAdd(offered R) bool {
	return !s.eras.isOutdated(offered.position()) || !s.eras.settled && offered.position().Era > 0
}

// supersedes reports whether the offered record of an object replaces the known one. At equal
// positions a removal wins, because the store reports a removal with the last revision of the
// object. Records without an era come from software that doesn't know eras. They are compared by
// revision as long as no restore of the store has been observed.
func (s *recordSet[R]) supersedes(offered, known R) bool {
	offeredAt, knownAt := offered.position(), known.position()
	if s.eras.ignored || !s.eras.restored && (offeredAt.Era == 0 || knownAt.Era == 0) {
		offeredAt.Era, knownAt.Era = 0, 0
	}
	if offeredAt.Era > knownAt.Era && known.removed() && !offered.removed() && !s.eras.settled {
		// The store's backup may be older than the removal. Once the era has settled, the store
		// shows whether the object exists.
		return false
	}
	if order := offeredAt.Compare(knownAt); order != 0 {
		return order > 0
	}
	isLaterEra := offered.position().Era > known.position().Era
	return offered.removed() && !known.removed() || isLaterEra && offered.removed() == known.removed()
}

// pruneTombstones drops the oldest records of removed objects.
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

// present returns the records of existing objects, sorted by key.
func (s *recordSet[R]) present() []R {
	var list []R
	for _, key := range s.keys() {
		if each := s.records[key]; !each.removed() {
			list = append(list, each)
		}
	}
	return list
}

// since returns the records that have changed since the cursor, in the order of their last
// change, and the next cursor.
func (s *recordSet[R]) since(cursor uint64) ([]R, uint64) {
	var keys []string
	for key, at := range s.changeOf {
		if at > cursor {
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
