package dispatch

import "time"

// Notice is what a back end's answer says about the back end itself, independent of the
// request that was answered.
type Notice struct {
	// Leaving is true if the back end wants no new requests. It applies to all gateways and
	// until the incarnation ends: a store that is unavailable, or still lists the back end as
	// ready, doesn't revoke it.
	Leaving bool
	// RetryAfter is how long the back end wants no requests from this gateway, one of which it
	// has just refused; 0 if it didn't say. It doesn't apply to other gateways: the back end
	// asks each gateway separately.
	RetryAfter time.Duration
}

// ApplyNotice applies the notice in the answer to the current attempt. It reports whether the
// notice contained a Retry-After, or an announcement to leave that wasn't known yet.
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

// earliestRetry returns the shortest remaining Retry-After of the members that accept requests
// such as the exchange's; 0 if none of them rests. all is true if there are such members and all
// of them rest.
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

// LeavingSince returns the incarnations that announced in answers that they are leaving and
// were recorded after the cursor, and the next cursor.
func (c *Core) LeavingSince(cursor uint64) (incarnations []uint32, next uint64) {
	return c.leaving.since(cursor)
}

// MergeLeaving merges the incarnations that a peer knows to be leaving. It returns the IDs of
// the back ends that are marked as leaving because of it, and whether any incarnation is new.
func (c *Core) MergeLeaving(now time.Time, incarnations []uint32) (changed []string, added bool) {
	if c.config.Disabled[RespectNotices] || !c.leaving.merge(incarnations) {
		return nil, false
	}
	return c.applyLeaving(now), true
}

// applyLeaving marks all members as leaving that announced it in answers, and returns the IDs
// of those that weren't marked before.
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

// noteLeaving marks the member as leaving if its answers announced it, regardless of the list.
func (c *Core) noteLeaving(m *member) {
	if c.leaving.contains(m.backEnd) {
		m.backEnd.Leaving = true
	}
}

// IncarnationUpdates returns how many incarnations have been recorded as displaced or leaving.
// If it has grown, there is something new to send to peers.
func (c *Core) IncarnationUpdates() uint64 { return c.displaced.sequence() + c.leaving.sequence() }
