package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// choose returns the member for the next attempt, or nil when none has room.
func (c *Core) choose(now time.Time, x *Exchange) *member {
	chosen := c.chooseAmong(now, x, c.withWarmUpQuota(now, c.candidates(now, x)))
	if chosen != nil && c.isWarmingUp(now, chosen) {
		chosen.warmUpSends = append(chosen.warmUpSends, now)
	}
	return chosen
}

// chooseAmong returns the candidate for the next attempt, or nil when none has room.
func (c *Core) chooseAmong(now time.Time, x *Exchange, candidates []*member) *member {
	if len(candidates) == 0 {
		return nil
	}
	if x.request.affinity() != "" && !c.config.Disabled[Affinity] {
		return c.chooseByAffinity(now, x, candidates)
	}
	chosen := c.leastLoaded(now, x, candidates)
	if chosen != nil {
		chosen.demand.note(now)
	}
	return chosen
}

// candidates returns the members that may take the request. Where fewer than half
// of those that aren't leaving are usable, the trouble is the pool's rather than a
// member's: then all that can be reached are, so that a few don't carry the load of
// all; and where none can be, all are.
func (c *Core) candidates(now time.Time, x *Exchange) []*member {
	pool := c.poolMembers(now, x.service)
	c.usable = c.usable[:0]
	eligible := 0
	for _, m := range pool {
		if !c.isEligible(now, x, m) {
			continue
		}
		eligible++
		if m.health.usable(now, x.request.Route.MayRepeat()) {
			c.usable = append(c.usable, m)
		}
	}
	if len(c.usable) > 0 && (2*len(c.usable) >= eligible || c.config.Disabled[WholePool]) {
		return c.usable
	}
	return c.fallbackCandidates(now, x, pool)
}

// inTrouble returns those of a pool in trouble that can be reached, or all where none can
// be.
func (c *Core) fallbackCandidates(now time.Time, x *Exchange, pool []*member) []*member {
	var reachable, all []*member
	for _, m := range pool {
		if !c.isEligible(now, x, m) {
			continue
		}
		all = append(all, m)
		if m.health.usable(now, x.request.Route.MayRepeat()) || m.health.reachable(now) {
			reachable = append(reachable, m)
		}
	}
	if len(reachable) > 0 {
		return reachable
	}
	return all
}

// mayTake tells whether the member is open to the request, hasn't had it, and didn't ask to be
// left alone. No way to a back end goes around it.
func (c *Core) isEligible(now time.Time, x *Exchange, m *member) bool {
	return c.acceptsNew(now, x, m) && !x.wasTried(m) && m.health.retryWait(now) == 0
}

// isOpen tells whether the member is neither leaving nor evacuated, and of the version that may
// have the request.
func (c *Core) acceptsNew(now time.Time, x *Exchange, m *member) bool {
	leaves := m.backEnd.Leaving && !c.config.Disabled[RespectLeaving]
	evacuated := m.evacuated && !c.config.Disabled[RespectEvacuations]
	return !leaves && !evacuated && c.allowedByRollout(now, x, m)
}

// capacity is the load up to which a back end is given requests of an urgency.
// Plain services may queue for a while: their work is short. Where prompts are
// cached every further request slows all that run beside it, so there the least
// urgent requests are refused first, while the others still find room.
func (c *Core) capacity(m *member, x *Exchange) float64 {
	if m.backEnd.Slots <= 0 {
		return defaultCapacity
	}
	slots := float64(m.backEnd.Slots)
	if x.request.affinity() == "" {
		return slots * c.config.QueueFactor
	}
	rank := min(x.request.Urgency, lastUrgencyStep)
	if c.config.Disabled[UrgencySteps] {
		rank = 0
	}
	return slots * (c.config.CachingFactor - urgencyStep*float64(rank))
}

const (
	// urgencyStep is the part of a caching back end's slots that each less urgent
	// rank leaves free, up to lastUrgencyStep ranks.
	urgencyStep     = 0.08
	lastUrgencyStep = 4
)

// hasRoom tells whether the request is within the member's capacity, by the loads that
// are known: nothing is refused on a guess at the others'.
func (c *Core) hasRoom(now time.Time, m *member, x *Exchange) bool {
	return c.knownLoad(now, m)+1 <= c.capacity(m, x)
}

// defaultCapacity is used for back ends that don't tell their slots.
const defaultCapacity = 64

