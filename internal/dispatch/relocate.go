package dispatch

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// A back end that is silent may go on. So a silent stream is taken up elsewhere, and an attempt without an
// answer is replaced, only by a decision that takes everything it needs at once: an attempt of the route,
// room at another member, and a retry of the budget. All requests at a silent back end are examined at the
// same moment, and what is only looked at is promised to each of them.
//
// The room that a gateway knows is out of date, so the other member may still refuse. Where the request
// may be repeated, the silent attempt is therefore kept until the other one is answered, and is current
// again if that one fails. A run that may not be repeated is only continued from a backup, after its
// silent attempt has been closed, so that no two back ends work on it. Not every back end stops with its connection,
// and if the other one refuses, the run is lost. So the gateway asks here only once the silent back end can't
// be reached, and such a run is listened to for as long as its caller's patience allows.

// ExamineSilence decides about a stream that has been silent for as long as its StreamWatch says. The
// decision has an attempt that takes the stream up elsewhere. Without one, the stream is listened to, and
// is examined again after recheck.
func (c *Core) ExamineSilence(now time.Time, x *Exchange) (decision Decision, recheck time.Duration) {
	if x.current == nil || x.silent != nil {
		return Decision{}, SilenceRecheck
	}
	if x.watch.ByPace {
		if left := c.silenceLimit(now, x) - x.silentFor(now); left > 0 {
			return Decision{}, left
		}
	}
	decision = c.relocate(now, x)
	return decision, SilenceRecheck
}

// silentFor returns the time since the last sign of the current attempt.
func (x *Exchange) silentFor(now time.Time) time.Duration {
	if x.attemptEvents == 0 {
		return now.Sub(x.answeredAt)
	}
	return now.Sub(x.lastEventAt)
}

// silenceLimit returns how long the current attempt may be silent, by the pace of its engine.
func (c *Core) silenceLimit(now time.Time, x *Exchange) time.Duration {
	if x.attemptEvents == 0 {
		return fixedSilenceLimit(x.request.Route)
	}
	if !x.request.Route.MayRepeat() {
		return longestSilence(patience(x.request.Route))
	}
	return silence{
		lasting: x.silentFor(now), own: x.gaps, engine: x.current.gaps, engineLasting: now.Sub(x.current.lastEventAt),
		lag: c.lag, patience: patience(x.request.Route),
	}.limit()
}

// relocate takes a silent stream up at another member, if all that this needs is there. Otherwise it
// changes nothing, and the decision is empty.
func (c *Core) relocate(now time.Time, x *Exchange) Decision {
	if !now.Before(x.request.Deadline) || c.withholds(now, x) {
		return Decision{}
	}
	if x.request.Route.MayRepeat() {
		return c.relocateByResumption(now, x)
	}
	return c.relocateByContinuation(now, x)
}

// relocateByContinuation ends a silent run and continues it from its backup. Only runs that may not be
// repeated are continued: a silent back end may still work on the run, so it has to be stopped first.
func (c *Core) relocateByContinuation(now time.Time, x *Exchange) Decision {
	target := c.continuationTarget(now, x)
	if target == nil || !c.budget(x.service).Spend() {
		return Decision{}
	}
	source := x.backup.source
	c.endSilent(now, x)
	return c.continueAt(now, x, target, source)
}

// relocateByResumption takes a silent stream up by a further run.
func (c *Core) relocateByResumption(now time.Time, x *Exchange) Decision {
	if !c.mayResume(x) {
		return Decision{}
	}
	chosen := c.reserveRetry(now, x)
	if chosen == nil {
		return Decision{}
	}
	silent := x.attempt
	x.silent, x.attempt = &silent, attempt{}
	return c.sendTo(now, x, chosen)
}

// reserveRetry returns the member for another attempt that the route allows, and takes a retry from the
// budget for it. It returns nil, and takes nothing, if there is no member with room or no retry left.
func (c *Core) reserveRetry(now time.Time, x *Exchange) *member {
	if x.failedConnects >= maxFailedConnects || !leadsTo(x.request.Route, x.service) || c.retriesLeft(x.service) < 1 || c.originIsGone(now, x) {
		return nil
	}
	c.pickSide(now, x)
	chosen := c.choose(now, x)
	if chosen == nil || !c.spendRetry(x.service) {
		return nil
	}
	return chosen
}

// ReplaceWaiting decides about an attempt that has had no answer for its HeadTimeout. It returns false if the
// answer is to be waited for further: an attempt is given up only for another one, or for a silent attempt
// that is kept beside it.
func (c *Core) ReplaceWaiting(now time.Time, x *Exchange) (Decision, bool) {
	if x.silent != nil {
		c.endTimedOut(now, x)
		return c.returnToSilent(x), true
	}
	if !c.mayRetry(x) || !now.Before(x.request.Deadline) || c.withholds(now, x) {
		return Decision{}, false
	}
	chosen := c.reserveRetry(now, x)
	if chosen == nil {
		return Decision{}, false
	}
	c.endTimedOut(now, x)
	return c.sendTo(now, x, chosen), true
}

// endSilent ends the current attempt because of its silence. That is no sign of a crash: the gateway
// closes the connection. If other streams of the back end have gone on, it works, and only this stream
// has failed.
func (c *Core) endSilent(now time.Time, x *Exchange) {
	othersGoOn := x.watch.ByPace && othersGoOn(x.silentFor(now), now.Sub(x.current.lastEventAt))
	m := x.release(now)
	c.endBackup(x)
	if othersGoOn {
		m.health.connectionLost(now)
	} else {
		m.health.stalled(now)
	}
	c.recordHealthChange(now, m)
}

// HasSilentAttempt reports whether a silent attempt is kept beside the current one.
func (x *Exchange) HasSilentAttempt() bool { return x.silent != nil }

// TakeOver ends the silent attempt, because the current one has been answered and takes its place.
func (c *Core) TakeOver(now time.Time, x *Exchange) {
	if x.silent == nil {
		return
	}
	successor := x.attempt
	x.attempt, x.silent = *x.silent, nil
	c.endSilent(now, x)
	x.attempt = successor
}

// EndSuccessor ends the current attempt, and the silent one is current again. It has no effect if the silent
// one is current already.
func (c *Core) EndSuccessor(now time.Time, x *Exchange) {
	if x.silent != nil {
		c.endAttempt(now, x)
		c.returnToSilent(x)
	}
}

// returnToSilent makes the silent attempt current again after the one that was to take its place.
func (c *Core) returnToSilent(x *Exchange) Decision {
	c.endBackup(x)
	x.attempt, x.silent = *x.silent, nil
	x.phase = Answering
	x.ran = failure.RanYes
	return Decision{ReturnToSilent: true}
}
