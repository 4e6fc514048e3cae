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

var scenarioRuns = flag.Int("rollouts", 25, "number of rollouts of each kind that TestRandomRolloutsKeepExposureAndVerdict simulates")

// kindSummary summarizes the rollouts of one kind.
type kindSummary struct {
	runs, overExposed, exposedLate, completed, completedBad, reverted, onTime, cutOff int
	shares                                                                            []float64
	revertAfter                                                                       []time.Duration
}

// TestRandomRolloutsKeepExposureAndVerdict simulates random rollouts of each kind. No bad version
// that gave at least ten bad answers may exceed the exposure limits. No bad version may get
// requests more than 5 s after its fiftieth bad answer, or be completed after fifty. No good
// version may be reverted, and no completion may cut off a request. A bad version that gave fewer
// than fifty bad answers may be completed: it can't be distinguished from a good one within the
// allowed exposure.
func TestRandomRolloutsKeepExposureAndVerdict(t *testing.T) {
	for _, kind := range []string{"good", "at once", "later", "on one route", "under load", "slow"} {
		sum := runScenarios(t, kind, *scenarioRuns)
		t.Logf("%-13s runs %d: over the exposure %d, exposed later than 5 s after the fiftieth bad answer %d, completed %d, reverted %d, by the deadline %d, requests cut off %d, exposure median %.3f worst %.3f, reverted after median %v",
			kind, sum.runs, sum.overExposed, sum.exposedLate, sum.completed, sum.reverted, sum.onTime, sum.cutOff,
			quantile(sum.shares, 0.5), quantile(sum.shares, 1), quantile(sum.revertAfter, 0.5))
		if sum.overExposed+sum.exposedLate+sum.completedBad+sum.cutOff > 0 || kind == "good" && sum.reverted > 0 {
			t.Errorf("%s: %d over the exposure, %d exposed late, %d completed after the fiftieth bad answer, %d requests cut off, %d reverted", kind, sum.overExposed, sum.exposedLate, sum.completedBad, sum.cutOff, sum.reverted)
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
	// A bad version that gave fewer than ten bad answers, such as for lack of load, counts as a
	// good one.
	shownBad := isBad && result.bad >= 10
	if isBad {
		k.shares = append(k.shares, float64(result.exposed)/allowed)
		if shownBad && float64(result.exposed) > allowed {
			k.overExposed++
			remark = "over the exposure"
		}
		if result.lastExposed > int(5*time.Second/tick) {
			k.exposedLate++
			remark = "exposed late after the fiftieth bad answer"
		}
	}
	switch result.verdict {
	case Completed:
		k.completed++
		if shownBad {
			remark += " bad version completed"
		}
		if isBad && result.fiftieth > 0 {
			k.completedBad++
		}
	case Reverted:
		k.reverted++
		k.revertAfter = append(k.revertAfter, result.verdictAt)
		if !isBad {
			remark += " good version reverted"
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
