package dispatch

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// RefusalReason is why a gateway refused a request with kind failure.PoolExhausted. Operators see it in
// status, logs and metrics; no decision depends on it.
type RefusalReason string

// The closed list of reasons. docs/OPERATIONS.md says what to do about each.
const (
	// RefusedNoRoom: the back ends that may take the request have no room for it.
	RefusedNoRoom RefusalReason = "no_room"
	// RefusedLostDraw: the request didn't get one of the free places of its service, which are drawn
	// for among all gateways. Without a free place, the reason is RefusedNoRoom.
	RefusedLostDraw RefusalReason = "lost_draw"
	// RefusedExcess: the request is beyond its tenant's fair share, and lost its draw or found no room
	// that others leave.
	RefusedExcess RefusalReason = "excess"
	// RefusedWarmUp: the back ends that may take the request are warming up and get no more now.
	RefusedWarmUp RefusalReason = "warming_up"
	// RefusedResting: all back ends asked for a pause with Retry-After.
	RefusedResting RefusalReason = "resting"
	// RefusedNoBackEnd: the service has no back end that accepts new requests: none is listed, or
	// all are leaving, evacuated, or of a version that the request may not go to.
	RefusedNoBackEnd RefusalReason = "no_back_end"
	// RefusedAfterAttempt: back ends were tried and didn't take the request, and no further attempt
	// is possible.
	RefusedAfterAttempt RefusalReason = "after_attempt"
)

// RefusalReasons returns all reasons in a fixed order.
func RefusalReasons() []RefusalReason {
	return []RefusalReason{RefusedNoRoom, RefusedLostDraw, RefusedExcess, RefusedWarmUp, RefusedResting, RefusedNoBackEnd, RefusedAfterAttempt}
}

// Refusal returns why the request was refused, or "" unless it was given up with kind
// failure.PoolExhausted.
func (x *Exchange) Refusal() RefusalReason { return x.refusal }

// reasonNoneChosen returns why no member was chosen for the request.
func (c *Core) reasonNoneChosen(now time.Time, x *Exchange) RefusalReason {
	accepts := func(m *member) bool { return c.acceptsNew(now, x, m) }
	if !slices.ContainsFunc(c.poolMembers(now, x.service), accepts) {
		return RefusedNoBackEnd
	}
	if _, all := c.earliestRetry(now, x); all {
		return RefusedResting
	}
	candidates := c.candidates(now, x)
	switch {
	case len(candidates) == 0:
		return RefusedAfterAttempt
	case len(c.withWarmUpQuota(now, candidates)) == 0:
		return RefusedWarmUp
	case x.Excess():
		return RefusedExcess
	case x.lostDraw && slices.ContainsFunc(candidates, func(m *member) bool { return c.hasRoom(now, m, x) }):
		return RefusedLostDraw
	default:
		return RefusedNoRoom
	}
}

// refusalTimeConstant is the time constant of the rates of refusals that operators see.
const refusalTimeConstant = 10 * time.Second

// refusalRecord is what operators see of the refusals of one service.
type refusalRecord struct {
	rates map[RefusalReason]*demand
	// retryAfter is the Retry-After of the last refusal, and refusedAt the time of that refusal.
	retryAfter time.Duration
	refusedAt  time.Time
}

// noteRefusal records the reason of a final error of kind failure.PoolExhausted. Errors of other kinds
// have no reason, so they clear one that an earlier decision recorded.
func (c *Core) noteRefusal(now time.Time, x *Exchange, refusal *failure.Error) {
	if refusal.Kind != failure.PoolExhausted {
		x.refusal = ""
		return
	}
	if x.refusal == "" {
		x.refusal = RefusedAfterAttempt
	}
	record := c.refusalsOf(x.service)
	record.rateOf(x.refusal).note(now)
	record.retryAfter, record.refusedAt = refusal.RetryDelay(), now
}

// refusalsOf returns the record of the service's refusals.
func (c *Core) refusalsOf(service string) *refusalRecord {
	known := c.refusals[service]
	if known == nil {
		known = &refusalRecord{rates: map[RefusalReason]*demand{}}
		c.refusals[service] = known
	}
	return known
}

// rateOf returns the rate of the refusals with the reason.
func (r *refusalRecord) rateOf(reason RefusalReason) *demand {
	known := r.rates[reason]
	if known == nil {
		known = &demand{timeConstant: refusalTimeConstant}
		r.rates[reason] = known
	}
	return known
}

// RefusalStatus is what a gateway refuses of the requests to one service.
type RefusalStatus struct {
	// Rates are the recent refusals by reason, in the order of RefusalReasons, without zeros.
	Rates []RefusalRate
	// Backlog is the estimated number of refused callers that will come back to this gateway; 0
	// for services whose work isn't counted in tokens.
	Backlog float64
	// RetryAfter is the Retry-After that was last given, or 0 if none was within maxRetryAfter.
	RetryAfter time.Duration
}

// RefusalRate is how often a gateway refuses requests for one reason.
type RefusalRate struct {
	Reason    RefusalReason
	PerSecond float64
}

// smallestRefusalRate is the rate, per second, below which a reason is no longer shown: that of one
// refusal half a minute ago.
const smallestRefusalRate = 0.005

// refusalStatus returns the refusals of the service. It changes nothing on which a decision rests.
func (c *Core) refusalStatus(now time.Time, service string) RefusalStatus {
	var status RefusalStatus
	if known := c.backlogs[service]; known != nil {
		backlog := *known
		backlog.update(now)
		status.Backlog = backlog.waiting
	}
	record := c.refusals[service]
	if record == nil {
		return status
	}
	if now.Sub(record.refusedAt) <= maxRetryAfter {
		status.RetryAfter = record.retryAfter
	}
	for _, reason := range RefusalReasons() {
		if rate := record.rates[reason]; rate != nil && rate.perSecond(now) >= smallestRefusalRate {
			status.Rates = append(status.Rates, RefusalRate{Reason: reason, PerSecond: rate.perSecond(now)})
		}
	}
	return status
}

// roomLeft returns how many more requests the member takes, as a home of their prompts, of those that are
// most urgent and within their tenants' shares. ok is false unless the service's work is counted in tokens
// and the member's number of slots is known.
func (c *Core) roomLeft(now time.Time, m *member) (requests float64, ok bool) {
	x := &Exchange{service: m.backEnd.Service, request: Request{PromptTokens: 1, Parts: []Part{{ID: "any"}}}}
	if !c.countsTokens(x) || m.backEnd.Slots <= 0 {
		return 0, false
	}
	return max(0, c.roomFor(now, m, x, true).left), true
}
