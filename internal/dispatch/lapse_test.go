package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/failure"
)

// A store that recovers from an outage drops all entries at once and lists them again with the
// next heartbeats.
func TestLapsedPoolIsUsedUntilLapseTime(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(4, 6))
	core.SetBackEnds(start, nil)
	_, decision := core.Begin(start.Add(time.Second), request(nonRepeatable(), "a"))
	is.True(decision.Send != nil) // may still be running
	_, decision = core.Begin(start.Add(core.config.LapseTime), request(nonRepeatable(), "b"))
	is.Equal(decision.GiveUp.Kind, failure.PoolExhausted) // considered gone
}

func TestRelistedMemberKeepsItsLoad(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(2, 6))
	_, sent := core.Begin(start, request(nonRepeatable(), "a"))
	core.SetBackEnds(start, nil)
	is.Equal(core.Loads(), []Load{{BackEnd: sent.Send.BackEnd.ID, Requests: 1}}) // peers still get its load
	core.SetBackEnds(start, backEnds(2, 6))
	is.Equal(core.Loads(), []Load{{BackEnd: sent.Send.BackEnd.ID, Requests: 1}})
}

func TestFewVanishedMembersAreGoneAtOnce(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(6, 6))
	core.SetBackEnds(start, backEnds(6, 6)[:4])
	for range 100 {
		_, decision := core.Begin(start, request(nonRepeatable(), "a"))
		is.True(decision.Send == nil || decision.Send.BackEnd.ID < "b04")
	}
}

// A member that announced that it is leaving gets nothing after it has disappeared from the list,
// even if its pool has no other member.
func TestLeavingMemberDoesNotLapse(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(2, 6))
	list := backEnds(2, 6)
	list[0].Leaving, list[1].Leaving = true, true
	core.SetBackEnds(start, list)
	core.SetBackEnds(start, nil)
	_, decision := core.Begin(start, request(nonRepeatable(), "a"))
	is.Equal(decision.GiveUp.Kind, failure.PoolExhausted)
}

// Parts are copied from a lapsed member only as long as it may still be running.
func TestPartsAreNotCopiedFromGoneMember(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(4, 64))
	parts := []Part{{ID: "shared", Tokens: 500}, {ID: "own", Tokens: 10}}
	first := serveRequest(core, "a", parts)
	var left []catalog.BackEnd
	for _, each := range backEnds(4, 64) {
		if each.ID != first.Send.BackEnd.ID {
			left = append(left, each)
		}
	}
	core.SetBackEnds(start, left)
	_, soon := core.Begin(start, request(repeatable(2), "b", parts...))
	is.Equal(soon.Send.FetchFrom, first.Send.BackEnd.Address)
	core.SetBackEnds(start, left)
	_, later := core.Begin(start.Add(core.config.LapseTime), request(repeatable(2), "c", parts...))
	is.True(later.Send.FetchFrom != first.Send.BackEnd.Address)
}

// serveRequest runs a request with the parts to completion, and returns its first decision.
func serveRequest(c *Core, id string, parts []Part) Decision {
	x, decision := c.Begin(start, request(repeatable(2), id, parts...))
	c.Answered(start, x, -1)
	c.Done(start, x)
	return decision
}
