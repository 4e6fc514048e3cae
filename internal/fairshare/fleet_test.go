package fairshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fleet simulates gateways that share a server with limited room. Each reports its figures every
// reportInterval and gets sums of reports of the last interval, so that it uses figures that are up
// to half a second old.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	shares  []*Share
	reports [][]Demand
	tenants []*simulatedTenant
	// room is the work that the server holds at most at a time, excessLevel the part of it that may
	// be in use when an excess request is taken, and used what is in use now.
	room, excessLevel, used float64
	running                 []runningWork
}

type runningWork struct {
	endsAt time.Time
	work   float64
}

type simulatedTenant struct {
	name      string
	perSecond float64
	random    *rand.Rand
	// slices are the cumulated parts of its requests that reach each gateway.
	slices []float64
	// asked, served and marked count work since the last reset.
	asked, served, marked float64
}

func (t *simulatedTenant) servedPart() float64 { return t.served / t.asked }

const (
	step           = 5 * time.Millisecond
	reportInterval = 250 * time.Millisecond
	tenantCount    = 24
	meanWork       = 2500.0
	runTime        = 500 * time.Millisecond
	// usualRequests is the usual number of requests per second, and usualLoad the part of the room
	// that they take.
	usualRequests = 1500.0
	usualLoad     = 0.8
)

func newFleet(gateways int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(7, 7)), now: start, reports: make([][]Demand, gateways), excessLevel: 0.9}
	f.room = usualRequests * meanWork * runTime.Seconds() / usualLoad
	for range gateways {
		f.shares = append(f.shares, New("s"))
	}
	for i := range uint64(tenantCount) {
		tenant := &simulatedTenant{name: fmt.Sprint("tenant-", i), perSecond: usualRequests / tenantCount, random: rand.New(rand.NewPCG(i, 7))}
		sum := 0.0
		for range gateways {
			sum += math.Pow(f.random.Float64(), 4) // a fifth of the gateways gets most
			tenant.slices = append(tenant.slices, sum)
		}
		f.tenants = append(f.tenants, tenant)
	}
	return f
}

func (f *fleet) run(duration time.Duration) {
	for range duration / step {
		f.now = f.now.Add(step)
		running := f.running[:0]
		for _, each := range f.running {
			if each.endsAt.After(f.now) {
				running = append(running, each)
				continue
			}
			f.used -= each.work
		}
		f.running = running
		f.exchange()
		var arrivals []*simulatedTenant
		for _, tenant := range f.tenants {
			for expected := tenant.perSecond * step.Seconds(); expected > 0; expected-- {
				if tenant.random.Float64() < expected {
					arrivals = append(arrivals, tenant)
				}
			}
		}
		f.random.Shuffle(len(arrivals), func(i, j int) { arrivals[i], arrivals[j] = arrivals[j], arrivals[i] })
		for _, tenant := range arrivals {
			f.send(tenant)
		}
	}
}

// exchange lets the gateways that are due report, and gives them the sums of the last reports. A
// sole gateway has nobody to exchange figures with.
func (f *fleet) exchange() {
	if len(f.shares) == 1 {
		return
	}
	var sums []Demand
	for i, share := range f.shares {
		phase := reportInterval * time.Duration(i) / time.Duration(len(f.shares))
		if elapsed := f.now.Sub(start) + phase; elapsed%reportInterval >= step {
			continue
		}
		f.reports[i] = share.Demands(f.now)
		if sums == nil {
			sums, _ = Pack(Relevant(Sum(f.reports...))).Unpack()
		}
		share.SetTotals(f.now, sums)
	}
}

// send sends a request to a gateway, which sends it to the server if that has room. Sizes range
// from 0.01 to 8 times the mean.
func (f *fleet) send(tenant *simulatedTenant) {
	place := tenant.random.Float64() * tenant.slices[len(tenant.slices)-1]
	gateway := 0
	for tenant.slices[gateway] < place {
		gateway++
	}
	share := f.shares[gateway]
	work := meanWork * min(max(tenant.random.ExpFloat64(), 0.01), 8)
	hold := time.Duration(tenant.random.ExpFloat64() * float64(runTime))
	request := share.Begin(f.now, tenant.name, fmt.Sprint(tenant.name, tenant.random.Uint64()), work)
	tenant.asked += work
	level := 1.0
	if request.Excess {
		tenant.marked += work
		level = f.excessLevel
	}
	if f.used+work > level*f.room {
		return
	}
	f.used += work
	f.running = append(f.running, runningWork{endsAt: f.now.Add(hold), work: work})
	tenant.served += work
	share.Admit(f.now, &request)
}

