package workload

import (
	"math"
	"time"
)

const (
	// usualForgetting is the time constant with which an engine's usual rates are forgotten. A
	// gateway sees an engine about once a second, so its usual rates rest on about 20 requests.
	usualForgetting = 20 * time.Second
	// paceForgetting is the time constant with which a temporary slowdown is forgotten. A slow
	// neighbour lasts about 0.6 s, and must show within half of that.
	paceForgetting = 300 * time.Millisecond
	// queueForgetting is the time constant with which the waits of queued requests are forgotten: the
	// time in which a queue of a few seconds is served.
	queueForgetting = 4 * time.Second
	// agingInterval is the minimum time between two updates of the usual rates for their age.
	agingInterval = time.Second
	// stepWeight is the weight of a sample of the decode step. There are several in each run.
	stepWeight = 0.5
	// halfWeightTokens is the number of prefilled tokens at which a time to the first token counts
	// half as a sample of the engine's speed. With fewer, it consists mostly of the overhead.
	halfWeightTokens = 512
	// typicalTokens and typicalStreams are the load at which speeds are compared.
	typicalTokens  = 4096
	typicalStreams = 16
	// smallestStepRatio and largestStepRatio are the ratios to the usual decode step beyond which a
	// sample is ignored: events were delayed before and then arrived together, or the steps
	// prefilled prompts of other gateways. Steps of the only stream have no such prefill.
	smallestStepRatio = 0.25
	largestStepRatio  = 4
)

// speed is the learned speed of an engine. Its usual rates, prompt and step, change slowly, which
// averages out what the gateway doesn't know, such as the work of others. pace is a short-term factor
// on both of them, because a slow neighbour slows down prefill and decode alike.
type speed struct {
	prompt fittedLine
	step   fittedLine
	// level is the engine's usual slowness relative to the fallback.
	level factor
	pace  factor
	// queue is the factor by which the time of requests that wait for a slot or for memory differs
	// from the forecast, which assumes that streams end at an even rate.
	queue factor
	// agedAt is when the age of the usual rates was last taken into account.
	agedAt time.Time
	// lastStepRatio is the previous sample of the decode step, relative to the usual one.
	lastStepRatio float64
}

func newSpeed(fallback Rates) speed {
	s := speed{
		prompt: newFittedLine(typicalTokens, defaultRates.Prompt), step: newFittedLine(typicalStreams, defaultRates.Step),
		level: factor{forgetting: usualForgetting}, pace: factor{forgetting: paceForgetting},
		queue:         factor{forgetting: queueForgetting},
		lastStepRatio: math.Inf(1),
	}
	s.setFallback(fallback)
	return s
}

func (s *speed) setFallback(fallback Rates) {
	s.prompt.fallback = fallback.Prompt.orDefault(defaultRates.Prompt)
	s.step.fallback = fallback.Step.orDefault(defaultRates.Step)
	s.fit()
}

func (s *speed) fit() {
	level := s.level.value(s.agedAt)
	s.prompt.fit(level)
	s.step.fit(level)
}

// relative returns the time of typical work at the usual rates, relative to the fallback.
func (s *speed) relative() float64 {
	const steps = typicalTokens / chunkTokens
	usual := s.prompt.at(typicalTokens) + steps*s.step.at(typicalStreams)
	return usual / (s.prompt.fallback.at(typicalTokens) + steps*s.step.fallback.at(typicalStreams))
}

// age lets the usual rates approach the fallback as time goes by.
func (s *speed) age(now time.Time) {
	elapsed := now.Sub(s.agedAt)
	if elapsed < agingInterval {
		return
	}
	kept := math.Exp(-elapsed.Seconds() / usualForgetting.Seconds())
	s.agedAt = now
	s.prompt.decay(kept)
	s.step.decay(kept)
	s.fit()
}

// observePrefill learns from a time to the first token, given relative to that at the usual rates.
func (s *speed) observePrefill(now time.Time, tokens, ratio float64) {
	s.observe(now, &s.prompt, sample{load: tokens, ratio: ratio, weight: 1, speedWeight: tokens / (tokens + halfWeightTokens)})
}

// observeQueue learns from a time to the first token that includes waiting for a slot or for memory.
func (s *speed) observeQueue(now time.Time, ratio float64) {
	s.queue.observe(now, clampOutlier(ratio/s.pace.value(now)), 1)
}

// currentFactor returns the factor on the usual times at present, for a request that is queued or not.
func (s *speed) currentFactor(now time.Time, queued bool) float64 {
	if queued {
		return s.pace.value(now) * s.queue.value(now)
	}
	return s.pace.value(now)
}

// observeSteps learns from the mean time of several decode steps, in seconds. Of each two
// consecutive samples, the lower one is used: a slow engine delays both, whereas the unknown prefill
// of another gateway's prompt mostly delays one.
func (s *speed) observeSteps(now time.Time, streams, seconds float64) {
	ratio := seconds / s.step.at(streams)
	lower := min(ratio, s.lastStepRatio)
	s.lastStepRatio = ratio
	if lower < smallestStepRatio || lower > largestStepRatio && streams > 1 {
		return
	}
	s.observe(now, &s.step, sample{load: streams, ratio: lower, weight: stepWeight, speedWeight: stepWeight})
}

// smallestPace and largestPace limit what one sample says of the pace. A slow neighbour makes work
// take 2.5 times as long; higher ratios are mostly due to unknown work.
const (
	smallestPace = 0.5
	largestPace  = 4
)

func (s *speed) observePace(now time.Time, ratio, weight float64) {
	s.pace.observe(now, min(max(ratio, smallestPace), largestPace), weight)
}

func (s *speed) observe(now time.Time, line *fittedLine, seen sample) {
	s.age(now)
	s.observePace(now, seen.ratio, seen.speedWeight)
	s.level.observe(now, clampOutlier(seen.ratio)*line.at(seen.load)/line.fallback.at(seen.load), seen.speedWeight)
	line.observe(seen)
	line.fit(s.level.value(now))
}
