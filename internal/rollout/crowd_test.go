package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// crowd is a fleet of judges in front of the back ends of both versions, on a virtual clock
// that ticks.
type crowd struct {
	random   *rand.Rand
	plan     drawnRollout
	judges   []*Judge
	hearsAt  []int // the tick at which each gateway has heard of the order
	told     []map[Key]Tally
	ends     [][]func(now time.Time)
	deadline int
	// candidateLoad and standingLoad are what is under way.
	candidateLoad, standingLoad int
	result                      rolloutResult
}

// tick is the resolution of the crowd's clock.
const tick = 10 * time.Millisecond

// roundTicks is the time between two rounds of tallies, and lateTicks how old their sums are.
const (
	roundTicks = 25
	newsTicks  = 20
)

// crowdDeadline is how long a caller waits at most.
const crowdDeadline = 12 * time.Second

// drawnRollout is one roll-out as it was drawn.
type drawnRollout struct {
	gateways  int
	rate      float64
	duration  time.Duration
	backEnds  int
	kind      string
	severity  float64
	onset     time.Duration
	badRoute  int
	loadLimit float64
	// greySide has one machine that fails by itself, and slowSide one that is slow.
	grey, slow         bool
	greySide, slowSide Side
	// pathFailures are failures of requests wherever they run.
	pathFailures float64
	// startDelay is when the candidate's back ends appear.
	startDelay time.Duration
}

type rolloutResult struct {
	sent, exposed, bad int
	// lastExposed is the last send to the candidate after its fiftieth bad answer, from that.
	fiftieth, lastExposed int
	verdict               State
	verdictAt             time.Duration
	broken                int // requests that the end of the standing back ends cut off
}

var crowdRoutes = []struct {
	name   string
	part   float64
	mean   time.Duration
	stream bool
}{
	{"stream", 0.4, 1500 * time.Millisecond, true},
	{"short", 0.3, 250 * time.Millisecond, true},
	{"call", 0.3, 60 * time.Millisecond, false},
}

var crowdLimits = Limits{Share: 0.1, Extra: 50}

func drawRollout(random *rand.Rand, kind string) drawnRollout {
	duration := time.Duration(12+random.IntN(49)) * time.Second
	d := drawnRollout{
		kind: kind, gateways: 1 + random.IntN(40), duration: duration, backEnds: 2 + random.IntN(30),
		rate:     2 * math.Pow(300, random.Float64()),
		severity: 0.25 + 0.5*random.Float64(),
		badRoute: random.IntN(len(crowdRoutes)),
		onset:    time.Duration(float64(duration) * 0.5 * random.Float64()),
		grey:     random.Float64() < 0.2, slow: random.Float64() < 0.2,
		greySide: Side(random.IntN(2)), slowSide: Side(random.IntN(2)),
		pathFailures: 0.07 * random.Float64(),
		startDelay:   time.Duration(200+random.IntN(1300)) * time.Millisecond,
		loadLimit:    0.1 + 0.4*random.Float64(),
	}
	return d
}

func newCrowd(plan drawnRollout, seed uint64) *crowd {
	c := &crowd{random: rand.New(rand.NewPCG(seed, 1)), plan: plan, deadline: int(plan.duration / tick)}
	order := Order{Service: "pool", Target: "v2", Duration: plan.duration}
	for range plan.gateways {
		j := NewJudge(time.Time{}, order, crowdLimits)
		j.SetGateways(plan.gateways)
		c.judges = append(c.judges, j)
		c.hearsAt = append(c.hearsAt, c.random.IntN(50))
		c.told = append(c.told, nil)
	}
	c.ends = make([][]func(time.Time), 3*c.deadline+1)
	return c
}

func at(step int) time.Time {
	return time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(step) * tick)
}

// run plays the roll-out until a verdict stands, or twice its time.
func (c *crowd) run() rolloutResult {
	verdictTick, due := 0, Ordered
	for i := range c.judges {
		c.judges[i].beganAt = at(c.hearsAt[i])
	}
	for step := 0; step < 2*c.deadline; step++ {
		now := at(step)
		for _, end := range c.ends[step] {
			end(now)
		}
		if step == int(c.plan.startDelay/tick) {
			for _, j := range c.judges {
				j.SetCandidates(now, true)
			}
		}
		c.exchange(step)
		if due == Ordered {
			due = c.decide(now)
			verdictTick = step + 2
		}
		if due != Ordered && step == verdictTick {
			c.result.verdict, c.result.verdictAt = due, time.Duration(step)*tick
			if due == Completed {
				c.result.broken = c.standingLoad
			}
		}
		if c.result.verdict == Completed || c.result.verdict == Reverted && step >= verdictTick+newsTicks+50 {
			break
		}
		if due != Ordered && step == verdictTick+newsTicks {
			for _, j := range c.judges {
				j.SetState(due)
			}
		}
		c.arrive(step)
	}
	return c.result
}

