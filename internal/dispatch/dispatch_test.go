package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/failure"
)

var start = time.Unix(1_800_000_000, 0)

func backEnds(count, slots int) []catalog.BackEnd {
	list := make([]catalog.BackEnd, count)
	for i := range list {
		list[i] = catalog.BackEnd{
			ID: fmt.Sprintf("b%02d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i+1), Zone: "z", Slots: slots,
		}
	}
	return list
}

func newCore(list []catalog.BackEnd) *Core {
	config := DefaultConfig()
	config.Zone = "z"
	core := New(config)
	core.SetBackEnds(start, list)
	return core
}

func repeatable(attempts int) *catalog.Route {
	return &catalog.Route{Targets: []catalog.Target{{Service: "s", Weight: 1}}, Repeatable: true, MaxAttempts: attempts, Objective: 300 * time.Millisecond}
}

func nonRepeatable() *catalog.Route {
	route := repeatable(3)
	route.Repeatable = false
	return route
}

func request(route *catalog.Route, id string, parts ...Part) Request {
	return Request{ID: id, Route: route, Path: "/x/" + id, Parts: parts, Deadline: start.Add(time.Minute)}
}

func TestRequestThatMayHaveRunIsNotRetried(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(3, 6))
	x, decision := core.Begin(start, request(nonRepeatable(), "a"))
	is.True(decision.Send != nil)
	decision = core.ConnectionLost(start, x)
	is.True(decision.Send == nil)
	is.Equal(decision.GiveUp.Kind, failure.BackendFailed) // makes no promise that it didn't run
}

func TestLaterRefusalDoesNotHideUnknownOutcome(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(3, 6))
	x, _ := core.Begin(start, request(repeatable(2), "a"))
	decision := core.ConnectionLost(start, x)
	is.True(decision.Send != nil)
	decision = core.Refused(start, x)
	is.Equal(decision.GiveUp.Kind, failure.BackendFailed) // the first attempt may have run
}

func TestRefusedRequestIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(3, 6))
	x, first := core.Begin(start, request(nonRepeatable(), "a"))
	second := core.Refused(start, x)
	is.True(second.Send != nil)
	is.True(second.Send.BackEnd.ID != first.Send.BackEnd.ID)
}

func TestAttemptsStayWithinRouteLimit(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(5, 6))
	x, decision := core.Begin(start, request(repeatable(2), "a"))
	sends := 0
	for decision.Send != nil {
		sends++
		decision = core.ConnectionLost(start, x)
	}
	is.Equal(sends, 2)
}

func TestLeavingBackEndGetsNoRequests(t *testing.T) {
	is := is.New(t)
	list := backEnds(2, 6)
	list[0].Leaving = true
	core := newCore(list)
	for i := range 20 {
		x, decision := core.Begin(start, request(nonRepeatable(), fmt.Sprint(i)))
		is.Equal(decision.Send.BackEnd.ID, "b01")
		core.Done(start, x)
	}
	list[1].Leaving = true
	core.SetBackEnds(start, list)
	_, decision := core.Begin(start, request(nonRepeatable(), "last"))
	is.Equal(decision.GiveUp.Kind, failure.PoolExhausted)
}

func TestOnlyResumableStreamsAreResumed(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(3, 6))
	route := repeatable(2)
	route.Stream = true
	x, _ := core.Begin(start, request(route, "a"))
	core.Answered(start, x, -1)
	is.Equal(breakOff(core, start, x).GiveUp.Kind, failure.StreamBroken)
	route.Resumable = true
	x, first := core.Begin(start, request(route, "b"))
	core.Answered(start, x, -1)
	next := breakOff(core, start, x)
	is.True(next.Send != nil)
	is.True(next.Send.BackEnd.ID != first.Send.BackEnd.ID)
}
