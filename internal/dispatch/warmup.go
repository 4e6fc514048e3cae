package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/routing"
)

// A back end that has just started, or reports that it is cold again, can serve only few
// requests per second from all gateways together, and breaks down above that. Gateways can't
// coordinate for each request, so the limit is divided without messages: for each back end that
// is warming up, a few gateways are selected by rendezvous hashing over the known gateways.
// Only these send there, each a fixed number of requests in any second. Dividing the limit among
// all gateways would fail if there are more gateways than requests: each share would be less
// than one request, and a gateway can't send a fraction of a request.
//
// Gateways with different lists of gateways select different ones. Three rules keep the sum
// within the limit nevertheless: gateways that have fallen silent keep their share, a gateway
// whose list has just grown sends nothing to these back ends, and part of the limit isn't
// allocated at all.

const (
	// allocatedShare is the part of a limit that is divided among gateways. The rest covers
	// gateways whose lists differ. A higher share makes more use of back ends that warm up.
	allocatedShare = 0.8
	// requestsPerGateway is the share of a selected gateway, in requests, if there are enough
	// gateways. With a share of one request it would be idle for most of each second.
	requestsPerGateway = 2
	// warmUpWindow is the time in which a gateway sends at most its share: the one second of
	// the limit plus the delay that a request may have here between its decision and its
	// sending.
	warmUpWindow = 1100 * time.Millisecond
	// fleetSettleTime is how long the list of gateways must not have grown before a selection
	// is used. A process that has just started knows few of the other gateways, and the
	// process that it replaces may have sent its share a moment ago.
	fleetSettleTime = 2 * time.Second
	// soleGatewayDelay is how long a gateway without seeds must have known no other gateway
	// before it assumes that it is the only one. Gateways that start at the same time may take
	// seconds until they try to reach it again.
	soleGatewayDelay = 10 * time.Second
)

// Fleet is what a gateway knows of the other gateways.
type Fleet struct {
	// Self is the gateway's own ID.
	Self string
	// Known are the IDs of the others seen in the last minutes, including silent ones.
	Known []string
	// HasSeeds is true if the settings name other gateways. A gateway that has seeds but
	// knows no other gateway isn't the only one.
	HasSeeds bool
}

// gatewaySelection selects, among the known gateways, those that may use a back end that is
// warming up.
type gatewaySelection struct {
	self   uint64
	others map[string]uint64
	// hasSeeds is Fleet.HasSeeds.
	hasSeeds bool
	// grewAt is when a gateway was last added, and version counts the changes of the list.
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

// matches reports whether the known gateways are exactly those of the fleet.
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

// isSettled reports whether the list hasn't grown for long enough to be used. A core that was
// never given a fleet is the only gateway.
func (s *gatewaySelection) isSettled(now time.Time) bool {
	return s.others == nil || now.Sub(s.grewAt) >= fleetSettleTime
}

// mayBePartitioned reports whether no other gateway is known although there may be some.
func (s *gatewaySelection) mayBePartitioned(now time.Time) bool {
	if s.others == nil || len(s.others) > 0 {
		return false
	}
	return s.hasSeeds || now.Sub(s.grewAt) < soleGatewayDelay
}

// selects reports whether this gateway is one of the count gateways selected for the member.
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

// HasWarmUps reports whether the back ends of any service have a limited rate after a start.
func (c *Core) HasWarmUps() bool {
	for _, each := range c.services {
		if each.WarmUpRate > 0 && each.WarmUpTime > 0 {
			return true
		}
	}
	return false
}

// isWarmingUp reports whether the member's request rate is currently limited.
func (c *Core) isWarmingUp(now time.Time, m *member) bool {
	return (m.mayHaveRestarted || now.Before(m.coldUntil)) && c.services[m.backEnd.Service].WarmUpRate > 0 && !c.config.Disabled[WarmUpLimit]
}

// presumeRestart assumes that a back end that has crashed, or was away after connections to it
// were lost, has restarted. It then counts as cold until its entry says otherwise. If connections
// were lost at half of a pool or more, no restart is assumed, since this gateway itself was
// probably disconnected.
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

// noteRestarted begins the warm-up of a back end with its first answer after its crash. If the
// list reports the new incarnation first, that is a new member with a warm-up of its own.
func (c *Core) noteRestarted(now time.Time, m *member) {
	if m.mayHaveRestarted {
		m.mayHaveRestarted = false
		m.coldUntil = later(m.coldUntil, now.Add(c.services[m.backEnd.Service].WarmUpTime))
	}
}

// warmUpShare returns how many requests per second this gateway may send to the member.
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

// warmUpAllocation returns how many requests per second are divided among the gateways: at
// least one, unless the limit is below that.
func (c *Core) warmUpAllocation(m *member) int {
	limit := c.services[m.backEnd.Service].WarmUpRate*c.config.WarmUpOverage + c.config.WarmUpExtra
	return max(int(allocatedShare*limit), min(1, int(limit)))
}

// hasWarmUpQuota reports whether this gateway's share of a member that is warming up leaves
// room for a request.
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

// withWarmUpQuota returns the candidates without those whose warm-up quota is used up. The
// others are treated as if they were warm: their caches fill at the rate that they can serve,
// and parts for which they rank first are already placed on them.
func (c *Core) withWarmUpQuota(now time.Time, candidates []*member) []*member {
	c.withQuota = c.withQuota[:0]
	for _, m := range candidates {
		if !c.isWarmingUp(now, m) || c.hasWarmUpQuota(now, m) {
			c.withQuota = append(c.withQuota, m)
		}
	}
	return c.withQuota
}

// updateWarmUp applies a change of the warm-up that the store's entry states for a back end.
func (c *Core) updateWarmUp(now time.Time, m *member, entry catalog.BackEnd) {
	if m.listed && m.backEnd.WarmUp == entry.WarmUp && m.backEnd.WarmUpAt == entry.WarmUpAt {
		return
	}
	m.coldUntil = now.Add(entry.WarmUp)
	if !c.coversRestoration(entry) {
		m.coldUntil = later(m.coldUntil, c.coldByRestoration(entry))
	}
}
