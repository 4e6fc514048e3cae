package dispatch

import "time"

// A back end can copy what it lacks of a prompt from another one, for about a tenth of what
// reading it anew costs the callers beside. Each send names one back end to copy from, a
// guess that costs nothing where it is wrong: the target copies only what it lacks and the
// source keeps.

const (
	// newcomerLead is how much longer than the target the source must have been known for
	// the target to count as one that took its place.
	newcomerAgeGap = 10 * time.Second
	// holdersSettle is how long after its start a gateway doesn't know who holds what, or
	// which members are newcomers: its peers tell within seconds, or have restarted as well.
	holderLearningTime = 10 * time.Second
)

// fetchSource returns the address of a back end from which the chosen one can copy the
// prompt's shared parts instead of reading them, or "": the last one known to have read all
// of them, else the likeliest.
func (c *Core) copySource(now time.Time, x *Exchange, chosen *member) string {
	part := x.request.affinity()
	if part == "" || c.config.Disabled[Copying] {
		return ""
	}
	if m := c.usableHolder(now, keyOf(part), chosen); m != nil {
		return m.backEnd.Address
	}
	first, isBefore := c.firstRanked(now, x, chosen)
	if first == nil {
		return ""
	}
	if !isBefore && c.hasLongRankedFirst(now, chosen, first) {
		if m := c.prefixHolder(now, x, chosen); m != nil {
			return m.backEnd.Address
		}
	}
	return first.backEnd.Address
}

// knowsPlaceOf tells whether the target, which is the first in order, has been so for long,
// as far as this gateway can tell: then the next in order read nothing in its place.
func (c *Core) hasLongRankedFirst(now time.Time, target, next *member) bool {
	isNewcomer := target.firstSeen.Sub(next.firstSeen) >= newcomerAgeGap
	return !isNewcomer && now.Sub(c.listedAt) >= holderLearningTime
}

// mayCopyFrom tells whether a back end can be a source for the target.
func canCopyFrom(now time.Time, m, target *member) bool {
	return m != nil && m != target && m.health.reachable(now)
}

// usableHolder returns the back end that was last known to have read the part and that the
// target can copy from, or nil.
func (c *Core) usableHolder(now time.Time, part partKey, target *member) *member {
	for _, holder := range c.holders.holdersOf(now, part) {
		m := c.presentMember(now, holder.ID)
		if canCopyFrom(now, m, target) && m.backEnd.Incarnation().IsSame(holder) {
			return m
		}
	}
	return nil
}

// firstInOrder returns the first in rendezvous order of all members that the target can copy
// from, leaving ones included, and whether it comes before the target. After all gateways
// have restarted, or where the target has joined, it is the one that read the part.
func (c *Core) firstRanked(now time.Time, x *Exchange, target *member) (first *member, isBefore bool) {
	isBefore = true
	c.order.ranking.rank(x.request.affinity(), c.poolMembers(now, x.service), func(*member) bool { return false })
	for m := c.order.ranking.next(); m != nil; m = c.order.ranking.next() {
		if m == target {
			isBefore = false
		}
		if canCopyFrom(now, m, target) {
			return m, isBefore
		}
	}
	return nil, false
}

// prefixHolder returns a back end that holds the longest beginning of the prompt that any is
// known to hold, or nil. While caches fill, each back end meets the same few beginnings with
// ever new continuations; read at each of them, they were 170,000 of the 280,000 shared
// tokens that 42 engines read again on a quiet day.
func (c *Core) prefixHolder(now time.Time, x *Exchange, target *member) *member {
	if c.config.Disabled[PrefixCopies] {
		return nil
	}
	prefixes := x.request.shorterPrefixes()
	for i := len(prefixes) - 1; i >= 0; i-- {
		if m := c.usableHolder(now, keyOf(prefixes[i].ID), target); m != nil {
			return m
		}
	}
	return nil
}

// notePrefixes takes a back end as a holder of the prompt's beginnings where no other is
// known. One is enough: soon nearly all hold them.
func (c *Core) notePrefixes(now time.Time, x *Exchange, m *member) {
	if c.config.Disabled[PrefixCopies] {
		return
	}
	for _, part := range x.request.shorterPrefixes() {
		if key := keyOf(part.ID); c.usableHolder(now, key, nil) == nil {
			c.holders.notePrefix(now, key, m.backEnd.Incarnation())
		}
	}
}
