package dispatch

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// maxLoggedIncarnations bounds an incarnationLog. It covers the loss of a whole zone of a
// thousand back ends at once.
const maxLoggedIncarnations = 1024

// addressedIncarnation identifies an incarnation of a back end at one address.
type addressedIncarnation uint32

func addressedIncarnationOf(backEnd catalog.BackEnd) addressedIncarnation {
	return addressedIncarnation(xxhash.Sum64String(backEnd.ID + "@" + strconv.FormatInt(backEnd.Born, 10) + "@" + backEnd.Address))
}

// incarnationLog is a bounded log of incarnations that share a property, such as having ended,
// regardless of which gateway observed it. Peers read it by sequence number.
type incarnationLog struct {
	known map[addressedIncarnation]bool
	// order lists the incarnations in the order in which they were added, and evicted counts
	// those that were removed to keep the log bounded.
	order   []addressedIncarnation
	evicted uint64
}

func newIncarnationLog() incarnationLog {
	return incarnationLog{known: map[addressedIncarnation]bool{}}
}

// add adds an incarnation, and reports whether it is new.
func (l *incarnationLog) add(incarnation addressedIncarnation) bool {
	if l.known[incarnation] {
		return false
	}
	l.known[incarnation] = true
	l.order = append(l.order, incarnation)
	if len(l.order) > maxLoggedIncarnations {
		delete(l.known, l.order[0])
		l.order = l.order[1:]
		l.evicted++
	}
	return true
}

// contains reports whether the back end's current incarnation and address are in the log.
func (l *incarnationLog) contains(backEnd catalog.BackEnd) bool {
	return len(l.known) > 0 && l.known[addressedIncarnationOf(backEnd)]
}

// sequence returns the number of incarnations added so far.
func (l *incarnationLog) sequence() uint64 { return l.evicted + uint64(len(l.order)) }

// since returns the incarnations added after the cursor, and the next cursor.
func (l *incarnationLog) since(cursor uint64) (incarnations []uint32, next uint64) {
	for _, each := range l.order[min(max(cursor, l.evicted)-l.evicted, uint64(len(l.order))):] {
		incarnations = append(incarnations, uint32(each))
	}
	return incarnations, l.sequence()
}

// merge adds the incarnations that a peer reported, and reports whether any of them is new.
func (l *incarnationLog) merge(incarnations []uint32) (added bool) {
	for _, each := range incarnations {
		added = l.add(addressedIncarnation(each)) || added
	}
	return added
}
