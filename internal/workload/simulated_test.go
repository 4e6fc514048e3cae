package workload

import (
	"slices"
	"time"
)

// simulatedEngine is an engine as docs/design/overload.md describes it: in each step, it decodes one
// token for each running stream and prefills up to 2,048 prompt tokens in the order of arrival.
type simulatedEngine struct {
	slots    int
	now      time.Time
	slowness func(at time.Time) float64
	queue    []*simulatedRun
}

// simulatedRun is a request at the simulated engine. Its functions are called at the first token
// and with the tokens of each further event.
type simulatedRun struct {
	unread, output int
	firstToken     func(now time.Time)
	progress       func(now time.Time, tokens int)
	end            func(now time.Time)

	isStreaming bool
	unsent      int
}

const simulatedEventTokens = 7

// advance runs the engine until the given time.
func (e *simulatedEngine) advance(until time.Time) {
	for e.now.Before(until) {
		if len(e.queue) == 0 {
			e.now = until
			return
		}
		e.step()
	}
}

func (e *simulatedEngine) step() {
	running := e.queue[:min(len(e.queue), e.slots)]
	budget := 2048
	var prefilled []*simulatedRun
	streams := 0
	for _, run := range running {
		if run.isStreaming {
			streams++
			continue
		}
		taken := min(run.unread, budget)
		run.unread -= taken
		budget -= taken
		if run.unread == 0 {
			prefilled = append(prefilled, run)
		}
	}
	milliseconds := 3.8 + 0.09*float64(streams) + 36*float64(2048-budget)/2048
	e.now = e.now.Add(time.Duration(milliseconds * e.slowness(e.now) * float64(time.Millisecond)))
	for _, run := range running {
		if run.isStreaming {
			e.decode(run)
		}
	}
	for _, run := range prefilled {
		run.isStreaming = true
		run.firstToken(e.now)
	}
	e.queue = slices.DeleteFunc(e.queue, func(run *simulatedRun) bool { return run.output <= 0 })
}

func (e *simulatedEngine) decode(run *simulatedRun) {
	run.output--
	run.unsent++
	if run.unsent == simulatedEventTokens || run.output == 0 {
		run.progress(e.now, run.unsent)
		run.unsent = 0
	}
	if run.output == 0 {
		run.end(e.now)
	}
}

// simulatedFleet is one simulated engine with the gateways in front of it. Each of them knows the
// others' work as it was at the last exchange.
type simulatedFleet struct {
	engine   simulatedEngine
	gateways []*Engine
	errors   *ErrorRecord
	others   []Work
	// exchangedAt is when others was last updated.
	exchangedAt time.Time
	// network is the time from the engine to a gateway.
	network time.Duration
}

const exchangeInterval = 250 * time.Millisecond

func newSimulatedFleet(gateways int, slowness func(at time.Time) float64) *simulatedFleet {
	f := &simulatedFleet{
		engine: simulatedEngine{slots: 64, now: start, slowness: slowness},
		errors: NewErrorRecord(), others: make([]Work, gateways), network: time.Millisecond, exchangedAt: start,
	}
	limits := Limits{Slots: 64, Memory: 421_980, EventTokens: simulatedEventTokens}
	for range gateways {
		f.gateways = append(f.gateways, NewEngine(limits, Rates{}, f.errors))
	}
	return f
}

// advance runs the engine until the given time and exchanges the gateways' work.
func (f *simulatedFleet) advance(until time.Time) {
	for next := f.exchangedAt.Add(exchangeInterval); !next.After(until); next = f.exchangedAt.Add(exchangeInterval) {
		f.engine.advance(next)
		f.exchange(next)
	}
	f.engine.advance(until)
}

func (f *simulatedFleet) exchange(now time.Time) {
	var total Work
	for _, gateway := range f.gateways {
		total = total.Plus(gateway.Own())
	}
	for i, gateway := range f.gateways {
		own := gateway.Own()
		f.others[i] = Work{Streams: total.Streams - own.Streams, Unread: total.Unread - own.Unread, Memory: total.Memory - own.Memory}
	}
	f.exchangedAt = now
}

// send lets a gateway send a request now. atFirstToken is called at the first token.
func (f *simulatedFleet) send(gateway int, size Size, atFirstToken func(now time.Time)) {
	e := f.gateways[gateway]
	run := e.Begin(f.engine.now, f.others[gateway], size)
	f.engine.queue = append(f.engine.queue, &simulatedRun{
		unread: size.Unread, output: size.Output,
		firstToken: func(now time.Time) {
			e.FirstToken(now.Add(f.network), run)
			atFirstToken(now)
		},
		progress: func(now time.Time, tokens int) { e.Progress(now.Add(f.network), run, tokens) },
		end:      func(now time.Time) { e.End(now.Add(f.network), run) },
	})
}
