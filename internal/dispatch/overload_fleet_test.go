package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/fairshare"
)

// requestClass is a kind of request of the overload tests. Own tokens and outputs vary with the
// given means.
type requestClass struct {
	name                string
	share               float64
	shared, own, output int
	deadline            time.Duration
	route               *catalog.Route
}

func overloadRoute(priority int, objective time.Duration, resumable bool) *catalog.Route {
	return &catalog.Route{
		Name: fmt.Sprint("r", priority), Targets: []catalog.Target{{Service: "s", Weight: 1}}, Stream: true, Resumable: resumable,
		MaxAttempts: 2, Objective: objective, PauseObjective: 500 * time.Millisecond, Priority: priority,
	}
}

var requestClasses = []requestClass{
	{"long", 0.25, 10500, 1300, 385, 15 * time.Second, overloadRoute(1, time.Second, false)},
	{"short", 0.39, 700, 130, 294, 15 * time.Second, overloadRoute(0, 400*time.Millisecond, true)},
	{"brief", 0.36, 2040, 360, 22, 3 * time.Second, overloadRoute(2, 500*time.Millisecond, false)},
}

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
)

// loadShape is the load in a phase of a simulation.
type loadShape struct {
	rate float64 // of all callers together, requests per second
	// largeTenant is the load of one tenant as a multiple of any other's, and impatient the share
	// of the callers that return at once when they are refused, and three times rather than once.
	largeTenant float64
	impatient   float64
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

// caller is a request of a caller with its outcome.
type caller struct {
	number        int
	class         *requestClass
	tenant        int
	part          string
	own, output   int
	hint          int
	askedAt       time.Time
	deadline      time.Time
	impatient     bool
	returnsLeft   int
	arrivedAt     time.Time // at its current gateway
	gateway       int
	x             *Exchange
	run           *modelRun
	attempt       int
	lastEventAt   time.Time
	firstToken    time.Duration
	longestPause  time.Duration
	served        bool
	endedAt       time.Time
	refusals      int
	lateRefusals  int // after an attempt had been sent
	latestRefusal time.Duration
	timedOut      bool
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
		if gateways > 1 {
			f.schedule(start.Add(exchangeInterval*time.Duration(i)/time.Duration(gateways)), func() { f.exchange(i) })
		}
	}
	if gateways > 1 {
		f.schedule(start, f.sumReports)
	}
	return f
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

func (f *overloadFleet) scheduleArrival() {
	at := f.now.Add(time.Duration(f.random.ExpFloat64() / f.load.rate * float64(time.Second)))
	if !at.Before(f.loadEnds) {
		return
	}
	f.schedule(at, func() {
		f.arrive(f.newCaller())
		f.scheduleArrival()
	})
}

// varied returns a length with the given mean, from a log-normal distribution.
func (f *overloadFleet) varied(mean int) int {
	const sigma = 1.0
	return min(max(1, int(float64(mean)*math.Exp(sigma*f.random.NormFloat64()-sigma*sigma/2))), 20*mean)
}

func (f *overloadFleet) newCaller() *caller {
	class := &requestClasses[0]
	for draw := f.random.Float64() - class.share; draw >= 0; draw -= class.share {
		class = &requestClasses[(indexOf(class)+1)%len(requestClasses)]
	}
	large := max(f.load.largeTenant, 1)
	tenant := max(0, int(math.Floor(f.random.Float64()*(overloadTenants-1+large)-large))+1)
	c := &caller{
		number: len(f.callers), class: class, tenant: tenant, own: f.varied(class.own), output: f.varied(class.output), askedAt: f.now,
		deadline: f.now.Add(class.deadline), gateway: f.random.IntN(len(f.cores)), returnsLeft: 1,
		part: fmt.Sprint(class.name, int(partsPerClass*math.Pow(f.random.Float64(), 1+overloadPartSkew))),
	}
	c.hint = max(1, int(float64(c.output)*math.Exp(0.5*f.random.NormFloat64())))
	if c.impatient = f.random.Float64() < f.load.impatient; c.impatient {
		c.returnsLeft = 3
	}
	f.callers = append(f.callers, c)
	return c
}

func indexOf(class *requestClass) int {
	for i := range requestClasses {
		if &requestClasses[i] == class {
			return i
		}
	}
	return -1
}

// arrive lets a caller ask its gateway.
func (f *overloadFleet) arrive(c *caller) {
	f.requests++
	c.arrivedAt = f.now
	request := Request{
		ID: fmt.Sprint(f.requests), Route: c.class.route, Path: "/" + c.class.name, Tenant: fmt.Sprint("t", c.tenant),
		Parts:        []Part{{ID: c.part, Tokens: c.class.shared}, {ID: fmt.Sprint("own", c.number), Tokens: c.own}},
		PromptTokens: c.class.shared + c.own, OutputTokens: c.hint, Urgency: c.class.route.Priority, Deadline: c.deadline,
	}
	core := f.cores[c.gateway]
	var decision Decision
	c.x, decision = core.Begin(f.now, request)
	f.follow(c, decision)
}

// follow carries out a decision for the caller.
func (f *overloadFleet) follow(c *caller, decision Decision) {
	if decision.Send == nil {
		f.refuse(c, decision.GiveUp)
		return
	}
	c.attempt++
	attempt, send := c.attempt, decision.Send
	engine := f.byID[send.BackEnd.ID]
	if engine.crashed {
		f.follow(c, f.cores[c.gateway].NotConnected(f.now, c.x))
		return
	}
	f.noteArrival(engine)
	core := f.cores[c.gateway]
	c.run = f.newRun(c, core, engine, send)
	engine.begin(c.run)
	f.schedule(c.deadline, func() {
		if c.attempt == attempt {
			f.endAttempt(c, core)
			c.timedOut = true
		}
	})
	if send.HeadTimeout > 0 && f.now.Add(send.HeadTimeout).Before(c.deadline) {
		f.schedule(f.now.Add(send.HeadTimeout), func() {
			if c.attempt == attempt && c.run.generated == 0 {
				f.follow(c, f.endAttempt(c, core))
			}
		})
	}
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

// newRun returns the run of an attempt that is sent now. It reports its events and its end to the core,
// and records them for the caller.
func (f *overloadFleet) newRun(c *caller, core *Core, engine *modelEngine, send *Send) *modelRun {
	sentAt := f.now
	return &modelRun{
		urgency: c.class.route.Priority, part: c.part, shared: c.class.shared, own: c.own, output: c.output, fetchFrom: f.byAddr[send.FetchFrom],
		onEvent: func(generated int) {
			if generated == 1 {
				c.firstToken = f.now.Sub(c.arrivedAt)
				core.Answered(f.now, c.x, engine.load())
				f.predictions = append(f.predictions, prediction{at: f.now, predicted: send.Predicted, actual: f.now.Sub(sentAt)})
			} else {
				c.longestPause = max(c.longestPause, f.now.Sub(c.lastEventAt))
			}
			c.lastEventAt = f.now
			core.Progressed(f.now, c.x, tokensOfEvent(generated))
		},
		onEnd: func() {
			c.attempt++
			c.longestPause = max(c.longestPause, f.now.Sub(c.lastEventAt))
			c.endedAt = f.now
			c.served = c.firstToken <= c.class.route.Objective && c.longestPause <= c.class.route.PauseObjective
			core.Completed(c.x)
			core.Done(f.now, c.x)
		},
	}
}

// endAttempt ends the current attempt at the engine and tells the core.
func (f *overloadFleet) endAttempt(c *caller, core *Core) Decision {
	c.attempt++
	c.run.engine.drop(c.run)
	if c.run.generated == 0 {
		return core.TimedOut(f.now, c.x)
	}
	core.Done(f.now, c.x)
	return Decision{}
}

// refuse lets a refused caller return to another gateway.
func (f *overloadFleet) refuse(c *caller, cause *failure.Error) {
	f.cores[c.gateway].Done(f.now, c.x)
	c.refusals++
	if c.x.Attempts() > 0 {
		c.lateRefusals++
	}
	c.latestRefusal = max(c.latestRefusal, f.now.Sub(c.arrivedAt))
	wait := min(cause.RetryDelay(), c.deadline.Sub(f.now)/3)
	if c.returnsLeft == 0 || wait <= 0 {
		return
	}
	c.returnsLeft--
	if c.impatient {
		wait = min(wait, 10*time.Millisecond)
	}
	f.schedule(f.now.Add(wait), func() {
		c.gateway = (c.gateway + 1 + f.random.IntN(max(1, len(f.cores)-1))) % len(f.cores)
		f.arrive(c)
	})
}

func (f *overloadFleet) notePrefill(part string, tokens int) {
	if f.prefills[part] {
		f.prefilledAgain += tokens
	}
	f.prefills[part] = true
}
