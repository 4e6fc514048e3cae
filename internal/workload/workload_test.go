package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

var start = time.Unix(1_800_000_000, 0)

var testLimits = Limits{Slots: 64, Memory: 421_980, EventTokens: 7}

func constant(slowness float64) func(time.Time) float64 {
	return func(time.Time) float64 { return slowness }
}

// near reports whether two numbers are equal except for rounding.
func near(a, b float64) bool { return math.Abs(a-b) <= 1e-9*math.Abs(b) }

// runEvery sends a request of one gateway at each interval, of varying size, until the given time
// after the start.
func (f *simulatedFleet) runEvery(interval time.Duration, until time.Duration) {
	sizes := []int{130, 4000, 1200, 11_800, 600, 7000}
	for i, at := 0, f.engine.now; at.Before(start.Add(until)); i, at = i+1, at.Add(interval) {
		f.advance(at)
		f.send(i%len(f.gateways), Size{Unread: sizes[i%len(sizes)], Memory: 300, Output: 80}, func(time.Time) {})
	}
	f.advance(start.Add(until))
}

// A request takes its place in the sums at its begin and gives it back at its end: prompt tokens at
// the first token, the rest at the end.
func TestOwnWork(t *testing.T) {
	is := is.New(t)
	e := NewEngine(testLimits, Rates{}, nil)
	run := e.Begin(start, Work{}, Size{Unread: 1000, Memory: 300, Output: 80})
	other := e.Begin(start, Work{}, Size{Unread: 50, Memory: 90, Output: 8})
	is.Equal(e.Own(), Work{Streams: 2, Unread: 1050, Memory: 390})
	e.FirstToken(start.Add(time.Second), run)
	e.FirstToken(start.Add(time.Second), run) // a second call must not count
	is.Equal(e.Own(), Work{Streams: 2, Unread: 50, Memory: 390})
	e.Progress(start.Add(2*time.Second), run, 100)
	e.End(start.Add(2*time.Second), run)
	is.Equal(e.Own(), Work{Streams: 1, Unread: 50, Memory: 90})
	e.End(start.Add(2*time.Second), other)
	is.Equal(e.Own(), Work{})
}

// Runs end at any stage, possibly twice, with steps out of order: none may leave anything behind,
// or the engine would seem loaded for good.
func TestEndAtAnyStage(t *testing.T) {
	is := is.New(t)
	e := NewEngine(testLimits, Rates{}, nil)
	first, progress, end := func(run *Run) { e.FirstToken(start, run) }, func(run *Run) { e.Progress(start, run, 20) }, func(run *Run) { e.End(start, run) }
	for _, steps := range [][]func(*Run){
		{end}, {end, end}, {first, end}, {first, end, end}, {first, progress, end}, {progress, end}, {end, first}, {end, first, progress, end}, {end, progress},
	} {
		run := e.Begin(start, Work{}, Size{Unread: 500, Memory: 100, Output: 10})
		for _, step := range steps {
			step(run)
		}
		is.Equal(e.Own(), Work{})
	}
	for _, step := range []func(*Run){first, progress, end} {
		step(nil) // a request without a run
	}
	is.Equal(e.Own(), Work{})
}

// Without samples, predictions follow from the fallback, or from defaults without one. A gateway
// that has just started must serve at once.
func TestPredictionWithoutSamples(t *testing.T) {
	is := is.New(t)
	e := NewEngine(testLimits, Rates{}, nil)
	is.True(near(e.Rates().Prompt.Each, defaultRates.Prompt.Each) && near(e.Rates().Step.Fixed, defaultRates.Step.Fixed))
	is.True(near(e.Pace(start), 1))
	p := e.Predict(start, Work{}, Size{Unread: 11_800, Memory: 500, Output: 80})
	is.True(p.FirstToken > 200*time.Millisecond && p.FirstToken < 280*time.Millisecond) // the page: 0.2 s
	slow := Rates{Prompt: Line{Fixed: 0.01, Each: 0.0001}, Step: Line{Fixed: 0.01, Each: 0.001}}
	is.True(NewEngine(testLimits, slow, nil).Predict(start, Work{}, Size{Unread: 11_800}).FirstToken > time.Second)
}

