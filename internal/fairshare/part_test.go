package fairshare

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// partFleet simulates the demand on the gateways of a fleet, whose sums are up to half a second old.
type partFleet struct {
	random  *rand.Rand
	now     time.Time
	shares  []*Share
	reports [][]Demand
}

func newPartFleet(gateways int) *partFleet {
	f := &partFleet{random: rand.New(rand.NewPCG(57, 1)), now: start, reports: make([][]Demand, gateways)}
	for range gateways {
		f.shares = append(f.shares, New("s"))
	}
	return f
}

// run lets requests of very different work arrive for the time, of which the given part comes to the first
// gateway and the others are spread. It calls observe, unless nil, with the part of each gateway that got
// new sums.
func (f *partFleet) run(span time.Duration, perSecond, atFirst float64, observe func(gateway int, part float64)) {
	gateways := len(f.shares)
	for range span / step {
		f.now = f.now.Add(step)
		for expected := perSecond * step.Seconds(); expected > 0; expected-- {
			if f.random.Float64() >= expected {
				continue
			}
			gateway := f.random.IntN(gateways)
			if f.random.Float64() < atFirst {
				gateway = 0
			}
			f.shares[gateway].Begin(f.now, "t", "k", meanWork*math.Exp(f.random.NormFloat64()-0.5))
		}
		var sums []Demand
		for i, share := range f.shares {
			phase := reportInterval * time.Duration(i) / time.Duration(gateways)
			if elapsed := f.now.Sub(start) + phase; elapsed%reportInterval >= step {
				continue
			}
			f.reports[i] = share.Demands(f.now)
			if sums == nil {
				sums = Sum(f.reports...)
			}
			share.SetTotals(f.now, sums)
			if observe != nil {
				observe(i, share.Part(f.now, gateways, gateways))
			}
		}
	}
}

// Guards against parts that follow the variation of few requests: gateways would then give away more or
// fewer of the free places than there are.
func TestEvenlySpreadCallersMakeEvenParts(t *testing.T) {
	for _, gateways := range []int{2, 5, 22, 340} {
		is := is.New(t)
		f := newPartFleet(gateways)
		f.run(3*time.Second, 1500, 0, nil)
		sum, count, highest := 0.0, 0, 0.0
		f.run(20*time.Second, 1500, 0, func(_ int, part float64) {
			sum += part
			count++
			highest = max(highest, part)
		})
		mean := sum / float64(count) * float64(gateways)
		t.Logf("%d gateways: %.4f of an even part in the mean, at most %.3f", gateways, mean, highest*float64(gateways))
		is.True(math.Abs(mean-1) < 0.01)
	}
}

// Guards against parts that rise everywhere while the demand does, as at the beginning of a burst: the
// sums are older than the own demand.
func TestRisingDemandLeavesPartsEven(t *testing.T) {
	for _, gateways := range []int{2, 5, 22, 340} {
		is := is.New(t)
		f := newPartFleet(gateways)
		f.run(3*time.Second, 500, 0, nil)
		parts := make([]float64, gateways)
		highest := 0.0
		f.run(3*time.Second, 5000, 0, func(gateway int, part float64) {
			parts[gateway] = part
			sum := 0.0
			for _, each := range parts {
				sum += each
			}
			highest = max(highest, sum)
		})
		t.Logf("%d gateways: the parts together are at most %.3f", gateways, highest)
		is.True(highest < 1.05)
	}
}

// Guards against a gateway that keeps an even part while nearly all callers come to it, and against a part
// that doesn't become even again when they have gone elsewhere. The time constant is a second, so that
// takes several.
func TestPartFollowsCallersToOneGateway(t *testing.T) {
	const contactTime = 3 * time.Second
	for _, gateways := range []int{2, 5, 22, 340} {
		is := is.New(t)
		f := newPartFleet(gateways)
		f.run(3*time.Second, 1500, 0, nil)
		f.run(contactTime, 1500, 0.95, nil)
		uneven := f.shares[0].Part(f.now, gateways, gateways)
		f.run(2*contactTime, 1500, 0, nil)
		after := f.shares[0].Part(f.now, gateways, gateways)
		t.Logf("%d gateways: %.3f with 95%% of the callers, %.4f later", gateways, uneven, after)
		is.True(uneven >= 0.75)
		is.True(after <= 1.25/float64(gateways))
	}
}

// Guards against a gateway that gives away nothing, or everything, because it knows no demand.
func TestPartIsEvenWithoutSums(t *testing.T) {
	is := is.New(t)
	share := New("s")
	is.Equal(share.Part(start, 4, 4), 0.25) // no sums
	share.SetTotals(start, []Demand{{Service: Key("s"), Demand: 1000}})
	is.Equal(share.Part(start, 4, 4), 0.25) // no own demand
	is.Equal(share.Part(start, 0, 0), 1.0)
	share.Begin(start, "t", "k", 64_000)
	share.SetTotals(start.Add(time.Second), []Demand{{Service: Key("s"), Demand: 1000}})
	is.Equal(share.Part(start.Add(time.Minute), 4, 4), 0.25) // outdated sums
}
