package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// minLapsed is the number of lapsed members below which all of them are considered gone. A
// single member that disappears says nothing about the state of the store.
const minLapsed = 2

// lapsedMember is a back end that disappeared from the list without having announced that
// it leaves. A store that recovers from an outage may drop the entries of back ends whose
// heartbeats it could not accept, and list them again with the next heartbeat. So for a
// while the back end may still be running. It is used only while several members of its pool
// have lapsed, and at least as many as remain, because a pool that shrinks normally loses a
// few members at a time. Sending to a lapsed member that is really gone is safe: every
// request names the ID of the back end that it is meant for, and any other back end at the
// address refuses it without running it. If the back end has restarted under the same ID, the
// new incarnation may run the request like any other.
type lapsedMember struct {
	*member
	// until is when the member is considered gone.
	until time.Time
}

// lapse records the members that the new list lacks, except those that were leaving, and
// forgets lapsed members that are listed again or whose time has passed.
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

// knownMember returns the state kept for a back end that is listed again, or nil. A back end
// that has restarted under the same ID is a new one.
func (c *Core) knownMember(of catalog.Incarnation) *member {
	m := c.members[of.ID]
	if m == nil {
		m = c.lapsed[of.ID].member
	}
	if m == nil || !m.backEnd.Incarnation().Matches(of) {
		return nil
	}
	return m
}

// presentMember returns a back end that is listed, or that has lapsed and isn't considered
// gone yet, or nil.
func (c *Core) presentMember(now time.Time, id string) *member {
	if m := c.members[id]; m != nil {
		return m
	}
	if lapsed := c.lapsed[id]; now.Before(lapsed.until) {
		return lapsed.member
	}
	return nil
}

// poolMembers returns a service's members ordered by ID: the listed ones, and also the lapsed
// ones while there are at least as many of them as listed members that aren't leaving.
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
