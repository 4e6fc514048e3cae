package dispatch

import "time"

// Notice is what a back end's answer says of the back end itself, whatever becomes of the
// answer.
type Notice struct {
	// Leaving is true when it wants no new work any more. That is true for all gateways, and
	// until its life ends: a platform's store that is away or lists it as ready says nothing
	// against it.
	Leaving bool
	// Rest is for how long it wants nothing from this gateway, which it has just turned away; 0
	// for one that doesn't say. Other gateways aren't bound by it: each is told by itself.
	RetryAfter time.Duration
}

// Heed takes the notice of the answer to the exchange's attempt, and tells whether it is news.
func (c *Core) ApplyNotice(now time.Time, x *Exchange, notice Notice) (changed bool) {
	m := x.current
	if m == nil || c.config.Disabled[RespectNotices] {
		return false
	}
	if notice.RetryAfter > 0 {
		m.health.setRetryAfter(now, notice.RetryAfter)
		changed = true
	}
	if notice.Leaving && c.leaving.add(addressedIncarnationOf(m.backEnd)) {
		c.applyLeaving(now)
		changed = true
	}
	return changed
}

// firstRestEnds returns how long it takes until the first of the members may be asked again that
// want to be left alone and could take the exchange's request; 0 for none. all is set where no
// other member could take it.
func (c *Core) earliestRetry(now time.Time, x *Exchange) (wait time.Duration, all bool) {
	all = true
	for _, m := range c.poolMembers(now, x.service) {
		if !c.acceptsNew(now, x, m) {
			continue
		}
		memberWait := m.health.retryWait(now)
		if memberWait == 0 {
			all = false
		} else if wait == 0 || memberWait < wait {
			wait = memberWait
		}
	}
	return wait, all && wait > 0
}

// LeavingSince returns the lives known from answers to be leaving that a peer may lack which was
// told so many, and the number to go on from.
func (c *Core) LeavingSince(cursor uint64) (incarnations []uint32, next uint64) {
	return c.leaving.since(cursor)
}

// TakeLeaving takes the lives that a peer knows to be leaving, and returns the IDs of those back
// ends of which it is news.
func (c *Core) MergeLeaving(now time.Time, incarnations []uint32) (changed []string, added bool) {
	if c.config.Disabled[RespectNotices] || !c.leaving.merge(incarnations) {
		return nil, false
	}
	return c.applyLeaving(now), true
}

// applyLeaving takes the members that are known from answers to be leaving for such, and returns
// the IDs of those that weren't before.
func (c *Core) applyLeaving(now time.Time) (changed []string) {
	c.forEachMember(func(m *member) {
		before := m.backEnd.Leaving
		if c.noteLeaving(m); m.backEnd.Leaving != before {
			changed = append(changed, m.backEnd.ID)
		}
	})
	c.refreshRollouts(now)
	return changed
}

// noteLeaving takes a member for leaving whose answers have said so, whatever the list says.
func (c *Core) noteLeaving(m *member) {
	if c.leaving.contains(m.backEnd) {
		m.backEnd.Leaving = true
	}
}

// Words returns the number of lives of which gateways have told each other something: it grows
// with each that is news.
func (c *Core) IncarnationUpdates() uint64 { return c.displaced.sequence() + c.leaving.sequence() }
