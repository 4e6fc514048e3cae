package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// fewestLapsed is the number of lapsed members below which all count as gone: one
// that vanishes by itself tells nothing of the store.
const minLapsed = 2

// lapsedMember is a back end that vanished from the list without having said that
// it leaves. A store that comes back from an outage may drop the entries of back
// ends whose heartbeats it could not take, and list them again with the next
// heartbeat, so for a while it may still be there. It is used only while several
// of its pool have lapsed, and at least as many as are left, since a pool that
// shrinks in the usual way loses a few at a time. Sending to one that has truly
// gone is safe: every send names the incarnation it is meant for, and another one
// refuses it unrun.
type lapsedMember struct {
	*member
	// until is when it is taken for gone.
	until time.Time
}

// lapse notes the members that the new list lacks, and drops from memory those
// that are listed again or whose time has passed.
func (c *Core) lapse(now time.Time, listed map[string]*member) {
	for id, lapsed := range c.lapsed {
		if listed[id] != nil || !now.Before(lapsed.until) {
			delete(c.lapsed, id)
		}
	}
	if c.config.Disabled[Lapse] {
		return
	}
	for id, known := range c.members {
		if listed[id] == nil && !known.backEnd.Leaving {
			c.lapsed[id] = lapsedMember{member: known, until: now.Add(c.config.LapseTime)}
		}
	}
}

// remembered returns what is believed of a back end that is listed again, or nil: one that
// has started again under its ID is another.
func (c *Core) knownMember(of catalog.Incarnation) *member {
	m := c.members[of.ID]
	if m == nil {
		m = c.lapsed[of.ID].member
	}
	if m == nil || !m.backEnd.Incarnation().IsSame(of) {
		return nil
	}
	return m
}

// present returns a back end that is listed, or lapsed and not yet taken for gone,
// or nil.
func (c *Core) presentMember(now time.Time, id string) *member {
	if m := c.members[id]; m != nil {
		return m
	}
	if lapsed := c.lapsed[id]; now.Before(lapsed.until) {
		return lapsed.member
	}
	return nil
}

// poolOf returns a service's members by ID: the listed ones, and the lapsed ones
// too while those are as many as the listed ones that stay.
func (c *Core) poolMembers(now time.Time, service string) []*member {
	var listed []*member
	if pool := c.pools[service]; pool != nil {
		listed = pool.members
	}
	if len(c.lapsed) == 0 {
		return listed
	}
	staying := 0
	for _, m := range listed {
		if !m.backEnd.Leaving {
			staying++
		}
	}
	var lapsed []*member
	for _, each := range c.lapsed {
		if each.backEnd.Service == service && now.Before(each.until) {
			lapsed = append(lapsed, each.member)
		}
	}
	if len(lapsed) < max(minLapsed, staying) {
		return listed
	}
	return sortedByID(slices.Concat(listed, lapsed))
}

func sortedByID(members []*member) []*member {
	slices.SortFunc(members, func(a, b *member) int { return strings.Compare(a.backEnd.ID, b.backEnd.ID) })
	return members
}
