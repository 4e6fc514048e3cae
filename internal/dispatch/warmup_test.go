package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/harriernotch/harriernotch/internal/catalog"
	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

// coldBackEnds returns back ends of which the last ones are warming up.
func coldBackEnds(count, cold int) []catalog.BackEnd {
	list := backEnds(count, 64)
	for i := count - cold; i < count; i++ {
		list[i].WarmUp = 3 * time.Second
	}
	return list
}

// newWarmUpFleet returns cores of gateways that know each other and use the back ends.
func newWarmUpFleet(gateways int, rate float64, list []catalog.BackEnd) []*Core {
	cores := make([]*Core, gateways)
	for i := range cores {
		cores[i] = newCore(nil)
		cores[i].config.WarmUpOverage, cores[i].config.WarmUpExtra = 1.5, 5
		cores[i].SetServices([]catalog.Service{{Name: "s", WarmUpRate: rate, WarmUpTime: 3 * time.Second}})
		cores[i].SetGateways(gateways)
		cores[i].SetFleet(start.Add(-time.Minute), knownFleet(i, 0, gateways))
		cores[i].SetBackEnds(start, list)
	}
	return cores
}

// knownFleet returns the Fleet of gateway number self that knows the gateways from up to to.
func knownFleet(self, from, to int) Fleet {
	fleet := Fleet{Self: fmt.Sprint("g", self), HasSeeds: to-from > 1}
	for i := from; i < to; i++ {
		if i != self {
			fleet.Known = append(fleet.Known, fmt.Sprint("g", i))
		}
	}
	return fleet
}

// flood sends requests to the gateways at a constant rate. It returns the most requests that one
// warming back end got within a second, the number of requests that warming back ends got in all,
// and the number of refusals.
func flood(cores []*Core, perSecond int, duration time.Duration) (peak, sent, refused int) {
	times := map[string][]time.Time{}
	requests := int(float64(perSecond) * duration.Seconds())
	for i := range requests {
		now := start.Add(duration * time.Duration(i) / time.Duration(requests))
		core := cores[i*7919%len(cores)]
		promptRequest := request(repeatable(1), fmt.Sprint(i), Part{ID: fmt.Sprint("part", i%97), Tokens: 9000}, Part{ID: "own"})
		x, decision := core.Begin(now, promptRequest)
		if decision.Send == nil {
			refused++
			continue
		}
		core.Done(now, x)
		if decision.Send.BackEnd.WarmUp > 0 {
			times[decision.Send.BackEnd.ID] = append(times[decision.Send.BackEnd.ID], now)
			sent++
		}
	}
	for _, each := range times {
		for i := range each {
			count := 0
			for j := i; j < len(each) && each[j].Sub(each[i]) < time.Second; j++ {
				count++
			}
			peak = max(peak, count)
		}
	}
	return peak, sent, refused
}

// The warm back ends could serve this burst alone, but the cold ones must get requests too, to fill
// their caches.
func TestWarmingBackEndsServeRequests(t *testing.T) {
	is := is.New(t)
	peak, sent, refused := flood(newWarmUpFleet(23, 23, coldBackEnds(42, 11)), 900, 2900*time.Millisecond)
	is.True(peak <= 39)
	is.True(sent > 100)
	is.Equal(refused, 0)
}

// All back ends are cold, and the request rate is far above what they can serve.
func TestFleetStaysWithinWarmUpLimit(t *testing.T) {
	for _, gateways := range []int{1, 2, 5, 23, 100, 340} {
		for _, rate := range []float64{2, 6, 23} {
			t.Run(fmt.Sprint(gateways, " gateways, ", rate, " a second"), func(t *testing.T) {
				is := is.New(t)
				limit := rate*1.5 + 5
				peak, sent, _ := flood(newWarmUpFleet(gateways, rate, coldBackEnds(5, 5)), 1500, 2900*time.Millisecond)
				is.True(float64(peak) <= limit)
				// At least a third of what the back ends can serve is used.
				is.True(float64(sent) >= 5*limit*2.9/3)
			})
		}
	}
}

// Gateways that know different gateways select different ones. The part of the limit that isn't
// allocated absorbs the difference.
func TestWarmUpLimitHoldsWhenFleetViewsDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(2, 40).Draw(t, "gateways")
		rate := rapid.SampledFrom([]float64{2, 6, 23}).Draw(t, "rate")
		cores := newWarmUpFleet(gateways, rate, coldBackEnds(4, 4))
		for i, core := range cores {
			missing := rapid.IntRange(0, gateways-1).Draw(t, "missing")
			fleet := knownFleet(i, 0, gateways)
			kept := fleet.Known[:0]
			for _, id := range fleet.Known {
				if id != fmt.Sprint("g", missing) {
					kept = append(kept, id)
				}
			}
			fleet.Known = kept
			core.SetFleet(start.Add(-time.Minute), fleet)
		}
		if peak, _, _ := flood(cores, 600, 1500*time.Millisecond); float64(peak) > rate*1.5+5 {
			t.Fatalf("%d requests in one second, %v are allowed", peak, rate*1.5+5)
		}
	})
}

