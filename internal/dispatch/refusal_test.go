package dispatch

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// refusalOf sends requests until one is refused, and returns the reason.
func refusalOf(t *testing.T, core *Core, now time.Time, next func(id string) Request) RefusalReason {
	t.Helper()
	for i := range 1000 {
		x, decision := core.Begin(now, next(fmt.Sprint("r", i)))
		if decision.GiveUp != nil {
			is.New(t).Equal(decision.GiveUp.Kind, failure.PoolExhausted)
			return x.Refusal()
		}
	}
	t.Fatal("no request was refused")
	return ""
}

func plainRequest(id string) Request { return request(nonRepeatable(), id) }

// newWorkCoreWithoutDraw returns a core that refuses no request while there is room.
func newWorkCoreWithoutDraw(engines int) *Core {
	core := newWorkCore(engines)
	core.config.Disabled = Disabled{AdmissionLottery: true}
	return core
}

// Guards against operators who look for missing engines while tenants ask for too much, or the other
// way round: each cause of a refusal has a reason of its own.
func TestRefusalsHaveReasons(t *testing.T) {
	leaving, evacuated := backEnds(2, 6), backEnds(2, 6)
	leaving[0].Leaving, leaving[1].Leaving = true, true
	for _, each := range []struct {
		reason RefusalReason
		core   func() *Core
		next   func(id string) Request
	}{
		{RefusedNoRoom, func() *Core { return newCore(backEnds(1, 6)) }, plainRequest},
		{RefusedNoRoom, func() *Core { return newWorkCoreWithoutDraw(1) }, streamRequest},
		{RefusedLostDraw, func() *Core {
			core := newWorkCore(1)
			core.SetGateways(100)
			return core
		}, streamRequest},
		{RefusedNoRoom, func() *Core { // nobody wins a draw for no places
			core := newWorkCore(1)
			core.SetGateways(100)
			core.ApplyTotals(start, nil, Totals{Counted: 100, Expected: 100, Counts: []Count{{Key: CountKey("b00"), Requests: 64}}})
			return core
		}, streamRequest},
		{RefusedNoBackEnd, func() *Core { return newCore(nil) }, plainRequest},
		{RefusedNoBackEnd, func() *Core { return newCore(leaving) }, plainRequest},
		{RefusedNoBackEnd, func() *Core {
			core := newCore(evacuated)
			core.SetEvacuated(start, []string{"z"}, nil)
			return core
		}, plainRequest},
		{RefusedResting, func() *Core {
			core := newCore(backEnds(1, 6))
			refuseWithRetryAfter(core, start, "rest", 5*time.Second)
			return core
		}, plainRequest},
		{RefusedWarmUp, func() *Core { return newWarmUpFleet(1, 1, coldBackEnds(2, 2))[0] }, plainRequest},
	} {
		t.Run(string(each.reason), func(t *testing.T) {
			is := is.New(t)
			is.Equal(refusalOf(t, each.core(), start, each.next), each.reason)
		})
	}
}

// Guards against operators who add engines because of one tenant: requests within and beyond their tenant's
// share are refused for different reasons.
func TestRefusalOfExcess(t *testing.T) {
	is := is.New(t)
	core := newFairShareCore()
	now := surge(core)
	reasons := map[bool]RefusalReason{}
	for i := range 100 {
		x, decision := core.Begin(now, tenantRequest("hot", fmt.Sprint("later-", i)))
		is.True(decision.GiveUp != nil)
		reasons[x.Excess()] = x.Refusal()
	}
	is.Equal(reasons, map[bool]RefusalReason{true: RefusedExcess, false: RefusedNoRoom})
}

// Guards against a refusal by back ends that is shown as a lack of room by the gateway's estimate, and
// against a reason for an error of another kind.
func TestRefusalAfterAttempts(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(2, 6))
	x, _ := core.Begin(start, plainRequest("a"))
	is.Equal(x.Refusal(), RefusalReason(""))
	is.True(core.Refused(start, x).Send != nil)
	is.Equal(x.Refusal(), RefusalReason(""))
	is.Equal(core.Refused(start, x).GiveUp.Kind, failure.PoolExhausted)
	is.Equal(x.Refusal(), RefusedAfterAttempt)

	x, _ = core.Begin(start, request(repeatable(2), "b"))
	core.ConnectionLost(start, x)
	is.Equal(core.Refused(start, x).GiveUp.Kind, failure.BackendFailed) // the first attempt may have run
	is.Equal(x.Refusal(), RefusalReason(""))
}

// Guards against a status that omits rates by reason, the backlog or the Retry-After, or that shows them
// long after the last refusal.
func TestRefusalStatus(t *testing.T) {
	is := is.New(t)
	core := newWorkCoreWithoutDraw(1)
	is.Equal(core.ServiceStatuses(start)[0].Refusals, RefusalStatus{})
	room := core.BackEndStatuses(start)[0]
	is.True(room.IsRoomKnown)
	is.Equal(room.RoomLeft, 64.0)
	now, told := start, time.Duration(0)
	for i := range 200 {
		now = now.Add(10 * time.Millisecond)
		if _, decision := core.Begin(now, streamRequest(fmt.Sprint(i))); decision.GiveUp != nil {
			told = decision.GiveUp.RetryAfter
		}
	}
	status := core.ServiceStatuses(now)[0].Refusals
	is.Equal(status.RetryAfter, told)
	is.True(status.Backlog > 50)
	is.Equal(len(status.Rates), 1)
	is.Equal(status.Rates[0].Reason, RefusedNoRoom)
	is.True(status.Rates[0].PerSecond > 1)
	is.Equal(core.BackEndStatuses(now)[0].RoomLeft, 0.0)
	is.Equal(core.ServiceStatuses(now.Add(5 * time.Minute))[0].Refusals.RetryAfter, time.Duration(0))
	is.Equal(len(core.ServiceStatuses(now.Add(5 * time.Minute))[0].Refusals.Rates), 0)

	plain := newCore(backEnds(1, 6))
	is.True(!plain.BackEndStatuses(start)[0].IsRoomKnown)
}

// Guards against a status page that changes what is decided: a gateway that is watched would tell
// callers another time to come back than one that isn't.
func TestStatusChangesNoDecision(t *testing.T) {
	is := is.New(t)
	watched, unwatched := newWorkCore(2), newWorkCore(2)
	now := start
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		watched.ServiceStatuses(now)
		watched.BackEndStatuses(now)
		_, one := watched.Begin(now, streamRequest(fmt.Sprint(i)))
		_, other := unwatched.Begin(now, streamRequest(fmt.Sprint(i)))
		is.Equal(one.GiveUp, other.GiveUp)
		is.Equal(one.Send == nil, other.Send == nil)
		now = now.Add(time.Millisecond)
		watched.ServiceStatuses(now)
	}
}

// Guards against a reason that is missing from the list, or in it twice: status and metrics show the
// reasons in the list.
func TestRefusalReasonsAreListedOnce(t *testing.T) {
	is := is.New(t)
	list := RefusalReasons()
	is.Equal(len(list), 7)
	sorted := slices.Sorted(slices.Values(list))
	is.Equal(len(slices.Compact(sorted)), len(list))
}

// Guards against a reason that operators can't look up.
func TestOperatorsPageHasEveryRefusalReason(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, reason := range RefusalReasons() {
		if !strings.Contains(string(page), "\n| `"+string(reason)+"` | ") {
			t.Errorf("docs/OPERATIONS.md has no row for %s", reason)
		}
	}
}
