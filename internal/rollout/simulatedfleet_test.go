package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// simulatedFleet is a fleet of judges in front of back ends of both versions, on a virtual clock
// with discrete ticks.
type simulatedFleet struct {
	random   *rand.Rand
	scenario scenario
	judges   []*Judge
	learnsAt []int // the tick at which each gateway learns of the order
	reported []map[Key]Tally
	events   [][]func(now time.Time)
	deadline int
	// candidateInFlight and standingInFlight are the numbers of running attempts at each version.
	candidateInFlight, standingInFlight int
	result                              scenarioResult
}

// tick is the resolution of the virtual clock.
const tick = 10 * time.Millisecond

// exchangeTicks is the time between two exchanges of tallies, and propagationTicks the time until
// every gateway knows of a verdict in the store.
const (
	exchangeTicks    = 25
	propagationTicks = 20
)

// requestTimeout limits the time of a request.
const requestTimeout = 12 * time.Second

// scenario holds the random parameters of one rollout.
type scenario struct {
	gateways  int
	rate      float64
	duration  time.Duration
	backEnds  int
	kind      string
	severity  float64
	onset     time.Duration
	badRoute  int
	loadLimit float64
	// If grey is set, one machine of greySide fails some of its requests, for which its version
	// isn't to blame. If slow is set, one machine of slowSide is slow.
	grey, slow         bool
	greySide, slowSide Side
	// pathFailures is the rate of requests that fail at every back end.
	pathFailures float64
	// startDelay is the time until the candidate's back ends appear.
	startDelay time.Duration
}

type scenarioResult struct {
	sent, exposed, bad int
	// fiftieth is the tick of the candidate's fiftieth bad answer, and lastExposed the number of
	// ticks from there to the last attempt at the candidate.
	fiftieth, lastExposed int
	verdict               State
	verdictAt             time.Duration
	cutOff                int // requests that ran at the standing back ends when these were stopped
}

var simulatedRoutes = []struct {
	name   string
	part   float64
	mean   time.Duration
	stream bool
}{
	{"stream", 0.4, 1500 * time.Millisecond, true},
	{"short", 0.3, 250 * time.Millisecond, true},
	{"call", 0.3, 60 * time.Millisecond, false},
}

var testLimits = Limits{Share: 0.1, Extra: 50}

func drawScenario(random *rand.Rand, kind string) scenario {
	duration := time.Duration(12+random.IntN(49)) * time.Second
	d := scenario{
		kind: kind, gateways: 1 + random.IntN(40), duration: duration, backEnds: 2 + random.IntN(30),
		rate:     2 * math.Pow(300, random.Float64()),
		severity: 0.25 + 0.5*random.Float64(),
		badRoute: random.IntN(len(simulatedRoutes)),
		onset:    time.Duration(float64(duration) * 0.5 * random.Float64()),
		grey:     random.Float64() < 0.2, slow: random.Float64() < 0.2,
		greySide: Side(random.IntN(2)), slowSide: Side(random.IntN(2)),
		pathFailures: 0.07 * random.Float64(),
		startDelay:   time.Duration(200+random.IntN(1300)) * time.Millisecond,
		loadLimit:    0.1 + 0.4*random.Float64(),
	}
	return d
}

func newSimulatedFleet(drawn scenario, seed uint64) *simulatedFleet {
	f := &simulatedFleet{random: rand.New(rand.NewPCG(seed, 1)), scenario: drawn, deadline: int(drawn.duration / tick)}
	order := Order{Service: "pool", Target: "v2", Duration: drawn.duration}
	for range drawn.gateways {
		j := NewJudge(time.Time{}, order, testLimits)
		j.SetGateways(drawn.gateways)
		f.judges = append(f.judges, j)
		f.learnsAt = append(f.learnsAt, f.random.IntN(50))
		f.reported = append(f.reported, nil)
	}
	f.events = make([][]func(time.Time), 3*f.deadline+1)
	return f
}

func at(step int) time.Time {
	return time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(step) * tick)
}

// run simulates the rollout until it is completed, or until some time after every gateway knows
// that it is reverted, but at most for twice the order's duration.
func (f *simulatedFleet) run() scenarioResult {
	verdictTick, due := 0, Ordered
	for i := range f.judges {
		f.judges[i].beganAt = at(f.learnsAt[i])
	}
	for step := 0; step < 2*f.deadline; step++ {
		now := at(step)
		for _, event := range f.events[step] {
			event(now)
		}
		if step == int(f.scenario.startDelay/tick) {
			for _, j := range f.judges {
				j.SetCandidates(now, true)
			}
		}
		f.exchange(step)
		if due == Ordered {
			due = f.decide(now)
			verdictTick = step + 2
		}
		if due != Ordered && step == verdictTick {
			f.result.verdict, f.result.verdictAt = due, time.Duration(step)*tick
			if due == Completed {
				f.result.cutOff = f.standingInFlight
			}
		}
		if f.result.verdict == Completed || f.result.verdict == Reverted && step >= verdictTick+propagationTicks+50 {
			break
		}
		if due != Ordered && step == verdictTick+propagationTicks {
			for _, j := range f.judges {
				j.SetState(due)
			}
		}
		f.arrive(step)
	}
	return f.result
}