// A process that has just started knows few other gateways, and must not use the whole limit.
func TestStartingGatewaySendsNothingToColdBackEndsUntilFleetSettles(t *testing.T) {
	is := is.New(t)
	core := newWarmUpFleet(1, 23, coldBackEnds(2, 2))[0]
	core.SetFleet(start, knownFleet(0, 0, 3)) // two other gateways were discovered just now
	peak, _, _ := flood([]*Core{core}, 500, fleetSettleTime-time.Millisecond)
	is.Equal(peak, 0)
	peak, _, _ = flood([]*Core{core}, 500, 2900*time.Millisecond)
	is.True(peak > 0)
}

// A gateway that has seeds but knows no other gateway is partitioned rather than alone.
func TestPartitionedGatewayUsesMinimalWarmUpShare(t *testing.T) {
	is := is.New(t)
	core := newWarmUpFleet(1, 23, coldBackEnds(1, 1))[0]
	core.SetFleet(start.Add(-time.Minute), Fleet{Self: "g0", HasSeeds: true})
	peak, _, _ := flood([]*Core{core}, 500, 2900*time.Millisecond)
	is.Equal(peak, 1)
}

// A gateway whose settings name no others may still be discovered by others.
func TestStartingGatewayWithoutSeedsIsNotAssumedAlone(t *testing.T) {
	is := is.New(t)
	core := newWarmUpFleet(1, 23, coldBackEnds(1, 1))[0]
	core.SetFleet(start.Add(-time.Minute), knownFleet(0, 0, 2))
	core.SetFleet(start.Add(-time.Minute), Fleet{Self: "g0"}) // the other gateway is forgotten
	other := newCore(nil)
	other.config.WarmUpOverage, other.config.WarmUpExtra = 1.5, 5
	other.SetServices([]catalog.Service{{Name: "s", WarmUpRate: 23, WarmUpTime: 3 * time.Second}})
	other.SetFleet(start.Add(-fleetSettleTime), Fleet{Self: "g1"}) // just started
	other.SetBackEnds(start, coldBackEnds(1, 1))
	peak, _, _ := flood([]*Core{other}, 500, 2900*time.Millisecond)
	is.Equal(peak, 1)
	peak, _, _ = flood([]*Core{core}, 500, 2900*time.Millisecond)
	is.Equal(peak, 31)
}

func TestSoleGatewayUsesWholeWarmUpAllocation(t *testing.T) {
	is := is.New(t)
	core := newWarmUpFleet(1, 23, coldBackEnds(1, 1))[0]
	peak, _, _ := flood([]*Core{core}, 500, 2900*time.Millisecond)
	is.Equal(peak, 31) // of 39.5 allowed
}

func TestBackEndTurningColdIsLimitedAtOnce(t *testing.T) {
	is := is.New(t)
	list := backEnds(1, 64)
	core := newWarmUpFleet(1, 2, list)[0]
	peak, _, _ := flood([]*Core{core}, 100, time.Second)
	is.Equal(peak, 0) // warm, so nothing is counted
	list[0].WarmUp = 2 * time.Second
	core.SetBackEnds(start, list)
	is.True(core.BackEndStatuses(start)[0].WarmsUp)
	list[0].WarmUp = 0
	core.SetBackEnds(start.Add(time.Second), list)
	is.True(!core.BackEndStatuses(start.Add(time.Second))[0].WarmsUp)
}

func TestRestartedWarmUpExtendsTheLimit(t *testing.T) {
	is := is.New(t)
	list := coldBackEnds(1, 1)
	list[0].WarmUpAt = catalog.Position{Revision: 4}
	core := newWarmUpFleet(1, 2, list)[0]
	later := start.Add(2 * time.Second)
	core.SetBackEnds(later, list) // an update for another reason
	is.True(!core.BackEndStatuses(later.Add(2 * time.Second))[0].WarmsUp)
	list[0].WarmUpAt = catalog.Position{Revision: 9}
	core.SetBackEnds(later, list)
	is.True(core.BackEndStatuses(later.Add(2 * time.Second))[0].WarmsUp)
}

// Without a rate in the configuration a cold back end may get as many requests as a warm one.
func TestServiceWithoutWarmUpRateIsNotLimited(t *testing.T) {
	is := is.New(t)
	core := newCore(coldBackEnds(1, 1))
	peak, _, refused := flood([]*Core{core}, 50, time.Second)
	is.Equal(peak, 50)
	is.Equal(refused, 0)
}
