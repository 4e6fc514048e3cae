package dispatch

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// A back end that crashed may stay listed for seconds, or for as long as the platform's store is
// away, while another one has its address. Each send there is refused, and uses up one of the
// attempts that the request has. Whoever meets another back end at the address knows for certain
// that the life which was meant has ended, and tells the other gateways: each of hundreds would
// otherwise find out by itself about each of a hundred such back ends.

// mostDisplaced bounds the lives that are remembered to have ended: as many as a zone of a
// thousand back ends may lose at once.
const mostDisplaced = 1024

// lifeKey stands for a life of a back end at an address.
type lifeKey uint32

func lifeOf(backEnd catalog.BackEnd) lifeKey {
	return lifeKey(xxhash.Sum64String(backEnd.ID + "@" + strconv.FormatInt(backEnd.Born, 10) + "@" + backEnd.Address))
}

// displacements are the lives of back ends that have ended though they are listed.
type displacements struct {
	known map[lifeKey]bool
	// order is that in which they were heard of, and forgotten counts those that had to give
	// way.
	order     []lifeKey
	forgotten uint64
}

func newDisplacements() displacements { return displacements{known: map[lifeKey]bool{}} }

// add notes the end of a life, and tells whether it is news.
func (d *displacements) add(life lifeKey) bool {
	if d.known[life] {
		return false
	}
	d.known[life] = true
	d.order = append(d.order, life)
	if len(d.order) > mostDisplaced {
		delete(d.known, d.order[0])
		d.order = d.order[1:]
		d.forgotten++
	}
	return true
}

// number is how many were heard of so far.
func (d *displacements) number() uint64 { return d.forgotten + uint64(len(d.order)) }

// since returns those after a number.
func (d *displacements) since(number uint64) []lifeKey {
	return d.order[min(max(number, d.forgotten)-d.forgotten, uint64(len(d.order))):]
}

// Displaced notes that another back end, which told its ID, has the address of the one that was
// meant, and decides what follows.
func (c *Core) Displaced(now time.Time, x *Exchange) Decision {
	c.displacements.add(lifeOf(x.current.backEnd))
	return c.Misdirected(now, x)
}

// Displacements returns the number of lives that are known to have ended.
func (c *Core) Displacements() uint64 { return c.displacements.number() }

// DisplacedSince returns the lives known to have ended that a peer may lack which was told so
// many, and the number to go on from.
func (c *Core) DisplacedSince(told uint64) (lives []uint32, number uint64) {
	for _, each := range c.displacements.since(told) {
		lives = append(lives, uint32(each))
	}
	return lives, c.displacements.number()
}

// TakeDisplaced takes the lives that a peer knows to have ended, and tells whether any is news.
func (c *Core) TakeDisplaced(lives []uint32) (isNews bool) {
	for _, each := range lives {
		isNews = c.displacements.add(lifeKey(each)) || isNews
	}
	if isNews {
		c.everyMember(c.noteDisplaced)
	}
	return isNews
}

// noteDisplaced takes a member for gone whose life is known to have ended.
func (c *Core) noteDisplaced(m *member) {
	if len(c.displacements.known) > 0 && c.displacements.known[lifeOf(m.backEnd)] {
		m.health.displaced = true
	}
}
