package rollout

import "time"

// The plan gives the candidate as little as its evidence needs for as long as the move of all
// can wait, since a version may turn bad at any moment: what it got before counts as exposure
// too. Backwards from the deadline: the verdict takes finishTime to be written, and before it
// the standing back ends must have ended what they run, since they stop at once. So a route is
// moved whole by the time that its requests take before that, and for rampTime before it gets a
// part, at which a version that only bears little shows.
//
// Worked out for 12 s, streams that take 2 s and calls that take 60 ms: the streams are moved
// from 5.7 s on, the calls from 10.5 s on, and the verdict is written at 11 s.
const (
	// finishPart is the part of the time, as one in so many, kept for writing the verdict, from
	// leastFinish: a call that gets no answer is made again within it.
	finishDivisor = 12
	minFinish     = time.Second
	// rampShare is what a route gives the candidate for rampPart of the time, from leastRamp:
	// answers, and two rounds of tallies, fit into it.
	rampShare   = 0.25
	rampDivisor = 14
	minRamp     = 800 * time.Millisecond
	// drainDeviations is how many standard deviations above the mean time of a route's requests,
	// with drainExtra more, let those that run at the standing version end: 1 in 150 of
	// exponentially spread times takes longer, and is waited for.
	drainDeviations = 4
	drainExtra      = 300 * time.Millisecond
	// longestDrainTenths bounds that, in tenths of the time; unknownDrain tenths are taken for a
	// route whose requests haven't ended yet.
	maxDrainTenths     = 4
	unknownDrainTenths = 3
	// probationPart is the part of the time, as one in so many, for which a candidate is
	// tried at least, whenever its back ends appear.
	probationDivisor = 10
	// canarySpend is the part of the allowed exposure that is spent on the first evidence. The
	// rest covers the moves until they are judged; a lot also falls unevenly.
	canaryFraction = 0.5
	// mostCanary keeps as many requests at the standing version to compare with.
	maxCanaryShare = 0.5
	// settledTime is the time from which the rate of requests is known well enough.
	rateSettleTime = 500 * time.Millisecond
)

// part returns one in so many of the order's time, bounded.
func (j *Judge) fraction(divisor int, least time.Duration) time.Duration {
	duration := j.order.Duration
	return min(max(duration/time.Duration(divisor), least), duration/4)
}

// completeAt is the time after the order at which a good candidate's verdict is written.
func (j *Judge) completeAt() time.Duration {
	return j.order.Duration - j.fraction(finishDivisor, minFinish)
}

// fullAt is the time after the order from which a route's requests all go to the candidate.
func (j *Judge) fullAt(route uint32) time.Duration {
	drain := j.order.Duration * unknownDrainTenths / 10
	if bound, known := j.requestTimeBound(route); known {
		drain = min(bound+drainExtra, j.order.Duration*maxDrainTenths/10)
	}
	return max(j.completeAt()-drain, j.probationEnd()+j.rampTime())
}

func (j *Judge) rampTime() time.Duration { return j.fraction(rampDivisor, minRamp) }

// triedAt is the time after the order from which the candidate has been tried for long enough
// to get more.
func (j *Judge) probationEnd() time.Duration {
	return j.candidateSince.Sub(j.beganAt) + j.order.Duration/probationDivisor
}

// share returns the part of the route's requests that go to the candidate.
func (j *Judge) share(now time.Time, route uint32) float64 {
	switch {
	case j.state == Completed:
		return 1
	case j.state == Reverted || j.abandoned || !j.HasCandidates():
		return 0
	case !j.hasQuorum(now):
		// Alone, a gateway sees too little to give more.
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

// canary returns the share for the first evidence: a part of what the limits allow over the
// whole time, at the rate so far.
func (j *Judge) canaryShare(elapsed time.Duration) float64 {
	allowed := j.limits.Share
	if sent := j.totalSent(); elapsed >= rateSettleTime && sent > 0 {
		expected := max(sent, sent*j.order.Duration.Seconds()/elapsed.Seconds())
		allowed += j.limits.Extra / expected
	}
	return min(canaryFraction*allowed, maxCanaryShare)
}
