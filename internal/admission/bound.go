package admission

import (
	"math"
	"slices"
	"time"
)

// BoundPolicy configures a pool's load bound.
type BoundPolicy struct {
	// Multiple is the c of the bound: a member's load may be at most c times the pool's
	// mean load.
	Multiple float64
	// RoundDown keeps the load at or below the exact multiple where possible; see round.
	RoundDown bool
	// Window is the age up to which an observed load counts fully.
	Window time.Duration
	// Disabled admits every request. Only baselines and tests set it, for example tests
	// which verify that the checks detect a broken bound.
	Disabled bool
}

// ObservedLoad is the last known load of another member of the pool.
type ObservedLoad struct {
	// Member is the back end's ID.
	Member string
	// Load is the number of requests that the member had accepted and not finished.
	Load int
	// At is the local time at which the load was measured.
	At time.Time
}

// Limit is the load bound at one moment.
type Limit struct {
	// Max is the highest load, the new request included, that may be accepted.
	Max int
	// Mean is the estimated mean load of the pool from which Max was derived.
	Mean float64
}

// LimitFor returns the bound for a member with a load of own requests, given the
// observed loads of the others. The request to be admitted counts towards the mean,
// as in consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
// 2018), so a member of an idle pool admits it, and a sole member always does.
//
// evidence holds the loads that were reported by the members that refused this
// request; they replace older observed loads of those members. They are usually
// milliseconds old, while the observed loads may lag behind a surge: without the
// evidence, a pool whose mean rises quickly would refuse work that it has room for.
// The mean of the evidence alone would be a biased estimate, because members that
// refuse are the loaded ones.
func (p BoundPolicy) LimitFor(now time.Time, own int, others, evidence []ObservedLoad, service time.Duration) Limit {
	if p.Disabled {
		return Limit{Max: math.MaxInt32}
	}
	others = withEvidence(others, evidence)
	estimate := p.mean(now, own, others)
	mean := estimate
	if len(evidence) < min(sufficientEvidence, len(others)) {
		mean -= p.margin(now, others, service)
	}
	return Limit{Max: p.round(mean, estimate), Mean: mean}
}

// sufficientEvidence is the number of loads in the evidence from which the estimate is
// no longer lowered by the margin; in a pool with fewer other members, the loads of all
// of them suffice. A permanent margin could make every member of an evenly loaded pool
// refuse, and the pool would then stay in that state.
const sufficientEvidence = 4

// withEvidence returns others with the newer loads from the evidence in place of theirs.
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

// The number of standard deviations by which the estimated mean is lowered to allow
// for changes since the loads were measured. Higher values violate the bound less
// often and refuse more requests. Rounding down needs fewer, because it already
// lowers the bound by half a request on average. The measurements are in
// docs/DESIGN.md.
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

// margin returns how far the true mean may be below the estimate. If requests arrive
// at random and take about service each, a member's load changes over an age with
// the variance 2·load·(1-exp(-age/service)): proportional to the age while that is
// short, and bounded by the difference of two independent loads. A load of 0 counts
// as 1. The variances of all members add up, and the margin of the pool's total load
// is confidence times the standard deviation. Loads are whole numbers, so this margin
// is rounded up: in a small pool, a fraction of a request would cover no change at
// all. It isn't rounded up if even the end of a single request is less likely than
// an error that the confidence permits.
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

// upperTail returns the probability that a normal variable exceeds its mean by more
// than the given number of standard deviations.
func upperTail(deviations float64) float64 { return math.Erfc(deviations/math.Sqrt2) / 2 }

// round turns the mean into the highest admissible whole load. estimate is the mean
// before it was lowered by the margin. There is always a member whose load, including the
// new request, is at most the rounded-up estimate, and RoundDown allows that much even
// where it exceeds the exact multiple. If it allowed only the rounded-up lowered mean, all
// members of an evenly loaded pool would refuse, and the pool would stay in that state:
// few requests meet the refusals that make up sufficientEvidence. The promised bound,
// Multiple times the true mean rounded up, still holds unless the estimate is above
// Multiple times the true mean.
func (p BoundPolicy) round(mean, estimate float64) int {
	exact := p.Multiple * mean
	if !p.RoundDown {
		return max(1, int(math.Ceil(exact)))
	}
	return max(1, int(math.Floor(exact)), int(math.Ceil(estimate)))
}

// mean estimates the pool's mean load, including the new request. A load that was
// measured before the window counts as at most the mean of the loads measured within
// it: the pool may have emptied since, and a mean that is too high is what violates
// the bound. The member's own load is left out of that mean, because it is members
// with a high load that ask. If no load was measured within the window, all count
// fully.
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
