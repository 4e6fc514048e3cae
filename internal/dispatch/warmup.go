package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/routing"
)

// A back end that has just started, or says that it is cold again, bears few requests a
// second from all gateways together, and falls over above. Gateways can't ask each other
// before each request, so the limit is divided without a message: for each back end that
// warms up, a few gateways are drawn by rendezvous hashing over the known ones, and only
// those send there, each a fixed number of requests in any second. Dividing it among all
// gateways fails where there are more gateways than requests: each share is then below
// one request, and a share can't be spent in parts.
//
// Gateways whose lists differ draw different ones. So gateways that have fallen silent
// keep their share, one whose list has just grown sends nothing there, and part of the
// limit isn't given away at all.

const (
	// givenShare is the part of a limit that is divided among gateways. The rest covers
	// gateways whose lists differ. A higher share serves more from back ends that warm up.
	allocatedShare = 0.8
	// fewestEach is the share of a drawn gateway, in requests, as long as there are
	// enough gateways: one request would leave it idle for most of each second.
	requestsPerGateway = 2
	// warmUpWindow is the time in which a gateway sends its share at most: the second of
	// the limit, and what a request may be delayed here between its decision and its
	// sending.
	warmUpWindow = 1100 * time.Millisecond
	// fleetSettles is how long the list of gateways mustn't have grown before a draw
	// counts. A process that has just started knows few of the others, and one that it
	// replaces may have sent its share a moment ago.
	fleetSettleTime = 2 * time.Second
	// aloneAfter is how long a gateway must have known nobody to take itself for alone
	// where its settings name no other: others that start with it may try it again only
	// seconds later.
	soleGatewayDelay = 10 * time.Second
)

// Fleet is what a gateway knows of the others.
type Fleet struct {
	// Self is its own ID.
	Self string
	// Known are the others heard of in the last minutes, silent ones included.
	Known []string
	// HasSeeds is true when the settings name others: a gateway that has seeds and knows
	// nobody isn't alone.
	HasSeeds bool
}

// draw is the list of gateways among which those are drawn that may use a back end that
// warms up.
type gatewaySelection struct {
	self   uint64
	others map[string]uint64
	// hasSeeds is that of Fleet.
	hasSeeds bool
	// grewAt is when a gateway was added last, and version counts the changes.
	grewAt  time.Time
	version int
}

// SetFleet replaces the list of known gateways.
func (c *Core) SetFleet(now time.Time, fleet Fleet) {
	c.selection.hasSeeds = fleet.HasSeeds
	if c.selection.matches(fleet) {
		return
	}
	others := make(map[string]uint64, len(fleet.Known))
	grew := c.selection.others == nil
	for _, id := range fleet.Known {
		if _, known := c.selection.others[id]; !known {
			grew = true
		}
		others[id] = xxhash.Sum64String(id)
	}
	c.selection.self = xxhash.Sum64String(fleet.Self)
	c.selection.others = others
	c.selection.version++
	if grew {
		c.selection.grewAt = now
	}
}

// isOf tells whether the draw is among the gateways of the fleet.
func (s *gatewaySelection) matches(fleet Fleet) bool {
	if s.others == nil || len(s.others) != len(fleet.Known) {
		return false
	}
	for _, id := range fleet.Known {
		if _, known := s.others[id]; !known {
			return false
		}
	}
	return true
}

// settled tells whether the list is old enough to be acted on. A core without a fleet is
// alone.
func (s *gatewaySelection) isSettled(now time.Time) bool {
	return s.others == nil || now.Sub(s.grewAt) >= fleetSettleTime
}

// mayBeCutOff tells whether nobody is known though others may be there.
func (s *gatewaySelection) mayBePartitioned(now time.Time) bool {
	if s.others == nil || len(s.others) > 0 {
		return false
	}
	return s.hasSeeds || now.Sub(s.grewAt) < soleGatewayDelay
}

// drawn tells whether this gateway is one of so many that are drawn for the member.
func (s *gatewaySelection) selects(m *member, count int) bool {
	if m.selectionVersion == s.version && m.selectionCount == count {
		return m.selected
	}
	own := routing.Weight(s.self, m.hash)
	before := 0
	for _, other := range s.others {
		if routing.Weight(other, m.hash) > own {
			before++
		}
	}
	m.selectionVersion, m.selectionCount, m.selected = s.version, count, before < count
	return m.selected
}

