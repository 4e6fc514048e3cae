package dispatch

import "time"

// A back end that crashed may stay listed for seconds, or for as long as the platform's store is
// away, while another one has its address. Each send there is refused, and uses up one of the
// attempts that the request has. Whoever meets another back end at the address knows for certain
// that the life which was meant has ended, and tells the other gateways: each of hundreds would
// otherwise find out by itself about each of a hundred such back ends.

// Displaced notes that another back end, which told its ID, has the address of the one that was
// meant, and decides what follows.
func (c *Core) Displaced(now time.Time, x *Exchange) Decision {
	c.displaced.add(addressedIncarnationOf(x.current.backEnd))
	return c.Misdirected(now, x)
}

// DisplacedSince returns the lives known to have ended that a peer may lack which was told so
// many, and the number to go on from.
func (c *Core) DisplacedSince(cursor uint64) (incarnations []uint32, next uint64) {
	return c.displaced.since(cursor)
}

// TakeDisplaced takes the lives that a peer knows to have ended, and tells whether any is news.
func (c *Core) MergeDisplaced(incarnations []uint32) (added bool) {
	added = c.displaced.merge(incarnations)
	if added {
		c.forEachMember(c.noteDisplaced)
	}
	return added
}

// noteDisplaced takes a member for gone whose life is known to have ended.
func (c *Core) noteDisplaced(m *member) {
	if c.displaced.contains(m.backEnd) {
		m.health.displaced = true
	}
}
