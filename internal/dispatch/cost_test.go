package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a prompt that waits behind another cold one while the other home is idle.
func TestColdPromptsUseBothHomes(t *testing.T) {
	is := is.New(t)
	for _, disabled := range []bool{false, true} {
		core := newWorkCore(5)
		core.config.Disabled = Disabled{PredictedTime: disabled}
		_, first := core.Begin(start, streamRequest("a"))
		_, second := core.Begin(start, streamRequest("b"))
		is.Equal(first.Send.BackEnd.ID == second.Send.BackEnd.ID, disabled)
	}
}

// Guards against moving requests to an engine that looks idle because it has crashed.
func TestNothingMovesToUnusedEngines(t *testing.T) {
	is := is.New(t)
	core := newWorkCore(5)
	core.config.Disabled = Disabled{LoadBound: true} // which would move them, too
	x, decision := core.Begin(start, streamRequest("a"))
	home := decision.Send.BackEnd.ID
	core.Done(start, x)
	core.SetGateways(2)
	movedWith := func(requestsElsewhere uint32) int {
		var counts []Count
		for _, m := range core.pools["s"].members {
			count := Count{Key: m.key, Requests: requestsElsewhere}
			if m.backEnd.ID == home {
				count.Requests, count.Unread = 4, 30_000/UnreadUnit
			}
			counts = append(counts, count)
		}
		core.ApplyTotals(start, nil, Totals{Counts: counts, Counted: 2, Expected: 2})
		moved := 0
		for i := range 20 {
			x, decision := core.Begin(start, streamRequest(fmt.Sprint(requestsElsewhere, i)))
			if decision.Send != nil && decision.Send.BackEnd.ID != home {
				moved++
			}
			core.Done(start, x)
		}
		return moved
	}
	is.Equal(movedWith(0), 0)
	is.True(movedWith(3) > 0)
}

// Guards against a charge for a copy at the only member that holds the prompt already.
func TestHolderThatIsNoHomeIsNotCharged(t *testing.T) {
	is := is.New(t)
	core := newWorkCore(1)
	x, _ := core.Begin(start, streamRequest("a"))
	core.Answered(start, x, 1)
	later, _ := core.Begin(start, streamRequest("b"))
	m := core.members["b00"]
	p := &placement{exchange: later, prompt: 9500, shared: 9000, copyCost: 0.5}
	is.Equal(p.movedTokens(option{member: m}, core.sizeAt(start, later, m, "").Unread, false), 0.0)
}
