package dispatch

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// restoration records when this gateway learned that a zone's evacuation was withdrawn, and the
// store position of the withdrawal.
type restoration struct {
	at       time.Time
	position catalog.Position
}

// SetEvacuated replaces the list of zones whose back ends get no new requests. restored are
// evacuations that were withdrawn: the back ends of these zones may have become cold while
// they were idle, and their entries show it only after the next heartbeat.
func (c *Core) SetEvacuated(now time.Time, zones []string, restored []catalog.Evacuation) {
	c.evacuated = zones
	for _, each := range restored {
		c.restored[each.Zone] = restoration{at: now, position: catalog.Position{Era: each.Era, Revision: each.Revision}}
	}
	c.forEachMember(func(m *member) {
		m.evacuated = slices.Contains(zones, m.backEnd.Zone)
		m.coldUntil = later(m.coldUntil, c.coldByRestoration(m.backEnd))
	})
}

// applyRestorations applies the warm-up times of the services to the back ends of restored zones. A gateway that starts may
// hear of a restoration from a peer before it has read the services.
func (c *Core) applyRestorations() {
	c.forEachMember(func(m *member) {
		if !c.coversRestoration(m.backEnd) {
			m.coldUntil = later(m.coldUntil, c.coldByRestoration(m.backEnd))
		}
	})
}

// coldByRestoration returns until when a back end counts as cold because its zone was
// restored, regardless of its entry.
func (c *Core) coldByRestoration(backEnd catalog.BackEnd) time.Time {
	last, known := c.restored[backEnd.Zone]
	if !known {
		return time.Time{}
	}
	return last.at.Add(c.services[backEnd.Service].WarmUpTime)
}

// coversRestoration reports whether a back end's entry is newer than the restoration of its
// zone and states a warm-up. An entry that isn't may have been written before the restoration
// and have arrived late, from a slow watch or an old list. It doesn't account for the warm-up
// that the restoration made necessary.
func (c *Core) coversRestoration(entry catalog.BackEnd) bool {
	return entry.WarmUp > 0 && entry.WarmUpAt.Compare(c.restored[entry.Zone].position) > 0
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