// Work ahead of a request, of this gateway and of others, delays it. What was prefilled since is no
// longer ahead of it.
func TestWorkAheadDelaysFirstToken(t *testing.T) {
	is := is.New(t)
	e := NewEngine(testLimits, Rates{}, nil)
	size := Size{Unread: 1000, Memory: 100, Output: 80}
	alone := e.Predict(start, Work{}, size).FirstToken
	behindOthers := e.Predict(start, Work{Streams: 2, Unread: 20_000}, size).FirstToken
	is.True(behindOthers > alone+340*time.Millisecond) // 20,000 tokens at 17.5 µs
	run := e.Begin(start, Work{}, Size{Unread: 20_000, Memory: 100, Output: 80})
	behindOwn := e.Predict(start, Work{}, size).FirstToken
	is.True(behindOwn > alone+340*time.Millisecond)
	later := e.Predict(start.Add(200*time.Millisecond), Work{}, size).FirstToken
	is.True(later < behindOwn-150*time.Millisecond)
	is.True(later > alone)
	muchLater := e.Predict(start.Add(time.Hour), Work{}, size).FirstToken // the first token hasn't come
	is.True(muchLater >= alone)
	e.FirstToken(start.Add(time.Hour), run)
}

// A request that finds all slots taken waits until streams have ended, and longer the more wait
// before it.
func TestQueueForSlots(t *testing.T) {
	is := is.New(t)
	e := NewEngine(testLimits, Rates{}, nil)
	size := Size{Unread: 100, Memory: 100, Output: 80}
	last := e.Predict(start, Work{Streams: 63}, size).FirstToken
	is.True(last < 20*time.Millisecond) // the last slot is free
	for _, streams := range []int{64, 80, 128, 256} {
		p := e.Predict(start, Work{Streams: streams}, size).FirstToken
		is.True(p > last)
		last = p
	}
	// 193 of 64 streams at a time with 80 steps of 9.6 ms each take 2.3 s.
	is.True(last > 2*time.Second && last < 3*time.Second)
}

// The forecast of the wait for a slot assumes that streams end at an even rate. Where that is wrong,
// the waits of earlier requests correct it.
func TestWaitsForSlotsAreLearned(t *testing.T) {
	is := is.New(t)
	e := NewEngine(testLimits, Rates{}, nil)
	size, others := Size{Unread: 100, Memory: 100, Output: 80}, Work{Streams: 150}
	forecast := e.Predict(start, others, size).FirstToken
	now := start
	for range 5 {
		run := e.Begin(now, others, size)
		now = now.Add(forecast * 3 / 2)
		e.FirstToken(now, run)
		e.End(now, run)
	}
	ratio := e.Predict(now, others, size).FirstToken.Seconds() / forecast.Seconds()
	is.True(ratio > 1.3 && ratio < 1.6)
	is.True(near(e.Pace(now), 1)) // the engine isn't slower
}

// A request that doesn't fit into memory waits for running ones to end.
func TestQueueForMemory(t *testing.T) {
	is := is.New(t)
	e := NewEngine(testLimits, Rates{}, nil)
	size := Size{Unread: 100, Memory: 20_000, Output: 500}
	fits := e.Predict(start, Work{Streams: 20, Memory: 400_000}, size)
	is.Equal(fits.Memory, 420_000)
	full := e.Predict(start, Work{Streams: 20, Memory: 410_000}, size)
	is.Equal(full.Memory, 430_000)
	is.True(full.FirstToken > fits.FirstToken+100*time.Millisecond) // one of 20 streams ends every 25 steps
	never := e.Predict(start, Work{}, Size{Unread: 100, Memory: 1 << 30})
	is.Equal(never.Memory, 1<<30) // doesn't fit at all: the caller sees that
}

// The longest gap between events beside a prefill is an event's steps with a full chunk in each, as
// far as the prompt lasts.
func TestPause(t *testing.T) {
	is := is.New(t)
	e := NewEngine(testLimits, Rates{}, nil)
	pause := func(unread int) time.Duration { return e.Predict(start, Work{Streams: 9}, Size{Unread: unread}).Pause }
	steps := 7 * (3800 + 10*90) * time.Microsecond
	is.True((pause(0) - steps).Abs() < time.Millisecond)
	is.True((pause(4000) - steps - 70*time.Millisecond).Abs() < time.Millisecond)
	is.Equal(pause(7*2048), pause(100_000))
}

