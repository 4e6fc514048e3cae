package admission

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// waiter is a request that waits for room under the bound; it isn't accepted yet.
type waiter struct {
	request Request
	until   time.Time
}

// maxWaiters limits the waiters of a gate; further requests over the bound are refused at
// once.
const maxWaiters = 256

// boundWait returns how long the request may wait for room under the bound. A request with
// a wait budget of its own doesn't wait after the budget's end: a request that met several
// back ends would otherwise wait its full time at each of them.
func (g *Gate) boundWait(now time.Time, request Request) time.Duration {
	wait := g.attemptWait(request)
	if request.WaitUntil.IsZero() {
		return wait
	}
	return min(wait, request.WaitUntil.Sub(now))
}

// attemptWait returns how long an attempt alone may wait for room under the bound.
func (g *Gate) attemptWait(request Request) time.Duration {
	switch {
	case request.Key != nil:
		return g.config.OwnerWait
	case request.LastAttempt:
		return g.config.LastAttemptWait
	case request.Affine:
		return g.config.AffinityWait
	default:
		return 0
	}
}

func (g *Gate) addWaiter(now time.Time, request Request, wait time.Duration) []Action {
	until := now.Add(wait)
	if request.Deadline.Before(until) {
		until = request.Deadline
	}
	g.waiters = append(g.waiters, waiter{request: request, until: until})
	slices.SortStableFunc(g.waiters, func(a, b waiter) int {
		return int(a.request.Priority) - int(b.request.Priority)
	})
	return nil
}

// admitWaiters calls accept for the waiters that now fit under the bound.
func (g *Gate) admitWaiters(now time.Time) []Action {
	var actions []Action
	var remaining []waiter
	for _, waiting := range g.waiters {
		limit := g.limitFor(now, waiting.request)
		if g.Load()+1 <= limit.Max {
			actions = append(actions, g.accept(now, waiting.request, limit.Max)...)
			continue
		}
		remaining = append(remaining, waiting)
	}
	g.waiters = remaining
	return actions
}

// refuseWaiters refuses all waiters. They have not run, so they can be sent again.
func (g *Gate) refuseWaiters(kind failure.Kind, wait time.Duration) []Action {
	var actions []Action
	for _, waiting := range g.waiters {
		actions = append(actions, g.refuseReleasing(waiting.request, kind, wait))
	}
	g.waiters = nil
	return actions
}
