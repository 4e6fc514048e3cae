// Package admission controls which requests one back end gets: it enforces the load
// bound and the deadlines, queues fairly, and runs each idempotency key at most once.
//
// Gate is a state machine without I/O. Its owner passes typed events and the
// current time to Step and performs the returned actions in order. A Gate is not
// safe for concurrent use.
package admission

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// Config configures a Gate.
type Config struct {
	// Bound is the pool's load bound.
	Bound BoundPolicy
	// AffinityWait is how long an affine request may wait for room under the bound.
	AffinityWait time.Duration
	// OwnerWait is how long a request with a key may wait for room under the bound,
	// because no other back end may run it. LastAttemptWait is the same for a request
	// whose router might try no other back end. When the pool's mean load rises, the
	// bound rises only as updates of the mean arrive, over several windows; a caller
	// that is refused before then comes back and waits for the same updates. Higher
	// values refuse fewer requests while a pool fills up, but delay the refusal of
	// those that never get room.
	OwnerWait       time.Duration
	LastAttemptWait time.Duration
	// MaxRunning is the number of requests that may run at a time.
	MaxRunning int
	// MaxQueued is the number of accepted requests that may wait to run.
	MaxQueued int
	// Weights are the tenants' weights in the fair queue; 1 if absent.
	Weights map[string]float64
}

// acceptedRequest is a request admitted under the bound: running or queued.
type acceptedRequest struct {
	request   Request
	limit     int
	startedAt time.Time
	running   bool
}

// defaultServiceTime is assumed until the first request has finished.
const defaultServiceTime = time.Second

// serviceTimeSmoothing is the weight of a new sample in the moving average.
const serviceTimeSmoothing = 0.1

// Gate controls the admission of requests to one back end.
type Gate struct {
	config   Config
	keys     *keyTable
	others   []ObservedLoad
	waiters  []waiter
	queue    *fairQueue
	accepted map[RequestID]*acceptedRequest
	running  int
	leaving  bool
	// backOffUntil is the time until which the back end wants no requests.
	backOffUntil time.Time
	// meanServiceTime is the average running time; 0 until a request has finished.
	meanServiceTime time.Duration
}

// NewGate returns an empty gate.
func NewGate(config Config, keys KeyTableConfig) *Gate {
	g := &Gate{keys: newKeyTable(keys), queue: newFairQueue(), accepted: map[RequestID]*acceptedRequest{}}
	g.configure(config)
	return g
}

func (g *Gate) configure(config Config) {
	g.config = config
	g.queue.weights = config.Weights
}

// Load returns the number of accepted requests that have not finished, running or
// queued. This is the load that the bound limits.
func (g *Gate) Load() int { return len(g.accepted) }

// Running returns the number of requests at the back end.
func (g *Gate) Running() int { return g.running }

// Waiting returns the number of requests that wait for room under the bound.
func (g *Gate) Waiting() int { return len(g.waiters) }

// IsLeaving reports whether the gate is permanently closed for new requests.
func (g *Gate) IsLeaving() bool { return g.leaving }

// Limit returns the current bound, without evidence from refusals.
func (g *Gate) Limit(now time.Time) Limit {
	return g.config.Bound.LimitFor(now, g.Load(), g.others, nil, g.serviceTime())
}

// Step processes one event and returns the resulting actions.
func (g *Gate) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case Arrive:
		return g.arrive(now, e.Request)
	case Finished:
		return g.finished(now, e)
	case Cancelled:
		return g.cancelled(now, e.ID)
	case PoolObserved:
		g.others = e.Others
		return g.admitWaiters(now)
	case Configured:
		g.configure(e.Config)
		return g.admitWaiters(now)
	case Leave:
		return g.leave()
	case BackOff:
		return g.backOff(now, e.For)
	case Tick:
		return g.tick(now)
	}
	return nil
}

func (g *Gate) arrive(now time.Time, request Request) []Action {
	if g.leaving {
		return []Action{g.refuse(request, failure.Leaving, 0)}
	}
	if !now.Before(request.Deadline) {
		return []Action{g.refuse(request, failure.DeadlineUnmeetable, 0)}
	}
	if request.Key != nil {
		if action, settled := g.checkKey(now, request); settled {
			return []Action{action}
		}
	}
	if left := g.backOffUntil.Sub(now); left > 0 {
		return []Action{g.refuseReleasing(request, failure.QueueFull, left)}
	}
	limit := g.limitFor(now, request)
	if g.Load()+1 <= limit.Max {
		return g.accept(now, request, limit.Max)
	}
	if wait := g.boundWait(now, request); wait > 0 && len(g.waiters) < maxWaiters {
		return g.addWaiter(now, request, wait)
	}
	return []Action{g.refuseReleasing(request, failure.OverBound, g.expectedFinish())}
}

// checkKey returns the reply to a request that must not run because of its key. If
// settled is false, the request may proceed, and its key has been recorded.
func (g *Gate) checkKey(now time.Time, request Request) (action Action, settled bool) {
	verdict, outcome := g.keys.begin(now, *request.Key)
	switch verdict {
	case verdictReplay:
		return Replay{ID: request.ID, Outcome: outcome}, true
	case verdictInProgress:
		return g.refuse(request, failure.KeyInProgress, 0), true
	case verdictReused:
		return g.refuse(request, failure.KeyReused, 0), true
	case verdictUnknown:
		return g.refuse(request, failure.OutcomeUnknown, 0), true
	case verdictFuture:
		return g.refuse(request, failure.InvalidRequest, 0), true
	default:
		return nil, false
	}
}

