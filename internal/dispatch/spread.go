package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Totals lag behind, so choosing the least loaded member doesn't work with them: all gateways
// would send to the same one until the next update. Instead, as many requests are assumed to
// have begun since the counts were taken as have ended, and to fill the emptiest members first.
// Each request is placed at random on one of the members that they fill.

const (
	// residenceWeight is the weight of the newest update in a residence time. It averages over
	// several updates, because the few requests of one update say little, but not over many,
	// because a member that has become slow must get fewer requests within seconds.
	residenceWeight = 0.15
	// localResidenceWeight is the same for this gateway's own requests to a service, which are few.
	localResidenceWeight = 0.05
	// minEndedPerUpdate is the mean number of requests per update below which a residence time
	// counts as unknown.
	minEndedPerUpdate = 0.25
	// maxResidenceSeconds bounds a residence time, in seconds.
	maxResidenceSeconds = 60.0
)

// residenceTime is how long a request stays at a member: the total time of the requests in the
// last updates, in seconds, divided by their number.
type residenceTime struct {
	total float64
	ended float64
}

func (r *residenceTime) note(total, ended, weight float64) {
	r.total += weight * (total - r.total)
	r.ended += weight * (ended - r.ended)
}

// seconds returns the residence time, or fallback if too little is known.
func (r residenceTime) seconds(fallback float64) float64 {
	if r.ended < minEndedPerUpdate || r.total <= 0 {
		return fallback
	}
	return min(r.total/r.ended, maxResidenceSeconds)
}

// localResidence is how long this gateway's own requests stay at a service's members. By
// Little's law that is the time accumulated by the requests in flight, divided by the number of
// requests sent.
type localResidence struct {
	residence residenceTime
	// sent counts the requests since note was last called.
	sent int
}

// note records the requests in flight, the given time after the last call.
func (r *localResidence) note(inFlight int, elapsed time.Duration) {
	r.residence.note(float64(inFlight)*min(elapsed, maxTotalsAge).Seconds(), float64(r.sent), localResidenceWeight)
	r.sent = 0
}

// localResidenceOf returns the residence time of this gateway's requests to the service.
func (c *Core) localResidenceOf(service string) *localResidence {
	known := c.localResidences[service]
	if known == nil {
		known = &localResidence{}
		c.localResidences[service] = known
	}
	return known
}

// noteLocalResidences records the requests in flight at each service.
func (c *Core) noteLocalResidences(elapsed time.Duration) {
	for service, pool := range c.pools {
		inFlight := 0
		for _, m := range pool.members {
			inFlight += m.own
		}
		c.localResidenceOf(service).note(inFlight, elapsed)
	}
}

// meanResidence returns the mean time that a request stays at the members, in seconds. If too
// little is known of them, it is the time of this gateway's own requests to the service, or
// maxResidenceSeconds.
func (c *Core) meanResidence(service string, members []*member) float64 {
	all := residenceTime{}
	for _, m := range members {
		all.total += m.residenceTime.total
		all.ended += m.residenceTime.ended
	}
	return all.seconds(c.localResidenceOf(service).residence.seconds(maxResidenceSeconds))
}

// share is a member's part in a spread.
type share struct {
	member *member
	// slots is the member's number of slots, at least 1, and residenceSeconds the time that a
	// request stays there.
	slots float64
	// remaining is the part of the estimated load that probably hasn't ended since it was counted.
	remaining        float64
	residenceSeconds float64
}

// spread returns one of the members that have room, chosen at random by a hash of the request,
// or nil.
func (c *Core) spread(now time.Time, x *Exchange, candidates []*member) *member {
	mean := c.meanResidence(x.service, candidates)
	delay := c.propagationTime().Seconds()
	c.shares = c.shares[:0]
	requests := 1.0
	for _, m := range candidates {
		if c.roomFor(now, m, x, false).left < 1 {
			continue
		}
		load := c.estimate(now, m)
		each := share{member: m, slots: float64(max(m.backEnd.Slots, 1)), residenceSeconds: m.residenceTime.seconds(mean)}
		each.remaining = load * math.Exp(-delay/each.residenceSeconds)
		requests += load - each.remaining
		c.shares = append(c.shares, each)
	}
	return drawMember(x, c.shares, fillLevel(c.shares, requests))
}

// fillLevel returns the load per slot up to which the requests fill the members.
func fillLevel(shares []share, requests float64) float64 {
	low, high := 0.0, 1.0
	for requestsToLevel(shares, high) < requests && high < 1e6 {
		high *= 2
	}
	const steps = 24
	for range steps {
		middle := (low + high) / 2
		if requestsToLevel(shares, middle) < requests {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

func requestsToLevel(shares []share, level float64) float64 {
	total := 0.0
	for _, each := range shares {
		total += max(0, level*each.slots-each.remaining)
	}
	return total
}

// drawMember draws a member at random. A member's probability is proportional to the requests
// that fill it, divided by their residence time: one that finishes requests in half the time
// gets them at twice the rate.
func drawMember(x *Exchange, shares []share, level float64) *member {
	rate := func(each share) float64 { return max(0, level*each.slots-each.remaining) / each.residenceSeconds }
	total := 0.0
	for _, each := range shares {
		total += rate(each)
	}
	const scale = 1 << 32
	draw := float64(xxhash.Sum64String(x.request.ID)%scale) / scale * total
	for _, each := range shares {
		if draw -= rate(each); draw < 0 {
			return each.member
		}
	}
	if len(shares) == 0 {
		return nil
	}
	return shares[len(shares)-1].member
}
