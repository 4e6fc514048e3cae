package dispatch

import (
	"slices"
	"time"
)

const (
	modelSlots       = 64
	modelMemory      = 421980 // tokens
	prefillPerStep   = 2048   // tokens
	prefillPerMilli  = 57     // tokens
	stepMillis       = 3.8
	streamMillis     = 0.09
	copyMillisPer10k = 16
	tokensPerEvent   = 7
)

// modelEngine models a back end that runs a model: it runs requests in steps, caches the shared
// parts of their prompts, and preempts requests if its memory runs out.
type modelEngine struct {
	fleet   *overloadFleet
	id      string
	speed   float64 // times that a step takes as long as usual
	queue   []*modelRun
	running []*modelRun
	cache   map[string]*cachedPart
	used    int // tokens of memory
	inStep  bool
	crashed bool // connections to it fail, and its load is 0
	admits  int
}

// cachedPart is a shared part in an engine's memory. It is kept while requests use it.
type cachedPart struct {
	tokens, users int
	ready         bool
	usedAt        time.Time
}

// modelRun is an attempt at an engine.
type modelRun struct {
	engine    *modelEngine
	urgency   int
	part      string
	shared    int
	own       int
	output    int
	fetchFrom *modelEngine

	admitted  int // the order of admission
	readyAt   time.Time
	unread    int
	taken     int // tokens prefilled in the current step
	decodes   bool
	generated int
	private   int // tokens of memory besides the shared part
	isRunning bool
	// onEvent is called for the first token and whenever tokensPerEvent more are generated, and
	// onEnd when the output is complete.
	onEvent func(generated int)
	onEnd   func()
}

func (e *modelEngine) load() int { return len(e.queue) + len(e.running) }

// begin queues the run behind all that are at least as urgent.
func (e *modelEngine) begin(run *modelRun) {
	run.engine = e
	e.enqueue(run, true)
	e.step()
}

func (e *modelEngine) enqueue(run *modelRun, last bool) {
	at := slices.IndexFunc(e.queue, func(other *modelRun) bool {
		return other.urgency > run.urgency || !last && other.urgency == run.urgency
	})
	if at < 0 {
		at = len(e.queue)
	}
	e.queue = slices.Insert(e.queue, at, run)
}

// drop ends the run at any stage: its caller has left, or it is complete.
func (e *modelEngine) drop(run *modelRun) {
	if run.isRunning {
		e.release(run)
		return
	}
	if at := slices.Index(e.queue, run); at >= 0 {
		e.queue = slices.Delete(e.queue, at, at+1)
	}
}

// release takes the run out of the batch and frees its memory.
func (e *modelEngine) release(run *modelRun) {
	at := slices.Index(e.running, run)
	e.running = slices.Delete(e.running, at, at+1)
	e.used -= run.private
	run.private, run.isRunning, run.decodes, run.taken = 0, false, false, 0
	part := e.cache[run.part]
	part.users--
	if part.users == 0 && !part.ready {
		e.remove(run.part)
	}
}

func (e *modelEngine) remove(part string) {
	e.used -= e.cache[part].tokens
	delete(e.cache, part)
}

// makeRoom evicts the least recently used parts until the tokens fit, and reports whether they do.
func (e *modelEngine) makeRoom(tokens int) bool {
	for e.used+tokens > modelMemory {
		oldest := ""
		for id, part := range e.cache {
			if part.users > 0 {
				continue
			}
			before := oldest == "" || part.usedAt.Before(e.cache[oldest].usedAt)
			if before || part.usedAt.Equal(e.cache[oldest].usedAt) && id < oldest {
				oldest = id
			}
		}
		if oldest == "" {
			return false
		}
		e.remove(oldest)
	}
	return true
}

// admit moves queued runs into the batch while there are slots and memory.
func (e *modelEngine) admit() {
	now := e.fleet.now
	for len(e.queue) > 0 && len(e.running) < modelSlots {
		run := e.queue[0]
		part := e.cache[run.part]
		missing := 0
		if part == nil {
			missing = run.shared
		} else {
			part.users++ // not evicted to make room for the run's own tokens
		}
		fits := e.makeRoom(missing + run.own + run.generated)
		if part != nil {
			part.users--
		}
		if !fits {
			return
		}
		e.queue = e.queue[1:]
		e.admits++
		run.admitted, run.isRunning, run.private = e.admits, true, run.own+run.generated
		run.unread, run.readyAt = run.private, now
		if part == nil {
			part = &cachedPart{tokens: run.shared}
			e.cache[run.part] = part
		}
		if !part.ready {
			e.fetch(run, part)
		}
		part.users++
		part.usedAt = now
		e.used += missing + run.private
		e.running = append(e.running, run)
	}
}

// fetch copies the run's shared part from its source, or adds it to what must be prefilled.
func (e *modelEngine) fetch(run *modelRun, part *cachedPart) {
	if run.fetchFrom != nil && run.fetchFrom != e {
		if source := run.fetchFrom.cache[run.part]; source != nil && source.ready {
			source.usedAt = e.fleet.now
			part.ready = true
			run.readyAt = e.fleet.now.Add(millis(copyMillisPer10k * float64(run.shared) / 10000))
			return
		}
	}
	run.unread += run.shared
	e.fleet.notePrefill(run.part, run.shared)
}

// step begins a step unless one is in progress or there is nothing to do.
func (e *modelEngine) step() {
	if e.inStep {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	now, streams, budget := e.fleet.now, 0, prefillPerStep
	wake := time.Time{}
	for _, run := range e.running {
		run.decodes = run.unread == 0
		switch {
		case run.decodes:
			streams++
		case run.readyAt.After(now):
			if wake.IsZero() || run.readyAt.Before(wake) {
				wake = run.readyAt
			}
		default:
			run.taken = min(run.unread, budget)
			budget -= run.taken
		}
	}
	e.inStep = true
	if streams == 0 && budget == prefillPerStep {
		e.fleet.schedule(wake, e.endStep)
		return
	}
	prefilled := float64(prefillPerStep - budget)
	e.fleet.schedule(now.Add(millis(e.speed*(stepMillis+streamMillis*float64(streams)+prefilled/prefillPerMilli))), e.endStep)
}

func (e *modelEngine) endStep() {
	e.inStep = false
	for _, run := range slices.Clone(e.running) {
		if !run.isRunning || !run.decodes && run.taken == 0 {
			continue
		}
		run.unread -= run.taken
		run.taken = 0
		if run.unread > 0 {
			continue
		}
		e.cache[run.part].ready = true
		e.cache[run.part].usedAt = e.fleet.now
		run.generated++
		run.private++
		e.used++
		if run.generated == 1 || run.generated%tokensPerEvent == 0 {
			run.onEvent(run.generated)
		}
		if run.isRunning && run.generated >= run.output {
			e.drop(run)
			run.onEnd()
		}
	}
	for !e.makeRoom(0) {
		e.preempt()
	}
	e.step()
}

// preempt puts the newest of the least urgent runs back into the queue.
func (e *modelEngine) preempt() {
	victim := slices.MaxFunc(e.running, func(a, b *modelRun) int {
		if a.urgency != b.urgency {
			return a.urgency - b.urgency
		}
		return a.admitted - b.admitted
	})
	e.release(victim)
	e.enqueue(victim, false)
	e.fleet.preempted++
}

func millis(count float64) time.Duration { return time.Duration(count * float64(time.Millisecond)) }
