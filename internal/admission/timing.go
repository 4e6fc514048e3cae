package admission

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// tick admits waiters that now fit under the bound. It refuses waiters that have waited
// too long, and queued requests that can no longer be started before their deadline.
func (g *Gate) tick(now time.Time) []Action {
	actions := g.admitWaiters(now)
	var remaining []waiter
	for _, waiting := range g.waiters {
		if now.Before(waiting.until) {
			remaining = append(remaining, waiting)
			continue
		}
		actions = append(actions, g.refuseReleasing(waiting.request, failure.OverBound, g.expectedFinish()))
	}
	g.waiters = remaining
	return append(actions, g.refuseUnmeetable(now)...)
}

// refuseUnmeetable refuses queued requests that, by their position in the queue,
// would start after their deadline.
func (g *Gate) refuseUnmeetable(now time.Time) []Action {
	var unmeetable []Request
	ahead := 0
	g.queue.each(func(request Request) {
		if now.Add(g.expectedWait(ahead)).After(request.Deadline) {
			unmeetable = append(unmeetable, request)
			return
		}
		ahead++
	})
	var actions []Action
	for _, request := range unmeetable {
		g.queue.remove(request.ID)
		delete(g.accepted, request.ID)
		actions = append(actions, g.refuseReleasing(request, failure.DeadlineUnmeetable, g.expectedWait(g.queue.len())))
	}
	return actions
}

// expectedWait estimates the time until a request starts that has ahead requests
// before it in the queue.
func (g *Gate) expectedWait(ahead int) time.Duration {
	if g.config.MaxRunning == 0 {
		return g.meanServiceTime
	}
	return time.Duration(float64(g.meanServiceTime) * float64(ahead) / float64(g.config.MaxRunning))
}

// expectedFinish estimates the time until one of the running requests finishes.
func (g *Gate) expectedFinish() time.Duration {
	if g.running == 0 {
		return g.meanServiceTime
	}
	return g.meanServiceTime / time.Duration(g.running)
}