// Limits that the configuration doesn't name don't limit anything, and impossible sizes do no harm.
func TestZeroLimitsAndInvalidSizes(t *testing.T) {
	is := is.New(t)
	e := NewEngine(Limits{}, Rates{}, nil)
	for _, size := range []Size{{}, {Unread: -5, Memory: -5, Output: -5}, {Unread: math.MaxInt, Memory: math.MaxInt, Output: math.MaxInt}} {
		for _, others := range []Work{{}, {Streams: -1, Unread: -1, Memory: -1}, {Streams: 1000, Unread: math.MaxInt, Memory: math.MaxInt}} {
			p := e.Predict(start, others, size)
			is.True(p.FirstToken >= 0 && p.FirstToken <= longestPrediction)
			is.True(p.Pause >= 0 && p.Pause <= longestPrediction)
			is.True(p.Memory >= 0)
			run := e.Begin(start, others, size)
			e.FirstToken(start, run)
			e.Progress(start, run, 1<<40)
			e.End(start, run)
		}
	}
	is.Equal(e.Own(), Work{})
	p := e.Predict(start, Work{Streams: 1000}, Size{Unread: 10})
	is.True(p.FirstToken < time.Second) // no slots are known, so nothing waits for one
}

// An engine that is always 1.3 times slower must show although the gateway sends to it only once a
// second, in its pace and in its predictions.
func TestPermanentlySlowEngineShows(t *testing.T) {
	is := is.New(t)
	fleet := newSimulatedFleet(1, constant(1.3))
	fleet.runEvery(time.Second, 10*time.Second)
	e := fleet.gateways[0]
	pace := e.Pace(fleet.engine.now)
	t.Logf("pace %.2f rates %+v", pace, e.Rates())
	is.True(pace > 1.2 && pace < 1.4)
	idle := fleet.engine.now.Add(3 * time.Second) // longer than a slow neighbour is remembered
	is.True(e.Pace(idle) > 1.2 && e.Pace(idle) < 1.4)
}

// A neighbour that slows an engine down 2.5 times for 0.6 s must show while it lasts, and be
// forgotten about two seconds later.
func TestSlowNeighbourShowsAndIsForgotten(t *testing.T) {
	is := is.New(t)
	slowFrom, slowUntil := start.Add(8*time.Second), start.Add(8600*time.Millisecond)
	fleet := newSimulatedFleet(1, func(at time.Time) float64 {
		if at.Before(slowFrom) || !at.Before(slowUntil) {
			return 1
		}
		return 2.5
	})
	e := fleet.gateways[0]
	fleet.runEvery(500*time.Millisecond, 8*time.Second)
	before := e.Pace(fleet.engine.now)
	fleet.runEvery(200*time.Millisecond, 8600*time.Millisecond)
	during := e.Pace(fleet.engine.now)
	after := e.Pace(fleet.engine.now.Add(2 * time.Second))
	t.Logf("pace before %.2f, during %.2f, after %.2f", before, during, after)
	is.True(before > 0.85 && before < 1.15)
	is.True(during > 1.6)
	is.True(after > 0.85 && after < 1.2)
}

// One delayed first token, for example because of a lost packet, must not make an engine seem
// unusable.
func TestOutlierHasLimitedEffect(t *testing.T) {
	is := is.New(t)
	e := NewEngine(testLimits, Rates{}, nil)
	run := e.Begin(start, Work{}, Size{Unread: 4000, Memory: 100, Output: 80})
	now := start.Add(20 * time.Second)
	e.FirstToken(now, run)
	e.End(now, run)
	is.True(e.Pace(now) < 8)
	is.True(e.Pace(now.Add(2*time.Second)) < 2.5)
}

// A run without a first token that ends after far more than the predicted time shows that the
// engine is slow: else an engine that serves nothing in time would keep its prediction.
func TestAbandonedRunShows(t *testing.T) {
	is := is.New(t)
	e := NewEngine(testLimits, Rates{}, nil)
	e.End(start.Add(50*time.Millisecond), e.Begin(start, Work{}, Size{Unread: 11_800})) // the caller left early
	is.True(near(e.Pace(start.Add(50*time.Millisecond)), 1))
	e.End(start.Add(time.Second), e.Begin(start, Work{}, Size{Unread: 11_800}))
	is.True(e.Pace(start.Add(time.Second)) > 1.5)
}

