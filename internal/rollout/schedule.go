package rollout

import "time"

// For as long as possible, the schedule gives the candidate only as many requests as are needed
// to judge it, and it moves the routes late: a version may turn bad at any time, and what it got
// before that counts as exposure too. The schedule is computed backwards from the deadline:
//
//   - The last part of the duration is reserved for writing the verdict.
//   - The standing back ends stop at once when the verdict is written, so the requests that run
//     there must have ended by then. Therefore all of a route's requests go to the candidate from
//     one drain before the verdict is due. The drain of a route is the time within which nearly
//     all of its requests that still run at the standing version end; the verdict waits for the
//     rest.
//   - During the ramp, which takes rampTime and ends when all requests go to the candidate, the
//     candidate gets a larger share than before, so that a version that fails only under load
//     shows its failures.
//
// Example: an order of 12 s, streams that take 2 s and calls that take 60 ms, both exponentially
// distributed, so that the standard deviation equals the mean. The drain of the streams is
// limited to 4.8 s, and that of the calls is 0.6 s. All streams go to the candidate from 6.2 s
// on, all calls from 10.4 s on, and the verdict is written at 11 s.
const (
	// The duration divided by finishDivisor, but at least minFinish, is reserved for writing the
	// verdict: a write that gets no answer is retried within it.
	finishDivisor = 12
	minFinish     = time.Second
	// rampShare is the share of a route's requests that the candidate gets during the ramp, for
	// the duration divided by rampDivisor, but at least minRamp: enough time for answers and two
	// rounds of tallies.
	rampShare   = 0.25
	rampDivisor = 14
	minRamp     = 800 * time.Millisecond
	// The drain of a route is the mean time of its requests at the standing version, plus
	// drainDeviations standard deviations, plus drainExtra. 1 in 150 exponentially distributed
	// times is longer; the verdict waits for these requests.
	drainDeviations = 4
	drainExtra      = 300 * time.Millisecond
	// maxDrainTenths limits the drain, in tenths of the duration. unknownDrainTenths is the drain
	// of a route of which no complete answer is known yet.
	maxDrainTenths     = 4
	unknownDrainTenths = 3
	// Before its share grows, the candidate is tried for at least the duration divided by
	// probationDivisor, however late its back ends appear.
	probationDivisor = 10
	// canaryFraction is the fraction of the allowed exposure that is spent on the first evidence.
	// The rest covers the larger shares until they are evaluated, and the unevenness of the
	// assignment by hash.
	canaryFraction = 0.5
	// maxCanaryShare is the maximum of the canary share. It leaves the standing version at least
	// as many requests as the candidate gets, to compare with.
	maxCanaryShare = 0.5
	// rateSettleTime is the time after the order from which the rate of requests is known well
	// enough.
	rateSettleTime = 500 * time.Millisecond
)

// fraction returns the order's duration divided by divisor: at least the given time, but at most
// a quarter of the duration.
func (j *Judge) fraction(divisor int, least time.Duration) time.Duration {
	duration := j.order.Duration
	return min(max(duration/time.Duration(divisor), least), duration/4)
}

// completeAt returns the earliest time after the order at which a good candidate's verdict is
// written.
func (j *Judge) completeAt() time.Duration {
	return j.order.Duration - j.fraction(finishDivisor, minFinish)
}

// fullAt returns the time after the order from which all of a route's requests go to the
// candidate: one drain before completeAt, but not before the end of the probation and the ramp.
func (j *Judge) fullAt(route uint32) time.Duration {
	drain := j.order.Duration * unknownDrainTenths / 10
	if bound, known := j.requestTimeBound(route); known {
		drain = min(bound+drainExtra, j.order.Duration*maxDrainTenths/10)
	}
	return max(j.completeAt()-drain, j.probationEnd()+j.rampTime())
}

func (j *Judge) rampTime() time.Duration { return j.fraction(rampDivisor, minRamp) }

// probationEnd returns the time after the order from which the candidate has been tried for long
// enough to get a larger share.
func (j *Judge) probationEnd() time.Duration {
	return j.candidateSince.Sub(j.beganAt) + j.order.Duration/probationDivisor
}

// share returns the fraction of the route's requests that go to the candidate.
func (j *Judge) share(now time.Time, route uint32) float64 {
	switch {
	case j.state == Completed:
		return 1
	case j.state == Reverted || j.abandoned || !j.HasCandidates():
		return 0
	case !j.hasQuorum(now):
		// A gateway without a quorum sees too few answers to use a larger share.
		return canaryFraction * j.limits.Share
	}
	elapsed := now.Sub(j.beganAt)
	full := j.fullAt(route)
	switch {
	case j.isDoubtful():
		return j.canaryShare(elapsed)
	case elapsed >= full:
		return 1
	case elapsed >= full-j.rampTime():
		return max(rampShare, j.canaryShare(elapsed))
	default:
		return j.canaryShare(elapsed)
	}
}

// canaryShare returns the share that collects the first evidence: a fraction of what the limits
// allow over the whole duration, if requests keep coming at the rate so far.
func (j *Judge) canaryShare(elapsed time.Duration) float64 {
	allowed := j.limits.Share
	if sent := j.totalSent(); elapsed >= rateSettleTime && sent > 0 {
		expected := max(sent, sent*j.order.Duration.Seconds()/elapsed.Seconds())
		allowed += j.limits.Extra / expected
	}
	return min(canaryFraction*allowed, maxCanaryShare)
}
