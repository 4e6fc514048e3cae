package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// aimedShare and leastShare are the parts of what the operators' bound allows
	// above the mean: aimedShare is used as a rule, and leastShare whatever the
	// slack, so that a pool has room. The rest covers news that is late.
	targetShare = 0.95
	minShare    = 0.2
	// sparedRequests is the part of the operators' slack, in requests, that is kept
	// for news that is late.
	reservedSlack = 0.5
	// lotShare is the part of the room that is given away by lot: lots fall unevenly.
	lotteryShare = 0.7
)

// bound is the load that a member may have with the new request. The mean is over
// all members that aren't leaving, ejected ones included: their share may not be
// heaped on the others. A pool that is nearly idle may give a member a few requests
// whatever the mean.
func (c *Core) bound(now time.Time, x *Exchange) float64 {
	total, count := 1.0, 0.0
	for _, m := range c.poolMembers(now, x.service) {
		if !m.backEnd.Leaving {
			total += c.estimate(now, m)
			count++
		}
	}
	mean := total / count
	above := c.config.LoadMultiple - 1
	target := (1+targetShare*above)*mean + c.config.LoadSlack - reservedSlack
	return max(target, (1+minShare*above)*mean+1)
}

// chanceOfRoom returns the chance with which a request may take a place that the bound
// leaves at the member. The other gateways see the same places, and each decides alone:
// where there are fewer places than gateways that may want one before they hear of each
// other, each takes its share of them by lot. overflow is how many requests of other
// gateways come on from members that are preferred; the ones that go on from this one
// are returned.
func (c *Core) admissionChance(now time.Time, m *member, bound, overflow float64) (chance, passedOn float64) {
	if c.config.Disabled[LoadBound] {
		return 1, 0
	}
	ownDemand, competing := c.expectedDemand(now, m)
	competing = max(competing, overflow)
	room := bound - c.pessimisticEstimate(now, m)
	if room < 1 {
		return 0, competing
	}
	if c.totalsAreFresh(now) {
		room += reusableShare * m.endedPerSecond * c.propagationTime().Seconds()
	}
	if room >= 1+competing || c.config.Disabled[AdmissionLottery] {
		return 1, 0
	}
	chance = lotteryShare * room / (1 + competing) / max(1, ownDemand)
	return chance, competing * (1 - acceptedShare*min(1, chance))
}

// drawsLot tells whether the request wins a lot with the chance: a hash of the request.
func winsLottery(x *Exchange, m *member, chance float64) bool {
	const scale = 1 << 16
	return float64(xxhash.Sum64String(x.request.ID+m.backEnd.ID)%scale) < scale*chance
}

// wanted returns how many places at the member this gateway is likely to want before the
// others hear of it, and how many all of them are.
func (c *Core) expectedDemand(now time.Time, m *member) (own, others float64) {
	if c.totalsAreFresh(now) {
		interval := c.propagationTime().Seconds()
		return m.demand.perSecond(now) * interval, m.others.demand * interval
	}
	own = m.demand.perSecond(now) * c.peers.interval.Seconds()
	return own, float64(c.gateways-1) * min(1, own)
}

// hearingTime is how long it takes until all gateways count a request.
func (c *Core) propagationTime() time.Duration { return propagationIntervals * c.totalsInterval }

// endingShare is the part of the requests that end meanwhile which counts as room for
// others. Lower values spread a part with short runs over many times the back ends that
// it needs, and send away the parts at home there; 1 would leave nothing for counts that
// come late.
const reusableShare = 0.9

// stayingShare is the part of the requests that could take a place which is counted on to
// take it, and not to go on to the next member. With 1, a part that is suddenly wanted
// by hundreds of gateways takes its next members over the bound; with 0, it is read at
// twice as many.
const acceptedShare = 0.5

// totalsDelays is the time, in intervals between two totals, from a request until all
// others count it.
const propagationIntervals = 2

// demandMemory is the time over which demand is averaged: several intervals of
// news, and short against a change of traffic.
const demandTimeConstant = time.Second

// demand is the rate at which this gateway would send to a member, as an
// exponentially weighted mean.
type demand struct {
	rate float64 // requests a second at the time at
	at   time.Time
}

// note takes a request for which the member came into question.
func (d *demand) note(now time.Time) {
	d.rate = d.perSecond(now) + 1/demandTimeConstant.Seconds()
	d.at = now
}

func (d *demand) perSecond(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.at).Seconds()/demandTimeConstant.Seconds())
}
