package router

import (
	"crypto/ed25519"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/membership"
)

var start = time.Unix(1_800_000_000, 0)

// newRouter returns a ready router with a pool of three engines.
func newRouter(t *testing.T, change func(*Config)) *Core {
	t.Helper()
	key := ed25519.NewKeyFromSeed([]byte(strings.Repeat("k", ed25519.SeedSize)))
	trusted := []ed25519.PublicKey{key.Public().(ed25519.PublicKey)}
	text := "format = 1\n[[tenants]]\nname = \"t\"\nrequests_per_second = 10.0\nburst = 5.0\nkey_sha256 = [\"" + bundle.HashKey("k") + "\"]\n" +
		"[[tenants]]\nname = \"free\"\nkey_sha256 = [\"" + bundle.HashKey("f") + "\"]\n" +
		"[[pools]]\nname = \"p\"\nkind = \"engine\"\nmodels = [\"m\"]\n"
	for i := range 3 {
		text += fmt.Sprintf("[[pools.back_ends]]\nid = \"e%d\"\nagent = \"10.0.0.%d:7300\"\nzone = \"z\"\n", i, i+1)
	}
	raw, err := bundle.Sign(bundle.Header{Number: 1, Identifier: "x"}, []byte(text), key)
	if err != nil {
		t.Fatal(err)
	}
	config := DefaultConfig(coordination.Identity{ID: "r", Role: membership.RoleRouter, Zone: "z"})
	if change != nil {
		change(&config)
	}
	open := func(raw []byte) (*bundle.Bundle, error) { return bundle.Open(raw, trusted) }
	core := New(config, open, bundle.NewAcceptor(trusted), start)
	core.Control(start, coordination.PlatformBundle{Raw: raw, Version: 1, RequestedAt: start})
	return core
}

func request(tenant string) Request {
	return Request{ID: "id", Tenant: tenant, Pool: "p", ChatKey: "chat", Deadline: start.Add(time.Minute)}
}

func refusal(kind failure.Kind) hop.Reply {
	return hop.Reply{Refused: true, Kind: kind.String(), Load: 3, RetryAfterMillis: 700}
}

func TestRetriesOnlyRequestsThatDidNotRun(t *testing.T) {
	is := is.New(t)
	core := newRouter(t, nil)
	exchange, first := core.Begin(start, request("free"))
	second := core.Refused(start, exchange, refusal(failure.OverBound))
	is.True(second.Send != nil)
	is.True(second.Send.BackEnd != first.Send.BackEnd)
	is.Equal(second.Send.Head.ReportedLoads[0].BackEnd, first.Send.BackEnd)
	third := core.NotConnected(start, exchange)
	is.True(third.Send != nil)
	is.Equal(third.Send.Head.Unreachable, []string{second.Send.BackEnd})
	last := core.ConnectionLost(start, exchange)
	is.Equal(last.GiveUp.Kind, failure.BackendFailed)
	is.Equal(last.GiveUp.Kind.Answer().Ran, failure.RanUnknown)
}

func TestFinalRefusalIsNotRetried(t *testing.T) {
	for _, kind := range []failure.Kind{failure.OutcomeUnknown, failure.KeyReused, failure.KeyInProgress} {
		is := is.New(t)
		core := newRouter(t, nil)
		exchange, _ := core.Begin(start, request("free"))
		is.Equal(core.Refused(start, exchange, refusal(kind)).GiveUp.Kind, kind)
	}
}

func TestGivesUpWithoutRetryBudgetOrTime(t *testing.T) {
	is := is.New(t)
	noBudget := newRouter(t, func(c *Config) { c.RetryRatio, c.RetryCapacity = 0, 0 })
	exchange, _ := noBudget.Begin(start, request("free"))
	decision := noBudget.Refused(start, exchange, refusal(failure.OverBound))
	is.Equal(decision.GiveUp.Kind, failure.OverBound)
	is.Equal(decision.GiveUp.RetryDelay(), 700*time.Millisecond) // the wait that the refusal stated
	late := newRouter(t, nil)
	exchange, _ = late.Begin(start, request("free"))
	is.Equal(late.Refused(start.Add(2*time.Minute), exchange, refusal(failure.OverBound)).GiveUp.Kind, failure.DeadlineUnmeetable)
}

