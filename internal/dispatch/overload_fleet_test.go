package dispatch

import (
	"container/heap"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/fairshare"
)

const (
	partsPerClass = 210
	// overloadPartSkew makes some parts more popular than others: 0 would make all equal.
	overloadPartSkew = 0.4
	overloadTenants  = 24
	// nominalRate is the rate of requests per engine of which all other rates are multiples. It
	// is near the highest that an engine can serve.
	nominalRate = 22.0
	// exchangeInterval is the time between two reports of a gateway, and between two sums of all
	// reports. So totals are up to twice as old.
	exchangeInterval = 250 * time.Millisecond
	// directFleetSize is the number of gateways up to which they send their loads to each other, every
	// directInterval, instead of to a collector; see internal/relay.
	directFleetSize = 10
	directInterval  = 200 * time.Millisecond
)

// loadShape is the load in a phase of a simulation.
type loadShape struct {
	rate float64 // of all callers together, requests per second
	// largeTenant is the load of one tenant as a multiple of any other's, and impatient the share
	// of the callers that return at once when they are refused, and three times rather than once.
	largeTenant float64
	impatient   float64
	// atOneGateway is the share of the callers that first ask the first gateway; the others are spread
	// over all gateways, as are callers that return.
	atOneGateway float64
}

// overloadFleet simulates gateways with their cores, engines and callers on a virtual clock.
type overloadFleet struct {
	// tenants are the demands of tenants, summed up over all gateways.
	tenants  []fairshare.Demand
	random   *rand.Rand
	now      time.Time
	events   eventQueue
	sequence int
	cores    []*Core
	engines  []*modelEngine
	byID     map[string]*modelEngine
	byAddr   map[string]*modelEngine
	load     loadShape
	loadEnds time.Time
	requests int

	// reports are the last counts of each gateway, sums their totals at the last exchange, and
	// summed the reports that these contain.
	reports, summed [][]Count
	sums            map[uint32]Count
	cursors         map[[2]int]uint64

	callers   []*caller
	arrivals  []arrival
	prefills  map[string]bool
	preempted int
	// prefilledAgain counts the tokens of shared parts that were prefilled after the first time.
	prefilledAgain int
	// predictions are the predicted and the actual times to the first token of the attempts.
	predictions []prediction
}

// arrival is the arrival of an attempt at an engine.
type arrival struct {
	at        time.Time
	overBound bool
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *overloadFleet) schedule(at time.Time, run func()) {
	f.sequence++
	heap.Push(&f.events, event{at: at, sequence: f.sequence, run: run})
}

func newOverloadFleet(seed uint64, gateways, engines int) *overloadFleet {
	f := &overloadFleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, byID: map[string]*modelEngine{}, byAddr: map[string]*modelEngine{},
		prefills: map[string]bool{}, cursors: map[[2]int]uint64{}, sums: map[uint32]Count{},
		reports: make([][]Count, gateways), summed: make([][]Count, gateways),
	}
	list := backEnds(engines, modelSlots)
	speeds := []float64{1, 1, 1.3}
	for i, each := range list {
		engine := &modelEngine{fleet: f, id: each.ID, speed: speeds[i%len(speeds)], cache: map[string]*cachedPart{}}
		f.engines = append(f.engines, engine)
		f.byID[each.ID], f.byAddr[each.Address] = engine, engine
	}
	service := catalog.Service{
		Name: "s", CachesPrefixes: true, CacheTokens: modelMemory, TokenBytes: 18432, EventTokens: tokensPerEvent,
		Backups: true, Moves: true, CopyLifetime: 5 * time.Second,
	}
	for i := range gateways {
		core := newCore(list)
		core.SetServices([]catalog.Service{service})
		core.SetGateways(gateways)
		f.cores = append(f.cores, core)
		switch {
		case gateways > directFleetSize:
			f.schedule(start.Add(exchangeInterval*time.Duration(i)/time.Duration(gateways)), func() { f.exchange(i) })
		case gateways > 1:
			f.schedule(start.Add(directInterval*time.Duration(i)/time.Duration(gateways)), func() { f.sendToPeers(i) })
		}
	}
	if gateways > directFleetSize {
		f.schedule(start, f.sumReports)
	}
	return f
}

