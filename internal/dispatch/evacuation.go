package dispatch

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// restoration is when the order on a zone was taken back, and at which position of the store.
type restoration struct {
	at       time.Time
	position catalog.Position
}

// SetEvacuated replaces the list of zones whose back ends get nothing new. restored are
// the orders that were taken back: the back ends of these zones may have turned cold while
// they stood idle, and their entries tell so only with the next heartbeat.
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

// coldByRestoration returns until when a back end counts as cold because its zone was
// restored, whatever its entry says.
func (c *Core) coldByRestoration(backEnd catalog.BackEnd) time.Time {
	last, known := c.restored[backEnd.Zone]
	if !known {
		return time.Time{}
	}
	return last.at.Add(c.services[backEnd.Service].WarmUpTime)
}

// knowsRestoration tells whether the entry of a back end was written after its zone was
// restored and tells of a warm-up. One that doesn't may come from before, by a slow watch
// or an old list, and says nothing of the cold that followed.
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
