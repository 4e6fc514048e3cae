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
	removedAt(position Position) R
	// at returns the same said of another position.
	at(position Position) R
	// carrying returns what a record of a new era says, with what is known since an older one
	// and can't have been taken back.
	carrying(known R) R
	// goesWithoutSaying tells whether who knows the other, older record will find out by
	// itself what this one says.
	goesWithoutSaying(known R) bool
}

const (
	// mostAnnounced is how many new objects an offer may bring for each of them to be
	// numbered as a change, whatever is known already; announcedPart is the part of those
	// known, as one in so many, that it may bring. A change crosses every connection
	// between gateways, 18 to 74 of each in a fleet of hundreds, at 80 bytes. More are asked
	// for, of one peer: that costs processor time on both sides, which a gateway whose
	// neighbours all ask it again with each few new back ends doesn't have.
	mostAnnounced = 8
	announcedPart = 4
)

// maxTombstones bounds the memory for objects that are gone.
const maxTombstones = 4096

// ledger holds the newest record of each object of one kind. Whatever the order in which
// records arrive, it ends with the newest: one is replaced only by that of a later position.
// So neither a stale read nor a peer that lags can take it back.
type ledger[R record[R]] struct {
	records map[string]R
	// epoch is that of the view.
	epoch *epoch
	// changes numbers the changes of records, for readers that follow them.
	changes  uint64
	changeOf map[string]uint64
	// mostAnnounced is how many new objects of one offer are always numbered, and
	// unannounced counts those that weren't.
	mostAnnounced int
	unannounced   uint64
	// order is the keys of removed objects in the order of their removal.
	order []string
}

func newLedger[R record[R]](epoch *epoch, mostAnnounced int) ledger[R] {
	return ledger[R]{records: map[string]R{}, epoch: epoch, changeOf: map[string]uint64{}, mostAnnounced: mostAnnounced}
}

// version is another number whenever other objects are there than before.
func (l *ledger[R]) version() uint64 { return l.changes + l.unannounced }

// offer takes changes from a watch or a peer and returns those that were news.
func (l *ledger[R]) offer(records []R) []R {
	var news []R
	announced := l.areAnnounced(records)
	for _, each := range records {
		if l.offerOne(each, announced) {
			news = append(news, each)
		}
	}
	l.forget()
	return news
}

// offerList takes a complete list that was read at the position. An object that it lacks is
// gone, unless it was heard of at a later one. A list of an era that has ended says nothing.
func (l *ledger[R]) offerList(records []R, at Position) []R {
	if l.epoch.isOutdated(at) {
		return nil
	}
	listed := make(map[string]bool, len(records))
	for _, each := range records {
		listed[each.key()] = true
	}
	news := l.offer(records)
	for _, key := range l.keys() {
		known := l.records[key]
		if listed[key] || known.removed() || !l.tellsRemoval(known, at) {
			continue
		}
		if gone := known.removedAt(at); l.offerOne(gone, true) {
			news = append(news, gone)
		}
	}
	l.forget()
	return news
}

// tellsRemoval tells whether a list of the position that lacks the record says that it is
// gone.
func (l *ledger[R]) tellsRemoval(known R, at Position) bool {
	position := known.position()
	switch {
	case l.epoch.ignored || position.Era == at.Era || !l.epoch.isOutdated(position) && position.Era < at.Era:
		return position.Revision <= at.Revision
	case position.Era < at.Era:
		return l.epoch.settled
	default:
		return false
	}
}

// areAnnounced tells whether those of the records whose objects are new are few enough to
// be numbered as changes.
func (l *ledger[R]) areAnnounced(records []R) bool {
	added := 0
	for _, each := range records {
		if _, exists := l.records[each.key()]; !exists {
			added++
		}
	}
	return added <= max(l.mostAnnounced, len(l.records)/announcedPart)
}

// offerOne applies one record. A new object is numbered as a change only if it is
// announced; what changes about a known one always is.
func (l *ledger[R]) offerOne(offered R, announced bool) bool {
	key := offered.key()
	known, exists := l.records[key]
	if exists && !l.supersedes(offered, known) || !exists && !l.mayBeNew(offered) {
		return false
	}
	if exists && offered.position().Era > known.position().Era {
		offered = offered.carrying(known)
	}
	if offered.removed() && exists {
		offered = known.removedAt(offered.position())
	}
	// The position is kept even where nothing else changed: a record between the two
	// may still arrive, and must not count as newer.
	l.records[key] = offered
	if !exists && !announced {
		l.unannounced++
	} else if !exists || !l.goesWithoutSaying(offered, known) {
		l.changes++
		l.changeOf[key] = l.changes
	}
	if offered.removed() && !(exists && known.removed()) {
		l.order = append(l.order, key)
	}
	return !exists || offered.at(Position{}) != known.at(Position{})
}

// goesWithoutSaying tells whether a change needn't be told: with a new era every record
// changes its position, and whole fleets would tell each other all that they know.
func (l *ledger[R]) goesWithoutSaying(offered, known R) bool {
	if offered.position().Era != known.position().Era && offered.at(known.position()) == known {
		return true
	}
	return offered.goesWithoutSaying(known)
}

// mayBeNew tells whether an object that isn't known may be there by the record. Once an era has
// settled, what was said in an older one and is lacking in it is gone.
func (l *ledger[R]) mayBeNew(offered R) bool {
	return !l.epoch.isOutdated(offered.position()) || !l.epoch.settled && offered.position().Era > 0
}

// supersedes orders records of one object. At equal positions a removal wins: the store
// names the removal of an object by its last revision. Records without an era come from
// software that knows none, and are compared by their revision while the era that this one
// knows is its first.
func (l *ledger[R]) supersedes(offered, known R) bool {
	to, from := offered.position(), known.position()
	if l.epoch.ignored || !l.epoch.restored && (to.Era == 0 || from.Era == 0) {
		to.Era, from.Era = 0, 0
	}
	if to.Era > from.Era && known.removed() && !offered.removed() && !l.epoch.settled {
		// The copy may be from before the removal. The store will tell whether it is so.
		return false
	}
	if order := to.Compare(from); order != 0 {
		return order > 0
	}
	isTold := offered.position().Era > known.position().Era
	return offered.removed() && !known.removed() || isTold && offered.removed() == known.removed()
}

// forget drops the oldest tombstones.
func (l *ledger[R]) forget() {
	for len(l.order) > maxTombstones {
		key := l.order[0]
		l.order = l.order[1:]
		if known, exists := l.records[key]; exists && known.removed() {
			delete(l.records, key)
			delete(l.changeOf, key)
		}
	}
}

func (l *ledger[R]) keys() []string {
	keys := make([]string, 0, len(l.records))
	for key := range l.records {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// present returns the records of objects that are there, by key.
func (l *ledger[R]) present() []R {
	var list []R
	for _, key := range l.keys() {
		if each := l.records[key]; !each.removed() {
			list = append(list, each)
		}
	}
	return list
}

// since returns the records that changed after the given number of changes, in the
// order of their change, and the number to go on from.
func (l *ledger[R]) since(change uint64) ([]R, uint64) {
	var keys []string
	for key, at := range l.changeOf {
		if at > change {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int { return cmp.Compare(l.changeOf[a], l.changeOf[b]) })
	records := make([]R, len(keys))
	for i, key := range keys {
		records[i] = l.records[key]
	}
	return records, l.changes
}
