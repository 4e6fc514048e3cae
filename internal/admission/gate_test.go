package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/harriernotch/harriernotch/internal/failure"
	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

var start = time.Unix(1_800_000_000, 0)

func testConfig() Config {
	return Config{
		Bound:           BoundPolicy{Multiple: 1.25, Window: time.Second},
		AffinityWait:    200 * time.Millisecond,
		OwnerWait:       time.Second,
		LastAttemptWait: 1500 * time.Millisecond,
		MaxRunning:      4,
		MaxQueued:       4,
	}
}

func testKeyTable() KeyTableConfig {
	return KeyTableConfig{StartedAt: start, ClockError: time.Second, Retention: time.Hour, Capacity: 4, MaxReplyBytes: 100}
}

func observed(loads ...int) []ObservedLoad {
	var list []ObservedLoad
	for i, load := range loads {
		list = append(list, ObservedLoad{Member: fmt.Sprint("m", i), Load: load, At: start})
	}
	return list
}

// newerObserved returns loads that are newer than those from observed.
func newerObserved(loads ...int) []ObservedLoad {
	list := observed(loads...)
	for i := range list {
		list[i].At = start.Add(time.Millisecond)
	}
	return list
}

func request(id RequestID) Request {
	return Request{ID: id, Tenant: "t", Deadline: start.Add(time.Minute)}
}

func arrive(g *Gate, now time.Time, r Request) []Action { return g.Step(now, Arrive{Request: r}) }

func kindOf(actions []Action) any {
	if len(actions) != 1 {
		return len(actions)
	}
	switch action := actions[0].(type) {
	case Refuse:
		return action.Kind
	case Start:
		return "start"
	case Replay:
		return "replay"
	}
	return nil
}

// The test drives a gate with random events. After each event it checks that no request
// has got two replies, and that the numbers of running and queued requests are within
// their limits. An arriving request must not be accepted over the bound or during a
// back-off, and none may wait once a back-off has begun.
func TestGateInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := testConfig()
		g := NewGate(config, testKeyTable())
		now := start.Add(time.Minute)
		answered := map[RequestID]bool{}
		var running []RequestID
		var last RequestID
		check := func(actions []Action) {
			for _, action := range actions {
				var id RequestID
				switch a := action.(type) {
				case Start:
					id = a.ID
					running = append(running, id)
					if a.Limit < 1 {
						t.Fatal("request started under a bound below 1")
					}
				case Refuse:
					id = a.ID
				case Replay:
					id = a.ID
				}
				if answered[id] {
					t.Fatalf("request %d got two replies", id)
				}
				answered[id] = true
			}
			if g.Running() > config.MaxRunning || g.Load()-g.Running() > config.MaxQueued {
				t.Fatalf("running %d, queued %d", g.Running(), g.Load()-g.Running())
			}
		}
		var backOffUntil time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				last++
				before := g.Load()
				limit := g.Limit(now)
				r := Request{
					ID: last, Tenant: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "tenant"),
					Priority: Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
					Deadline: now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline")) * time.Millisecond),
					Affine:   rapid.Bool().Draw(t, "affine"),
				}
				check(arrive(g, now, r))
				if g.Load() > before && now.Before(backOffUntil) {
					t.Fatalf("request %d was accepted during a back-off", last)
				}
				if g.Load() > before && g.Load() > limit.Max {
					t.Fatalf("load %d over the bound %d", g.Load(), limit.Max)
				}
			case 2:
				if len(running) > 0 {
					index := rapid.IntRange(0, len(running)-1).Draw(t, "finished")
					id := running[index]
					running = append(running[:index], running[index+1:]...)
					check(g.Step(now, Finished{ID: id}))
				}
			case 3:
				check(g.Step(now, Tick{}))
			case 4:
				loads := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 5).Draw(t, "loads")
				var others []ObservedLoad
				for _, load := range loads {
					others = append(others, ObservedLoad{Load: load, At: now})
				}
				check(g.Step(now, PoolObserved{Others: others}))
			case 5:
				backOff := time.Duration(rapid.IntRange(1, 1000).Draw(t, "rest")) * time.Millisecond
				if now.Add(backOff).After(backOffUntil) {
					backOffUntil = now.Add(backOff)
				}
				check(g.Step(now, BackOff{For: backOff}))
				if g.Load() > g.Running() || g.Waiting() > 0 {
					t.Fatalf("%d requests wait during a back-off", g.Load()-g.Running()+g.Waiting())
				}
			}
		}
	})
}

