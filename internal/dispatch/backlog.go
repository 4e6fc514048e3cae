package dispatch

import (
	"math"
	"time"
)

// A service that refuses requests has a backlog: the callers that will come back. If all of them
// got the same short Retry-After, they would come back while the overload lasts, be refused again, and
// add to it. So the time grows with the backlog ahead of a caller, and is spread.

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a service without room.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// minDrainRate, in callers per second, is assumed for a service that admits nearly nothing.
	minDrainRate = 0.1
)

// backlog estimates the number of refused callers that will come back to a service. Every gateway
// has an estimate of its own, from the requests that it refuses and admits: returning callers
// reach any gateway, so each gets its share of them.
type backlog struct {
	admitted demand
	refused  demand
	// waiting is the estimate at the time updatedAt.
	waiting   float64
	updatedAt time.Time
}

// update drains the backlog. Callers that haven't come back after maxRetryAfter won't.
func (b *backlog) update(now time.Time) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.waiting = max(0, b.waiting-elapsed*b.drainRate(now)) * math.Exp(-elapsed/maxRetryAfter.Seconds())
	}
	b.updatedAt = now
}

// drainRate returns the number of callers per second that can come back and be admitted: the
// admissions that aren't needed for new callers, who lack room for the share that is refused.
func (b *backlog) drainRate(now time.Time) float64 {
	return b.admitted.perSecond(now) * (1 - b.refusedShare(now))
}

// refusedShare returns the share of the recent requests that was refused.
func (b *backlog) refusedShare(now time.Time) float64 {
	refused := b.refused.perSecond(now)
	all := refused + b.admitted.perSecond(now)
	if all == 0 {
		return 0
	}
	return refused / all
}

func (b *backlog) admit(now time.Time) {
	b.update(now)
	b.admitted.note(now)
}

// refuse adds a refused caller, and returns the time in which the backlog ahead of it drains.
func (b *backlog) refuse(now time.Time) time.Duration {
	b.update(now)
	b.refused.note(now)
	b.waiting++
	drain := min(b.waiting/max(minDrainRate, b.drainRate(now)), maxRetryAfter.Seconds())
	return max(minRetryAfter, time.Duration(drain*float64(time.Second)))
}

// isEmpty reports whether no refused callers are expected back.
func (b *backlog) isEmpty(now time.Time) bool {
	b.update(now)
	return b.waiting < 1
}

// backlogOf returns the backlog of the service.
func (c *Core) backlogOf(service string) *backlog {
	known := c.backlogs[service]
	if known == nil {
		known = &backlog{}
		c.backlogs[service] = known
	}
	return known
}

// spreadReturn spreads the time to come back over half of its length, by a hash of the request, so
// that callers that are refused together don't come back together.
func spreadReturn(x *Exchange, wait time.Duration) time.Duration {
	return wait + time.Duration(hashFraction("return"+x.request.ID)*float64(wait)/2)
}