// The time to the first token of an unknown size, and of a request that waited for a slot, says
// nothing about the engine's speed. Nor does that of a guessed size if it is short.
func TestUncertainTimesAreNotLearned(t *testing.T) {
	is := is.New(t)
	e := NewEngine(testLimits, Rates{}, nil)
	for size, after := range map[Size]time.Duration{{Unread: 9000, Guessed: true}: 30 * time.Millisecond, {Unread: 0}: time.Second} {
		run := e.Begin(start, Work{}, size)
		e.FirstToken(start.Add(after), run)
		e.End(start.Add(after), run)
	}
	e.End(start.Add(time.Second), e.Begin(start, Work{}, Size{Unread: 9000, Guessed: true}))
	run := e.Begin(start, Work{Streams: 64}, Size{Unread: 9000})
	e.FirstToken(start.Add(time.Second), run)
	is.True(near(e.Pace(start.Add(time.Second)), 1))
	is.Equal(e.Rates().Prompt.Samples, 0.0)
	run = e.Begin(start, Work{}, Size{Unread: 9000, Guessed: true})
	e.FirstToken(start.Add(time.Second), run)
	is.True(e.Pace(start.Add(time.Second)) > 1.5) // it can't be explained by the guess
}

// What was learned is forgotten as time goes by without events, and the fallback applies again: the
// engine may have become faster or slower since.
func TestRatesReturnToFallback(t *testing.T) {
	is := is.New(t)
	fleet := newSimulatedFleet(1, constant(1.3))
	fleet.runEvery(time.Second, 10*time.Second)
	e := fleet.gateways[0]
	later := fleet.engine.now.Add(10 * time.Minute)
	e.Predict(later, Work{}, Size{})
	is.True(math.Abs(e.Pace(later)-1) < 0.01)
	is.True(math.Abs(e.Rates().Prompt.Each/defaultRates.Prompt.Each-1) < 0.01)
	e.SetFallback(Rates{Prompt: Line{Fixed: 0.005, Each: 0.00002}, Step: Line{Fixed: 0.005, Each: 0.0001}})
	is.True(math.Abs(e.Rates().Prompt.Each/0.00002-1) < 0.01)
}

// The prefill rate and the decode step of engines of another kind are learned although the defaults
// are far off.
func TestRatesOfOtherEnginesAreLearned(t *testing.T) {
	is := is.New(t)
	fleet := newSimulatedFleet(1, constant(3))
	fleet.runEvery(time.Second, 30*time.Second)
	rates := fleet.gateways[0].Rates()
	t.Logf("rates %+v", rates)
	is.True(rates.Prompt.Each > 2.4*defaultRates.Prompt.Each && rates.Prompt.Each < 3.6*defaultRates.Prompt.Each)
	is.True(rates.Step.at(4) > 2.4*defaultRates.Step.at(4) && rates.Step.at(4) < 3.6*defaultRates.Step.at(4))
}

// Engines whose fallback is the mean of their own rates must not drift away together, whatever
// their samples are: here all at the same load, and each far slower than predicted.
func TestRatesDoNotDriftWithMean(t *testing.T) {
	is := is.New(t)
	engines := []*Engine{NewEngine(testLimits, Rates{}, nil), NewEngine(testLimits, Rates{}, nil)}
	now := start
	for i := range 400 {
		e := engines[i%2]
		run := e.Begin(now, Work{}, Size{Unread: 500})
		now = now.Add(time.Second)
		e.FirstToken(now, run)
		e.End(now, run)
		mean := MeanRates(slices.Values([]Rates{engines[0].Rates(), engines[1].Rates()}))
		engines[0].SetFallback(mean)
		engines[1].SetFallback(mean)
	}
	t.Logf("%+v", engines[0].Rates())
	is.True(engines[0].Rates().Prompt.Each >= smallestShare*defaultRates.Prompt.Each)
	usual := engines[0].Rates().Prompt.at(500)
	is.True(usual > 0.8 && usual < 1.2) // seconds
}

