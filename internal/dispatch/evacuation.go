package dispatch

import (
	"slices"
	"time"
)

// SetEvacuated replaces the list of zones whose back ends get nothing new. restored are
// those whose order was taken back: their back ends may have turned cold while they stood
// idle, and their entries tell so only with the next heartbeat.
func (c *Core) SetEvacuated(now time.Time, zones, restored []string) {
	c.evacuated = zones
	c.everyMember(func(m *member) {
		m.evacuated = slices.Contains(zones, m.backEnd.Zone)
		if slices.Contains(restored, m.backEnd.Zone) {
			m.coldUntil = later(m.coldUntil, now.Add(c.services[m.backEnd.Service].WarmUpTime))
		}
	})
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
