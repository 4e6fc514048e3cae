package dispatch

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// maxContinuations is the number of times that one run is continued. A request may be the cause of
// the failures of its engines: each continuation may cost a further one.
const maxContinuations = 2

// Continuations returns how often the run was continued from a backup.
func (x *Exchange) Continuations() int { return x.continuations }

// continuationTarget returns the member at which the broken run can be continued from its backup, or
// nil. It must accept new requests, be reachable, have warm-up quota left, and have room to continue.
//
// On a route that allows a request to be repeated, another attempt must be left: if the target has
// no copy after all, the stream is resumed without it.
func (c *Core) continuationTarget(now time.Time, x *Exchange) *member {
	route := x.request.Route
	if x.backup == nil || c.config.Disabled[Backups] || c.config.Disabled[Retries] || x.continuations >= maxContinuations ||
		!x.eventsNumbered() || !now.Before(x.request.Deadline) || route.MayRepeat() && x.attempts+1 >= route.MaxAttempts {
		return nil
	}
	target := x.backup.target
	pool := c.poolMembers(now, x.service)
	at := slices.IndexFunc(pool, func(m *member) bool {
		return m.backEnd.Incarnation().Matches(target.Incarnation()) && m.backEnd.Address == target.Address
	})
	if at < 0 {
		return nil
	}
	m := pool[at]
	c.pickSide(now, x)
	if !m.health.reachable(now) || !c.acceptsNew(now, x, m) || !c.hasRoomToContinue(now, m) || len(c.withWarmUpQuota(now, []*member{m})) == 0 {
		return nil
	}
	return m
}

// continuationReserve is the fraction of a back end's slots, beyond the capacity for the most urgent
// requests, that only continuations use. New requests fill the capacity when others crash; a refused
// continuation would waste the work done so far and the copy's memory, and a new request is refused
// at no cost.
const continuationReserve = 0.25

// continuationBudgetShare is the fraction of the capacity of a gateway's retry budget that is reserved
// for continuations while the gateway has runs that are backed up. A crash causes retries and
// continuations at the same moment. Without a reserve, the retries that come first may use up the budget,
// and runs that could be continued are lost with all the work done for them.
const continuationBudgetShare = 0.5

// retriesLeft returns the number of retries other than continuations that the service's budget allows. It
// may be negative.
func (c *Core) retriesLeft(service string) float64 {
	if c.backedUpRuns[service] == 0 {
		return c.budget(service).Tokens()
	}
	return c.budget(service).TokensAbove(continuationBudgetShare)
}

// spendRetry takes a retry other than a continuation from the service's budget. It returns false if none
// is left.
func (c *Core) spendRetry(service string) bool {
	return c.retriesLeft(service) >= 1 && c.budget(service).Spend()
}

// hasRoomToContinue reports whether a continued run fits into the member's capacity.
func (c *Core) hasRoomToContinue(now time.Time, m *member) bool {
	slots := float64(m.backEnd.Slots)
	if slots <= 0 {
		slots = defaultCapacity
	}
	return c.knownLoad(now, m)+1 <= slots*(engineFactor+continuationReserve)
}

// Confirmation is what has to be found out before the run of a broken stream is continued: whether its back
// end has stopped working on it. The end of a connection doesn't tell: not every back end drops a request
// with its connection.
type Confirmation struct {
	// Target is the address of the back end that has the copy.
	Target string
	// MayStop is true if the back ends of the service accept the call that stops a run.
	MayStop bool
	// Until is the time by which the stream must go on.
	Until time.Time
}

// RunEnd is what was found out about a run whose stream broke off.
type RunEnd struct {
	// Ended is true if the back end has stopped working on the run.
	Ended bool
	// Copy is the ID of a copy at the target that replaces the one ordered with the request, or "".
	Copy string
}

// resumableConfirmTime is how long a broken stream rests for its confirmation if a further run could resume it.
// A process that has ended refuses connections within a round trip.
const resumableConfirmTime = 100 * time.Millisecond

// confirmation returns what has to be found out before the broken run is continued.
func (c *Core) confirmation(now time.Time, x *Exchange) *Confirmation {
	until := now.Add(resumableConfirmTime)
	if !c.mayResume(x) {
		until = now.Add(longestSilence(patience(x.request.Route)) - x.silentFor(now))
	}
	return &Confirmation{Target: x.backup.target.Address, MayStop: c.services[x.service].Moves, Until: until}
}

// brokenRunTarget returns the member at which a run whose stream broke off can be continued once it has ended, or nil.
func (c *Core) brokenRunTarget(now time.Time, x *Exchange) *member {
	if x.backup == nil || c.withholds(now, x) || c.budget(x.service).Tokens() < 1 {
		return nil
	}
	return c.continuationTarget(now, x)
}

// continueAt starts the attempt that continues the run of the engine with the source address at the
// target, which has the copy.
//
// A continuation uses the retry budget, since it adds load when back ends fail. It is not an attempt
// to run the request: the target goes on with the memory of the first engine, which has stopped, so
// there is still one run. Therefore it is allowed on routes whose requests may run only once, and
// doesn't count towards the attempts there. On other routes it counts, because the limit there
// bounds the work that one request may cause.
func (c *Core) continueAt(now time.Time, x *Exchange, target *member, source string) Decision {
	send := c.newSend(now, x, target)
	send.HeadTimeout = c.headTimeout(now, x, target)
	send.ContinueFrom = source
	if c.isWarmingUp(now, target) {
		target.warmUpSends = append(target.warmUpSends, now)
	}
	if x.request.Route.MayRepeat() {
		x.attempts++
	}
	x.continuations++
	x.continuing = true
	c.orderBackup(now, x, target, send)
	return c.start(now, x, target, send)
}

// afterContinuation decides how to proceed after a continuation that got no answer to pass on: as if
// there had been no backup.
func (c *Core) afterContinuation(now time.Time, x *Exchange) Decision {
	x.continuing = false
	c.endBackup(x)
	return c.resume(now, x)
}

// mayResume reports whether the route and the settings allow to resume the stream by a further run.
func (c *Core) mayResume(x *Exchange) bool {
	return x.request.Route.Resumable && !c.config.Disabled[Resumption] && c.mayRetry(x)
}

// resume resumes a broken stream at another back end by a further run, if the route allows that.
func (c *Core) resume(now time.Time, x *Exchange) Decision {
	mayResume := c.mayResume(x)
	if mayResume && c.originIsGone(now, x) {
		x.phase = Ended
		return Decision{GiveUp: failure.New(failure.StreamVersionGone, "no back end is left of version "+x.origin.Version+", which began the stream")}
	}
	if !mayResume || !c.hasAlternative(now, x) || !c.spendRetry(x.service) {
		x.phase = Ended
		return Decision{GiveUp: failure.New(failure.StreamBroken, "the back end broke off in its answer")}
	}
	return c.attempt(now, x)
}

// forgetTried makes the member available for another attempt.
func (x *Exchange) forgetTried(m *member) {
	x.tried = slices.DeleteFunc(x.tried, func(id string) bool { return id == m.backEnd.ID })
}