// decide returns the first verdict that any gateway finds due.
func (c *crowd) decide(now time.Time) State {
	for _, j := range c.judges {
		if now.Before(j.beganAt) {
			continue
		}
		j.Look(now)
		if due := j.Due(now); due.IsVerdict() {
			return due
		}
	}
	return Ordered
}

// exchange gives each gateway the sums of a round ago, and marks as they are.
func (c *crowd) exchange(step int) {
	now := at(step)
	for i, j := range c.judges {
		if (step+i)%roundTicks != 0 || step < c.hearsAt[i] {
			continue
		}
		total := map[Key]Tally{}
		counted := 1
		for k, told := range c.told {
			if k == i || told == nil {
				continue
			}
			counted++
			for key, each := range told {
				total[key] = each.Plus(total[key])
			}
		}
		j.TakeTotals(now, values(total), counted, len(c.judges))
		mine := map[Key]Tally{}
		for _, each := range j.Tallies(now) {
			mine[each.Key] = each
		}
		c.told[i] = mine
		peer := c.judges[c.random.IntN(len(c.judges))]
		if !now.Before(peer.beganAt) {
			j.Hear(now, peer.Mark(now))
		}
	}
}

func (c *crowd) arrive(step int) {
	arrivals := c.plan.rate * tick.Seconds()
	for n := arrivals; n > 0; n-- {
		if n < 1 && c.random.Float64() >= n {
			break
		}
		c.request(step)
	}
}

func (c *crowd) request(step int) {
	route, draw := 0, c.random.Float64()
	for draw >= crowdRoutes[route].part && route < len(crowdRoutes)-1 {
		draw -= crowdRoutes[route].part
		route++
	}
	gateway := c.random.IntN(len(c.judges))
	j := c.judges[gateway]
	now := at(step)
	fails := c.random.Float64() < c.plan.pathFailures
	id := fmt.Sprint(c.random.Uint64())
	side := Standing
	if step >= c.hearsAt[gateway] {
		side = j.Side(now, crowdRoutes[route].name, id)
	}
	c.attempt(step, j, route, side, fails, true)
}

// attempt sends a request and lets it end; one that fails is tried again once.
func (c *crowd) attempt(step int, j *Judge, route int, side Side, fails, first bool) {
	now := at(step)
	backEnd := c.random.IntN(c.plan.backEnds)
	kind := crowdRoutes[route]
	run := j.Send(now, side, Facts{Route: kind.name, BackEnd: fmt.Sprint(backEnd), First: first, Stream: kind.stream})
	if step < c.deadline {
		c.result.sent++
	}
	load := &c.standingLoad
	if side == Candidate {
		load = &c.candidateLoad
		if step < c.deadline {
			c.result.exposed++
		}
		if c.result.fiftieth > 0 {
			c.result.lastExposed = step - c.result.fiftieth
		}
	}
	*load++
	bad, ofVersion, pace := c.treat(step, route, side, backEnd)
	took := float64(kind.mean) * pace * math.Exp(0.4*c.random.NormFloat64())
	took = min(took, float64(crowdDeadline))
	last := min(step+1+int(took/float64(tick)), len(c.ends)-1)
	head := last
	if kind.stream {
		head = min(step+2, last)
	}
	failed := fails || bad
	if failed {
		head, last = step+1, step+1
	}
	if ofVersion {
		c.noteBad(last)
	}
	c.ends[head] = append(c.ends[head], func(now time.Time) {
		if failed {
			run.Failed(now)
			return
		}
		run.Answered(now)
	})
	c.ends[last] = append(c.ends[last], func(now time.Time) {
		*load--
		run.End(now, !failed)
		if failed && first && last+1 < len(c.ends) {
			c.attempt(last, j, route, j.FurtherSide(now, kind.name), fails, false)
		}
	})
}

func (c *crowd) noteBad(step int) {
	c.result.bad++
	if c.result.bad == 50 {
		c.result.fiftieth = step
	}
}

// treat tells whether the back end fails the request, whether its version is to blame for a bad
// answer, which one machine's failures aren't, and how many times as long it takes.
func (c *crowd) treat(step, route int, side Side, backEnd int) (bad, ofVersion bool, pace float64) {
	pace = 1
	if c.plan.grey && side == c.plan.greySide && backEnd == 0 && c.random.Float64() < 0.4 {
		return true, false, 1
	}
	if c.plan.slow && side == c.plan.slowSide && backEnd == c.plan.backEnds-1 {
		pace = 6
	}
	if side != Candidate {
		return false, false, pace
	}
	active := false
	switch c.plan.kind {
	case "at once":
		active = true
	case "later":
		active = time.Duration(step)*tick >= c.plan.onset
	case "on one route":
		active = route == c.plan.badRoute
	case "under load":
		active = float64(c.candidateLoad) > c.plan.loadLimit*float64(c.candidateLoad+c.standingLoad)
	case "slow":
		return false, true, pace * (3 + 4*c.plan.severity)
	}
	bad = active && c.random.Float64() < c.plan.severity
	return bad, bad, pace
}
