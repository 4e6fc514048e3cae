package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleetSize is the size of a simulated fleet.
type fleetSize struct{ gateways, engines int }

var fleetSizes = []fleetSize{{1, 41}, {22, 41}, {340, 60}}

// usualShare is the usual load in multiples of capacity.
const usualShare = 0.4

// multipleOfCapacity is a load in multiples of what the fleet's engines can serve.
func (f *overloadFleet) multipleOfCapacity(multiple float64) loadShape {
	return loadShape{rate: multiple * nominalRate * float64(len(f.engines))}
}

// burst is five times the usual load, with one tenant at fourteen times its own and 40% of the
// callers impatient.
func (f *overloadFleet) burst() loadShape {
	load := f.multipleOfCapacity(5 * usualShare * (overloadTenants - 1 + 14./5) / overloadTenants)
	load.largeTenant, load.impatient = 14./5, 0.4
	return load
}

// outcomes counts the callers that asked in a time window by their outcomes.
type outcomes struct {
	asked, served, refused, timedOut, timedOutUnanswered int
}

func (o outcomes) servedShare() float64 { return float64(o.served) / float64(max(1, o.asked)) }

// outcomesOf counts the callers that asked from the first to the second time since the start and
// that pass the filter.
func (f *overloadFleet) outcomesOf(from, to time.Duration, filter func(c *caller) bool) outcomes {
	var counted outcomes
	for _, c := range f.callers {
		if at := c.askedAt.Sub(start); at < from || at >= to || !filter(c) {
			continue
		}
		counted.asked++
		switch {
		case c.served:
			counted.served++
		case c.timedOut && c.firstToken == 0:
			counted.timedOutUnanswered++
			counted.timedOut++
		case c.timedOut:
			counted.timedOut++
		case c.endedAt.IsZero() && c.refusals > 0:
			counted.refused++
		}
	}
	return counted
}

func everyCaller(*caller) bool { return true }

// goodput returns the requests per second and engine that were completed within their objective
// after the time since the start.
func (f *overloadFleet) goodput(from time.Duration) float64 {
	served := 0
	for _, c := range f.callers {
		if c.served && c.endedAt.Sub(start) >= from {
			served++
		}
	}
	return float64(served) / (f.now.Sub(start) - from).Seconds() / float64(len(f.engines))
}

// Guards against a goodput that falls under overload because engines process requests that are too
// late: above capacity, what doesn't fit must be refused, and what is served must be in time.
func TestGoodputStaysNearItsPeakUnderOverload(t *testing.T) {
	multiples := []float64{0.5, 1, 2, 4, 8}
	// Caches are filled before, as in a fleet that has been up for a while.
	const usualLoadUntil, measuredFrom, measuredTime = 3 * time.Second, 6 * time.Second, 5 * time.Second
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.gateways, " gateways"), func(t *testing.T) {
			fleets := make([]*overloadFleet, len(multiples))
			t.Run("loads", func(t *testing.T) {
				for i, multiple := range multiples {
					t.Run(fmt.Sprint(multiple), func(t *testing.T) {
						t.Parallel()
						fleets[i] = newOverloadFleet(1, size.gateways, size.engines)
						fleets[i].simulate(usualLoadUntil, fleets[i].multipleOfCapacity(usualShare))
						fleets[i].simulate(measuredFrom-usualLoadUntil, fleets[i].multipleOfCapacity(multiple))
						fleets[i].simulate(measuredTime, fleets[i].multipleOfCapacity(multiple))
					})
				}
			})
			is := is.New(t)
			highest, last := 0.0, 0.0
			for i, f := range fleets {
				last = f.goodput(measuredFrom)
				highest = max(highest, last)
				all := f.outcomesOf(measuredFrom, measuredFrom+measuredTime, everyCaller)
				t.Logf("%3.1f times capacity: goodput %5.2f per engine and second; of %6d callers %6d refused, %5d ended at their deadline; preempted %5d, prefilled again %8d tokens",
					multiples[i], last, all.asked, all.refused, all.timedOut, f.preempted, f.prefilledAgain)
			}
			is.True(last >= 0.9*highest)
		})
	}
}

