package admission

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// waiter is a request that waits for the bound; it isn't accepted yet.
type waiter struct {
	request Request
	until   time.Time
}

// maxWaiters bounds the requests that wait for the bound.
const maxWaiters = 256

// waitFor returns how long the request may wait for the bound: all its waits together are no
// longer than WaitBudget from its arrival at the router. A wait anew at each back end would add
// up to a multiple, for a refusal that the caller could have had at once.
func (g *Gate) waitFor(request Request) time.Duration {
	wait := time.Duration(0)
	switch {
	case request.Key != nil:
		wait = g.config.OwnerWait
	case request.Last:
		wait = g.config.LastWait
	case request.Affine:
		wait = g.config.AffinityWait
	}
	return min(wait, g.config.WaitBudget-request.Waited)
}

func (g *Gate) hold(now time.Time, request Request, wait time.Duration) []Action {
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

// admitWaiters accepts waiting requests that have come under the bound.
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

// refuseWaiters refuses what only waits for the bound: it can still go elsewhere.
func (g *Gate) refuseWaiters(kind failure.Kind, wait time.Duration) []Action {
	var actions []Action
	for _, waiting := range g.waiters {
		actions = append(actions, g.refuseReleasing(waiting.request, kind, wait))
	}
	g.waiters = nil
	return actions
}
