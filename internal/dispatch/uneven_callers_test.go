package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// unevenSizes are fleets with few and many gateways before the same engines, and a large one.
var unevenSizes = []fleetSize{{1, 41}, {5, 41}, {10, 41}, {22, 41}, {340, 60}}

// firstAttemptShare returns the share of the callers that asked from the first to the second time since
// the start and were served at their first attempt, late or in time.
func (f *overloadFleet) firstAttemptShare(from, to time.Duration) float64 {
	served, asked := 0, 0
	for _, c := range f.callers {
		if at := c.askedAt.Sub(start); at < from || at >= to {
			continue
		}
		asked++
		if c.refusals == 0 && !c.endedAt.IsZero() {
			served++
		}
	}
	return float64(served) / float64(max(1, asked))
}

// Guards against a gateway that gives away only its part of the free places although nearly all callers
// come to it: from the contact time on, at least three quarters as many as before must be served at
// their first attempt.
func TestCallersAtOneGatewayAreServedAtTheFirstAttempt(t *testing.T) {
	const warmUp, before, contactTime, measured = 3 * time.Second, 4 * time.Second, 3 * time.Second, 5 * time.Second
	const atOneGateway, bound = 0.95, 0.75
	for _, size := range unevenSizes {
		for _, multiple := range []float64{usualShare, 0.8, 2} {
			t.Run(fmt.Sprint(size.gateways, " gateways, ", multiple, " times capacity"), func(t *testing.T) {
				t.Parallel()
				f := newOverloadFleet(57, size.gateways, size.engines)
				load := f.multipleOfCapacity(multiple)
				f.simulate(warmUp+before, load)
				load.atOneGateway = atOneGateway
				f.simulate(contactTime+measured, load)
				f.simulate(15*time.Second, loadShape{}) // until the last deadline
				uneven := warmUp + before
				even := f.firstAttemptShare(warmUp, uneven)
				early := f.firstAttemptShare(uneven, uneven+contactTime)
				late := f.firstAttemptShare(uneven+contactTime, uneven+contactTime+measured)
				t.Logf("%3d gateways, %.1f times capacity, served at the first attempt: %.3f before, %.3f within the contact time, %.3f later",
					size.gateways, multiple, even, early, late)
				is.New(t).True(late >= bound*even)
			})
		}
	}
}

// Guards against a small fleet, whose gateways send each other their demands directly, that divides the
// places evenly while nearly all callers come to one gateway.
func TestPartOfDemandInASmallFleet(t *testing.T) {
	const gateways, period, perPeriod = 5, 200 * time.Millisecond, 60
	is := is.New(t)
	cores := make([]*Core, gateways)
	for i := range cores {
		cores[i] = newCore(backEnds(41, modelSlots))
		cores[i].SetServices([]catalog.Service{{Name: "s", CacheTokens: modelMemory}})
		cores[i].SetGateways(gateways)
	}
	now := start
	run := func(span time.Duration, busiest int) {
		for i := range int(span / period) {
			now = now.Add(period)
			for j := range perPeriod {
				core := cores[busiest]
				if j%20 == 0 { // 5% of the callers are spread
					core = cores[(i+j/20)%gateways]
				}
				x, _ := core.Begin(now, chatRequest(fmt.Sprint(busiest, i, j), "part"))
				core.Done(now, x)
			}
			for from, core := range cores {
				for to, peer := range cores {
					if to != from {
						peer.SetPeerDemands(now, fmt.Sprint(from), core.Demands(now))
					}
				}
			}
		}
	}
	run(3*time.Second, 0)
	is.True(cores[0].partOfDemand(now, "s") >= 0.75)
	is.True(cores[1].partOfDemand(now, "s") < 1./gateways)
	run(3*time.Second, 1)
	is.True(cores[1].partOfDemand(now, "s") >= 0.75)
	is.True(cores[0].partOfDemand(now, "s") <= 1./gateways)
	cores[0].config.Disabled = Disabled{UnevenCallers: true}
	is.Equal(cores[0].partOfDemand(now, "s"), 1./gateways)
}
