package dispatch

import (
	"math"
	"time"
)

// Under overload every back end that caches prompts is full, and what matters is who gets the
// places that become free. Three rules apply, the last two only where work is counted in tokens:
//   - The less urgent a request is, the more places it leaves free (trunk reservation), and so does
//     a request beyond its tenant's fair share. A part of each rank leaves none, so that no rank is
//     starved.
//   - A back end reserves a part of its places for the prompts that it is a home of. Other prompts
//     would evict what is cached there.
//   - The places that are free in the whole service are given away by lottery before a back end is
//     chosen. Otherwise each gateway would fill all of them before it hears of the others.

const (
	// urgencyStep is the fraction of a caching back end's slots that each less urgent rank
	// leaves free, up to lastUrgencyStep ranks.
	urgencyStep     = 0.08
	lastUrgencyStep = 4
	// engineFactor and engineUrgencyStep replace Config.CachingFactor and urgencyStep where work is
	// counted in tokens. A request that waits for a slot has its first token too late; and a few
	// places for each rank suffice to let more urgent requests in first.
	engineFactor      = 1.0
	engineUrgencyStep = 0.03
	// unreservedShare is the share of each rank that may take every place. It is above a quarter,
	// because no rank is to be served less than a quarter as often as all.
	unreservedShare = 0.4
	// excessShare is the fraction of a caching back end's places that requests beyond their
	// tenant's fair share may take. The rest is enough for what arrives until a place is free.
	excessShare = 0.93
	// nonHomeShare is the fraction of a caching back end's places up to which it takes prompts that
	// it isn't a home of. Without it, the prompts of full homes go on to all other back ends, where
	// they evict what is cached. It doesn't apply to shared parts shorter than minPublishedTokens:
	// they evict little, and are prefilled in the time that setting up a copy takes.
	nonHomeShare = 0.6
	// homesPerPart is the number of back ends that are homes of a part: with two, the less loaded
	// one can be used, which balances parts of unequal demand.
	homesPerPart = 2
	// serviceDemandTimeConstant is the time constant of the demand for a service. A longer one would
	// let the first moments of a burst fill several times the free places.
	serviceDemandTimeConstant = 250 * time.Millisecond
	// drawMargin is the number of standard deviations by which the expected winners of a draw stay
	// below the free places.
	drawMargin = 2
	// busyShare is the fraction of an engine's slots from which requests may wait there for longer
	// than silenceLimit.
	busyShare = 0.75
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
	limit := c.capacity(m, x)
	if x.Excess() {
		limit *= excessShare
	}
	if !isHome && c.countsTokens(x) && x.request.sharedTokens() >= minPublishedTokens && !c.config.Disabled[KeepParts] {
		limit *= nonHomeShare
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
func (c *Core) capacity(m *member, x *Exchange) float64 {
	if m.backEnd.Slots <= 0 {
		return defaultCapacity
	}
	slots := float64(m.backEnd.Slots)
	if x.request.affinity() == "" {
		return slots * c.config.QueueFactor
	}
	if c.countsTokens(x) {
		return slots * (engineFactor - engineUrgencyStep*float64(c.reservedRank(x)))
	}
	return slots * (c.config.CachingFactor - urgencyStep*float64(c.reservedRank(x)))
}

// reservedRank returns by how many urgency steps the request leaves places free for more urgent ones.
func (c *Core) reservedRank(x *Exchange) int {
	if c.config.Disabled[UrgencySteps] || c.countsTokens(x) && !x.Excess() && hashFraction("unreserved"+x.request.ID) < unreservedShare {
		return 0
	}
	return min(x.request.Urgency, lastUrgencyStep)
}

// winsPlace draws whether the request gets one of the free places of its service, and counts the
// request towards the demand for them. Every gateway sees the same places, so each gives away its
// share of them. The demand of the other gateways is assumed to be as high as this one's: the
// balancer distributes callers evenly, and what others report is older than the places. A request
// that has won a place before isn't drawn again: it would be refused late, after an attempt.
func (c *Core) winsPlace(now time.Time, x *Exchange, candidates []*member) bool {
	hasWon := !x.sentAt.IsZero()
	if hasWon || !c.countsTokens(x) || c.config.Disabled[LoadBound] || c.config.Disabled[AdmissionLottery] || c.gateways == 1 {
		return true
	}
	interval := c.peers.interval
	if c.totalsAreFresh(now) {
		interval = c.propagationTime()
	}
	places := 0.0
	for _, m := range candidates {
		left := c.roomFor(now, m, x, true).left
		if c.totalsAreFresh(now) {
			left += reusableShare * m.endedPerSecond * interval.Seconds()
		}
		places += max(0, left)
	}
	requests := c.serviceDemandOf(x.service)
	drawn := drawnPlaces(places)
	if x.Excess() {
		drawn = lotteryShare * places // the rest is for the tenants within their share
	}
	chance := requests.chance(now, x.Excess(), drawn/float64(c.gateways), interval)
	requests.note(now, x.Excess())
	return hashFraction("place"+x.request.ID) < chance
}

// drawnPlaces returns how many of the free places of a service the draws of all gateways together may
// give away. Each request is drawn on its own, so the number of winners varies by the square root of
// its mean: the more places there are, the smaller a part of them has to absorb that.
func drawnPlaces(places float64) float64 {
	return max(lotteryShare*places, places-drawMargin*math.Sqrt(places))
}

// serviceDemand is the rate of this gateway's requests to a service: of those within the fair share
// of their tenant, and of the excess.
type serviceDemand struct {
	within demand
	excess demand
}

// chance returns the probability with which a request gets one of this gateway's places. Excess
// requests get only the places that the others don't need.
func (d *serviceDemand) chance(now time.Time, isExcess bool, places float64, interval time.Duration) float64 {
	within := d.within.perSecond(now) * interval.Seconds()
	excess := d.excess.perSecond(now) * interval.Seconds()
	if isExcess {
		return (places - within) / max(1, excess)
	}
	return places / max(1, within)
}

// note counts a request. It is called after chance: a rate that includes the request would be too
// high.
func (d *serviceDemand) note(now time.Time, isExcess bool) {
	if isExcess {
		d.excess.note(now)
		return
	}
	d.within.note(now)
}

// serviceDemandOf returns the rate of this gateway's requests to the service.
func (c *Core) serviceDemandOf(service string) *serviceDemand {
	known := c.serviceDemands[service]
	if known == nil {
		average := demand{timeConstant: serviceDemandTimeConstant}
		known = &serviceDemand{within: average, excess: average}
		c.serviceDemands[service] = known
	}
	return known
}

// isBusy reports whether the member is an engine at which so much runs that new requests may wait
// for longer than silenceLimit. Silence and time-outs there are no sign of a failure.
func (c *Core) isBusy(now time.Time, m *member) bool {
	return c.services[m.backEnd.Service].CacheTokens > 0 && m.backEnd.Slots > 0 && c.knownLoad(now, m) >= busyShare*float64(m.backEnd.Slots)
}
