package dispatch

import "time"

// A back end that crashed may stay listed for seconds, or as long as the store is unavailable,
// while another back end already uses its address. Each request sent there is refused and uses
// up one of the request's attempts. A gateway that finds another back end at the address knows
// for certain that the intended incarnation has ended, and reports that to the other gateways.
// Otherwise each of hundreds of gateways would have to find out about each of a hundred such back
// ends.

// Displaced records that another back end, which identified itself, uses the address of the
// intended one, and decides how to proceed.
func (c *Core) Displaced(now time.Time, x *Exchange) Decision {
	c.displaced.add(addressedIncarnationOf(x.current.backEnd))
	return c.Misdirected(now, x)
}

// DisplacedSince returns the incarnations known to have ended that were recorded after the
// cursor, and the next cursor.
func (c *Core) DisplacedSince(cursor uint64) (incarnations []uint32, next uint64) {
	return c.displaced.since(cursor)
}

// MergeDisplaced merges the incarnations that a peer knows to have ended, and reports whether
// any of them is new.
func (c *Core) MergeDisplaced(incarnations []uint32) (added bool) {
	added = c.displaced.merge(incarnations)
	if added {
		c.forEachMember(c.noteDisplaced)
	}
	return added
}

// noteDisplaced marks the member as displaced if its incarnation is known to have ended.
func (c *Core) noteDisplaced(m *member) {
	if c.displaced.contains(m.backEnd) {
		m.health.displaced = true
	}
}