// HasWarmUps tells whether the back ends of any service bear few requests after a start.
func (c *Core) HasWarmUps() bool {
	for _, each := range c.services {
		if each.WarmUpRate > 0 && each.WarmUpTime > 0 {
			return true
		}
	}
	return false
}

// warmsUp tells whether the member bears few requests at the moment.
func (c *Core) isWarmingUp(now time.Time, m *member) bool {
	return (m.mayHaveRestarted || now.Before(m.coldUntil)) && c.services[m.backEnd.Service].WarmUpRate > 0 && !c.config.Disabled[WarmUpLimit]
}

// presumeStart takes a back end that has crashed, or was away after requests broke off there,
// for one that has started again: it is cold until its entry says otherwise. Where requests
// broke off at half of a pool or more, it is this gateway that was cut off.
func (c *Core) presumeRestart(m *member) {
	pool := c.pools[m.backEnd.Service]
	if pool == nil {
		return
	}
	crashed := 1
	for _, other := range pool.members {
		if other != m && c.crashes.isAwaited(incarnationKeyOf(other.backEnd)) {
			crashed++
		}
	}
	m.mayHaveRestarted = 2*crashed < len(pool.members)
}

// noteReturn takes the first answer of a back end after its crash for the beginning of its
// warm-up, unless its entry has told of it.
func (c *Core) noteRestarted(now time.Time, m *member) {
	if m.mayHaveRestarted {
		m.mayHaveRestarted = false
		m.coldUntil = later(m.coldUntil, now.Add(c.services[m.backEnd.Service].WarmUpTime))
	}
}

// warmUpShare returns how many requests this gateway may send to the member in a second.
func (c *Core) warmUpShare(now time.Time, m *member) int {
	allocation := c.warmUpAllocation(m)
	if allocation == 0 || !c.selection.isSettled(now) {
		return 0
	}
	if c.selection.mayBePartitioned(now) {
		return 1
	}
	gateways := len(c.selection.others) + 1
	if c.selection.hasSeeds {
		gateways++ // there may be one that isn't known yet
	}
	count := min(max(1, allocation/requestsPerGateway), gateways)
	if !c.selection.selects(m, count) {
		return 0
	}
	return allocation / count
}

// warmUpGiven returns how many requests a second are divided among the gateways: at least
// one, unless the limit is below that.
func (c *Core) warmUpAllocation(m *member) int {
	limit := c.services[m.backEnd.Service].WarmUpRate*c.config.WarmUpOverage + c.config.WarmUpExtra
	return max(int(allocatedShare*limit), min(1, int(limit)))
}

// warmUpAllows tells whether this gateway's share of a member that warms up leaves room
// for a request.
func (c *Core) hasWarmUpQuota(now time.Time, m *member) bool {
	share := c.warmUpShare(now, m)
	recent := m.warmUpSends[:0]
	for _, at := range m.warmUpSends {
		if now.Sub(at) < warmUpWindow {
			recent = append(recent, at)
		}
	}
	m.warmUpSends = recent
	return len(recent) < share
}

// withoutSpent returns the candidates without those that warm up and whose share is
// spent. The others are chosen from as if they were warm: their caches fill at the pace
// that they bear, and parts whose order is theirs come home while they do.
func (c *Core) withWarmUpQuota(now time.Time, candidates []*member) []*member {
	c.withQuota = c.withQuota[:0]
	for _, m := range candidates {
		if !c.isWarmingUp(now, m) || c.hasWarmUpQuota(now, m) {
			c.withQuota = append(c.withQuota, m)
		}
	}
	return c.withQuota
}

// noteWarming takes what the store says of a back end's warm-up, when that has changed.
func (c *Core) updateWarmUp(now time.Time, m *member, entry catalog.BackEnd) {
	if m.listed && m.backEnd.WarmUp == entry.WarmUp && m.backEnd.WarmUpAt == entry.WarmUpAt {
		return
	}
	m.coldUntil = now.Add(entry.WarmUp)
	if !c.coversRestoration(entry) {
		m.coldUntil = later(m.coldUntil, c.coldByRestoration(entry))
	}
}