// Guards against requests that are sent to an engine only to wait there: they must be refused when
// they arrive, while their callers can still go elsewhere.
func TestRefusalsUnderOverloadAreImmediate(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.gateways, " gateways"), func(t *testing.T) {
			t.Parallel()
			is := is.NewRelaxed(t)
			f := newOverloadFleet(2, size.gateways, size.engines)
			f.simulate(4*time.Second, f.multipleOfCapacity(usualShare))
			f.simulate(6*time.Second, f.multipleOfCapacity(4))
			f.simulate(15*time.Second, loadShape{}) // until the last deadline
			late, latest := 0, time.Duration(0)
			for _, c := range f.callers {
				late += c.lateRefusals
				latest = max(latest, c.latestRefusal)
			}
			all := f.outcomesOf(0, 10*time.Second, everyCaller)
			t.Logf("%d callers: %d attempts, %d ended at their deadline, %d of them unanswered; %d refused after an attempt, the latest after %v",
				all.asked, len(f.arrivals), all.timedOut, all.timedOutUnanswered, late, latest)
			is.Equal(late, 0)
			is.True(latest <= 50*time.Millisecond)
			is.True(float64(all.timedOutUnanswered) <= 0.01*float64(len(f.arrivals)))
			is.True(float64(all.timedOut) <= 0.05*float64(len(f.arrivals)))
		})
	}
}

// worstOverBound returns the number of attempts over the bound on load and the number of all
// attempts, in the window of five seconds with the largest share of the former. Windows with fewer
// than 20 over the bound don't count.
func (f *overloadFleet) worstOverBound() (over, all int) {
	first, current := 0, 0
	for last, each := range f.arrivals {
		if each.overBound {
			current++
		}
		for each.at.Sub(f.arrivals[first].at) > 5*time.Second {
			if f.arrivals[first].overBound {
				current--
			}
			first++
		}
		if current >= 20 && current*all >= over*(last-first+1) {
			over, all = current, last-first+1
		}
	}
	return over, all
}

// Guards against gateways that together overload single engines in a burst, because none knows what
// the others have just sent.
func TestBurstsKeepTheLoadBound(t *testing.T) {
	for _, size := range fleetSizes {
		for _, usual := range []float64{0, usualShare} {
			t.Run(fmt.Sprint(size.gateways, " gateways, usual load ", usual), func(t *testing.T) {
				t.Parallel()
				f := newOverloadFleet(1, size.gateways, size.engines)
				f.simulate(6*time.Second, f.multipleOfCapacity(usual))
				f.simulate(6*time.Second, f.burst())
				f.simulate(5*time.Second, f.multipleOfCapacity(usualShare))
				over, all := f.worstOverBound()
				t.Logf("worst five seconds: %d of %d requests over the bound", over, all)
				is := is.New(t)
				is.True(float64(over) <= 0.03*float64(all)) // the share that the operators allow
			})
		}
	}
}

// Guards against engines that are still busy after a burst with requests that no caller waits for.
func TestServiceRecoversWithinTwoSecondsOfABurst(t *testing.T) {
	const before, burst, after = 4 * time.Second, 6 * time.Second, 6 * time.Second
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.gateways, " gateways"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newOverloadFleet(3, size.gateways, size.engines)
			f.simulate(before, f.multipleOfCapacity(usualShare))
			f.simulate(burst, f.burst())
			f.simulate(after, f.multipleOfCapacity(usualShare))
			f.simulate(15*time.Second, loadShape{}) // until the last deadline
			var shares []string
			for from := time.Duration(0); from < before+burst+after; from += 2 * time.Second {
				shares = append(shares, fmt.Sprintf("%.2f", f.outcomesOf(from, from+2*time.Second, everyCaller).servedShare()))
			}
			t.Log("served within the objective, by two seconds: ", strings.Join(shares, " "))
			end := before + burst
			for from := end + 2*time.Second; from < end+after; from += 2 * time.Second {
				is.True(f.outcomesOf(from, from+2*time.Second, everyCaller).servedShare() >= 0.8)
			}
		})
	}
}

// Guards against shared parts that move from engine to engine under overload and are prefilled
// again at each: this costs more the less time there is for it.
func TestSharedPartsStayUnderOverload(t *testing.T) {
	const usualLoadTime, warmUp, measured = 3 * time.Second, 3 * time.Second, 6 * time.Second
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.gateways, " gateways"), func(t *testing.T) {
			t.Parallel()
			perSecond := func(multiple float64) float64 {
				f := newOverloadFleet(4, size.gateways, size.engines)
				f.simulate(usualLoadTime, f.multipleOfCapacity(usualShare))
				f.simulate(warmUp, f.multipleOfCapacity(multiple))
				before := f.prefilledAgain
				f.simulate(measured, f.multipleOfCapacity(multiple))
				return float64(f.prefilledAgain-before) / measured.Seconds()
			}
			atCapacity, above := perSecond(1), perSecond(4)
			t.Logf("shared tokens prefilled again per second: %.0f at capacity, %.0f at 4 times", atCapacity, above)
			is := is.New(t)
			is.True(above <= atCapacity)
		})
	}
}
