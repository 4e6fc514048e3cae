package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// choose returns the member for the next attempt, or nil if none has room, and counts the
// attempt towards the member's warm-up quota.
func (c *Core) choose(now time.Time, x *Exchange) *member {
	chosen := c.chooseAmong(now, x, c.withWarmUpQuota(now, c.candidates(now, x)))
	if chosen != nil && c.isWarmingUp(now, chosen) {
		chosen.warmUpSends = append(chosen.warmUpSends, now)
	}
	return chosen
}

// chooseAmong returns the candidate for the next attempt, or nil if none has room.
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

// candidates returns the members that may take the request: the eligible ones that are usable.
// If these are fewer than half of the eligible ones, the cause is probably common to the whole
// pool. Then it returns all eligible members that are usable or at least reachable, so that a few
// don't get the whole load, or all eligible members if there are none. It also updates which
// members are busy, since their health depends on that.
func (c *Core) candidates(now time.Time, x *Exchange) []*member {
	pool := c.poolMembers(now, x.service)
	c.usable = c.usable[:0]
	eligible := 0
	for _, m := range pool {
		if !c.isEligible(now, x, m) {
			continue
		}
		eligible++
		m.health.busy = c.isBusy(now, m)
		if m.health.usable(now, x.request.Route.MayRepeat()) {
			c.usable = append(c.usable, m)
		}
	}
	if len(c.usable) > 0 && (2*len(c.usable) >= eligible || c.config.Disabled[WholePool]) {
		return c.usable
	}
	return c.fallbackCandidates(now, x, pool)
}

// fallbackCandidates returns the eligible members that are usable or at least reachable, or all
// eligible members if there are none.
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

// isEligible reports whether the member accepts the request, hasn't been tried for it, and has
// no Retry-After pending. Every choice of a back end is subject to these conditions.
func (c *Core) isEligible(now time.Time, x *Exchange, m *member) bool {
	return c.acceptsNew(now, x, m) && !x.wasTried(m) && m.health.retryWait(now) == 0
}

// acceptsNew reports whether the member is neither leaving nor evacuated, and runs a version
// that the request may go to: the one that began its stream, if it has begun, and one that the
// service's rollout allows.
func (c *Core) acceptsNew(now time.Time, x *Exchange, m *member) bool {
	leaves := m.backEnd.Leaving && !c.config.Disabled[RespectLeaving]
	evacuated := m.evacuated && !c.config.Disabled[RespectEvacuations]
	return !leaves && !evacuated && c.fitsOrigin(x, m) && c.allowedByRollout(now, x, m)
}

// chooseByAffinity returns the first member, in the order of preference, that has room, stays within
// the bound on load, and is won by lottery, or one of lower predicted cost; see choosePredicted. If
// there is none, it returns the least loaded member that has room, or nil. Where work is counted in
// tokens, it returns nil instead if a member was full: any other one would have to prefill the prompt
// first, and would evict what is cached there. It also returns nil if the request doesn't get one of
// the free places of the service; see room.go.
func (c *Core) chooseByAffinity(now time.Time, x *Exchange, candidates []*member) *member {
	if x.lostDraw = !c.winsPlace(now, x, candidates); x.lostDraw {
		return nil
	}
	a := admission{bound: c.bound(now, x)}
	c.orderByPreference(now, x, candidates)
	for {
		next, isAdmitted := c.admitNext(now, x, &a)
		if next.member == nil {
			break
		}
		if isAdmitted {
			return c.choosePredicted(now, x, next, &a, candidates)
		}
	}
	if a.isFull && c.countsTokens(x) {
		return nil
	}
	return c.leastLoaded(now, x, candidates)
}

// admission is the state of a pass along the order of preference.
type admission struct {
	// bound is the bound on load, in requests.
	bound float64
	// overflow is the expected number of other gateways' requests that go on to the next member.
	overflow float64
	// position is the number of members that were considered.
	position int
	// isFull is set once a member that isn't a home had too little room for the request.
	isFull bool
}

