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
		Bound:        BoundPolicy{Multiple: 1.25, Window: time.Second},
		AffinityWait: 200 * time.Millisecond,
		OwnerWait:    time.Second,
		MaxRunning:   4,
		MaxQueued:    4,
	}
}

func testOnce() OnceConfig {
	return OnceConfig{StartedAt: start, ClockError: time.Second, Memory: time.Hour, Capacity: 4, ReplyBytes: 100}
}

func observed(loads ...int) []ObservedLoad {
	var list []ObservedLoad
	for i, load := range loads {
		list = append(list, ObservedLoad{Member: fmt.Sprint("m", i), Load: load, At: start})
	}
	return list
}

// met returns evidence that is newer than what observed returns.
func met(loads ...int) []ObservedLoad {
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

func TestLimitFor(t *testing.T) {
	up := BoundPolicy{Multiple: 1.25, Window: time.Second}
	down := BoundPolicy{Multiple: 1.25, Window: time.Second, RoundDown: true}
	old := []ObservedLoad{{Load: 50, At: start.Add(-2 * time.Second)}}
	cases := map[string]struct {
		policy   BoundPolicy
		own      int
		others   []ObservedLoad
		evidence []ObservedLoad
		want     int
	}{
		"alone, idle":                         {up, 0, nil, nil, 2},
		"alone, busy":                         {up, 9, nil, nil, 13},
		"alone, rounded down":                 {down, 9, nil, nil, 12},
		"empty pool":                          {up, 0, observed(0, 0, 0), nil, 1},
		"empty pool, rounded down":            {down, 0, observed(0, 0, 0), nil, 1},
		"mean 8":                              {up, 7, observed(8, 8, 8), nil, 10},
		"mean 8.25 up":                        {up, 8, observed(8, 8, 8), nil, 11},
		"mean 8.25 down":                      {down, 8, observed(8, 8, 8), nil, 10},
		"down never below the rounded mean":   {down, 1, observed(1, 1, 2), nil, 2},
		"an old high load can't raise":        {up, 1, append(observed(1), old...), nil, 2},
		"nor can it beside a high own load":   {up, 11, append(observed(3), old...), nil, 8},
		"nothing fresh: the old is believed":  {up, 1, old, nil, 33},
		"evidence replaces what was observed": {up, 1, observed(1, 1), met(6, 6), 6},
		"evidence of one member":              {up, 1, observed(1, 1), met(6), 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(c.policy.LimitFor(start, c.own, c.others, c.evidence, 24*time.Hour).Max, c.want)
		})
	}
}

// TestSomeMemberAlwaysHasRoom: whatever the loads, a member with the least load
// that knows them all admits, so that a pool never refuses everywhere.
func TestSomeMemberAlwaysHasRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.IntRange(0, 60), 1, 30).Draw(t, "loads")
		policy := BoundPolicy{Multiple: rapid.Float64Range(1.05, 3).Draw(t, "c"), RoundDown: rapid.Bool().Draw(t, "down"), Window: time.Second}
		least := 0
		for i, load := range loads {
			if load < loads[least] {
				least = i
			}
		}
		var others []ObservedLoad
		for i, load := range loads {
			if i != least {
				others = append(others, ObservedLoad{Load: load, At: start})
			}
		}
		if limit := policy.LimitFor(start, loads[least], others, nil, time.Second); loads[least]+1 > limit.Max {
			t.Fatalf("loads %v: the least loaded member refuses at %d", loads, limit.Max)
		}
	})
}

// TestGateKeepsItsInvariants drives a gate with random events and checks after
// each that every request gets exactly one word, that the load stays under the
// bound at every admission, and that running and queued stay under their caps.
func TestGateKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := testConfig()
		g := NewGate(config, testOnce())
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
						t.Fatal("started under a bound below 1")
					}
				case Refuse:
					id = a.ID
				case Replay:
					id = a.ID
				}
				if answered[id] {
					t.Fatalf("request %d got two answers", id)
				}
				answered[id] = true
			}
			if g.Running() > config.MaxRunning || g.Load()-g.Running() > config.MaxQueued {
				t.Fatalf("running %d, queued %d", g.Running(), g.Load()-g.Running())
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
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
			}
		}
	})
}

