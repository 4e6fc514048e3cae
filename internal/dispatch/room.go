package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Under overload every back end that caches prompts is full, and what matters is who gets the
// places that become free. Three rules answer this load pattern. The less urgent a request is, the
// more places it leaves free (trunk reservation), except for a part of each rank, so that none is
// starved. A back end keeps places free for the prompts that it is a home of: otherwise every full
// home would push its prompts on to all other back ends, where they are prefilled again and evict
// what is cached there. And the places that are free anywhere are given away by lottery, because
// each gateway would fill all of them before it hears of the others.

const (
	// urgencyStep is the fraction of a caching back end's slots that each less urgent rank
	// leaves free, up to lastUrgencyStep ranks.
	urgencyStep     = 0.08
	lastUrgencyStep = 4
	// engineFactor and engineUrgencyStep replace Config.CachingFactor and urgencyStep where work
	// is counted in tokens. More requests than slots wait at the engine, which keeps its slots in
	// use while gateways know loads late; a tenth of the slots ends within that time. A few places
	// per rank suffice to let more urgent requests in first.
	engineFactor      = 1.1
	engineUrgencyStep = 0.03
	// unreservedShare is the share of each rank that may take every place.
	unreservedShare = 0.3
	// excessShare is the fraction of a caching back end's places that requests beyond their
	// tenant's fair share may take. The rest is enough for what arrives until a place is free.
	excessShare = 0.93
	// spareShare is the fraction of a caching back end's places up to which it takes prompts that
	// it isn't a home of.
	spareShare = 0.6
	// homesPerPart is the number of back ends that are homes of a part: with two, the less loaded
	// one can be used, which balances parts of unequal demand.
	homesPerPart = 2
	// defaultCapacity applies to back ends that don't report their number of slots.
	defaultCapacity = 64
)

// room is what a member can take of the requests like one that is being placed.
type room struct {
	// limit is the load up to which the member takes such requests, and left how much more it
	// takes than its known load. left uses knownLoad: no request is refused because of what other
	// gateways may have sent since their reports, or, unless there are totals, because of an
	// estimate for gateways that haven't reported.
	limit float64
	left  float64
}

// roomFor returns the member's room for the request. isHome tells whether the member is a home of
// the request's prompt; it doesn't matter without a prompt.
func (c *Core) roomFor(now time.Time, m *member, x *Exchange, isHome bool) room {
	limit := c.capacity(now, m, x)
	if c.isExcess(now, x) {
		limit *= excessShare
	}
	if !isHome && c.countsTokens(x) && !c.config.Disabled[KeepParts] {
		limit *= spareShare
	}
	return room{limit: limit, left: limit - c.knownLoad(now, m)}
}

// hasRoom reports whether the member, as a home of the request's prompt, has room for the request.
func (c *Core) hasRoom(now time.Time, m *member, x *Exchange) bool {
	return c.roomFor(now, m, x, true).left >= 1
}

// countsTokens reports whether the work of the request is known in tokens: its service's engines
// state their memory, and its caller the length of the prompt.
func (c *Core) countsTokens(x *Exchange) bool {
	return c.services[x.service].CacheTokens > 0 && x.request.PromptTokens > 0 && x.request.affinity() != ""
}

// capacity returns the load up to which the member is given the request. Requests without a
// prompt may queue for a while, since they are short. At back ends that cache prompts, every
// further request slows down all others that run there. So there the least urgent requests are
// refused first, while more urgent ones still find room.
func (c *Core) capacity(now time.Time, m *member, x *Exchange) float64 {
	if m.backEnd.Slots <= 0 {
		return defaultCapacity
	}
	slots := float64(m.backEnd.Slots)
	if x.request.affinity() == "" {
		return slots * c.config.QueueFactor
	}
	if c.countsTokens(x) {
		return slots * (engineFactor - engineUrgencyStep*float64(c.reservedRank(now, x)))
	}
	return slots * (c.config.CachingFactor - urgencyStep*float64(c.reservedRank(now, x)))
}

// reservedRank returns the number of steps by which the request leaves places free for more urgent
// ones.
func (c *Core) reservedRank(now time.Time, x *Exchange) int {
	if c.config.Disabled[UrgencySteps] || c.countsTokens(x) && !c.isExcess(now, x) && isDrawn(x, unreservedShare) {
		return 0
	}
	return min(x.request.Urgency, lastUrgencyStep)
}

// startsInTime reports whether the first token of the request is predicted to come from the member
// before the caller leaves. A request that would only wait there takes memory and a place in the
// queue from others.
func (c *Core) startsInTime(now time.Time, x *Exchange, m *member) bool {
	if m.engine == nil || !c.countsTokens(x) || !x.request.Route.Stream {
		return true
	}
	size := c.sizeAt(now, x, m, "")
	predicted := m.engine.Predict(now, c.othersWork(m, c.estimate(now, m)), size).FirstToken
	return predicted < min(patience(x.request.Route), x.request.Deadline.Sub(now))
}

// isDrawn draws the given share of requests, by a hash of the request.
func isDrawn(x *Exchange, share float64) bool {
	const scale = 1 << 16
	return float64(xxhash.Sum64String(x.request.ID)%scale) < scale*share
}

// leastLoadedWithSpareRoom returns a member that has room to spare for a prompt that none of its
// homes takes, or nil. Every gateway sees the same free places, so they are given away by lottery.
func (c *Core) leastLoadedWithSpareRoom(now time.Time, x *Exchange, candidates []*member) *member {
	if c.config.Disabled[LoadBound] || c.config.Disabled[AdmissionLottery] {
		return c.leastLoaded(now, x, candidates)
	}
	rooms := 0.0
	for _, m := range candidates {
		if each := c.roomFor(now, m, x, false); each.left >= 1 {
			rooms += each.left
		}
	}
	overflow := c.overflowOf(x.service)
	interval := c.peers.interval
	if c.totalsAreFresh(now) {
		interval = c.propagationTime()
	}
	contenders := max(1, overflow.perSecond(now)*interval.Seconds()) * float64(c.gateways)
	overflow.note(now)
	if !isDrawn(x, min(1, lotteryShare*rooms/contenders)) {
		return nil
	}
	return c.leastLoaded(now, x, candidates)
}

// overflowOf returns the rate of this gateway's requests to the service that no home takes.
func (c *Core) overflowOf(service string) *demand {
	known := c.overflows[service]
	if known == nil {
		known = &demand{}
		c.overflows[service] = known
	}
	return known
}
