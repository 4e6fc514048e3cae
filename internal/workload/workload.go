// Package workload accounts for the work outstanding at a model engine, in tokens, and predicts
// how long a further request would wait there. It handles load whose requests differ a
// hundredfold in cost, so that a count of requests says little about the wait, and engines whose
// speed differs and changes.
//
// Engine is a state machine without I/O: callers pass in the time. It is not safe for
// concurrent use.
package workload

import "time"

// Size is the size of one request, in tokens.
type Size struct {
	// Unread is the part of the prompt that the engine must prefill; 0 if unknown.
	Unread int
	// Memory is the part of the engine's memory that the request takes: the part of its prompt
	// that it shares with no other request, and its expected output.
	Memory int
	// Output is the expected length of the answer; 0 if unknown.
	Output int
	// Guessed is true if the engine may hold more of the prompt than assumed, so that the first
	// token may come far earlier than Unread suggests.
	Guessed bool
}

// Work is the work outstanding at an engine: the sums over several requests.
type Work struct {
	// Streams counts the requests, including those still waiting for their first token.
	Streams int
	// Unread counts the prompt tokens that aren't prefilled yet, and Memory the committed tokens.
	Unread int
	Memory int
}

// Plus returns the sum of two amounts of work.
func (w Work) Plus(other Work) Work {
	return Work{Streams: w.Streams + other.Streams, Unread: w.Unread + other.Unread, Memory: w.Memory + other.Memory}
}

// plusRequest returns the work with a request of the given size added.
func (w Work) plusRequest(size Size) Work {
	return w.Plus(Work{Streams: 1, Unread: size.Unread, Memory: size.Memory})
}

// Limits are the limits of an engine that are known from the configuration.
type Limits struct {
	// Slots is the number of requests that run at once; 0 if unknown.
	Slots int
	// Memory is the memory for running requests and cached prompts together, in tokens; 0 if
	// unknown.
	Memory int
	// EventTokens is the number of tokens in one event of a stream; 0 counts as 1.
	EventTokens int
}

// Prediction is what an engine is expected to do with a request.
type Prediction struct {
	// FirstToken is the time from sending the request to its first token.
	FirstToken time.Duration
	// Pause is the longest gap between events of the streams beside the request while the engine
	// prefills its prompt.
	Pause time.Duration
	// Memory is the number of tokens that would be committed at the engine, including the request.
	Memory int
}

// Engine is one engine as seen by one gateway.
type Engine struct {
	limits Limits
	errors *ErrorRecord
	own    Work
	// waiting counts the own runs without a first token, and output sums up the expected
	// output of all own runs, in tokens.
	waiting int
	output  int
	// others is the work of other gateways as last passed in.
	others Work
	// advancedAt is when the prefill of the oldest waiting run began at the earliest, and
	// prefilledAt when an own run last stopped waiting.
	advancedAt  time.Time
	prefilledAt time.Time
	speed       speed
}

// stage is the stage of a run.
type stage uint8

const (
	waiting stage = iota
	streaming
	ended
)

// Run is one request of this gateway at an engine.
type Run struct {
	size  Size
	stage stage
	began time.Time
	// ahead is the number of tokens to be prefilled up to the end of the run's own prompt, as
	// of its begin.
	ahead float64
	// usual and predicted are the times to the first token, in seconds, at the engine's usual
	// speed and at its speed when the run began.
	usual     float64
	predicted float64
	// queued is true if the run had to wait for a slot or for memory.
	queued bool
	// progressAt is when tokens, the number of tokens received since, was last set to 0.
	progressAt time.Time
	tokens     int
}

// Predicted returns the time to the first token that was predicted when the run began.
func (r *Run) Predicted() time.Duration { return duration(r.predicted) }

// NewEngine returns an engine without work. Its speed is assumed to be fallback until it is
// learned; unknown rates stand for defaults. Prediction errors are recorded in errors, which several
// engines may share and which may be nil.
func NewEngine(limits Limits, fallback Rates, errors *ErrorRecord) *Engine {
	return &Engine{limits: limits, errors: errors, speed: newSpeed(fallback)}
}

// SetLimits replaces the limits.
func (e *Engine) SetLimits(limits Limits) { e.limits = limits }

// SetFallback replaces the rates that are assumed while little is learned.
func (e *Engine) SetFallback(fallback Rates) { e.speed.setFallback(fallback) }

// Rates returns the engine's usual rates, without a temporary slowdown.
func (e *Engine) Rates() Rates { return Rates{Prompt: e.speed.prompt.Line, Step: e.speed.step.Line} }

// Pace returns how long work takes at the engine now, relative to the fallback rates. It is above
// 1 for an engine that is always slow, and for one that is slow at present.
func (e *Engine) Pace(now time.Time) float64 {
	e.speed.age(now)
	return e.speed.pace.value(now) * e.speed.relative()
}