// capacity is the work that the server can do per second, and total what it has served.
func (f *fleet) capacity() float64 { return f.room / runTime.Seconds() }

func (f *fleet) total() float64 {
	sum := 0.0
	for _, tenant := range f.tenants {
		sum += tenant.served
	}
	return sum
}

func (f *fleet) reset() {
	for _, tenant := range f.tenants {
		tenant.asked, tenant.served, tenant.marked = 0, 0, 0
	}
}

// othersServed returns the served parts of all tenants but the first.
func (f *fleet) othersServed() []float64 {
	var parts []float64
	for _, tenant := range f.tenants[1:] {
		parts = append(parts, tenant.servedPart())
	}
	return parts
}

const (
	surgeFactor = 30
	surgeTime   = 11 * time.Second
)

// surge runs the fleet at its usual load and then through a surge of the first tenant.
func (f *fleet) surge() {
	f.run(3 * time.Second)
	f.tenants[0].perSecond *= surgeFactor
	f.reset()
	f.run(surgeTime)
}

// With one tenant at thirty times its usual load, the others are served as without it, however the
// requests are divided among gateways, excess requests use the rest, and after two seconds at the
// usual load nothing is marked. A server that ignores the marks shows that they are the reason.
func TestSurgeOfOneTenantLeavesTheOthersTheirShares(t *testing.T) {
	for _, gateways := range []int{1, 22, 340} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			is := is.New(t)
			usual, surging, unmarked := newFleet(gateways), newFleet(gateways), newFleet(gateways)
			usual.run(3*time.Second + surgeTime)
			for _, tenant := range usual.tenants {
				is.Equal(tenant.marked, 0.0) // none below capacity
			}
			surging.surge()
			unmarked.excessLevel = 1
			unmarked.surge()
			without, with, ignored := usual.othersServed(), surging.othersServed(), unmarked.othersServed()
			t.Logf("least of another tenant: %.3f, %.3f without the surge, %.3f without marks; hot %.3f", slices.Min(with), slices.Min(without), slices.Min(ignored), surging.tenants[0].servedPart())
			for i := range with {
				is.True(with[i] >= without[i]-0.05)
			}
			is.True(slices.Max(ignored) < 0.7)
			is.True(surging.total() > 0.85*surging.capacity()*surgeTime.Seconds())

			surging.tenants[0].perSecond /= surgeFactor
			surging.run(2 * time.Second)
			surging.reset()
			surging.run(2 * time.Second)
			for _, tenant := range surging.tenants {
				is.Equal(tenant.marked, 0.0)
				is.Equal(tenant.servedPart(), 1.0)
			}
		})
	}
}

// Marks end after half of the server's room was gone for a while, although excess requests find no
// room at the usual load. Otherwise less would be admitted for ever: refusing excess requests keeps
// down what is admitted, and that the level.
func TestLevelRisesOnceThereIsRoom(t *testing.T) {
	for _, gateways := range []int{1, 22, 340} {
		is := is.New(t)
		f := newFleet(gateways)
		f.excessLevel = usualLoad - 0.1
		f.run(3 * time.Second)
		f.room /= 2
		f.run(4 * time.Second)
		f.room *= 2
		f.run(6 * time.Second)
		f.reset()
		f.run(time.Second)
		for _, tenant := range f.tenants {
			is.Equal(tenant.marked, 0.0)
		}
	}
}

// While all tenants ask for three times their usual load, one of twice the weight gets twice as
// much as each of the others.
func TestWeightsHoldOverAllGateways(t *testing.T) {
	is := is.New(t)
	f := newFleet(22)
	for _, share := range f.shares {
		share.SetWeights(map[string]float64{f.tenants[0].name: 2})
	}
	for _, tenant := range f.tenants {
		tenant.perSecond *= 3
	}
	f.run(2 * time.Second)
	f.reset()
	f.run(surgeTime)
	others := 0.0
	for _, tenant := range f.tenants[1:] {
		others += tenant.served / (tenantCount - 1)
	}
	t.Logf("%.2f times as much as the others", f.tenants[0].served/others)
	is.True(math.Abs(f.tenants[0].served/others-2) < 0.2)
}
