package dispatch

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// release ends the current attempt and returns its member, or nil without an attempt.
func (x *Exchange) release(now time.Time) *member {
	m := x.current
	x.current = nil
	if m == nil {
		return nil
	}
	x.rolloutAttempt.End(now, x.completed)
	if !x.slotReleased {
		x.releaseSlot(now, m)
	}
	x.slotReleased = false
	return m
}

// releaseSlot subtracts the attempt from the member's load.
func (x *Exchange) releaseSlot(now time.Time, m *member) {
	x.endWork(now)
	m.own = max(m.own-1, 0)
	m.ended++
	m.endings.note(now)
	if x.request.affinity() == "" {
		m.residenceSum += now.Sub(x.sentAt)
	}
}

// endWait records, once for each attempt, that it no longer waits for the back end.
func (x *Exchange) endWait(m *member) {
	if !x.waitEnded {
		x.waitEnded = true
		m.health.waitEnded()
	}
}

// ReleaseSlot records that the back end has finished its work although the answer hasn't been
// read completely: the head has arrived of an answer that is produced completely before it is
// sent. A caller that reads slowly must not occupy a slot of the back end.
func (c *Core) ReleaseSlot(now time.Time, x *Exchange) {
	if x.current != nil && !x.slotReleased {
		x.slotReleased = true
		x.releaseSlot(now, x.current)
		x.endWait(x.current)
	}
}

// endUnanswered ends an attempt that got no answer to pass on, applies its outcome to the
// member, and records a change of the member's health.
func (c *Core) endUnanswered(now time.Time, x *Exchange, outcome func(m *member)) {
	m := x.release(now)
	x.endWait(m)
	outcome(m)
	c.recordHealthChange(now, m)
}

// NotConnected records that no connection could be made, so nothing was sent.
func (c *Core) NotConnected(now time.Time, x *Exchange) Decision {
	c.endUnanswered(now, x, func(m *member) {
		m.health.connectFailed(now)
		c.noteGone(m)
	})
	if x.silent != nil {
		x.attempts--
		x.failedConnects++
		return c.returnToSilent(x)
	}
	if x.continuing {
		if x.request.Route.MayRepeat() {
			x.attempts--
		}
		return c.afterContinuation(now, x)
	}
	x.attempts--
	x.failedConnects++
	if x.failedConnects >= maxFailedConnects {
		return c.giveUp(now, x, failure.BackendUnreachable, "no back end can be connected to")
	}
	return c.attempt(now, x)
}

// Refused records that the back end declared that it did not run the request. The refusal counts
// as a failure if the back end's estimated load is less than half of its slots, unless a
// Retry-After is pending. A back end that refuses a continuation has no copy, which is no failure.
func (c *Core) Refused(now time.Time, x *Exchange) Decision {
	c.endUnanswered(now, x, func(m *member) {
		c.noteAnswered(now, x, m)
		if x.continuing {
			x.forgetTried(m)
			m.health.answered(now)
			return
		}
		if m.health.retryWait(now) == 0 && c.estimate(now, m) < float64(m.backEnd.Slots)/2 {
			m.health.failed(now, c.poolErrorRate(x.service, m))
		} else {
			m.health.answered(now)
		}
	})
	return c.retryOrGiveUp(now, x, failure.PoolExhausted, "the back end did not take the request")
}

// Misdirected records that another back end now uses the address.
func (c *Core) Misdirected(now time.Time, x *Exchange) Decision {
	c.endUnanswered(now, x, func(m *member) {
		m.health.connectFailed(now)
		m.health.displaced = true
		c.noteGone(m)
	})
	return c.retryOrGiveUp(now, x, failure.PoolExhausted, "the back end has gone")
}

// ConnectionLost records that the connection ended before a complete answer: the request may
// have run, and may have crashed the back end.
func (c *Core) ConnectionLost(now time.Time, x *Exchange) Decision {
	c.endUnanswered(now, x, func(m *member) {
		m.health.connectionLost(now)
		c.noteConnectionLost(now, x, m)
	})
	return c.afterUnknownOutcome(now, x)
}

// InvalidAnswer records an answer that can't be used, for example because it isn't the back end's
// own answer to this request. The request may have run.
func (c *Core) InvalidAnswer(now time.Time, x *Exchange) Decision {
	c.endUnanswered(now, x, func(m *member) { m.health.connectionLost(now) })
	return c.afterUnknownOutcome(now, x)
}

// afterUnknownOutcome decides how to proceed after an attempt that got no valid answer and may
// have run.
func (c *Core) afterUnknownOutcome(now time.Time, x *Exchange) Decision {
	x.ran = failure.RanUnknown
	return c.retryOrGiveUp(now, x, failure.BackendFailed, "the back end broke off before it answered")
}

// TimedOut records that no answer to pass on arrived within the deadline. The request may have run.
func (c *Core) TimedOut(now time.Time, x *Exchange) Decision {
	c.endTimedOut(now, x)
	return c.retryOrGiveUp(now, x, failure.TimedOut, "the back end did not answer in time")
}

// endTimedOut ends an attempt for which no answer has arrived. It counts as a failure of the member,
// unless the member is busy and has answered other requests since.
func (c *Core) endTimedOut(now time.Time, x *Exchange) {
	c.endUnanswered(now, x, func(m *member) {
		answeredOthers := m.health.quietSince.After(x.sentAt) // this request waits, so only answers change quietSince
		if !answeredOthers || !c.isBusy(now, m) {
			m.health.connectionLost(now)
		}
	})
	x.ran = failure.RanUnknown
}

