package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// hears lets the answer to a request of the core carry a notice, and returns who gave it.
func hears(c *Core, id string, notice Notice) (from string) {
	x, decision := c.Begin(start, request(once(), id))
	c.Heed(start, x, notice)
	c.Answered(start, x, -1)
	c.Done(start, x)
	return decision.Send.BackEnd.ID
}

// sendsTo tells whether any of many requests at the time goes to the back end.
func sendsTo(c *Core, now time.Time, id string) bool {
	for i := range 200 {
		x, decision := c.Begin(now, request(once(), fmt.Sprint("to", i)))
		c.Done(now, x)
		if decision.Send != nil && decision.Send.BackEnd.ID == id {
			return true
		}
	}
	return false
}

// Nothing that the list says takes the word back: it may be older, or from a copy of the store.
func TestWordOfLeavingOutlivesTheList(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(4, 6))
	leaving := hears(core, "a", Notice{Leaving: true})
	is.True(!sendsTo(core, start, leaving))
	core.SetBackEnds(start, backEnds(4, 6))
	is.True(!sendsTo(core, start.Add(time.Hour), leaving))
	core.SetBackEnds(start, nil) // vanished with all the others, and used as a lapsed one never
	is.True(!sendsTo(core, start.Add(time.Second), leaving))
	core.SetBackEnds(start, backEnds(4, 6))
	is.True(!sendsTo(core, start.Add(time.Hour), leaving))
}

func TestWordOfLeavingIsThatOfALifeAtAnAddress(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(4, 6))
	leaving := hears(core, "a", Notice{Leaving: true})
	moved := backEnds(4, 6)
	for i := range moved {
		moved[i].Address = fmt.Sprintf("10.99.0.%d:1", i+1)
	}
	core.SetBackEnds(start, moved)
	is.True(sendsTo(core, start, leaving)) // the address is another's, who has said nothing
	again := backEnds(4, 6)
	for i := range again {
		again[i].Born = 7
	}
	core.SetBackEnds(start, again)
	is.True(sendsTo(core, start, leaving))
}

// A peer may know of it before this gateway lists the back end.
func TestWordOfLeavingIsTakenFromPeers(t *testing.T) {
	is := is.New(t)
	one, other := newCore(backEnds(4, 6)), newCore(nil)
	leaving := hears(one, "a", Notice{Leaving: true})
	lives, number := one.LeavingSince(0)
	is.Equal(len(lives), 1)
	_, isNews := other.TakeLeaving(start, lives)
	is.True(isNews)
	_, isNews = other.TakeLeaving(start, lives)
	is.True(!isNews) // so it isn't told on and on
	other.SetBackEnds(start, backEnds(4, 6))
	is.True(!sendsTo(other, start, leaving))
	lives, _ = one.LeavingSince(number)
	is.Equal(len(lives), 0)
}

// refusesFor lets a request of the core be refused with a time of rest, and returns by whom.
func refusesFor(c *Core, now time.Time, id string, rest time.Duration) (by string, next Decision) {
	x, decision := c.Begin(now, request(once(), id))
	c.Heed(now, x, Notice{Rest: rest})
	next = c.Refused(now, x)
	c.Done(now, x)
	return decision.Send.BackEnd.ID, next
}

func TestRestEndsOnlyWithItsTime(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(3, 6))
	resting, next := refusesFor(core, start, "a", 3*time.Second)
	is.True(next.Send.BackEnd.ID != resting) // another takes it at once
	core.members[resting].health.rest(start, time.Second)
	is.True(!sendsTo(core, start.Add(2900*time.Millisecond), resting)) // a shorter one takes nothing back
	core.members[resting].health.good(start.Add(time.Second))
	is.True(!sendsTo(core, start.Add(2900*time.Millisecond), resting)) // nor does an answer to an earlier request
	is.True(sendsTo(core, start.Add(3*time.Second), resting))
}

// Who asks for rest has said all there is to say: it isn't ejected beyond that.
func TestRestIsNoFailure(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(1, 6))
	for i := range 20 {
		refusesFor(core, start.Add(time.Duration(i)*time.Second), fmt.Sprint(i), time.Second)
	}
	is.True(sendsTo(core, start.Add(20*time.Second), "b00"))
}

func TestCallersComeBackWhenTheFirstRestEnds(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(2, 6))
	refusesFor(core, start, "a", 5*time.Second)
	for _, m := range core.members {
		if m.health.restLeft(start) == 0 {
			m.health.rest(start, 4*time.Second)
		}
	}
	_, decision := core.Begin(start.Add(time.Second), request(once(), "b"))
	is.Equal(decision.GiveUp.Wait(), 3*time.Second)
}

// What a back end that rests has read is copied from another one, or read again.
func TestRestingMemberIsNoSourceOfCopies(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(4, 64))
	parts := []Part{{ID: "shared", Tokens: 500}, {ID: "own", Tokens: 10}}
	first := answers(core, "a", parts)
	core.members[first.Send.BackEnd.ID].health.rest(start, time.Second)
	_, meanwhile := core.Begin(start, request(repeatable(2), "b", parts...))
	is.True(meanwhile.Send.FetchFrom != first.Send.BackEnd.Address)
}
