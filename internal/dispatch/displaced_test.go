package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// meet lets a request of the core find another back end at its target's address.
func meet(c *Core, id string) (target string) {
	x, decision := c.Begin(start, request(once(), id))
	target = decision.Send.BackEnd.ID
	c.Displaced(start, x)
	return target
}

// What one gateway has met at an address, no other gateway sends to.
func TestDisplacedBackEndIsKnownToAll(t *testing.T) {
	is := is.New(t)
	one, other := newCore(backEnds(8, 6)), newCore(backEnds(8, 6))
	gone := meet(one, "r")
	lives, number := one.DisplacedSince(0)
	is.Equal(len(lives), 1)
	is.True(other.TakeDisplaced(lives))
	is.True(!other.TakeDisplaced(lives)) // no news, so it isn't told on and on
	for i := range 200 {
		_, decision := other.Begin(start, request(once(), fmt.Sprint(i)))
		if decision.Send != nil {
			is.True(decision.Send.BackEnd.ID != gone)
		}
	}
	lives, _ = one.DisplacedSince(number)
	is.Equal(len(lives), 0)
}

// A gateway that hears of it before it lists the back end knows it all the same, and one that is
// back at another address is another.
func TestDisplacedLifeIsThatAtAnAddress(t *testing.T) {
	is := is.New(t)
	one := newCore(backEnds(8, 6))
	gone := meet(one, "r")
	lives, _ := one.DisplacedSince(0)
	list := backEnds(8, 6)
	other := newCore(nil)
	other.TakeDisplaced(lives)
	other.SetBackEnds(start, list)
	is.Equal(other.members[gone].health.status(start), Ejected)
	for i := range list {
		list[i].Address = "10.99.0.1:" + fmt.Sprint(i+1)
	}
	other.SetBackEnds(start, list)
	is.Equal(other.members[gone].health.status(start), Healthy)
}

// The memory is bounded, and whoever follows it misses nothing that is kept.
func TestDisplacedLivesAreBounded(t *testing.T) {
	is := is.New(t)
	core := newCore(nil)
	for i := range uint32(3 * mostLives) {
		core.TakeDisplaced([]uint32{i})
	}
	lives, number := core.DisplacedSince(5)
	is.Equal(len(lives), mostLives)
	is.Equal(number, uint64(3*mostLives))
	lives, _ = core.DisplacedSince(number - 2)
	is.Equal(lives, []uint32{3*mostLives - 2, 3*mostLives - 1})
}