func TestAffineRequestWaitsForTheBound(t *testing.T) {
	is := is.New(t)
	g := NewGate(testConfig(), testKeyTable())
	g.Step(start, PoolObserved{Others: observed(0, 0, 0)})
	is.Equal(kindOf(arrive(g, start, request(1))), "start")
	is.Equal(kindOf(arrive(g, start, request(2))), failure.OverBound)
	affine := request(3)
	affine.Affine = true
	is.Equal(len(arrive(g, start, affine)), 0) // waits for room
	is.Equal(kindOf(g.Step(start.Add(100*time.Millisecond), Finished{ID: 1})), "start")
	fourth := request(4)
	fourth.Affine = true
	is.Equal(len(arrive(g, start.Add(100*time.Millisecond), fourth)), 0)
	is.Equal(kindOf(g.Step(start.Add(time.Second), Tick{})), failure.OverBound) // AffinityWait has passed
}

// A request that no other back end will get waits for room under the bound, even in
// a pool without a wait for affine requests.
func TestLastAttemptWaitsForTheBound(t *testing.T) {
	is := is.New(t)
	config := testConfig()
	config.AffinityWait = 0
	gate := NewGate(config, testKeyTable())
	gate.Step(start, PoolObserved{Others: observed(0, 0, 0)})
	is.Equal(kindOf(arrive(gate, start, request(1))), "start")
	is.Equal(kindOf(arrive(gate, start, request(2))), failure.OverBound)
	last := request(3)
	last.LastAttempt = true
	is.Equal(len(arrive(gate, start, last)), 0)
	is.Equal(kindOf(gate.Step(start.Add(config.LastAttemptWait-1), Tick{})), 0)
	is.Equal(kindOf(gate.Step(start.Add(config.LastAttemptWait), Tick{})), failure.OverBound)
}

// The test guards against a request that waits its full time at each back end that it
// meets: its wait ends with its wait budget, and it is refused at once if none is left.
func TestWaitForTheBoundEndsWithTheWaitBudget(t *testing.T) {
	config := testConfig()
	config.AffinityWait = time.Second
	kinds := map[string]func(*Request){
		"last attempt": func(r *Request) { r.LastAttempt = true },
		"affine":       func(r *Request) { r.Affine = true },
		"keyed":        func(r *Request) { r.Key = &Key{Value: "k", Issued: start.Add(time.Minute), Digest: 1} },
	}
	for name, mark := range kinds {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := start.Add(time.Minute)
			gate := NewGate(config, testKeyTable())
			gate.Step(now, PoolObserved{Others: observed(0, 0, 0)})
			is.Equal(kindOf(arrive(gate, now, Request{ID: 1, Deadline: now.Add(time.Minute)})), "start")
			limited := Request{ID: 2, Deadline: now.Add(time.Minute), WaitUntil: now.Add(300 * time.Millisecond)}
			mark(&limited)
			is.Equal(len(arrive(gate, now, limited)), 0) // waits
			is.Equal(len(gate.Step(limited.WaitUntil.Add(-1), Tick{})), 0)
			is.Equal(kindOf(gate.Step(limited.WaitUntil, Tick{})), failure.OverBound)
			limited.ID = 3
			is.Equal(kindOf(arrive(gate, limited.WaitUntil, limited)), failure.OverBound)
		})
	}
}

func TestRefusalCarriesRetryAfterAndLoad(t *testing.T) {
	is := is.New(t)
	g := NewGate(testConfig(), testKeyTable())
	g.Step(start, PoolObserved{Others: observed(0, 0, 0)})
	arrive(g, start, request(1))
	g.Step(start.Add(2*time.Second), Finished{ID: 1})
	arrive(g, start.Add(2*time.Second), request(2))
	refused, ok := arrive(g, start.Add(2*time.Second), request(3))[0].(Refuse)
	is.True(ok)
	is.Equal(refused.RetryAfter, 2*time.Second) // the service time measured so far
	is.Equal(refused.Load, 1)
}

// fullGate returns a gate at its limit of running requests, with queue queued.
func fullGate(t *testing.T, queue ...Request) *Gate {
	t.Helper()
	config := testConfig()
	config.Bound.Disabled = true
	g := NewGate(config, testKeyTable())
	for id := range RequestID(config.MaxRunning) {
		arrive(g, start, request(1000+id))
	}
	for _, r := range queue {
		if actions := arrive(g, start, r); len(actions) != 0 {
			t.Fatalf("request %d was not queued: %v", r.ID, actions)
		}
	}
	return g
}

func fromTenant(id RequestID, tenant string, priority Priority) Request {
	r := request(id)
	r.Tenant = tenant
	r.Priority = priority
	return r
}

