package collect

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
)

var start = time.Unix(1_800_000_000, 0)

// simulation runs the dispatch cores of many gateways that share a pool and collect their loads, in
// simulated time. Some messages between the gateways are lost.
type simulation struct {
	random      *rand.Rand
	now         time.Time
	gateways    []*simulatedGateway
	byID        map[string]*simulatedGateway
	backEnds    int
	loads       map[string]int
	total       int
	completions []completion
	sent        int
	overBound   int
	refused     int
	// prefilledAt holds the back ends that prefilled each part. extraPrefills counts those beyond
	// the first of each part.
	prefilledAt   map[string]map[string]bool
	extraPrefills int
	// sentTo counts the requests by back end. queued counts those that found all slots taken.
	sentTo map[string]int
	queued int
	slots  int
	// runTime returns the mean duration of a request for a part at a back end.
	runTime func(part, id string) time.Duration
}

func backEndID(i int) string { return fmt.Sprintf("b%03d", i) }

type simulatedGateway struct {
	id         string
	phase      time.Duration
	core       *dispatch.Core
	aggregator *Aggregator
	plan       Plan
}

type completion struct {
	at       time.Time
	core     *dispatch.Core
	exchange *dispatch.Exchange
	id       string
}

const (
	timeStep     = time.Millisecond
	backEndSlots = 12
	zoneCount    = 6
	partCount    = 2800
	// partSkew makes some parts more popular than others.
	partSkew    = 0.7
	meanRunTime = 900 * time.Millisecond
	// noPrompts, in place of the share of a hot part, simulates requests without prompts.
	noPrompts = -1
	// lossRate is the fraction of the messages between gateways that is lost.
	lossRate = 0.03
	// window is the time over which the load bound is checked.
	window = 5 * time.Second
	// allowedMultiple and allowedSlack are the operators' load bound.
	allowedMultiple = 2
	allowedSlack    = 3
)

func newSimulation(gateways, backEnds, slots int, disabled ...dispatch.Mechanism) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(7, 7)), now: start, backEnds: backEnds, byID: map[string]*simulatedGateway{},
		loads: map[string]int{}, prefilledAt: map[string]map[string]bool{}, sentTo: map[string]int{},
	}
	list := make([]catalog.BackEnd, backEnds)
	for i := range list {
		list[i] = catalog.BackEnd{ID: backEndID(i), Service: "s", Address: fmt.Sprint("10.1.0.", i, ":1"), Zone: backEndID(i), Slots: slots}
	}
	config := dispatch.DefaultConfig()
	config.Disabled = dispatch.Disabled{}
	for _, each := range disabled {
		config.Disabled[each] = true
	}
	s.slots = slots
	s.runTime = func(_, _ string) time.Duration { return meanRunTime }
	var live []Gateway
	for i := range gateways {
		live = append(live, Gateway{ID: fmt.Sprint("g", i), Zone: fmt.Sprint("z", i%zoneCount), Capacity: 10})
	}
	for i, each := range live {
		core := dispatch.New(config)
		core.SetBackEnds(start, list)
		core.SetGateways(gateways)
		simulated := &simulatedGateway{
			id: each.ID, core: core, aggregator: NewAggregator(), plan: NewPlan(each.ID, live),
			phase: periodFor(backEnds) * time.Duration(i) / time.Duration(gateways),
		}
		s.gateways = append(s.gateways, simulated)
		s.byID[each.ID] = simulated
	}
	return s
}

// step simulates one time step at a rate of perSecond requests, of which the fraction hotShare is
// for one part; see also noPrompts.
func (s *simulation) step(perSecond, hotShare float64) {
	s.now = s.now.Add(timeStep)
	s.completeRequests()
	for _, each := range s.gateways {
		if (s.now.Sub(start)+each.phase)%periodFor(s.backEnds) < timeStep {
			s.reportCounts(each)
		}
	}
	for expected := perSecond * timeStep.Seconds(); expected > 0; expected-- {
		if s.random.Float64() >= expected {
			continue
		}
		if hotShare == noPrompts {
			s.sendPrompt("", nil)
			continue
		}
		s.send(hotShare)
	}
}

func (s *simulation) isLost() bool { return s.random.Float64() < lossRate }

func (s *simulation) reportCounts(from *simulatedGateway) {
	collector := s.byID[from.plan.Own.Members[0].ID]
	if collector == from {
		for _, group := range from.plan.Others {
			if !s.isLost() {
				from.aggregator.SetGroup(s.now, group.key(), s.byID[group.Members[0].ID].aggregator.GroupTotals(s.now))
			}
		}
	}
	if s.isLost() {
		return
	}
	counts := from.core.Counts(s.now)
	collector.aggregator.SetMember(s.now, from.id, counts, nil, nil)
	if !s.isLost() {
		from.core.ApplyTotals(s.now, counts, collector.aggregator.Totals(s.now, collector.plan.Others))
	}
}

func (s *simulation) completeRequests() {
	kept := s.completions[:0]
	for _, each := range s.completions {
		if each.at.After(s.now) {
			kept = append(kept, each)
			continue
		}
		each.core.Done(each.at, each.exchange)
		s.loads[each.id]--
		s.total--
	}
	s.completions = kept
}

func (s *simulation) send(hotShare float64) {
	part := "hot"
	if s.random.Float64() >= hotShare {
		part = fmt.Sprint("part", int(partCount*math.Pow(s.random.Float64(), 1/partSkew)))
	}
	s.sendPrompt(part, []dispatch.Part{{ID: part, Tokens: 9000}, {ID: "own"}})
}

