package dispatch

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// mostLives bounds the lives of which something is remembered: as many as a zone of a thousand
// back ends may lose at once.
const maxLoggedIncarnations = 1024

// lifeKey stands for a life of a back end at an address.
type addressedIncarnation uint32

func addressedIncarnationOf(backEnd catalog.BackEnd) addressedIncarnation {
	return addressedIncarnation(xxhash.Sum64String(backEnd.ID + "@" + strconv.FormatInt(backEnd.Born, 10) + "@" + backEnd.Address))
}

// lifeSet is lives of back ends of which the same is known, whoever found out. It is told to
// peers by number, as a log.
type incarnationLog struct {
	known map[addressedIncarnation]bool
	// order is that in which they were heard of, and forgotten counts those that had to give
	// way.
	order   []addressedIncarnation
	evicted uint64
}

func newIncarnationLog() incarnationLog {
	return incarnationLog{known: map[addressedIncarnation]bool{}}
}

// add notes a life, and tells whether it is news.
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

// holds tells whether the life that a back end lives is among them.
func (l *incarnationLog) contains(backEnd catalog.BackEnd) bool {
	return len(l.known) > 0 && l.known[addressedIncarnationOf(backEnd)]
}

// number is how many were heard of so far.
func (l *incarnationLog) sequence() uint64 { return l.evicted + uint64(len(l.order)) }

// since returns those that a peer may lack which was told so many, and the number to go on from.
func (l *incarnationLog) since(cursor uint64) (incarnations []uint32, next uint64) {
	for _, each := range l.order[min(max(cursor, l.evicted)-l.evicted, uint64(len(l.order))):] {
		incarnations = append(incarnations, uint32(each))
	}
	return incarnations, l.sequence()
}

// take adds what a peer told, and tells whether any is news.
func (l *incarnationLog) merge(incarnations []uint32) (added bool) {
	for _, each := range incarnations {
		added = l.add(addressedIncarnation(each)) || added
	}
	return added
}