// sendToPeers sends the gateway's loads, demands and new holdings to all others.
func (f *overloadFleet) sendToPeers(gateway int) {
	core, name := f.cores[gateway], fmt.Sprint(gateway)
	for peer, other := range f.cores {
		if peer == gateway {
			continue
		}
		other.SetPeerLoads(f.now, name, core.Loads())
		other.SetPeerDemands(f.now, name, core.Demands(f.now))
		link := [2]int{gateway, peer}
		holdings, cursor := core.HoldingsSince(f.cursors[link], int(500*directInterval.Seconds())/len(f.cores))
		f.cursors[link] = cursor
		other.MergePeerHoldings(f.now, holdings)
	}
	f.schedule(f.now.Add(directInterval), func() { f.sendToPeers(gateway) })
}

// exchange reports the gateway's counts, applies the last sums, and sends new holdings to the
// gateways at doubling distances.
func (f *overloadFleet) exchange(gateway int) {
	core := f.cores[gateway]
	counts := core.Counts(f.now)
	f.reports[gateway] = counts
	own := byKey[uint32](counts)
	summed := byKey[uint32](f.summed[gateway])
	totals := Totals{Counted: len(f.cores), Expected: len(f.cores), Tenants: f.tenants}
	for _, engine := range f.engines {
		key := CountKey(engine.id)
		sum := f.sums[key]
		sum.Key = key
		totals.Counts = append(totals.Counts, sum.Minus(summed[key]).Plus(own[key]))
	}
	core.ApplyTotals(f.now, counts, totals)
	// As in internal/relay: 500 per second on all links, less in large fleets, and at least 4 in a message.
	links := bits.Len(uint(len(f.cores) - 1))
	holdingsPerMessage := max(4, int(500*exchangeInterval.Seconds()*min(1, 30/float64(len(f.cores)))/float64(max(links, 1))))
	for distance := 1; distance < len(f.cores); distance *= 2 {
		peer := (gateway + distance) % len(f.cores)
		link := [2]int{gateway, peer}
		holdings, cursor := core.HoldingsSince(f.cursors[link], holdingsPerMessage)
		f.cursors[link] = cursor
		f.cores[peer].MergePeerHoldings(f.now, holdings)
	}
	f.schedule(f.now.Add(exchangeInterval), func() { f.exchange(gateway) })
}

func (f *overloadFleet) sumReports() {
	clear(f.sums)
	copy(f.summed, f.reports)
	for _, counts := range f.summed {
		for _, each := range counts {
			sum := f.sums[each.Key]
			sum.Key = each.Key
			f.sums[each.Key] = sum.Plus(each)
		}
	}
	demands := make([][]fairshare.Demand, len(f.cores))
	for i, core := range f.cores {
		demands[i] = core.Demands(f.now)
	}
	f.tenants = fairshare.Largest(fairshare.Sum(demands...))
	f.schedule(f.now.Add(exchangeInterval), f.sumReports)
}

// simulate runs the fleet for the time under the load.
func (f *overloadFleet) simulate(span time.Duration, load loadShape) {
	f.load, f.loadEnds = load, f.now.Add(span)
	if load.rate > 0 {
		f.scheduleArrival()
	}
	for len(f.events) > 0 && f.events[0].at.Before(f.loadEnds) {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
	f.now = f.loadEnds
}

// noteArrival records whether a request that is about to begin at the engine brings it over the bound on
// load. The mean load is that of the engines that haven't crashed.
func (f *overloadFleet) noteArrival(engine *modelEngine) {
	total, remaining := 1, 0
	for _, each := range f.engines {
		total += each.load()
		if !each.crashed {
			remaining++
		}
	}
	mean := float64(total) / float64(remaining)
	load := engine.load() + 1
	f.arrivals = append(f.arrivals, arrival{at: f.now, overBound: float64(load) > allowedMultiple*mean+allowedSlack})
}

func (f *overloadFleet) notePrefill(part string, tokens int) {
	if f.prefills[part] {
		f.prefilledAgain += tokens
	}
	f.prefills[part] = true
}