// The slope of the decode step shows in streams at several loads.
func TestDecodeStepByStreams(t *testing.T) {
	is := is.New(t)
	e := NewEngine(testLimits, Rates{}, nil)
	want := Line{Fixed: 0.003, Each: 0.0002}
	now := start
	for i := range 200 {
		others := Work{Streams: i * 7 % 60}
		run := e.Begin(now, others, Size{Unread: 10, Output: 80})
		now = now.Add(10 * time.Millisecond)
		e.FirstToken(now, run)
		for range 4 {
			now = now.Add(time.Duration(7 * want.at(float64(others.Streams+1)) * float64(time.Second)))
			e.Progress(now, run, 7)
		}
		e.End(now, run)
	}
	for _, streams := range []float64{1, 20, 60} {
		ratio := e.Rates().Step.at(streams) / want.at(streams)
		t.Logf("%v streams: %.3f", streams, ratio)
		is.True(ratio > 0.85 && ratio < 1.15)
	}
}

// Events that arrive together after a delay, and steps that prefill the prompts of other gateways,
// must not be taken for a change of the engine's speed.
func TestDelayedEventsAndUnknownPrefillAreIgnored(t *testing.T) {
	is := is.New(t)
	e := NewEngine(testLimits, Rates{}, nil)
	run := e.Begin(start, Work{Streams: 9}, Size{Unread: 10, Output: 1000})
	now := start.Add(10 * time.Millisecond)
	e.FirstToken(now, run)
	usual := time.Duration(14 * defaultRates.Step.at(10) * float64(time.Second))
	for range 5 {
		for _, factor := range []float64{1, 3, 1, 0} { // the third window is late, and the fourth came with it
			now = now.Add(time.Duration(float64(usual) * factor))
			e.Progress(now, run, 14)
		}
		is.True(math.Abs(e.Pace(now)-1) < 0.05)
	}
	for range 10 { // each step prefills a full chunk
		now = now.Add(9 * usual)
		e.Progress(now, run, 14)
	}
	is.True(math.Abs(e.Pace(now)-1) < 0.05)
}

// The mean counts each engine by its samples. Without any, it is unknown.
func TestMeanRates(t *testing.T) {
	is := is.New(t)
	is.Equal(MeanRates(slices.Values([]Rates{defaultRates, defaultRates})), Rates{})
	mean := MeanRates(slices.Values([]Rates{
		{Prompt: Line{Fixed: 1, Each: 2, Samples: 1}},
		{Prompt: Line{Fixed: 5, Each: 6, Samples: 3}, Step: Line{Fixed: 7, Each: 8, Samples: 2}},
		defaultRates,
	}))
	is.Equal(mean, Rates{Prompt: Line{Fixed: 4, Each: 5, Samples: 4}, Step: Line{Fixed: 7, Each: 8, Samples: 2}})
	is.True(near(NewEngine(testLimits, mean, nil).Rates().Prompt.Each, 5))
}

// The record must show large errors of few requests and forget what is older than a minute, so that
// operators see whether predictions are right now.
func TestErrorRecord(t *testing.T) {
	is := is.New(t)
	r := NewErrorRecord()
	is.Equal(r.Summary(start), ErrorSummary{})
	for i := range 100 {
		actual := 200 * time.Millisecond
		if i >= 90 {
			actual = 1100 * time.Millisecond
		}
		r.note(start, 100*time.Millisecond, actual)
	}
	summary := r.Summary(start)
	is.Equal(summary.Count, int64(100))
	is.True((summary.Median - 100*time.Millisecond).Abs() < 10*time.Millisecond)
	is.True((summary.Percentile95 - time.Second).Abs() < 100*time.Millisecond)
	r.note(start.Add(20*time.Second), time.Second, 0) // earlier than predicted is an error as well
	is.Equal(r.Summary(start.Add(20*time.Second)).Count, int64(101))
	is.Equal(r.Summary(start.Add(50*time.Second)).Count, int64(101))
	is.Equal(r.Summary(start.Add(65*time.Second)).Count, int64(1))
	is.Equal(r.Summary(start.Add(time.Hour)).Count, int64(0))
	r.note(start.Add(time.Hour), 0, time.Hour) // beyond the largest error
	is.Equal(r.Summary(start.Add(time.Hour)).Count, int64(1))
}

