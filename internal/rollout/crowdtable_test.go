package rollout

import (
	"flag"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

var scenarioRuns = flag.Int("rollouts", 25, "roll-outs of each kind that TestDrawnRollouts plays")

// kindResult sums up the roll-outs of one kind.
type kindSummary struct {
	runs, overExposed, exposedLate, completed, completedBad, reverted, onTime, cutOff int
	shares                                                                            []float64
	revertAfter                                                                       []time.Duration
}

// TestDrawnRollouts plays drawn roll-outs of each kind: none may expose more than the limits
// allow, nor send on long after the fiftieth bad answer, nor complete a version that gave fifty;
// no good one may be reverted. A bad version that gave fewer may be completed: it can't be told
// from a good one within the exposure.
func TestRandomRolloutsKeepExposureAndVerdict(t *testing.T) {
	for _, kind := range []string{"good", "at once", "later", "on one route", "under load", "slow"} {
		sum := runScenarios(t, kind, *scenarioRuns)
		t.Logf("%-13s runs %d: over the exposure %d, later than 5 s after the fiftieth %d, completed %d, reverted %d, by the deadline %d, streams cut %d, exposure median %.3f worst %.3f, reverted after median %v",
			kind, sum.runs, sum.overExposed, sum.exposedLate, sum.completed, sum.reverted, sum.onTime, sum.cutOff,
			quantile(sum.shares, 0.5), quantile(sum.shares, 1), quantile(sum.revertAfter, 0.5))
		if sum.overExposed+sum.exposedLate+sum.completedBad+sum.cutOff > 0 || kind == "good" && sum.reverted > 0 {
			t.Errorf("%s: %d over the exposure, %d late, %d found bad and completed, %d streams cut, %d reverted", kind, sum.overExposed, sum.exposedLate, sum.completedBad, sum.cutOff, sum.reverted)
		}
	}
}

func runScenarios(t *testing.T, kind string, runs int) kindSummary {
	var mutex sync.Mutex
	var sum kindSummary
	var workers sync.WaitGroup
	next := make(chan uint64)
	for range 12 {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for seed := range next {
				drawn := drawScenario(rand.New(rand.NewPCG(seed, 7)), kind)
				result := newSimulatedFleet(drawn, seed).run()
				mutex.Lock()
				if remark := sum.add(drawn, result); remark != "" {
					t.Logf("seed %d: %s: %+v %+v", seed, remark, drawn, result)
				}
				mutex.Unlock()
			}
		}()
	}
	for seed := range runs {
		next <- uint64(seed)
	}
	close(next)
	workers.Wait()
	return sum
}

func (k *kindSummary) add(drawn scenario, result scenarioResult) (remark string) {
	k.runs++
	isBad := drawn.kind != "good"
	allowed := testLimits.Share*float64(result.sent) + testLimits.Extra
	// A bad version that never showed it, for want of load, was a good one.
	shownBad := isBad && result.bad >= 10
	if isBad {
		k.shares = append(k.shares, float64(result.exposed)/allowed)
		if shownBad && float64(result.exposed) > allowed {
			k.overExposed++
			remark = "over the exposure"
		}
		if result.lastExposed > int(5*time.Second/tick) {
			k.exposedLate++
			remark = "late after the fiftieth"
		}
	}
	switch result.verdict {
	case Completed:
		k.completed++
		if shownBad {
			remark += " bad one completed"
		}
		if isBad && result.fiftieth > 0 {
			k.completedBad++
		}
	case Reverted:
		k.reverted++
		k.revertAfter = append(k.revertAfter, result.verdictAt)
		if !isBad {
			remark += " good one reverted"
		}
	}
	if result.verdict.IsVerdict() && result.verdictAt <= drawn.duration {
		k.onTime++
	} else {
		remark += " late"
	}
	k.cutOff += result.cutOff
	return remark
}

func quantile[T int | float64 | time.Duration](list []T, part float64) T {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(part*float64(len(list))), len(list)-1)]
}
