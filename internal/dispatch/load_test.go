package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// The load of every back end stays within the operators' bound even if all requests share one
// prompt part.
func TestLoadStaysWithinBound(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(10, 64))
	route := repeatable(1)
	sent := map[string]int{}
	total := 0.0
	for i := range 200 {
		_, decision := core.Begin(start, request(route, fmt.Sprint(i), Part{ID: "shared", Tokens: 9000}, Part{ID: fmt.Sprint(i), Tokens: 10}))
		sent[decision.Send.BackEnd.ID]++
		total++
		is.True(float64(sent[decision.Send.BackEnd.ID]) <= core.config.LoadMultiple*total/10+core.config.LoadSlack)
	}
}

func TestPeerLoadsAreCounted(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(2, 6))
	core.SetGateways(2)
	core.SetPeerLoads(start, "peer", []Load{{BackEnd: "b00", Requests: 5}})
	for i := range 4 {
		x, decision := core.Begin(start, request(nonRepeatable(), fmt.Sprint(i)))
		is.Equal(decision.Send.BackEnd.ID, "b01")
		core.Done(start, x)
	}
	_, decision := core.Begin(start, request(nonRepeatable(), "first"))
	is.Equal(decision.Send.BackEnd.ID, "b01")
	is.Equal(core.estimate(start, core.members["b01"]), 1.0)
}

// For the bound, a peer is assumed to have sent as many requests to a member since its last report
// as this gateway has, as far as the demand for the member explains them.
func TestUnreportedPeerLoadIsExtrapolated(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(1, 64))
	core.SetGateways(2)
	core.SetPeerLoads(start, "peer", nil)
	m := core.members["b00"]
	core.Begin(start, chatRequest("alone", "part"))
	is.Equal(core.pessimisticEstimate(start, m), 1.0) // the peer had no time to do the same
	now := start
	for i := range 20 {
		now = now.Add(10 * time.Millisecond)
		core.Begin(now, chatRequest(fmt.Sprint(i), "part"))
	}
	is.Equal(core.estimate(now, m), 21.0)
	demand := burstFactor * m.demand.perSecond(now) * 0.2
	is.Equal(core.pessimisticEstimate(now, m), 21+min(21, demand))
	is.True(demand > 10) // 20 requests in 200 ms are taken for lasting demand
	core.SetPeerLoads(now, "peer", nil)
	is.Equal(core.pessimisticEstimate(now, m), 21.0) // it has reported since
}

// A burst of requests at one gateway must not be refused for what its peers might have sent while
// there is room.
func TestBurstIsNotRefusedWhileThereIsRoom(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(2, 6))
	core.SetGateways(5)
	for i := range 4 {
		core.SetPeerLoads(start, fmt.Sprint(i), nil)
	}
	for i := range 20 {
		_, decision := core.Begin(start, request(nonRepeatable(), fmt.Sprint(i)))
		is.True(decision.Send != nil)
	}
}

func TestLoadReturnsToZero(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(3, 6))
	outcomes := []func(*Exchange){
		func(x *Exchange) { core.ConnectionLost(start, x) },
		func(x *Exchange) { core.Refused(start, x) },
		func(x *Exchange) { core.Misdirected(start, x) },
		func(x *Exchange) { core.NotConnected(start, x) },
		func(x *Exchange) { core.TimedOut(start, x) },
		func(x *Exchange) { core.Failed(start, x) },
		func(x *Exchange) { core.Answered(start, x, 3) },
		func(x *Exchange) { core.Answered(start, x, 3); breakOff(core, start, x) },
		func(*Exchange) {},
	}
	for i, outcome := range outcomes {
		for _, route := range []*catalog.Route{nonRepeatable(), repeatable(3)} {
			x, _ := core.Begin(start, request(route, fmt.Sprint(i)))
			outcome(x)
			core.Done(start, x)
			is.Equal(len(core.Loads()), 0)
			for _, m := range core.members {
				is.Equal(m.health.awaiting, 0)
			}
		}
	}
}

// In a full pool the least urgent requests are refused while the most urgent find room.
func TestLeastUrgentRequestsAreRefusedFirst(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(2, 10))
	send := func(urgency int) bool {
		chat := request(repeatable(1), "x", Part{ID: "shared", Tokens: 9000}, Part{ID: "own"})
		chat.Urgency = urgency
		_, decision := core.Begin(start, chat)
		return decision.Send != nil
	}
	taken := 0
	for send(4) {
		taken++
	}
	is.True(taken >= 20) // not before all slots are taken
	is.True(!send(4))
	is.True(send(2))
	is.True(send(0))
}

// A gateway of a large fleet that has just started knows only its own requests. The others' loads
// are estimated for the bound, but no request is refused because of an estimate.
func TestNothingIsRefusedOnEstimatedLoads(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(6, 6))
	core.SetGateways(103)
	for i := range 30 {
		_, decision := core.Begin(start, request(repeatable(1), fmt.Sprint("r", i)))
		is.True(decision.Send != nil)
	}
}
