package agent

import (
	"crypto/ed25519"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/admission"
	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/membership"
	"github.com/harriernotch/harriernotch/internal/routing"
)

var start = time.Unix(1_800_000_000, 0)

var key = ed25519.NewKeyFromSeed([]byte(strings.Repeat("k", ed25519.SeedSize)))

func signed(t *testing.T, number uint64, leaving bool) []byte {
	t.Helper()
	text := "format = 1\n[control]\nownership_lease = \"1m\"\n[[tenants]]\nname = \"t\"\nkey_sha256 = [\"" + bundle.HashKey("k") + "\"]\n" +
		"[[pools]]\nname = \"p\"\nkind = \"service\"\npath_prefix = \"/p/\"\n"
	for _, id := range []string{"a", "b"} {
		text += fmt.Sprintf("[[pools.back_ends]]\nid = %q\nagent = \"10.0.0.1:7300\"\nzone = \"z\"\nleaving = %v\n", id, leaving && id == "a")
	}
	raw, err := bundle.Sign(bundle.Header{Number: number, Identifier: fmt.Sprint(number)}, []byte(text), key)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// newAgent returns the agent of back end a, with a confirmed bundle.
func newAgent(t *testing.T, now time.Time) *Core {
	t.Helper()
	trusted := []ed25519.PublicKey{key.Public().(ed25519.PublicKey)}
	open := func(raw []byte) (*bundle.Bundle, error) { return bundle.Open(raw, trusted) }
	identity := coordination.Identity{ID: "a", Role: membership.RoleAgent, Zone: "z"}
	core := New(DefaultConfig(identity), open, bundle.NewAcceptor(trusted), now)
	core.Control(now, coordination.PlatformBundle{Raw: signed(t, 1, false), Version: 1, RequestedAt: now})
	return core
}

// tickTo calls Tick every 150 ms between the two times.
func tickTo(core *Core, from, to time.Time) {
	for now := from; !now.After(to); now = now.Add(150 * time.Millisecond) {
		core.Tick(now)
	}
}

func head(now time.Time) hop.Head {
	return hop.Head{BackEnd: "a", Tenant: "t", RemainingMillis: 60_000, Piggyback: hop.Piggyback{Number: 1}}
}

// firstDecision returns the first decision on a request among the effects: the kind
// of a refusal, or "start"; nil if there is none.
func firstDecision(effects Effects) any {
	for _, action := range effects.Requests {
		switch a := action.(type) {
		case admission.Refuse:
			return a.Kind
		case admission.Start:
			return "start"
		}
	}
	return nil
}

func TestRequestForAnotherBackEndIsRefused(t *testing.T) {
	is := is.New(t)
	core := newAgent(t, start)
	wrong := head(start)
	wrong.BackEnd = "b"
	is.Equal(firstDecision(core.Arrive(start, 1, wrong)), failure.WrongOwner)
	is.Equal(firstDecision(core.Arrive(start, 2, head(start))), "start")
}

func TestDeadMemberIsExcludedFromBound(t *testing.T) {
	is := is.New(t)
	core := newAgent(t, start)
	core.Control(start, coordination.PiggybackedRecords{Records: []membership.Record{{ID: "b", Incarnation: 1, Load: 0}}})
	now := start.Add(1500 * time.Millisecond)
	is.Equal(firstDecision(core.Arrive(now, 1, head(now))), "start")
	is.Equal(firstDecision(core.Arrive(now, 2, head(now))), failure.OverBound) // b may be idle; its last record is out of date
	reported := head(now)
	reported.Unreachable = []string{"b"}
	is.Equal(firstDecision(core.Arrive(now, 3, reported)), "start") // b has been silent for the window, and a router can't connect to it
}

func keyedHead(now time.Time, owner string) hop.Head {
	h := head(now)
	h.KeyIssuedMillis = now.UnixMilli()
	members := []string{"a", "b"}
	for i := 0; ; i++ {
		h.Key = fmt.Sprint("key-", i)
		if routing.Owner(h.Key, members) == owner {
			return h
		}
	}
}

func TestKeyedRequestNeedsOwnershipAndLease(t *testing.T) {
	is := is.New(t)
	core := newAgent(t, start)
	now := start.Add(10 * time.Second)
	tickTo(core, start, now)
	is.Equal(firstDecision(core.Arrive(now, 1, keyedHead(now, "b"))), failure.WrongOwner)
	is.Equal(firstDecision(core.Arrive(now, 2, keyedHead(now, "a"))), "start")
	late := now.Add(time.Minute)
	tickTo(core, now, late)
	contact := keyedHead(late, "a")
	is.Equal(firstDecision(core.Arrive(late, 3, contact)), failure.LeaseLapsed) // the bundle hasn't been confirmed for over a minute
}

func TestPausedAgentWaitsForFreshContact(t *testing.T) {
	is := is.New(t)
	core := newAgent(t, start)
	core.Control(start, coordination.LinkUp{Link: 1, Peer: "b"})
	now := start.Add(10 * time.Second)
	tickTo(core, start, now)
	resumed := now.Add(20 * time.Second)                                                        // no ticks: the process was paused
	is.Equal(firstDecision(core.Arrive(resumed, 1, keyedHead(resumed, "a"))), failure.NotReady) // no message from a peer since
	// A message that waited in a buffer echoes a stamp from before the pause.
	old := coordination.Message{From: "b", Number: 1, ConfirmedAgeMillis: 0, Stamp: 1, Echo: 5000}
	core.Control(resumed, coordination.Received{Link: 1, Message: old})
	is.Equal(firstDecision(core.Arrive(resumed, 2, keyedHead(resumed, "a"))), failure.NotReady)
	fresh := coordination.Message{From: "b", Number: 1, ConfirmedAgeMillis: 0, Stamp: 2, Echo: 30_001 + 50}
	core.Control(resumed.Add(100*time.Millisecond), coordination.Received{Link: 1, Message: fresh})
	is.Equal(firstDecision(core.Arrive(resumed.Add(100*time.Millisecond), 3, keyedHead(resumed, "a"))), "start")
}

func TestIsolatedAgentTakesNoNewWork(t *testing.T) {
	is := is.New(t)
	core := newAgent(t, start)
	now := start.Add(6 * time.Second)
	tickTo(core, start, now)
	isolated := head(now)
	isolated.Piggyback.ContactAgeMillis = 6000 // the router has no contact either
	is.Equal(firstDecision(core.Arrive(now, 1, isolated)), failure.NotReady)
	is.Equal(firstDecision(core.Arrive(now, 2, head(now))), "start") // this router has contact to its peers
}

func TestAgentLeavesOnAnyLeavingSignal(t *testing.T) {
	incarnation := membership.IncarnationAt(start)
	signals := map[string]func(core *Core){
		"signal": func(c *Core) { c.Control(start, coordination.LocalState{State: membership.StateLeaving}) },
		"machine list": func(c *Core) {
			c.Control(start, coordination.MachineList{Machines: []coordination.Machine{{ID: "a", Leaving: true}}})
		},
		"bundle": func(c *Core) {
			c.Control(start, coordination.PlatformBundle{Raw: signed(t, 2, true), Version: 2, RequestedAt: start})
		},
		"traffic": func(c *Core) {
			c.Control(start, coordination.PiggybackedRecords{Records: []membership.Record{{ID: "a", Incarnation: incarnation, State: membership.StateLeaving}}})
		},
		"record of a newer incarnation": func(c *Core) {
			c.Control(start, coordination.PiggybackedRecords{Records: []membership.Record{{ID: "a", Incarnation: incarnation + 1}}})
		},
	}
	for name, send := range signals {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core := newAgent(t, start)
			send(core)
			is.Equal(firstDecision(core.Arrive(start, 1, head(start))), failure.Leaving)
			is.Equal(core.Node().Table().Self().State, membership.StateLeaving)
		})
	}
}