// sendPrompt sends a request with the parts, or one without a prompt if there are none.
func (s *simulation) sendPrompt(part string, parts []dispatch.Part) {
	core := s.gateways[s.random.IntN(len(s.gateways))].core
	x, decision := core.Begin(s.now, dispatch.Request{
		ID: fmt.Sprint(s.sent), Path: "/x", Deadline: s.now.Add(time.Minute), Parts: parts,
		Route: &catalog.Route{Targets: []catalog.Target{{Service: "s", Weight: 1}}, Repeatable: true, MaxAttempts: 1},
	})
	if decision.Send == nil {
		s.refused++
		return
	}
	id := decision.Send.BackEnd.ID
	s.sent++
	s.loads[id]++
	s.total++
	core.Answered(s.now, x, s.loads[id])
	if part != "" {
		s.recordPrefill(part, id)
	}
	s.sentTo[id]++
	if s.loads[id] > s.slots {
		s.queued++
	}
	if float64(s.loads[id]) > allowedMultiple*float64(s.total)/float64(s.backEnds)+allowedSlack {
		s.overBound++
	}
	run := time.Duration(s.random.ExpFloat64() * float64(s.runTime(part, id)))
	s.completions = append(s.completions, completion{at: s.now.Add(run), core: core, exchange: x, id: id})
}

func (s *simulation) recordPrefill(part, backEnd string) {
	backEnds := s.prefilledAt[part]
	if backEnds == nil {
		backEnds = map[string]bool{}
		s.prefilledAt[part] = backEnds
	}
	if !backEnds[backEnd] && len(backEnds) > 0 {
		s.extraPrefills++
	}
	backEnds[backEnd] = true
}

// Hundreds of gateways that each decide alone keep the operators' load bound, and refuse no request
// while there is room. The log shows how many prefills at further back ends that takes.
func TestLargeFleetsKeepTheLoadBound(t *testing.T) {
	for _, size := range []struct {
		gateways, members int
		perSecond         float64
	}{{15, 30, 225}, {103, 180, 800}, {103, 180, 1350}, {340, 660, 4300}} {
		for _, hotShare := range []float64{0, 0.1} {
			t.Run(fmt.Sprint(size, " hot ", hotShare), func(t *testing.T) {
				is := is.New(t)
				s := newSimulation(size.gateways, size.members, backEndSlots)
				for range time.Second / timeStep {
					s.step(0, 0) // gateways start before the first requests arrive
				}
				for range window / timeStep {
					s.step(size.perSecond, hotShare)
				}
				t.Logf("%d of %d over the bound, %d extra prefills of %d parts", s.overBound, s.sent, s.extraPrefills, len(s.prefilledAt))
				is.True(float64(s.overBound) <= 0.03*float64(s.sent)) // up to 3% are allowed
				is.Equal(s.refused, 0)
			})
		}
	}
}

// Short requests without prompts are balanced evenly although loads are known only ten run times
// later: the gateways don't all send to the back end that looked idle. A back end that takes twice
// as long gets fewer requests.
func TestShortRequestsAreBalancedDespiteOutdatedLoads(t *testing.T) {
	simulate := func(disabled ...dispatch.Mechanism) *simulation {
		s := newSimulation(103, 5, 6, disabled...)
		s.runTime = func(_, id string) time.Duration {
			if id == backEndID(0) {
				return 60 * time.Millisecond
			}
			return 30 * time.Millisecond
		}
		for range 10 * time.Second / timeStep {
			s.step(400, noPrompts)
		}
		return s
	}
	is := is.New(t)
	s := simulate()
	t.Logf("%d of %d found all slots taken; sent %v", s.queued, s.sent, s.sentTo)
	is.True(float64(s.queued) < 0.12*float64(s.sent))
	is.True(float64(s.sentTo[backEndID(0)]) < 0.75*float64(s.sentTo[backEndID(1)]))
	withoutSpread := simulate(dispatch.Spread)
	t.Logf("%d of %d found all slots taken without the spread", withoutSpread.queued, withoutSpread.sent)
	is.True(withoutSpread.queued > 3*s.queued)
}

// A popular part whose requests run for a tenth of the others' time needs few back ends. Spreading
// it over dozens would displace the parts that are usually served there.
func TestShortRequestsForOnePartUseFewBackEnds(t *testing.T) {
	is := is.New(t)
	s := newSimulation(103, 180, backEndSlots)
	const shortRun = 100 * time.Millisecond
	s.runTime = func(part, _ string) time.Duration {
		if part == "hot" {
			return shortRun
		}
		return meanRunTime
	}
	const perSecond, hotShare = 1000, 0.25
	for range time.Second / timeStep {
		s.step(0, 0)
	}
	for range window / timeStep {
		s.step(perSecond, hotShare)
	}
	t.Logf("%d back ends prefilled the part, %d extra prefills of %d parts, %d of %d over the bound", len(s.prefilledAt["hot"]), s.extraPrefills, len(s.prefilledAt), s.overBound, s.sent)
	is.True(len(s.prefilledAt["hot"]) <= 40)
	is.True(s.extraPrefills <= 450) // the parts that are usually served there aren't displaced
	is.True(float64(s.overBound) <= 0.03*float64(s.sent))
}
