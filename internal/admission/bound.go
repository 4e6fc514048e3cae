package admission

import (
	"math"
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

// minEvidence is the number of loads met at other members from which their
// average is trusted as a fresh sample of the pool.
const minEvidence = 3

// LimitFor returns the bound for a member that carries own requests while the
// others carry what was observed. The request to be admitted counts towards the
// mean, as in consistent hashing with bounded loads (Mirrokni, Thorup and
// Zadimoghaddam, 2018), so an empty pool admits and a sole member always does.
//
// evidence holds the loads that the request met where it was refused. Those are
// milliseconds old, while the observed loads may lag behind a surge; without
// them, a pool whose mean rises fast would refuse work that it has room for.
func (p BoundPolicy) LimitFor(now time.Time, own int, others []ObservedLoad, evidence []int) Limit {
	if p.Disabled {
		return Limit{Max: math.MaxInt32}
	}
	mean := p.mean(now, own, others)
	limit := Limit{Max: p.round(mean), Mean: mean}
	if len(evidence) >= minEvidence {
		if byEvidence := int(math.Ceil(meanWith(own, evidence))); byEvidence > limit.Max {
			limit.Max = byEvidence
		}
	}
	return limit
}

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
// emptied since, and a mean that is too high is what breaks the bound.
func (p BoundPolicy) mean(now time.Time, own int, others []ObservedLoad) float64 {
	fresh, freshTotal := 0, 0
	for _, other := range others {
		if now.Sub(other.At) <= p.Window {
			fresh++
			freshTotal += other.Load
		}
	}
	total := float64(own + 1 + freshTotal)
	freshMean := float64(own+freshTotal) / float64(fresh+1)
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

func meanWith(own int, evidence []int) float64 {
	total := own + 1
	for _, load := range evidence {
		total += load
	}
	return float64(total) / float64(len(evidence)+1)
}