// decide returns the first verdict that is due in any gateway, or Ordered.
func (f *simulatedFleet) decide(now time.Time) State {
	for _, j := range f.judges {
		if now.Before(j.beganAt) {
			continue
		}
		j.Evaluate(now)
		if due := j.DueState(now); due.IsVerdict() {
			return due
		}
	}
	return Ordered
}

// exchange gives each gateway, once every exchangeTicks, the sums of the tallies that the others
// last reported, and the current mark of a random peer.
func (f *simulatedFleet) exchange(step int) {
	now := at(step)
	for i, j := range f.judges {
		if (step+i)%exchangeTicks != 0 || step < f.learnsAt[i] {
			continue
		}
		total := map[Key]Tally{}
		counted := 1
		for k, tallies := range f.reported {
			if k == i || tallies == nil {
				continue
			}
			counted++
			for key, each := range tallies {
				total[key] = each.Plus(total[key])
			}
		}
		j.SetTallyTotals(now, sortedTallies(total), counted, len(f.judges))
		own := map[Key]Tally{}
		for _, each := range j.Tallies(now) {
			own[each.Key] = each
		}
		f.reported[i] = own
		peer := f.judges[f.random.IntN(len(f.judges))]
		if !now.Before(peer.beganAt) {
			j.MergeMark(now, peer.Mark(now))
		}
	}
}

func (f *simulatedFleet) arrive(step int) {
	arrivals := f.scenario.rate * tick.Seconds()
	for n := arrivals; n > 0; n-- {
		if n < 1 && f.random.Float64() >= n {
			break
		}
		f.request(step)
	}
}

func (f *simulatedFleet) request(step int) {
	route, draw := 0, f.random.Float64()
	for draw >= simulatedRoutes[route].part && route < len(simulatedRoutes)-1 {
		draw -= simulatedRoutes[route].part
		route++
	}
	gateway := f.random.IntN(len(f.judges))
	j := f.judges[gateway]
	now := at(step)
	fails := f.random.Float64() < f.scenario.pathFailures
	id := fmt.Sprint(f.random.Uint64())
	side := Standing
	if step >= f.learnsAt[gateway] {
		side = j.FirstSide(now, simulatedRoutes[route].name, id)
	}
	f.startAttempt(step, j, route, side, fails, true)
}

// startAttempt sends an attempt and schedules its answer and its end. A first attempt that fails
// is retried once.
func (f *simulatedFleet) startAttempt(step int, j *Judge, route int, side Side, fails, first bool) {
	now := at(step)
	backEnd := f.random.IntN(f.scenario.backEnds)
	kind := simulatedRoutes[route]
	attempt := j.StartAttempt(now, side, AttemptFacts{Route: kind.name, BackEnd: fmt.Sprint(backEnd), First: first, Stream: kind.stream})
	if step < f.deadline {
		f.result.sent++
	}
	inFlight := &f.standingInFlight
	if side == Candidate {
		inFlight = &f.candidateInFlight
		if step < f.deadline {
			f.result.exposed++
		}
		if f.result.fiftieth > 0 {
			f.result.lastExposed = step - f.result.fiftieth
		}
	}
	*inFlight++
	bad, versionFault, slowdown := f.outcome(step, route, side, backEnd)
	took := float64(kind.mean) * slowdown * math.Exp(0.4*f.random.NormFloat64())
	took = min(took, float64(requestTimeout))
	endTick := min(step+1+int(took/float64(tick)), len(f.events)-1)
	answerTick := endTick
	if kind.stream {
		answerTick = min(step+2, endTick)
	}
	failed := fails || bad
	if failed {
		answerTick, endTick = step+1, step+1
	}
	if versionFault {
		f.countBad(endTick)
	}
	f.events[answerTick] = append(f.events[answerTick], func(now time.Time) {
		if failed {
			attempt.Failed(now)
			return
		}
		attempt.Answered(now)
	})
	f.events[endTick] = append(f.events[endTick], func(now time.Time) {
		*inFlight--
		attempt.End(now, !failed)
		if failed && first && endTick+1 < len(f.events) {
			f.startAttempt(endTick, j, route, j.RetrySide(now, kind.name), fails, false)
		}
	})
}

func (f *simulatedFleet) countBad(step int) {
	f.result.bad++
	if f.result.bad == 50 {
		f.result.fiftieth = step
	}
}

// outcome returns whether the back end fails the request, whether its version is to blame for a
// bad answer, and the factor by which its answer is slower. Failures of the one failing machine
// aren't blamed on its version.
func (f *simulatedFleet) outcome(step, route int, side Side, backEnd int) (bad, versionFault bool, slowdown float64) {
	slowdown = 1
	if f.scenario.grey && side == f.scenario.greySide && backEnd == 0 && f.random.Float64() < 0.4 {
		return true, false, 1
	}
	if f.scenario.slow && side == f.scenario.slowSide && backEnd == f.scenario.backEnds-1 {
		slowdown = 6
	}
	if side != Candidate {
		return false, false, slowdown
	}
	active := false
	switch f.scenario.kind {
	case "at once":
		active = true
	case "later":
		active = time.Duration(step)*tick >= f.scenario.onset
	case "on one route":
		active = route == f.scenario.badRoute
	case "under load":
		active = float64(f.candidateInFlight) > f.scenario.loadLimit*float64(f.candidateInFlight+f.standingInFlight)
	case "slow":
		return false, true, slowdown * (3 + 4*f.scenario.severity)
	}
	bad = active && f.random.Float64() < f.scenario.severity
	return bad, bad, slowdown
}
