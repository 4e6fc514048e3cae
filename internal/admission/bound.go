package admission

import (
	"math"
	"slices"
	"time"
)

// BoundPolicy is a pool's setting of the load bound.
type BoundPolicy struct {
	// Multiple is c: the load may be at most c times the pool's mean.
	Multiple float64
	// RoundDown keeps the load below the exact multiple where it can.
	RoundDown bool
	// Window is the age to which an observed load counts in full.
	Window time.Duration
	// Disabled admits everything; only baselines and checks of the checkers
	// set it.
	Disabled bool
}

// ObservedLoad is another member's load as last heard.
type ObservedLoad struct {
	// Member is the back end.
	Member string
	// Load is the number of requests the member had accepted and not finished.
	Load int
	// At is the local time at which the load was measured.
	At time.Time
}

// Limit is the bound at one moment.
type Limit struct {
	// Max is the highest load, the new request included, that may be accepted.
	Max int
	// Mean is the estimate of the pool's mean load it was reckoned from.
	Mean float64
}

// LimitFor returns the bound for a member that carries own requests while the
// others carry what was observed. The request to be admitted counts towards the
// mean, as in consistent hashing with bounded loads (Mirrokni, Thorup and
// Zadimoghaddam, 2018), so an empty pool admits and a sole member always does.
//
// evidence holds the loads that the request met where it was refused; they
// replace what was observed of those members. They are milliseconds old, while
// the observed loads may lag behind a surge; without them, a pool whose mean
// rises fast would refuse work that it has room for. Their average alone would
// not do as an estimate: members that refuse are the loaded ones.
func (p BoundPolicy) LimitFor(now time.Time, own int, others, evidence []ObservedLoad, service time.Duration) Limit {
	if p.Disabled {
		return Limit{Max: math.MaxInt32}
	}
	others = withEvidence(others, evidence)
	mean := p.mean(now, own, others)
	if len(evidence) < min(sufficientEvidence, len(others)) {
		mean -= p.margin(now, others, service)
	}
	return Limit{Max: p.round(mean), Mean: mean}
}

// fullEvidence is the number of refusals after which the estimate is no longer
// lowered. A margin that stayed could make a pool with equal loads refuse
// everywhere, and so stay as it is.
const sufficientEvidence = 4

// replace returns others with the loads of the evidence in their place.
func withEvidence(others, evidence []ObservedLoad) []ObservedLoad {
	if len(evidence) == 0 {
		return others
	}
	replaced := slices.Clone(others)
	for _, reported := range evidence {
		at := slices.IndexFunc(replaced, func(other ObservedLoad) bool { return other.Member == reported.Member })
		switch {
		case at < 0:
			replaced = append(replaced, reported)
		case replaced[at].At.Before(reported.At):
			replaced[at] = reported
		}
	}
	return replaced
}

// The number of standard deviations by which the estimate of the mean is lowered
// for what may have changed since the loads were measured. Higher breaks the
// bound more rarely and refuses more. Rounding down lowers the bound by half a
// request on average already. docs/DESIGN.md has the measurements.
const (
	confidenceRoundUp   = 2.5
	confidenceRoundDown = 0.5
)

func (p BoundPolicy) confidence() float64 {
	if p.RoundDown {
		return confidenceRoundDown
	}
	return confidenceRoundUp
}

// margin is how far the true mean may be below the estimate. Requests that come
// at random and take about service make a member's load change, over an age, with
// the variance 2·load·(1-exp(-age/service)): in proportion to the age while that
// is short, and never more than two independent loads differ. The changes of all
// members add up by their variances. Loads are whole numbers, so the sum is
// rounded up unless even the end of a single request is less likely than what the
// confidence leaves: in a small pool a fraction of a request would cover none.
func (p BoundPolicy) margin(now time.Time, others []ObservedLoad, service time.Duration) float64 {
	variance := 0.0
	for _, other := range others {
		age := min(max(now.Sub(other.At), 0), p.Window)
		turnover := 1 - math.Exp(-age.Seconds()/service.Seconds())
		variance += 2 * float64(max(1, other.Load)) * turnover
	}
	margin := p.confidence() * math.Sqrt(variance)
	// Half of the variance is the expected number of requests that ended.
	if variance/2 > upperTail(p.confidence()) {
		margin = math.Ceil(margin)
	}
	return margin / float64(len(others)+1)
}

// upperTail is the probability that a normal variable lies more than so many
// standard deviations above its mean.
func upperTail(deviations float64) float64 { return math.Erfc(deviations/math.Sqrt2) / 2 }

// round turns the mean into the highest whole load. At least one member always
// has a load, the new request included, of at most the rounded-up mean, so that
// much is allowed under either rounding; without it, a pool with a small mean
// would refuse work everywhere.
func (p BoundPolicy) round(mean float64) int {
	exact := p.Multiple * mean
	if !p.RoundDown {
		return max(1, int(math.Ceil(exact)))
	}
	return max(1, int(math.Floor(exact)), int(math.Ceil(mean)))
}

// mean estimates the pool's mean load with the new request counted. A load that
// was measured before the window may only lower the estimate: the pool may have
// emptied since, and a mean that is too high is what breaks the bound. The own
// load has no part in that comparison, since the question is put by members with
// a high one.
func (p BoundPolicy) mean(now time.Time, own int, others []ObservedLoad) float64 {
	fresh, freshTotal := 0, 0
	for _, other := range others {
		if now.Sub(other.At) <= p.Window {
			fresh++
			freshTotal += other.Load
		}
	}
	total := float64(own + 1 + freshTotal)
	freshMean := float64(freshTotal) / float64(max(1, fresh))
	for _, other := range others {
		if now.Sub(other.At) <= p.Window {
			continue
		}
		if fresh == 0 {
			total += float64(other.Load)
			continue
		}
		total += math.Min(float64(other.Load), freshMean)
	}
	return total / float64(len(others)+1)
}
