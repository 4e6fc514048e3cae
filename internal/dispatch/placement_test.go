package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

func TestGatewaysPlaceAPartAlike(t *testing.T) {
	is := is.New(t)
	first, second := newCore(backEnds(18, 64)), newCore(backEnds(18, 64))
	for i := range 50 {
		part := Part{ID: fmt.Sprint("part", i), Tokens: 9000}
		x, one := first.Begin(start, request(repeatable(1), "x", part, Part{ID: "own"}))
		y, two := second.Begin(start, request(repeatable(1), "y", part, Part{ID: "other"}))
		is.Equal(one.Send.BackEnd.ID, two.Send.BackEnd.ID)
		first.Done(start, x)
		second.Done(start, y)
	}
}

func TestPartsAreCopiedFromTheirHolder(t *testing.T) {
	is := is.New(t)
	list := backEnds(4, 64)
	core := newCore(list)
	parts := []Part{{ID: "shared", Tokens: 9000}, {ID: "own"}}
	x, decision := core.Begin(start, request(repeatable(1), "a", parts...))
	holder := decision.Send.BackEnd
	core.Answered(start, x, 1)
	core.Done(start, x)
	for i := range list {
		list[i].Leaving = list[i].ID == holder.ID
	}
	core.SetBackEnds(start, list)
	_, decision = core.Begin(start, request(repeatable(1), "b", parts...))
	is.True(decision.Send.BackEnd.ID != holder.ID)
	is.Equal(decision.Send.FetchFrom, holder.Address) // a leaving back end can still be copied from
}

// A restarted gateway knows no holders. A member that joined copies from the member that ranked
// first before it, even if that one is leaving.
func TestNewMemberCopiesFromTheLeavingMemberItReplaces(t *testing.T) {
	is := is.New(t)
	list := backEnds(6, 64)
	found := 0
	for i := range 60 {
		parts := []Part{{ID: fmt.Sprint("part", i), Tokens: 9000}, {ID: "own"}}
		before := newCore(list[:5])
		_, decision := before.Begin(start, request(repeatable(1), "a", parts...))
		previous := decision.Send.BackEnd
		joined := backEnds(6, 64)
		for j := range joined {
			joined[j].Leaving = joined[j].ID == previous.ID
		}
		after := newCore(joined)
		_, decision = after.Begin(start, request(repeatable(1), "b", parts...))
		if decision.Send.BackEnd.ID != joined[5].ID {
			continue
		}
		found++
		is.Equal(decision.Send.FetchFrom, previous.Address)
	}
	is.True(found > 5)
}

// A back end ejected for lost connections can still be copied from; one that can't be connected
// to can't.
func TestPartsAreCopiedFromAnEjectedHolder(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(4, 64))
	parts := []Part{{ID: "shared", Tokens: 9000}, {ID: "own"}}
	holder := catalog.BackEnd{}
	for range failuresToEject {
		x, decision := core.Begin(start, request(repeatable(1), "a", parts...))
		holder = decision.Send.BackEnd
		core.ConnectionLost(start, x)
	}
	_, decision := core.Begin(start, request(repeatable(1), "b", parts...))
	is.True(decision.Send.BackEnd.ID != holder.ID)
	is.Equal(decision.Send.FetchFrom, holder.Address)
	core.members[holder.ID].health.connectFailed(start)
	_, decision = core.Begin(start, request(repeatable(1), "c", parts...))
	is.True(decision.Send.FetchFrom != holder.Address)
}
