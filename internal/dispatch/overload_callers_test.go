package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/failure"
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
	if f.load.atOneGateway > 0 && f.random.Float64() < f.load.atOneGateway {
		c.gateway = 0
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
