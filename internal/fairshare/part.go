package fairshare

import (
	"math"
	"slices"
	"time"
)

const (
	// chanceDeviations is the number of standard deviations by which a gateway's demand must differ from
	// the mean of all gateways before it counts as more than chance. Evenly spread callers rarely exceed
	// it; a gateway of a large fleet gets few requests, and its demand varies by as much as its mean.
	chanceDeviations = 3
	// lowestPart limits a gateway's part, as a fraction of an even one: nearly all callers may come to
	// it before it gets the next sums.
	lowestPart = 0.25
	// The sums of all gateways are up to half a second older than this gateway's own demand. While the
	// demand rises everywhere at once, each gateway's is above that mean. So a difference counts only as
	// far as demandSamples samples of the own demand, taken at least sampleInterval apart, all show it.
	demandSamples  = 3
	sampleInterval = 250 * time.Millisecond
)

// totalDemand is the demand on a service according to the last sums of all gateways, in tokens of work
// per second.
type totalDemand struct {
	// all is the demand at the gateways that the sums include, and at the time of the sums.
	all float64
	at  time.Time
	// own are the last samples of this gateway's demand, the newest last, and sampledAt is the time of
	// that one.
	own       [demandSamples]float64
	sampledAt time.Time
}

// set records sums, and this gateway's own demand at the same time.
func (t *totalDemand) set(now time.Time, all, own float64) {
	t.all, t.at = all, now
	if now.Sub(t.sampledAt) >= sampleInterval {
		copy(t.own[:], t.own[1:])
		t.own[demandSamples-1], t.sampledAt = own, now
	}
}

// difference returns by how much this gateway's demand differs from the mean in all samples; 0 if some
// are above and others below it.
func (t *totalDemand) difference(mean float64) float64 {
	low, high := slices.Min(t.own[:])-mean, slices.Max(t.own[:])-mean
	if low > 0 {
		return low
	}
	return min(high, 0)
}

// Part returns this gateway's part of the demand on the service over the given number of gateways. The
// last sums include counted of them; the others are assumed to have the mean demand. It is 1/gateways as
// far as chance explains the difference between this gateway's demand and the mean, and without sums.
func (s *Share) Part(now time.Time, gateways, counted int) float64 {
	even := 1 / float64(max(gateways, 1))
	if counted < 2 || s.total.all <= 0 || now.Sub(s.total.at) > maxTotalsAge {
		return even
	}
	mean := s.total.all / float64(counted)
	difference := s.total.difference(mean)
	significant := max(0, math.Abs(difference)-chanceDeviations*s.deviation(now, mean))
	return min(1, even*max(lowestPart, 1+math.Copysign(significant, difference)/mean))
}

// deviation returns the standard deviation of a gateway's average demand if its requests arrive
// independently of each other at the given mean rate of work; infinite if it gets none. An exponential
// average with time constant T has the variance rate * E(work²) / E(work) / 2T.
func (s *Share) deviation(now time.Time, rate float64) float64 {
	demand := s.demand.at(now)
	if demand == 0 {
		return math.Inf(1)
	}
	return math.Sqrt(rate * s.squares.at(now) / demand / (2 * timeConstant.Seconds()))
}

// setTotal records the demand on the service in the sums of all gateways.
func (s *Share) setTotal(now time.Time, totals []Demand) {
	for _, each := range totals {
		if each.Service == s.service && each.Tenant == allTenants {
			s.total.set(now, each.Demand.perSecond(), s.demand.at(now))
			return
		}
	}
}
