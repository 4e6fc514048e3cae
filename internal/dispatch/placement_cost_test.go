package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// unlistingDelay is the time until crashed engines are no longer listed.
const unlistingDelay = time.Second

// crash stops every second engine. Its runs break off, it loses its memory, and connections to it fail.
func (f *overloadFleet) crash() {
	var remaining []catalog.BackEnd
	for i, each := range backEnds(len(f.engines), modelSlots) {
		if i%2 == 0 {
			remaining = append(remaining, each)
			continue
		}
		engine := f.engines[i]
		engine.crashed, engine.queue, engine.running, engine.used = true, nil, nil, 0
		clear(engine.cache)
	}
	for _, c := range f.callers {
		if c.run == nil || !c.run.engine.crashed || !c.endedAt.IsZero() || c.x.current == nil {
			continue
		}
		c.attempt++
		if c.run.generated == 0 {
			f.follow(c, f.cores[c.gateway].ConnectionLost(f.now, c.x))
		} else {
			f.cores[c.gateway].Done(f.now, c.x)
		}
	}
	f.schedule(f.now.Add(unlistingDelay), func() {
		for _, core := range f.cores {
			core.SetBackEnds(f.now, remaining)
		}
	})
}

// disable switches a mechanism off at all gateways.
func (f *overloadFleet) disable(mechanism Mechanism) {
	for _, core := range f.cores {
		core.config.Disabled = Disabled{mechanism: true}
	}
}

// servedByClass returns the share served within the objective of all callers that asked in the time
// window, and a description with the shares of the classes.
func (f *overloadFleet) servedByClass(from, to time.Duration) (share float64, description string) {
	all := f.outcomesOf(from, to, everyCaller)
	shares := []string{fmt.Sprintf("all %.3f (%d of %d)", all.servedShare(), all.served, all.asked)}
	for i := range requestClasses {
		class := &requestClasses[i]
		counted := f.outcomesOf(from, to, func(c *caller) bool { return c.class == class })
		shares = append(shares, fmt.Sprintf("%s %.3f", class.name, counted.servedShare()))
	}
	late, paused := 0, 0
	for _, c := range f.callers {
		if at := c.askedAt.Sub(start); at >= from && at < to && !c.served && !c.endedAt.IsZero() {
			if c.firstToken > c.class.route.Objective {
				late++
			}
			if c.longestPause > c.class.route.PauseObjective {
				paused++
			}
		}
	}
	shares = append(shares, fmt.Sprintf("first token late %d, pause too long %d, refused %d", late, paused, all.refused))
	return all.servedShare(), strings.Join(shares, ", ")
}

// comparePlacements runs the load with and without placement by predicted time, and returns the
// shares served in the first four seconds.
func comparePlacements(t *testing.T, size fleetSize, load func(f *overloadFleet) (from time.Duration)) (without, with float64) {
	const measured = 4 * time.Second
	run := func(name string, prepare func(f *overloadFleet)) float64 {
		total := 0.0
		for _, seed := range []uint64{11, 12} {
			f := newOverloadFleet(seed, size.gateways, size.engines)
			prepare(f)
			from := load(f)
			share, shares := f.servedByClass(from, from+measured)
			over, all := f.worstOverBound()
			t.Logf("%s, seed %d: %s; %d of %d over the bound, %d tokens prefilled again", name, seed, shares, over, all, f.prefilledAgain)
			total += share / 2
		}
		return total
	}
	without = run("without", func(f *overloadFleet) { f.disable(PredictedTime) })
	with = run("with   ", func(*overloadFleet) {})
	return without, with
}

// Guards against cold prompts that wait at one engine while others are idle, when all caches are empty.
func TestColdCachesAreFilledInTime(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.gateways, " gateways"), func(t *testing.T) {
			t.Parallel()
			without, with := comparePlacements(t, size, func(f *overloadFleet) time.Duration {
				f.simulate(4*time.Second, f.multipleOfCapacity(usualShare))
				f.simulate(15*time.Second, loadShape{}) // until the last deadline
				return 0
			})
			is.New(t).True(with > without)
		})
	}
}

// Guards against prompts that wait behind the prefill of what crashed engines held.
func TestHalfOfTheEnginesCrash(t *testing.T) {
	const before = 6 * time.Second
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.gateways, " gateways"), func(t *testing.T) {
			t.Parallel()
			without, with := comparePlacements(t, size, func(f *overloadFleet) time.Duration {
				f.simulate(before, f.multipleOfCapacity(usualShare))
				f.crash()
				f.simulate(4*time.Second, f.multipleOfCapacity(usualShare))
				f.simulate(15*time.Second, loadShape{}) // until the last deadline
				return before
			})
			is.New(t).True(with > without)
		})
	}
}

// Guards against shared parts that move although the homes serve them in time: an error of a
// prediction must not cause prefill.
func TestSteadyLoadMovesNoParts(t *testing.T) {
	const filling, measured = 8 * time.Second, 6 * time.Second
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.gateways, " gateways"), func(t *testing.T) {
			t.Parallel()
			prefilledAgain := func(prepare func(f *overloadFleet)) int {
				f := newOverloadFleet(13, size.gateways, size.engines)
				prepare(f)
				f.simulate(filling, f.multipleOfCapacity(usualShare))
				before := f.prefilledAgain
				f.simulate(measured, f.multipleOfCapacity(usualShare))
				return f.prefilledAgain - before
			}
			without := prefilledAgain(func(f *overloadFleet) { f.disable(PredictedTime) })
			with := prefilledAgain(func(*overloadFleet) {})
			t.Logf("%d tokens prefilled again without, %d with", without, with)
			is.New(t).True(with <= without)
		})
	}
}