// chooseCaching returns the first member within the bound on load, in the order of
// preference.
func (c *Core) chooseByAffinity(now time.Time, x *Exchange, candidates []*member) *member {
	bound := c.bound(now, x)
	overflow := 0.0
	c.orderByPreference(now, x, candidates)
	for m := c.nextPreferred(); m != nil; m = c.nextPreferred() {
		var chance float64
		chance, overflow = c.admissionChance(now, m, bound, overflow)
		// Noted afterwards: a rate that counts the request itself would be too high by
		// one a second.
		m.demand.note(now)
		if winsLottery(x, m, chance) && c.hasRoom(now, m, x) {
			return m
		}
	}
	return c.leastLoaded(now, x, candidates)
}

// scarceMemory is the share of a member's memory from which it counts as scarce. Below
// it nothing gives way early, and the order alone decides: that is the one thing that
// gateways agree on after all of them have restarted.
const scarceMemoryShare = 0.5

// preference yields candidates in the order of choice.
type preference struct {
	ranking ranking
	// homeChosen is set once a member that holds nothing was yielded, and second is the
	// one that it was weighed against.
	nonHolderYielded bool
	second           *member
}

// prefer orders the candidates by choice: first those that are believed to hold the
// prompt's shared parts, then the others, each in rendezvous order. So a part is read by
// the same member whichever gateway a caller meets, and a member that joins takes over
// what finds no room at its holders.
func (c *Core) orderByPreference(now time.Time, x *Exchange, candidates []*member) {
	holders := c.holders.holdersOf(now, keyOf(x.request.affinity()))
	c.order.nonHolderYielded = c.config.Disabled[BalanceMemory]
	c.order.second = nil
	c.order.ranking.rank(x.request.affinity(), candidates, func(m *member) bool {
		return slices.ContainsFunc(holders, m.backEnd.Incarnation().IsSame) && !c.config.Disabled[HoldersFirst]
	})
}

// nextPreferred returns the next candidate, or nil. Where memory is scarce, the first
// that holds nothing is the one of two that holds less: two make homes far more even
// than one, and gateways that don't yet know of each other's choices still pick one of
// the same two.
func (c *Core) nextPreferred() *member {
	if second := c.order.second; second != nil {
		c.order.second = nil
		return second
	}
	if c.order.nonHolderYielded || c.order.ranking.firstIsPreferred() {
		return c.order.ranking.next()
	}
	c.order.nonHolderYielded = true
	first := c.order.ranking.next()
	if first == nil || c.memoryShare(first) <= scarceMemoryShare {
		return first
	}
	second := c.order.ranking.next()
	if second != nil && c.memoryShare(second) < c.memoryShare(first) {
		first, second = second, first
	}
	c.order.second = second
	return first
}

// memoryShare is the share of a member's memory that the prompts it is believed to
// hold would fill; 0 when its size is unknown.
func (c *Core) memoryShare(m *member) float64 {
	tokens := c.services[m.backEnd.Service].CacheTokens
	if tokens <= 0 {
		return 0
	}
	return float64(c.holders.held[m.backEnd.Incarnation()]) / float64(tokens)
}

// otherZone is added to the load of a member in another zone, so that an equal
// choice stays in the zone.
const otherZonePenalty = 0.5

// leastLoaded returns the member with the least load for its slots, or nil when all are
// full; where loads are known late, one by lot (spread.go). Ties are broken by a hash of the
// request, so that gateways don't all pick the same member.
func (c *Core) leastLoaded(now time.Time, x *Exchange, candidates []*member) *member {
	if c.totalsAreFresh(now) && !c.config.Disabled[Spread] {
		return c.spread(now, x, candidates)
	}
	var best *member
	var bestLoad float64
	var bestHash uint64
	for _, m := range candidates {
		if !c.hasRoom(now, m, x) {
			continue
		}
		load := c.estimate(now, m)
		if m.backEnd.Zone != c.config.Zone && !c.config.Disabled[OwnZone] {
			load += otherZonePenalty
		}
		load /= float64(max(m.backEnd.Slots, 1))
		hash := xxhash.Sum64String(x.request.ID + m.backEnd.ID)
		if best == nil || load < bestLoad || load == bestLoad && hash < bestHash {
			best, bestLoad, bestHash = m, load, hash
		}
	}
	return best
}