func startedOrder(g *Gate, count int) []RequestID {
	var order []RequestID
	for i := range count {
		for _, action := range g.Step(start, Finished{ID: 1000 + RequestID(i)}) {
			if s, ok := action.(Start); ok {
				order = append(order, s.ID)
			}
		}
	}
	return order
}

func TestQueueIsFairAcrossTenantsAndPriorities(t *testing.T) {
	is := is.New(t)
	g := fullGate(t,
		fromTenant(1, "large", Interactive), fromTenant(2, "large", Interactive),
		fromTenant(3, "large", Batch), fromTenant(4, "small", Interactive))
	is.Equal(startedOrder(g, 4), []RequestID{1, 4, 2, 3})
}

func TestFullQueueRefusesTenantWithLargestShare(t *testing.T) {
	is := is.New(t)
	g := fullGate(t,
		fromTenant(1, "large", Interactive), fromTenant(2, "large", Interactive),
		fromTenant(3, "large", Interactive), fromTenant(4, "small", Interactive))
	is.Equal(kindOf(arrive(g, start, fromTenant(5, "large", Interactive))), failure.QueueFull)
	refused, ok := arrive(g, start, fromTenant(6, "small", Interactive))[0].(Refuse)
	is.True(ok)
	is.Equal(refused.ID, RequestID(3)) // the last request of the tenant with the largest share
}

func TestBatchIsNotStarved(t *testing.T) {
	is := is.New(t)
	config := testConfig()
	config.Bound.Disabled = true
	config.MaxRunning, config.MaxQueued = 1, 100
	g := NewGate(config, testKeyTable())
	arrive(g, start, request(1))
	arrive(g, start, fromTenant(2, "t", Batch))
	for id := RequestID(3); id < 30; id++ {
		arrive(g, start, request(id))
	}
	current, starts := RequestID(1), 0
	for current != 2 {
		for _, action := range g.Step(start, Finished{ID: current}) {
			if s, ok := action.(Start); ok {
				current = s.ID
			}
		}
		starts++
		is.True(starts <= batchInterval) // one in batchInterval starts is a batch request
	}
}

func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	g := fullGate(t)
	g.Step(start.Add(10*time.Second), Finished{ID: 1000}) // the mean service time is now 10 s
	arrive(g, start.Add(10*time.Second), request(1))
	arrive(g, start.Add(10*time.Second), request(2))
	arrive(g, start.Add(10*time.Second), request(3))
	late := request(9)
	late.Deadline = start.Add(11 * time.Second)
	is.Equal(kindOf(arrive(g, start.Add(10*time.Second), late)), failure.DeadlineUnmeetable)
	passed := request(10)
	passed.Deadline = start
	is.Equal(kindOf(arrive(g, start.Add(time.Second), passed)), failure.DeadlineUnmeetable)
}

func TestLeavingGateRefusesNewAndFinishesAcceptedRequests(t *testing.T) {
	is := is.New(t)
	g := fullGate(t, request(1))
	g.Step(start, Leave{})
	is.Equal(kindOf(arrive(g, start, request(2))), failure.Leaving)
	is.Equal(kindOf(g.Step(start, Finished{ID: 1000})), "start") // the queued request had been accepted
}

// Regression test: accepted requests that had not started reached the back end within
// the time for which it had asked for none.
func TestBackOffRefusesRequestsNotYetStarted(t *testing.T) {
	is := is.New(t)
	g := fullGate(t, request(1))
	refused, ok := g.Step(start, BackOff{For: 3 * time.Second})[0].(Refuse)
	is.True(ok)
	is.Equal(refused.RetryAfter, 3*time.Second)
	is.Equal(len(g.Step(start, Finished{ID: 1000})), 0)
	later := start.Add(time.Second)
	refused, ok = arrive(g, later, request(2))[0].(Refuse)
	is.True(ok)
	is.Equal(refused.RetryAfter, 2*time.Second)
	is.Equal(kindOf(arrive(g, start.Add(3*time.Second), request(3))), "start")
}

// A repeated call that has already run is answered from the key table, even while the
// back end wants no requests.
func TestStoredReplyIsReplayedDuringBackOff(t *testing.T) {
	is := is.New(t)
	g := NewGate(testConfig(), testKeyTable())
	now := start.Add(10 * time.Second)
	arrive(g, now, keyed(1, "k", now))
	g.Step(now, Finished{ID: 1, Outcome: Outcome{Known: true}})
	g.Step(now, BackOff{For: time.Second})
	is.Equal(kindOf(arrive(g, now, keyed(2, "k", now))), "replay")
	is.Equal(kindOf(arrive(g, now, keyed(3, "other", now))), failure.QueueFull)
	is.Equal(kindOf(arrive(g, now.Add(time.Second), keyed(4, "other", now))), "start") // it was refused before without being run
}
