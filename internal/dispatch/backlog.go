package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A service that refuses requests has a backlog: the callers that will come back. If each was
// told the same short time, they would come back while the overload lasts, be refused again, and
// add to it. So the time grows with the backlog ahead of a caller, and is spread.

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a service without room.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// returnCycle is the period after which the return slot of a prompt recurs, and returnWindow
	// the length of a slot. It covers the differences between the gateways' clocks and the time
	// that a caller takes to come back.
	returnCycle  = 2 * time.Second
	returnWindow = 250 * time.Millisecond
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

// update drains the backlog by the admissions that aren't needed for new callers: the share of all
// requests that is refused is the share of the room that new callers lack.
func (b *backlog) update(now time.Time) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.waiting = max(0, b.waiting-elapsed*b.admitted.perSecond(now)*(1-b.refusedShare(now)))
	}
	b.updatedAt = now
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
	drain := b.waiting / max(1, b.admitted.perSecond(now))
	return min(max(minRetryAfter, time.Duration(drain*float64(time.Second))), maxRetryAfter)
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

// returnTime moves a time to come back to the return slot of the request: a moment that follows
// from its prompt and the time alone. So callers are spread, and any gateway recognises one that
// comes back when it was told to.
func returnTime(now time.Time, x *Exchange, wait time.Duration) time.Duration {
	return wait + (returnCycle-sinceReturnSlot(now.Add(wait), x))%returnCycle
}

// isReturning reports whether the request may come from a caller that was refused and comes back
// when it was told to. One in returnCycle/returnWindow new requests is taken for one, too.
func isReturning(now time.Time, x *Exchange) bool { return sinceReturnSlot(now, x) < returnWindow }

// sinceReturnSlot returns the time since the beginning of the request's last return slot.
func sinceReturnSlot(now time.Time, x *Exchange) time.Duration {
	phase := time.Duration(xxhash.Sum64String(x.request.ownPart()) % uint64(returnCycle))
	return (time.Duration(now.UnixNano()%int64(returnCycle)) + returnCycle - phase) % returnCycle
}