// Own returns the work of this gateway's own runs.
func (e *Engine) Own() Work { return e.own }

// Begin adds a run that is sent to the engine now. others is the work of all other gateways.
func (e *Engine) Begin(now time.Time, others Work, size Size) *Run {
	size = size.valid()
	forecast := e.forecast(now, others, size)
	run := &Run{
		size: size, began: now, ahead: forecast.ahead, usual: forecast.firstToken,
		predicted: forecast.firstToken * e.speed.currentFactor(now, forecast.queued), queued: forecast.queued,
	}
	if e.waiting == 0 {
		e.advancedAt = now
	}
	e.waiting++
	e.output += size.Output
	e.own = e.own.plusRequest(size)
	e.others = others.valid()
	return run
}

// FirstToken records the run's first token: its prompt has been prefilled.
func (e *Engine) FirstToken(now time.Time, run *Run) {
	if run == nil || run.stage != waiting {
		return
	}
	e.stopWaiting(now, run)
	run.stage = streaming
	run.progressAt = now
	if run.size.Unread > 0 {
		e.errors.note(now, run.Predicted(), now.Sub(run.began))
		e.learnFirstToken(now, run)
	}
}

// learnFirstToken learns the engine's speed from the run's time to the first token.
func (e *Engine) learnFirstToken(now time.Time, run *Run) {
	ratio := now.Sub(run.began).Seconds() / run.usual
	switch {
	case run.size.Guessed && ratio < smallestGuessedRatio:
	case run.queued:
		e.speed.observeQueue(now, ratio)
	default:
		e.speed.observePrefill(now, run.ahead, ratio)
	}
}

// smallestGuessedRatio is the ratio to the usual time below which the first token of a run of a
// guessed size is assumed to have come early because the engine held more of the prompt. Engines
// differ by a factor of 1.3.
const smallestGuessedRatio = 0.7

// Progress records further tokens of the run after the first one.
func (e *Engine) Progress(now time.Time, run *Run, tokens int) {
	if run == nil || run.stage != streaming || tokens <= 0 {
		return
	}
	run.tokens += tokens
	if run.tokens < max(minWindowTokens, windowEvents*e.limits.EventTokens) {
		return
	}
	if e.isUndisturbed(run) {
		elapsed := now.Sub(run.progressAt).Seconds()
		e.speed.observeSteps(now, e.running(e.own.Streams+e.others.Streams), elapsed/float64(run.tokens))
	}
	run.progressAt = now
	run.tokens = 0
}

const (
	// windowEvents and minWindowTokens set the length of a stream over which the decode step is
	// measured. Single events often arrive together.
	windowEvents    = 2
	minWindowTokens = 8
)

// isUndisturbed reports whether no prefill is known that slowed down the run's steps since
// progressAt: a step that prefills takes up to ten times as long.
func (e *Engine) isUndisturbed(run *Run) bool {
	return e.waiting == 0 && !run.progressAt.Before(e.prefilledAt) && e.others.Unread < chunkTokens
}

// End removes the run. It may be called at any stage, and again.
func (e *Engine) End(now time.Time, run *Run) {
	if run == nil || run.stage == ended {
		return
	}
	if run.stage == waiting {
		e.stopWaiting(now, run)
		e.noteAbandoned(now, run)
	}
	run.stage = ended
	e.own.Streams--
	e.own.Memory -= run.size.Memory
	e.output -= run.size.Output
}

// noteAbandoned learns from a run that ended without a first token after more than the predicted
// time. Otherwise an engine that serves none of its requests in time would keep its prediction.
func (e *Engine) noteAbandoned(now time.Time, run *Run) {
	elapsed := now.Sub(run.began).Seconds()
	isKnown := run.size.Unread > 0 && !run.size.Guessed && !run.queued
	if isKnown && elapsed > run.predicted {
		e.speed.observePace(now, elapsed/run.usual, 1)
	}
}

// stopWaiting removes the run's prompt from the unread tokens.
func (e *Engine) stopWaiting(now time.Time, run *Run) {
	e.waiting--
	e.own.Unread -= run.size.Unread
	e.advancedAt = now
	e.prefilledAt = now
}

// valid returns the size without negative or excessive counts.
func (s Size) valid() Size {
	s.Unread, s.Memory, s.Output = validCount(s.Unread), validCount(s.Memory), validCount(s.Output)
	return s
}

// valid returns the work without negative or excessive counts.
func (w Work) valid() Work {
	return Work{Streams: validCount(w.Streams), Unread: validCount(w.Unread), Memory: validCount(w.Memory)}
}

// validCount limits a number of tokens to a range in which sums don't overflow.
func validCount(tokens int) int { return min(max(tokens, 0), 1<<30) }
