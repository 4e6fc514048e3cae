package dispatch

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// mostLives bounds the lives of which something is remembered: as many as a zone of a thousand
// back ends may lose at once.
const mostLives = 1024

// lifeKey stands for a life of a back end at an address.
type lifeKey uint32

func lifeOf(backEnd catalog.BackEnd) lifeKey {
	return lifeKey(xxhash.Sum64String(backEnd.ID + "@" + strconv.FormatInt(backEnd.Born, 10) + "@" + backEnd.Address))
}

// lifeSet is lives of back ends of which the same is known, whoever found out. It is told to
// peers by number, as a log.
type lifeSet struct {
	known map[lifeKey]bool
	// order is that in which they were heard of, and forgotten counts those that had to give
	// way.
	order     []lifeKey
	forgotten uint64
}

func newLifeSet() lifeSet { return lifeSet{known: map[lifeKey]bool{}} }

// add notes a life, and tells whether it is news.
func (s *lifeSet) add(life lifeKey) bool {
	if s.known[life] {
		return false
	}
	s.known[life] = true
	s.order = append(s.order, life)
	if len(s.order) > mostLives {
		delete(s.known, s.order[0])
		s.order = s.order[1:]
		s.forgotten++
	}
	return true
}

// holds tells whether the life that a back end lives is among them.
func (s *lifeSet) holds(backEnd catalog.BackEnd) bool {
	return len(s.known) > 0 && s.known[lifeOf(backEnd)]
}

// number is how many were heard of so far.
func (s *lifeSet) number() uint64 { return s.forgotten + uint64(len(s.order)) }

// since returns those that a peer may lack which was told so many, and the number to go on from.
func (s *lifeSet) since(told uint64) (lives []uint32, number uint64) {
	for _, each := range s.order[min(max(told, s.forgotten)-s.forgotten, uint64(len(s.order))):] {
		lives = append(lives, uint32(each))
	}
	return lives, s.number()
}

// take adds what a peer told, and tells whether any is news.
func (s *lifeSet) take(lives []uint32) (isNews bool) {
	for _, each := range lives {
		isNews = s.add(lifeKey(each)) || isNews
	}
	return isNews
}