func (g *Gate) limitFor(now time.Time, request Request) Limit {
	return g.config.Bound.LimitFor(now, g.Load(), g.others, request.Evidence, g.serviceTime())
}

// serviceTime returns how long a request takes at this back end. The pool's other
// members are assumed to take as long.
func (g *Gate) serviceTime() time.Duration {
	if g.meanServiceTime <= 0 {
		return defaultServiceTime
	}
	return g.meanServiceTime
}

// accept starts or queues a request that fits under the bound. It refuses the request
// if it couldn't start before its deadline, or if the queue is full and no queued
// request is displaced for it.
func (g *Gate) accept(now time.Time, request Request, limit int) []Action {
	if g.running < g.config.MaxRunning {
		g.accepted[request.ID] = &acceptedRequest{request: request, limit: limit}
		return []Action{g.start(now, request.ID)}
	}
	if wait := g.expectedWait(g.queue.len()); now.Add(wait).After(request.Deadline) {
		return []Action{g.refuseReleasing(request, failure.DeadlineUnmeetable, wait)}
	}
	var actions []Action
	if g.queue.len() >= g.config.MaxQueued {
		victim, displaced := g.queue.displace(request)
		if !displaced {
			return []Action{g.refuseReleasing(request, failure.QueueFull, g.expectedWait(g.queue.len()))}
		}
		delete(g.accepted, victim.ID)
		actions = append(actions, g.refuseReleasing(victim, failure.QueueFull, g.expectedWait(g.queue.len())))
	}
	g.accepted[request.ID] = &acceptedRequest{request: request, limit: limit}
	g.queue.push(request)
	return actions
}

func (g *Gate) start(now time.Time, id RequestID) Start {
	entry := g.accepted[id]
	entry.running = true
	entry.startedAt = now
	g.running++
	return Start{ID: id, Load: g.Load(), Limit: entry.limit}
}

func (g *Gate) finished(now time.Time, event Finished) []Action {
	entry, known := g.accepted[event.ID]
	if !known || !entry.running {
		return nil
	}
	delete(g.accepted, event.ID)
	g.running--
	g.updateServiceTime(now.Sub(entry.startedAt))
	g.recordOutcome(entry.request, event)
	return append(g.startQueued(now), g.admitWaiters(now)...)
}

func (g *Gate) recordOutcome(request Request, event Finished) {
	switch {
	case request.Key == nil:
	case event.NotRun:
		g.keys.release(*request.Key)
	default:
		g.keys.finish(*request.Key, event.Outcome)
	}
}

func (g *Gate) updateServiceTime(took time.Duration) {
	if g.meanServiceTime == 0 {
		g.meanServiceTime = took
		return
	}
	g.meanServiceTime += time.Duration(serviceTimeSmoothing * float64(took-g.meanServiceTime))
}

// startQueued starts queued requests while there is capacity. A request whose
// deadline has passed is refused instead.
func (g *Gate) startQueued(now time.Time) []Action {
	var actions []Action
	for g.running < g.config.MaxRunning {
		request, ok := g.queue.pop()
		if !ok {
			break
		}
		if !now.Before(request.Deadline) {
			delete(g.accepted, request.ID)
			actions = append(actions, g.refuseReleasing(request, failure.DeadlineUnmeetable, g.expectedWait(0)))
			continue
		}
		actions = append(actions, g.start(now, request.ID))
	}
	return actions
}

// cancelled drops a request that has not started. A running one is ended by
// Finished, once the back end has released it.
func (g *Gate) cancelled(now time.Time, id RequestID) []Action {
	for i, waiting := range g.waiters {
		if waiting.request.ID == id {
			g.waiters = slices.Delete(g.waiters, i, i+1)
			g.releaseKey(waiting.request)
			return nil
		}
	}
	if request, queued := g.queue.remove(id); queued {
		delete(g.accepted, id)
		g.releaseKey(request)
		return g.admitWaiters(now)
	}
	return nil
}

// leave closes the gate permanently. Accepted requests are finished. Requests that
// only wait for room under the bound are refused: they have not run, so they can be
// sent to another back end.
func (g *Gate) leave() []Action {
	if g.leaving {
		return nil
	}
	g.leaving = true
	return g.refuseWaiters(failure.Leaving, 0)
}

// backOff refuses all requests that have not started, including queued ones: they
// could reach the back end while it wants none, and, as they have not run, they can
// be sent again, to another back end if they have no key. Running requests are
// finished.
func (g *Gate) backOff(now time.Time, wait time.Duration) []Action {
	if until := now.Add(wait); until.After(g.backOffUntil) {
		g.backOffUntil = until
	}
	left := g.backOffUntil.Sub(now)
	actions := g.refuseWaiters(failure.QueueFull, left)
	for request, ok := g.queue.pop(); ok; request, ok = g.queue.pop() {
		delete(g.accepted, request.ID)
		actions = append(actions, g.refuseReleasing(request, failure.QueueFull, left))
	}
	return actions
}

func (g *Gate) refuse(request Request, kind failure.Kind, wait time.Duration) Refuse {
	return Refuse{ID: request.ID, Kind: kind, RetryAfter: wait, Load: g.Load()}
}

// refuseReleasing refuses a request that was certainly not run and releases its
// key, so that the caller's next attempt may run.
func (g *Gate) refuseReleasing(request Request, kind failure.Kind, wait time.Duration) Refuse {
	g.releaseKey(request)
	return g.refuse(request, kind, wait)
}

func (g *Gate) releaseKey(request Request) {
	if request.Key != nil {
		g.keys.release(*request.Key)
	}
}