func TestAffineRequestWaitsForTheBound(t *testing.T) {
	is := is.New(t)
	g := NewGate(testConfig(), testOnce())
	g.Step(start, PoolObserved{Others: observed(0, 0, 0)})
	is.Equal(kindOf(arrive(g, start, request(1))), "start")
	is.Equal(kindOf(arrive(g, start, request(2))), failure.OverBound)
	affine := request(3)
	affine.Affine = true
	is.Equal(len(arrive(g, start, affine)), 0) // it waits
	is.Equal(kindOf(g.Step(start.Add(100*time.Millisecond), Finished{ID: 1})), "start")
	fourth := request(4)
	fourth.Affine = true
	is.Equal(len(arrive(g, start.Add(100*time.Millisecond), fourth)), 0)
	is.Equal(kindOf(g.Step(start.Add(time.Second), Tick{})), failure.OverBound) // its wait is over
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	is := is.New(t)
	g := NewGate(testConfig(), testOnce())
	g.Step(start, PoolObserved{Others: observed(0, 0, 0)})
	arrive(g, start, request(1))
	g.Step(start.Add(2*time.Second), Finished{ID: 1})
	arrive(g, start.Add(2*time.Second), request(2))
	refused, ok := arrive(g, start.Add(2*time.Second), request(3))[0].(Refuse)
	is.True(ok)
	is.Equal(refused.RetryAfter, 2*time.Second) // the service time seen so far
	is.Equal(refused.Load, 1)
}

// full returns a gate that runs and queues all it may.
func full(t *testing.T, queue ...Request) *Gate {
	t.Helper()
	config := testConfig()
	config.Bound.Disabled = true
	g := NewGate(config, testOnce())
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
	g := full(t,
		fromTenant(1, "large", Interactive), fromTenant(2, "large", Interactive),
		fromTenant(3, "large", Batch), fromTenant(4, "small", Interactive))
	is.Equal(startedOrder(g, 4), []RequestID{1, 4, 2, 3})
}

func TestSurgingTenantDisplacesOnlyItself(t *testing.T) {
	is := is.New(t)
	g := full(t,
		fromTenant(1, "large", Interactive), fromTenant(2, "large", Interactive),
		fromTenant(3, "large", Interactive), fromTenant(4, "small", Interactive))
	is.Equal(kindOf(arrive(g, start, fromTenant(5, "large", Interactive))), failure.QueueFull)
	refused, ok := arrive(g, start, fromTenant(6, "small", Interactive))[0].(Refuse)
	is.True(ok)
	is.Equal(refused.ID, RequestID(3)) // the last of the tenant with the most
}

func TestBatchIsNotStarved(t *testing.T) {
	is := is.New(t)
	config := testConfig()
	config.Bound.Disabled = true
	config.MaxRunning, config.MaxQueued = 1, 100
	g := NewGate(config, testOnce())
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
		is.True(starts <= batchTurn) // batch gets its turn
	}
}

func TestHopelessRequestsAreAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	g := full(t)
	g.Step(start.Add(10*time.Second), Finished{ID: 1000}) // a service time of 10s
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

func TestLeavingRefusesNewWorkAndFinishesTheOld(t *testing.T) {
	is := is.New(t)
	g := full(t, request(1))
	g.Step(start, Leave{})
	is.Equal(kindOf(arrive(g, start, request(2))), failure.Leaving)
	is.Equal(kindOf(g.Step(start, Finished{ID: 1000})), "start") // the queued one was accepted
}

func keyed(id RequestID, value string, issued time.Time) Request {
	r := request(id)
	r.Key = &Key{Value: value, Issued: issued, Digest: 1}
	return r
}

func TestKeyRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	g := NewGate(testConfig(), testOnce())
	now := start.Add(10 * time.Second)
	is.Equal(kindOf(arrive(g, now, keyed(1, "k", now))), "start")
	is.Equal(kindOf(arrive(g, now, keyed(2, "k", now))), failure.KeyInProgress)
	g.Step(now, Finished{ID: 1, Outcome: Outcome{Known: true, Reply: "answer"}})
	replay, ok := arrive(g, now, keyed(3, "k", now))[0].(Replay)
	is.True(ok)
	is.Equal(replay.Outcome.Reply, "answer")
	other := keyed(4, "k", now)
	other.Key.Digest = 2
	is.Equal(kindOf(arrive(g, now, other)), failure.KeyReused)
}

