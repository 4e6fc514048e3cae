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
//     chosen. Otherwise each gateway would fill all of them before it hears of the others, and where
//     there is only one, requests that find room at few back ends would hardly ever get a place.

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
	// prefillShare limits how fast the number of places in use grows while the demand exceeds the free
	// places: prefilling the added prompts, without their shared parts, may take this fraction of the
	// engines' prefill rate. The rest is left for shared parts that aren't cached, for prompts that
	// replace ended requests, and for engines that are slower than usual; and prompts differ so much
	// in length that at a high rate they queue.
	prefillShare = 0.2
	// homesPerPart is the number of back ends that are homes of a part: with two, the less loaded
	// one can be used, which balances parts of unequal demand.
	homesPerPart = 2
	// serviceDemandTimeConstant is the time constant of the demand for a service. A longer one would
	// let the first moments of a burst fill several times the free places.
	serviceDemandTimeConstant = 250 * time.Millisecond
	// busyShare is the fraction of an engine's slots from which requests may wait there for longer
	// than silenceLimit.
	busyShare = 0.75
	// defaultCapacity applies to back ends that don't report their number of slots.
	defaultCapacity = 64
)

// room is how many requests like the one that is being placed a member takes.
type room struct {
	// limit is the load up to which the member takes such requests, and left how much more it
	// takes than its known load. left uses knownLoad: no request is refused because of what other
	// gateways may have sent since their reports, or, unless there are totals, because of an
	// estimate for gateways that haven't reported.
	limit float64
	left  float64
}

// roomFor returns the member's room for the request. isHome is true if the member is a home of
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
// part of them: that of the demand that reaches it. A request that has won a place before isn't drawn
// again: it would be refused late, after an attempt.
//
// When a burst begins, many places are free, and the prompts would queue at the engines if all of the
// places were given away at once. So while the demand exceeds the places, limitGrowth applies.
func (c *Core) winsPlace(now time.Time, x *Exchange, candidates []*member) bool {
	hasWon := x.attempts+x.failedConnects > 0
	if hasWon || !c.countsTokens(x) || c.config.Disabled[LoadBound] || c.config.Disabled[AdmissionLottery] {
		return true
	}
	interval := c.peers.interval
	if c.totalsAreFresh(now) {
		interval = c.propagationTime()
	}
	places, ending := c.freePlaces(now, x, candidates, interval)
	given, part := lotteryShare*places, c.partOfDemand(now, x.service)
	requests := c.serviceDemandOf(x.service)
	if requests.perSecond(now)*interval.Seconds() > part*given {
		given = limitGrowth(given, ending, requests.ownTokens, candidates, interval)
	}
	chance := requests.chance(now, x.Excess(), part*given, interval)
	if !x.inDemand {
		x.inDemand = true // it is drawn again if it goes back to the standing version of a rollout
		requests.note(now, x)
	}
	return hashFraction("place"+x.request.ID) < chance
}

// freePlaces returns the number of places for requests like this one that are free in the candidates or
// become free within the interval, and the number of requests that end there within the interval.
func (c *Core) freePlaces(now time.Time, x *Exchange, candidates []*member, interval time.Duration) (places, ending float64) {
	for _, m := range candidates {
		ends := c.endsPerSecond(now, m) * interval.Seconds()
		places += max(0, c.roomFor(now, m, x, true).left+reusableShare*ends)
		ending += ends
	}
	return places, ending
}

// limitGrowth limits the places that all gateways give away within the interval to those of the requests
// that end, and as many more as have prompts that prefillShare of the engines' rate can prefill.
func limitGrowth(places, ending, ownTokens float64, candidates []*member, interval time.Duration) float64 {
	prefilled := prefillShare * idlePrefillRate(candidates) * interval.Seconds()
	return min(places, ending+prefilled/max(1, ownTokens))
}

// endsPerSecond returns the rate at which the requests of all gateways end at the member. Without
// totals, those of this gateway are assumed to be its part of all, as of the demand.
func (c *Core) endsPerSecond(now time.Time, m *member) float64 {
	if c.totalsAreFresh(now) {
		return m.endedPerSecond
	}
	return m.endings.perSecond(now) / c.partOfDemand(now, m.backEnd.Service)
}

// idlePrefillRate returns how many tokens per second the engines of the members prefill if they have no
// streams to decode, unlike Engine.PrefillRate; infinite if a member has no engine.
func idlePrefillRate(members []*member) float64 {
	total := 0.0
	for _, m := range members {
		if m.engine == nil {
			return math.Inf(1)
		}
		total += 1 / m.engine.Rates().Prompt.Each
	}
	return total
}

// serviceDemand is the rate of this gateway's requests to a service: of those within the fair share
// of their tenant, and of the excess.
type serviceDemand struct {
	within demand
	excess demand
	// ownTokens is the mean length of the part of a prompt that no other request shares, in tokens,
	// over about the last 50 requests.
	ownTokens float64
	// requests counts all requests since the start.
	requests int
}

func (d *serviceDemand) perSecond(now time.Time) float64 {
	return d.within.perSecond(now) + d.excess.perSecond(now)
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
func (d *serviceDemand) note(now time.Time, x *Exchange) {
	d.requests++
	own := float64(max(0, x.request.PromptTokens-x.request.sharedTokens()))
	d.ownTokens += max(averageSmoothing, 1/float64(d.requests)) * (own - d.ownTokens)
	if x.Excess() {
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