// Failed records an error answer of the back end itself. It is passed on to the caller unless
// another attempt is allowed and may help.
func (c *Core) Failed(now time.Time, x *Exchange) Decision {
	m := x.current
	x.ran = failure.RanYes
	x.rolloutAttempt.Failed(now)
	c.noteAnswered(now, x, m)
	c.clearContents(x)
	everywhere := c.paths.failsEverywhere(now, x.request.Path) && !c.config.Disabled[FailingPaths]
	c.paths.note(now, x.request.Path, m.backEnd.Incarnation())
	if everywhere {
		m.health.answered(now)
	} else {
		m.health.failed(now, c.poolErrorRate(x.service, m))
	}
	c.recordHealthChange(now, m)
	if x.silent != nil {
		x.release(now)
		x.endWait(m)
		return c.returnToSilent(x)
	}
	if everywhere || !c.mayRetry(x) || !c.hasAlternative(now, x) || !c.spendRetry(x.service) {
		x.phase = Answering
		x.endWait(m)
		return Decision{}
	}
	x.release(now)
	x.endWait(m)
	return c.attempt(now, x)
}

// Answered records the head of an answer that can be passed on. load is the load that the back
// end reported, or negative without a report.
func (c *Core) Answered(now time.Time, x *Exchange, load int) {
	m := x.current
	x.phase = Answering
	x.ran = failure.RanYes
	x.continuing = false
	x.answeredAt = now
	x.rolloutAttempt.Answered(now)
	x.endWait(m)
	m.health.succeeded(now)
	c.recordHealthChange(now, m)
	c.noteAnswered(now, x, m)
	c.paths.clear(x.request.Path)
	if load >= 0 {
		m.report(now, load)
	}
	if part := x.request.affinity(); part != "" {
		c.holders.note(now, keyOf(part), x.request.sharedTokens(), m.backEnd.Incarnation())
		c.notePrefixes(now, x, m)
	}
}

// Truncated records that a stream broke off after its head, and decides whether the stream is resumed at
// another back end. If its run could be continued from a backup, the decision is left to TakeUp. A stream
// that lasts until its request's deadline was ended by the gateway, which says nothing of its back end.
func (c *Core) Truncated(now time.Time, x *Exchange) Decision {
	m := x.release(now)
	if now.Before(x.request.Deadline) {
		m.health.connectionLost(now)
		c.recordHealthChange(now, m)
		c.noteConnectionLost(now, x, m)
	}
	if c.brokenRunTarget(now, x) != nil {
		return Decision{Confirm: c.confirmation(now, x)}
	}
	return c.resume(now, x)
}

// TakeUp decides how a broken stream goes on, after it was found out whether its run has ended: its run is
// continued from a backup, or the stream is resumed by a further run at another back end.
func (c *Core) TakeUp(now time.Time, x *Exchange, end RunEnd) Decision {
	target := c.brokenRunTarget(now, x)
	if end.Ended && target != nil && c.budget(x.service).Spend() {
		decision := c.continueAt(now, x, target, x.backup.source)
		decision.Send.ContinueCopy = end.Copy
		return decision
	}
	c.endBackup(x)
	return c.resume(now, x)
}

// Done ends the exchange, after a final answer or because the caller disconnected.
func (c *Core) Done(now time.Time, x *Exchange) {
	c.endAttempt(now, x)
	if x.silent != nil {
		c.returnToSilent(x)
		c.endAttempt(now, x)
	}
	delete(c.streams, x)
	x.phase = Ended
}

// endAttempt ends the current attempt without an outcome.
func (c *Core) endAttempt(now time.Time, x *Exchange) {
	waiting := x.phase == Sent
	if m := x.release(now); m != nil && waiting {
		x.endWait(m)
	}
	c.endBackup(x)
}

// retryOrGiveUp decides whether to try again after an attempt that got no answer to pass on.
func (c *Core) retryOrGiveUp(now time.Time, x *Exchange, kind failure.Kind, message string) Decision {
	if x.silent != nil {
		return c.returnToSilent(x)
	}
	if x.continuing {
		return c.afterContinuation(now, x)
	}
	if c.config.Disabled[Retries] {
		return c.giveUp(now, x, kind, message)
	}
	once := !c.config.Disabled[AtMostOnce]
	if once && x.ran != failure.RanNo && !x.request.Route.MayRepeat() {
		return c.giveUp(now, x, kind, message)
	}
	if once && x.attempts >= x.request.Route.MaxAttempts || !c.hasAlternative(now, x) || !c.spendRetry(x.service) {
		return c.giveUp(now, x, kind, message)
	}
	return c.attempt(now, x)
}

// mayRetry reports whether the route allows another attempt at a request that has run.
func (c *Core) mayRetry(x *Exchange) bool {
	if c.config.Disabled[Retries] {
		return false
	}
	return x.request.Route.MayRepeat() && x.attempts < x.request.Route.MaxAttempts
}

// hasAlternative reports whether there is another member that may take the request.
func (c *Core) hasAlternative(now time.Time, x *Exchange) bool {
	c.pickSide(now, x)
	return len(c.candidates(now, x)) > 0
}

// poolErrorRate returns the mean error rate of the service's other members. It is 1 if there are
// none, so that a sole member isn't ejected for its error rate.
func (c *Core) poolErrorRate(service string, except *member) float64 {
	pool := c.pools[service]
	if pool == nil || len(pool.members) < 2 {
		return 1
	}
	total := 0.0
	for _, m := range pool.members {
		if m != except {
			total += m.health.errorRate
		}
	}
	return total / float64(len(pool.members)-1)
}