func TestOldAnswersAreDroppedButTheirKeysNeverRunAgain(t *testing.T) {
	is := is.New(t)
	g := NewGate(testConfig(), testOnce())
	now := start.Add(10 * time.Second)
	for id := RequestID(1); id <= 3; id++ {
		is.Equal(kindOf(arrive(g, now, keyed(id, fmt.Sprint(id), now))), "start")
		g.Step(now, Finished{ID: id, Outcome: Outcome{Known: true, Reply: "answer", Size: 40}})
	}
	first, ok := arrive(g, now, keyed(11, "1", now))[0].(Replay)
	is.True(ok)
	is.Equal(first.Outcome.Reply, nil) // 120 bytes were too many
	last, ok := arrive(g, now, keyed(13, "3", now))[0].(Replay)
	is.True(ok)
	is.Equal(last.Outcome.Reply, "answer")
}

func TestKeyOfARequestThatDidNotRunMayRun(t *testing.T) {
	is := is.New(t)
	g := NewGate(testConfig(), testOnce())
	now := start.Add(10 * time.Second)
	arrive(g, now, keyed(1, "k", now))
	g.Step(now, Finished{ID: 1, NotRun: true})
	is.Equal(kindOf(arrive(g, now, keyed(2, "k", now))), "start")
}

func TestUnknownOutcomeStaysUnknown(t *testing.T) {
	is := is.New(t)
	g := NewGate(testConfig(), testOnce())
	now := start.Add(10 * time.Second)
	arrive(g, now, keyed(1, "k", now))
	g.Step(now, Finished{ID: 1})
	is.Equal(kindOf(arrive(g, now, keyed(2, "k", now))), failure.OutcomeUnknown)
}

func TestKeysFromBeforeTheStartAreUnknown(t *testing.T) {
	is := is.New(t)
	g := NewGate(testConfig(), testOnce())
	now := start.Add(10 * time.Second)
	is.Equal(kindOf(arrive(g, now, keyed(1, "a", start.Add(2*time.Second)))), failure.OutcomeUnknown)
	is.Equal(kindOf(arrive(g, now, keyed(2, "b", start.Add(2*time.Second+1)))), "start")
	is.Equal(kindOf(arrive(g, now, keyed(3, "c", now.Add(time.Second+1)))), failure.InvalidRequest)
}

func TestForgottenKeysNeverRunAgain(t *testing.T) {
	is := is.New(t)
	config := testConfig()
	config.Bound.Disabled = true
	g := NewGate(config, testOnce())
	now := start.Add(10 * time.Second)
	for id := RequestID(1); id <= 8; id++ { // twice the capacity
		issued := now.Add(time.Duration(id) * time.Millisecond)
		is.Equal(kindOf(arrive(g, now, keyed(id, fmt.Sprint(id), issued))), "start")
		g.Step(now, Finished{ID: id, Outcome: Outcome{Known: true}})
	}
	again := keyed(9, "1", now.Add(time.Millisecond))
	is.Equal(kindOf(arrive(g, now, again)), failure.OutcomeUnknown)
	muchLater := now.Add(2 * time.Hour)
	old := keyed(10, "8", now.Add(8*time.Millisecond))
	old.Deadline = muchLater.Add(time.Minute)
	is.Equal(kindOf(arrive(g, muchLater, old)), failure.OutcomeUnknown)
}

func TestCancelledRequestsFreeTheirPlaceAndKey(t *testing.T) {
	is := is.New(t)
	g := full(t)
	now := start.Add(10 * time.Second)
	arrive(g, now, keyed(1, "k", now))
	is.Equal(g.Load(), 5)
	g.Step(now, Cancelled{ID: 1})
	is.Equal(g.Load(), 4)
	is.Equal(len(arrive(g, now, keyed(2, "k", now))), 0) // queued, not "in progress"
}