// With many gateways in front of an engine, each knows the work of the others only as it was up to
// 0.25 s ago. Even so, predictions must be of use: for most requests, the error is below a quarter of
// the objective of 1.2 s, at every load below capacity.
func TestPredictionsWithManyGateways(t *testing.T) {
	for _, gateways := range []int{1, 22} {
		for _, perSecond := range []int{2, 5, 8} { // capacity is about 10 per second: 4,000 tokens each at 57 per millisecond
			t.Run(fmt.Sprintf("%d gateways, %d per second", gateways, perSecond), func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(1, 2))
				fleet := newSimulatedFleet(gateways, constant(1.15))
				sizes := []int{130, 1200, 4000, 11_800, 600, 7000}
				for at := start; at.Before(start.Add(60 * time.Second)); {
					fleet.advance(at)
					fleet.send(random.IntN(gateways), Size{Unread: sizes[random.IntN(len(sizes))], Memory: 300, Output: 80}, func(time.Time) {})
					at = at.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
				}
				summary := fleet.errors.Summary(start.Add(60 * time.Second))
				t.Logf("%+v, pace of the first gateway %.2f", summary, fleet.gateways[0].Pace(fleet.engine.now))
				is.True(summary.Median < 300*time.Millisecond)
			})
		}
	}
}

// Guards against a prefill rate that doesn't follow the engine's speed: unread tokens of other gateways
// would seem to be prefilled too soon at a slow engine.
func TestPrefillRateFollowsTheEnginesSpeed(t *testing.T) {
	is := is.New(t)
	fast, slow := newSimulatedFleet(1, constant(1)), newSimulatedFleet(1, constant(1.3))
	for _, fleet := range []*simulatedFleet{fast, slow} {
		for i := range 60 {
			fleet.advance(start.Add(time.Duration(i) * 500 * time.Millisecond))
			fleet.send(0, Size{Unread: 8000, Memory: 300, Output: 20}, func(time.Time) {})
		}
	}
	end := start.Add(30 * time.Second)
	ratio := fast.gateways[0].PrefillRate(end) / slow.gateways[0].PrefillRate(end)
	is.True(ratio > 1.2 && ratio < 1.4)
	rate := fast.gateways[0].PrefillRate(end) // 2,048 tokens in 36 ms and a step of 3.8 ms
	is.True(rate > 45_000 && rate < 57_000)
}

// Whatever happens to runs, in any order, sums are never negative, and nothing is left once all
// runs have ended.
func TestOwnWorkIsNeverNegativeAndReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEngine(Limits{
			Slots: rapid.IntRange(0, 4).Draw(t, "slots"), Memory: rapid.IntRange(0, 1000).Draw(t, "memory"), EventTokens: rapid.IntRange(0, 9).Draw(t, "event"),
		}, Rates{}, NewErrorRecord())
		count := rapid.IntRange(-10, 20_000)
		now := start
		var runs []*Run
		for range rapid.IntRange(0, 60).Draw(t, "actions") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 3000).Draw(t, "elapsed")) * time.Millisecond)
			others := Work{Streams: rapid.IntRange(-1, 99).Draw(t, "others"), Unread: count.Draw(t, "othersUnread"), Memory: count.Draw(t, "othersMemory")}
			size := Size{Unread: count.Draw(t, "unread"), Memory: count.Draw(t, "memory"), Output: count.Draw(t, "output")}
			action := rapid.IntRange(0, 4).Draw(t, "action")
			switch {
			case action == 0 || len(runs) == 0:
				runs = append(runs, e.Begin(now, others, size))
			case action == 4:
				checkPrediction(t, e.Predict(now, others, size))
			default:
				run := runs[rapid.IntRange(0, len(runs)-1).Draw(t, "run")]
				[]func(){
					func() { e.FirstToken(now, run) }, func() { e.Progress(now, run, size.Unread) }, func() { e.End(now, run) },
				}[action-1]()
			}
			if own := e.Own(); own.Streams < 0 || own.Unread < 0 || own.Memory < 0 || e.waiting < 0 || e.output < 0 {
				t.Fatalf("negative: %+v, waiting %d, output %d", own, e.waiting, e.output)
			}
			if pace := e.Pace(now); !(pace > 0.01 && pace < 100) {
				t.Fatalf("pace %v", pace)
			}
		}
		for _, run := range runs {
			e.End(now, run)
		}
		if e.Own() != (Work{}) || e.waiting != 0 || e.output != 0 {
			t.Fatalf("left: %+v, waiting %d, output %d", e.Own(), e.waiting, e.output)
		}
	})
}

func checkPrediction(t *rapid.T, p Prediction) {
	if p.FirstToken < 0 || p.FirstToken > longestPrediction || p.Pause < 0 || p.Pause > longestPrediction || p.Memory < 0 {
		t.Fatalf("prediction %+v", p)
	}
}