// tickUntilDecision calls Tick every 150 ms from the time on, with records of an idle
// member b, until there is a decision on a request. It returns the decision and the time
// since from.
func tickUntilDecision(core *Core, from time.Time) (decision any, after time.Duration) {
	const longest = 20 * time.Second
	for beat := uint32(2); after < longest && decision == nil; beat++ {
		after += 150 * time.Millisecond
		record := membership.Record{ID: "b", Incarnation: 1, Beat: beat}
		core.Control(from.Add(after), coordination.PiggybackedRecords{Records: []membership.Record{record}})
		decision = firstDecision(core.Tick(from.Add(after)))
	}
	return decision, after
}

// The test guards against an agent that ignores the router's wait budget, and against one
// that takes a head of an older build, which states none, for a request that may not wait.
func TestAgentKeepsTheWaitBudget(t *testing.T) {
	millis := func(wait time.Duration) *int64 {
		count := wait.Milliseconds()
		return &count
	}
	for name, c := range map[string]struct {
		waitLeft *int64
		want     time.Duration
	}{
		"budget":                  {millis(2 * time.Second), 2 * time.Second},
		"budget over one attempt": {millis(time.Hour), 4 * time.Second},
		"head of an older build":  {nil, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core := newAgent(t, start)
			idle := membership.Record{ID: "b", Incarnation: 1, Beat: 1}
			core.Control(start, coordination.PiggybackedRecords{Records: []membership.Record{idle}})
			for id := range admission.RequestID(3) {
				core.Arrive(start, 1+id, head(start))
			}
			is.Equal(core.Gate().Load(), 2) // the bound with an idle second member
			waiting := head(start)
			waiting.LastAttempt, waiting.WaitLeftMillis = true, c.waitLeft
			is.Equal(firstDecision(core.Arrive(start, 4, waiting)), nil) // waits for room
			decision, after := tickUntilDecision(core, start)
			is.Equal(decision, failure.OverBound)
			is.True(after >= c.want && after < c.want+150*time.Millisecond)
		})
	}
}
