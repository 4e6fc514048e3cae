package workload

import (
	"math"
	"time"
)

const (
	// chunkTokens is the number of prompt tokens that an engine prefills in one step at most.
	chunkTokens = 2048
	// defaultOutput is the length of an answer, in tokens, if no request states it.
	defaultOutput = 100
	// longestPrediction limits predictions, so that no sum of them overflows.
	longestPrediction = time.Hour
)

// Predict returns what the engine is expected to do with a request that is sent to it now, beside
// this gateway's own runs and the work of others.
func (e *Engine) Predict(now time.Time, others Work, size Size) Prediction {
	size = size.valid()
	forecast := e.forecast(now, others, size)
	return Prediction{
		FirstToken: duration(e.speed.currentFactor(now, forecast.queued) * forecast.firstToken),
		Pause:      duration(e.speed.currentFactor(now, false) * e.pause(size.Unread, forecast.step)),
		Memory:     e.own.Memory + others.valid().Memory + size.Memory,
	}
}

// forecast is a prediction at the engine's usual speed.
type forecast struct {
	// firstToken is the time to the first token, and step the time of a step that only decodes,
	// in seconds.
	firstToken float64
	step       float64
	// ahead is the number of tokens to be prefilled up to the first token.
	ahead float64
	// queued is true if the request has to wait until other requests have ended.
	queued bool
}

// forecast assumes that prompts are prefilled in the order of arrival. A request that finds no slot
// or memory also waits for other streams to end, which takes decode steps. Both happen in the same
// steps.
func (e *Engine) forecast(now time.Time, others Work, size Size) forecast {
	e.speed.age(now)
	total := e.own.Plus(others.valid()).plusRequest(size)
	step := e.speed.step.at(e.running(total.Streams))
	ahead := float64(total.Unread) - e.prefilledPart(now, step)
	steps := ahead / chunkTokens
	ending := e.streamsToEnd(total)
	if ending > 0 {
		steps = max(steps, ending*e.meanOutput(size)/e.running(total.Streams))
	}
	return forecast{firstToken: e.speed.prompt.at(ahead) + steps*step, step: step, ahead: ahead, queued: ending > 0}
}

// running returns how many of the streams run at once, at least one.
func (e *Engine) running(streams int) float64 {
	if e.limits.Slots > 0 {
		streams = min(streams, e.limits.Slots)
	}
	return float64(max(streams, 1))
}

// prefilledPart estimates how many of the own unread tokens have been prefilled already. The oldest
// waiting run isn't done yet, so they are fewer than the mean of the waiting runs.
func (e *Engine) prefilledPart(now time.Time, step float64) float64 {
	if e.waiting == 0 {
		return 0
	}
	done := max(now.Sub(e.advancedAt).Seconds(), 0) / e.secondsPerToken(now, step)
	return min(done, float64(e.own.Unread)/float64(e.waiting))
}

// PrefillRate returns the number of prompt tokens that the engine is expected to prefill per second
// now, beside its streams.
func (e *Engine) PrefillRate(now time.Time) float64 {
	e.speed.age(now)
	return 1 / e.secondsPerToken(now, e.speed.step.at(e.running(e.own.Streams+e.others.Streams)))
}

// secondsPerToken returns the time in which the engine prefills one token, given the time of a step
// that only decodes, in seconds.
func (e *Engine) secondsPerToken(now time.Time, step float64) float64 {
	return (e.speed.prompt.Each + step/chunkTokens) * e.speed.pace.value(now)
}

// streamsToEnd returns the number of streams that must end before the last request of the total has
// a slot and memory.
func (e *Engine) streamsToEnd(total Work) float64 {
	ending := 0.0
	if e.limits.Slots > 0 {
		ending = float64(max(total.Streams-e.limits.Slots, 0))
	}
	if excess := total.Memory - e.limits.Memory; e.limits.Memory > 0 && excess > 0 {
		ending = max(ending, math.Ceil(float64(excess)*float64(total.Streams)/float64(total.Memory)))
	}
	return min(ending, float64(total.Streams-1))
}

// meanOutput returns the expected length of the running streams' answers, in tokens: that of the
// own runs, or else that of the request. The streams' progress is unknown, so in each step the
// fraction 1/meanOutput of them is assumed to end.
func (e *Engine) meanOutput(size Size) float64 {
	switch {
	case e.output > 0:
		return float64(e.output) / float64(e.own.Streams)
	case size.Output > 0:
		return float64(size.Output)
	default:
		return defaultOutput
	}
}

// pause returns the time, in seconds, of the steps of one event if they prefill as much of the
// prompt as they can.
func (e *Engine) pause(unread int, step float64) float64 {
	tokens := max(e.limits.EventTokens, 1)
	return float64(tokens)*step + float64(min(unread, tokens*chunkTokens))*e.speed.prompt.Each
}

// duration converts seconds.
func duration(seconds float64) time.Duration {
	return time.Duration(min(max(seconds, 0), longestPrediction.Seconds()) * float64(time.Second))
}