func TestRateLimitedTenantGetsRetryAfter(t *testing.T) {
	is := is.New(t)
	core := newRouter(t, nil)
	for range 5 {
		_, decision := core.Begin(start, request("t"))
		is.True(decision.Send != nil)
	}
	_, decision := core.Begin(start, request("t"))
	is.Equal(decision.GiveUp.Kind, failure.RateLimited)
	is.Equal(decision.GiveUp.RetryDelay(), 100*time.Millisecond)
	_, decision = core.Begin(start, request("free"))
	is.True(decision.Send != nil) // another tenant isn't affected
}

func TestLeavingBackEndGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	core := newRouter(t, nil)
	exchange, first := core.Begin(start, request("free"))
	reply := refusal(failure.Leaving)
	reply.Piggyback.Records = []membership.Record{{ID: first.Send.BackEnd, Incarnation: 1}}
	is.True(core.Refused(start, exchange, reply).Send != nil)
	_, next := core.Begin(start, request("free"))
	is.True(next.Send.BackEnd != first.Send.BackEnd)
}

func TestDrainingRouterFailsReadinessAndStillServes(t *testing.T) {
	is := is.New(t)
	core := newRouter(t, nil)
	is.True(core.Ready(start))
	core.Drain(start)
	is.True(!core.Ready(start))
	_, decision := core.Begin(start, request("free"))
	is.True(decision.Send != nil) // the load balancer may not know yet that it isn't ready
}

// TestHeadMarksLastAttempt checks that Head.LastAttempt is set if the retry budget or the
// maximum number of attempts allows no further attempt, and not set otherwise.
func TestHeadMarksLastAttempt(t *testing.T) {
	is := is.New(t)
	_, retriable := newRouter(t, nil).Begin(start, request("free"))
	is.True(!retriable.Send.Head.LastAttempt)
	noBudget := newRouter(t, func(c *Config) { c.RetryRatio, c.RetryCapacity = 0, 0 })
	_, only := noBudget.Begin(start, request("free"))
	is.True(only.Send.Head.LastAttempt)
	oneAttempt := newRouter(t, func(c *Config) { c.MaxAttempts = 1 })
	_, single := oneAttempt.Begin(start, request("free"))
	is.True(single.Send.Head.LastAttempt)
}

// The test guards against requests that are given up without having been allowed to wait
// at any back end, because another request took the retry that they counted on.
func TestGivenUpRequestHadALastAttempt(t *testing.T) {
	core := newRouter(t, nil)
	for range 200 {
		const inFlight = 4
		var exchanges [inFlight]*Exchange
		var decisions [inFlight]Decision
		for i := range exchanges {
			exchanges[i], decisions[i] = core.Begin(start, request("free"))
		}
		for open := inFlight; open > 0; {
			for i, exchange := range exchanges {
				if decisions[i].Send == nil {
					continue
				}
				wasLast := decisions[i].Send.Head.LastAttempt
				decisions[i] = core.Refused(start, exchange, refusal(failure.OverBound))
				if decisions[i].GiveUp == nil {
					continue
				}
				open--
				if !wasLast {
					t.Fatalf("given up after %d attempts, none of which was a last one", exchange.Attempts())
				}
			}
		}
	}
}

// The test guards against attempts that each wait anew for room: the head states what is
// left of the request's wait budget since its arrival, and allows no wait once it is used
// up, also to an agent of a build that doesn't know the budget.
func TestWaitBudgetCountsFromArrival(t *testing.T) {
	is := is.New(t)
	core := newRouter(t, func(c *Config) { c.WaitBudget, c.RetryRatio, c.RetryCapacity = 3*time.Second, 0, 2 })
	exchange, decision := core.Begin(start, request("free"))
	left, limited := decision.Send.Head.WaitLeft()
	is.True(limited)
	is.Equal(left, 3*time.Second)
	decision = core.Refused(start.Add(time.Second), exchange, refusal(failure.OverBound))
	left, _ = decision.Send.Head.WaitLeft()
	is.Equal(left, 2*time.Second)
	is.True(decision.Send.Head.LastAttempt) // the retry budget is low
	decision = core.Refused(start.Add(4*time.Second), exchange, refusal(failure.OverBound))
	left, limited = decision.Send.Head.WaitLeft()
	is.True(limited)
	is.Equal(left, time.Duration(0))
	is.True(!decision.Send.Head.LastAttempt)
}
