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
	aimedShare = 0.95
	leastShare = 0.2
	// sparedRequests is the part of the operators' slack, in requests, that is kept
	// for news that is late.
	sparedRequests = 0.5
	// lotShare is the part of the room that is given away by lot: lots fall unevenly.
	lotShare = 0.7
)

// bound is the load that a member may have with the new request. The mean is over
// all members that aren't leaving, ejected ones included: their share may not be
// heaped on the others. A pool that is nearly idle may give a member a few requests
// whatever the mean.
func (c *Core) bound(now time.Time, x *Exchange) float64 {
	total, count := 1.0, 0.0
	for _, m := range c.poolOf(now, x.service) {
		if !m.backEnd.Leaving {
			total += c.estimate(now, m)
			count++
		}
	}
	mean := total / count
	above := c.config.LoadMultiple - 1
	aimed := (1+aimedShare*above)*mean + c.config.LoadSlack - sparedRequests
	return max(aimed, (1+leastShare*above)*mean+1)
}

// winsRoom tells whether the request may take a place that the bound leaves at the
// member. The other gateways see the same places, and each decides alone: where
// there are fewer places than gateways that may want one before they hear of each
// other, each takes its share of them by lot. The lot is a hash of the request.
func (c *Core) winsRoom(now time.Time, x *Exchange, m *member, bound float64) bool {
	if c.config.Disabled[LoadBound] {
		return true
	}
	room := bound - c.cautiousEstimate(now, m)
	if room < 1 {
		return false
	}
	if c.config.Disabled[Lots] {
		return true
	}
	// wanted is how many places this gateway is likely to want until its next word.
	wanted := m.demand.perSecond(now) * c.peers.interval.Seconds()
	rivals := float64(c.gateways-1) * min(1, wanted)
	if room >= 1+rivals {
		return true
	}
	const lots = 1 << 16
	chance := lotShare * room / (1 + rivals) / max(1, wanted)
	return float64(xxhash.Sum64String(x.request.ID+m.backEnd.ID)%lots) < lots*chance
}

// demandMemory is the time over which demand is averaged: several intervals of
// news, and short against a change of traffic.
const demandMemory = time.Second

// demand is the rate at which this gateway would send to a member, as an
// exponentially weighted mean.
type demand struct {
	rate float64 // requests a second at the time at
	at   time.Time
}

// note takes a request for which the member came into question.
func (d *demand) note(now time.Time) {
	d.rate = d.perSecond(now) + 1/demandMemory.Seconds()
	d.at = now
}

func (d *demand) perSecond(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.at).Seconds()/demandMemory.Seconds())
}