// admitNext considers the next candidate in the order of preference and reports whether the request
// may go there: whether it has room, stays within the bound, and is won by lottery. The candidate's
// member is nil if none is left.
func (c *Core) admitNext(now time.Time, x *Exchange, a *admission) (next option, isAdmitted bool) {
	isHome := c.nextIsHome(a.position)
	a.position++
	m := c.nextPreferred()
	if m == nil {
		return option{}, false
	}
	next = option{member: m, isHome: isHome}
	available := c.roomFor(now, m, x, isHome)
	if !isHome && available.left < 1 && c.countsTokens(x) {
		// The request isn't counted as demand here: that would lower the chances of the prompts
		// that the member is a home of.
		a.isFull = true
		return next, false
	}
	var chance float64
	chance, a.overflow = c.admissionChance(now, m, min(a.bound, available.limit), a.overflow)
	// Recorded only after admissionChance: a rate that includes this request would be too
	// high by one per second.
	m.demand.note(now)
	if winsLottery(x, m, chance) && available.left >= 1 {
		return next, true
	}
	a.isFull = a.isFull || !isHome && available.limit < a.bound
	return next, false
}

// scarceMemoryShare is the share of a member's memory above which its memory counts as scarce.
// Below it, no part is evicted early, and only the rendezvous order decides: that order is all
// that gateways agree on after all of them have restarted.
const scarceMemoryShare = 0.5

// preference yields candidates in the order of preference.
type preference struct {
	ranking ranking
	// nonHolderYielded is set once a member that doesn't hold the part was yielded, or from the
	// beginning if memory isn't balanced. second is the member that it was compared with, until
	// that one is yielded.
	nonHolderYielded bool
	second           *member
}

// orderByPreference orders the candidates: first those that are assumed to hold the shared parts
// of the prompt, then the others, each group in rendezvous order. So a part is prefilled by the
// same member regardless of the gateway that gets the request, and a member that joins takes over
// the requests for which the holders have no room.
func (c *Core) orderByPreference(now time.Time, x *Exchange, candidates []*member) {
	holders := c.holders.holdersOf(now, keyOf(x.request.affinity()))
	c.order.nonHolderYielded = c.config.Disabled[BalanceMemory]
	c.order.second = nil
	c.order.ranking.rank(x.request.affinity(), candidates, func(m *member) bool {
		return slices.ContainsFunc(holders, m.backEnd.Incarnation().Matches) && !c.config.Disabled[HoldersFirst]
	})
}

// nextPreferred returns the next candidate, or nil. If memory is scarce, the first two members
// that don't hold the part are compared, and the one that holds less is yielded first. Choosing
// between two distributes the parts far more evenly than taking the first, and gateways that
// don't know of each other's choices yet still pick one of the same two.
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

// nextIsHome reports whether the next candidate, at the given position of the order, is a home of
// the prompt: one that is assumed to hold its shared parts, or one of the first in the order.
func (c *Core) nextIsHome(position int) bool {
	return position < homesPerPart || c.order.second == nil && c.order.ranking.firstIsPreferred()
}

// memoryShare returns the share of the member's memory that the prompts it is assumed to hold
// take up; 0 if its size is unknown.
func (c *Core) memoryShare(m *member) float64 {
	tokens := c.services[m.backEnd.Service].CacheTokens
	if tokens <= 0 {
		return 0
	}
	return float64(c.holders.held[m.backEnd.Incarnation()]) / float64(tokens)
}

// otherZonePenalty is added to the load of a member in another zone, so that requests stay in
// the gateway's zone when loads are equal.
const otherZonePenalty = 0.5

// leastLoaded returns the member with the lowest load per slot, or nil if all are full. Ties are
// broken by a hash of the request, so that gateways don't all choose the same member. If loads
// are known from totals, which lag behind, it chooses at random instead; see spread.
func (c *Core) leastLoaded(now time.Time, x *Exchange, candidates []*member) *member {
	if c.totalsAreFresh(now) && !c.config.Disabled[Spread] {
		return c.spread(now, x, candidates)
	}
	var best *member
	var bestLoad float64
	var bestHash uint64
	for _, m := range candidates {
		if c.roomFor(now, m, x, false).left < 1 {
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
