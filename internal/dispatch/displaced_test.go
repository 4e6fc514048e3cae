package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// displaceTarget sends a request whose target's address turns out to be used by another back end.
func displaceTarget(c *Core, id string) (target string) {
	x, decision := c.Begin(start, request(nonRepeatable(), id))
	target = decision.Send.BackEnd.ID
	c.Displaced(start, x)
	return target
}

// Once a gateway has found another back end at an address, no other gateway sends there.
func TestPeersAvoidDisplacedBackEnd(t *testing.T) {
	is := is.New(t)
	one, other := newCore(backEnds(8, 6)), newCore(backEnds(8, 6))
	gone := displaceTarget(one, "r")
	incarnations, cursor := one.DisplacedSince(0)
	is.Equal(len(incarnations), 1)
	is.True(other.MergeDisplaced(incarnations))
	is.True(!other.MergeDisplaced(incarnations)) // nothing new, so it isn't passed on forever
	for i := range 200 {
		_, decision := other.Begin(start, request(nonRepeatable(), fmt.Sprint(i)))
		if decision.Send != nil {
			is.True(decision.Send.BackEnd.ID != gone)
		}
	}
	incarnations, _ = one.DisplacedSince(cursor)
	is.Equal(len(incarnations), 0)
}

// A displacement applies even to a gateway that learned of it before it listed the back end. A
// back end that returns at another address isn't affected.
func TestDisplacementAppliesToOneAddress(t *testing.T) {
	is := is.New(t)
	one := newCore(backEnds(8, 6))
	gone := displaceTarget(one, "r")
	incarnations, _ := one.DisplacedSince(0)
	list := backEnds(8, 6)
	other := newCore(nil)
	other.MergeDisplaced(incarnations)
	other.SetBackEnds(start, list)
	is.Equal(other.members[gone].health.status(start), Ejected)
	for i := range list {
		list[i].Address = "10.99.0.1:" + fmt.Sprint(i+1)
	}
	other.SetBackEnds(start, list)
	is.Equal(other.members[gone].health.status(start), Healthy)
}

// The memory is bounded, and readers get everything that is still remembered.
func TestDisplacedIncarnationsAreBounded(t *testing.T) {
	is := is.New(t)
	core := newCore(nil)
	for i := range uint32(3 * maxLoggedIncarnations) {
		core.MergeDisplaced([]uint32{i})
	}
	incarnations, cursor := core.DisplacedSince(5)
	is.Equal(len(incarnations), maxLoggedIncarnations)
	is.Equal(cursor, uint64(3*maxLoggedIncarnations))
	incarnations, _ = core.DisplacedSince(cursor - 2)
	is.Equal(incarnations, []uint32{3*maxLoggedIncarnations - 2, 3*maxLoggedIncarnations - 1})
}
