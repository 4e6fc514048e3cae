package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Where loads are known late, the least loaded member can't be the choice: all gateways
// would send there until the next word. Instead the requests that have begun since are
// taken to be spread over the members, so that they fill the emptiest first, and each
// request takes a place among them by lot.

const (
	// runTimeWeight is the weight of the newest word in a run time: some words, since the
	// few requests of one say little, and few of them, since a member that has become
	// slow must get less within seconds.
	residenceWeight = 0.15
	// paceWeight is the same for a gateway's own requests to a service, which are few.
	localResidenceWeight = 0.05
	// fewestEnded is the mean number of requests a word below which a run time isn't
	// known.
	minEndedPerUpdate = 0.25
	// longestRunTime bounds a run time, in seconds.
	maxResidenceSeconds = 60.0
)

// runTime is how long a request stays at a member: what the requests of the last words
// took together, in seconds, over their number.
type residenceTime struct {
	total float64
	ended float64
}

func (r *residenceTime) note(total, ended, weight float64) {
	r.total += weight * (total - r.total)
	r.ended += weight * (ended - r.ended)
}

// seconds returns the time, or otherwise where too little is known.
func (r residenceTime) seconds(fallback float64) float64 {
	if r.ended < minEndedPerUpdate || r.total <= 0 {
		return fallback
	}
	return min(r.total/r.ended, maxResidenceSeconds)
}

// pace is how long this gateway's own requests stay at a service's members, by Little's
// law: the time that those under way spend there, over the number of those sent.
type localResidence struct {
	residence residenceTime
	// sent counts the requests since the last note.
	sent int
}

// note takes the requests under way, after so much time since the last note.
func (r *localResidence) note(inFlight int, elapsed time.Duration) {
	r.residence.note(float64(inFlight)*min(elapsed, maxTotalsAge).Seconds(), float64(r.sent), localResidenceWeight)
	r.sent = 0
}

// paceOf returns the pace of the service.
func (c *Core) localResidenceOf(service string) *localResidence {
	known := c.localResidences[service]
	if known == nil {
		known = &localResidence{}
		c.localResidences[service] = known
	}
	return known
}

// notePaces takes the requests under way at all services.
func (c *Core) noteLocalResidences(elapsed time.Duration) {
	for service, pool := range c.pools {
		inFlight := 0
		for _, m := range pool.members {
			inFlight += m.own
		}
		c.localResidenceOf(service).note(inFlight, elapsed)
	}
}

// usualTime returns the time that a request stays at the members, in seconds.
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
	// slots is its size, and seconds the time that a request stays there.
	slots float64
	// left is what is left at the member of the load that was told.
	remaining        float64
	residenceSeconds float64
}

// spread returns one of the members that have room by lot, or nil. The lot is a hash of
// the request.
func (c *Core) spread(now time.Time, x *Exchange, candidates []*member) *member {
	mean := c.meanResidence(x.service, candidates)
	delay := c.propagationTime().Seconds()
	c.shares = c.shares[:0]
	requests := 1.0
	for _, m := range candidates {
		if !c.hasRoom(now, m, x) {
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

// levelOf returns the load for each slot up to which so many requests fill the members.
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

// drawShare draws a member. One that is filled with as many requests as another in half
// the time gets them at twice the rate.
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
