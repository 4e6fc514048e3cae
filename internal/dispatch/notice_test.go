package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerWithNotice answers a request with a notice, and returns the back end.
func answerWithNotice(c *Core, id string, notice Notice) (from string) {
	x, decision := c.Begin(start, request(nonRepeatable(), id))
	c.ApplyNotice(start, x, notice)
	c.Answered(start, x, -1)
	c.Done(start, x)
	return decision.Send.BackEnd.ID
}

// sendsRequestsTo reports whether any of many requests goes to the back end.
func sendsRequestsTo(c *Core, now time.Time, id string) bool {
	for i := range 200 {
		x, decision := c.Begin(now, request(nonRepeatable(), fmt.Sprint("to", i)))
		c.Done(now, x)
		if decision.Send != nil && decision.Send.BackEnd.ID == id {
			return true
		}
	}
	return false
}

// A list can't revoke the notice, since it may be older or come from a copy of the store.
func TestListDoesNotRevokeLeavingNotice(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(4, 6))
	leaving := answerWithNotice(core, "a", Notice{Leaving: true})
	is.True(!sendsRequestsTo(core, start, leaving))
	core.SetBackEnds(start, backEnds(4, 6))
	is.True(!sendsRequestsTo(core, start.Add(time.Hour), leaving))
	core.SetBackEnds(start, nil) // it lapses with all the others, but a leaving member isn't used as a lapsed one
	is.True(!sendsRequestsTo(core, start.Add(time.Second), leaving))
	core.SetBackEnds(start, backEnds(4, 6))
	is.True(!sendsRequestsTo(core, start.Add(time.Hour), leaving))
}

func TestLeavingNoticeAppliesToOneIncarnationAndAddress(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(4, 6))
	leaving := answerWithNotice(core, "a", Notice{Leaving: true})
	moved := backEnds(4, 6)
	for i := range moved {
		moved[i].Address = fmt.Sprintf("10.99.0.%d:1", i+1)
	}
	core.SetBackEnds(start, moved)
	is.True(sendsRequestsTo(core, start, leaving)) // another back end uses the address now, and hasn't announced anything
	again := backEnds(4, 6)
	for i := range again {
		again[i].Born = 7
	}
	core.SetBackEnds(start, again)
	is.True(sendsRequestsTo(core, start, leaving))
}

// A gateway may learn of the notice from a peer before it lists the back end.
func TestLeavingNoticeSpreadsToPeers(t *testing.T) {
	is := is.New(t)
	one, other := newCore(backEnds(4, 6)), newCore(nil)
	leaving := answerWithNotice(one, "a", Notice{Leaving: true})
	incarnations, cursor := one.LeavingSince(0)
	is.Equal(len(incarnations), 1)
	_, added := other.MergeLeaving(start, incarnations)
	is.True(added)
	_, added = other.MergeLeaving(start, incarnations)
	is.True(!added) // so it isn't passed on forever
	other.SetBackEnds(start, backEnds(4, 6))
	is.True(!sendsRequestsTo(other, start, leaving))
	incarnations, _ = one.LeavingSince(cursor)
	is.Equal(len(incarnations), 0)
}

// refuseWithRetryAfter refuses a request with a Retry-After, and returns the back end and the next
// decision.
func refuseWithRetryAfter(c *Core, now time.Time, id string, wait time.Duration) (by string, next Decision) {
	x, decision := c.Begin(now, request(nonRepeatable(), id))
	c.ApplyNotice(now, x, Notice{RetryAfter: wait})
	next = c.Refused(now, x)
	c.Done(now, x)
	return decision.Send.BackEnd.ID, next
}

func TestRetryAfterIsHonouredInFull(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(3, 6))
	resting, next := refuseWithRetryAfter(core, start, "a", 3*time.Second)
	is.True(next.Send.BackEnd.ID != resting) // another one gets the request at once
	core.members[resting].health.setRetryAfter(start, time.Second)
	is.True(!sendsRequestsTo(core, start.Add(2900*time.Millisecond), resting)) // a shorter one doesn't end it early
	core.members[resting].health.succeeded(start.Add(time.Second))
	is.True(!sendsRequestsTo(core, start.Add(2900*time.Millisecond), resting)) // neither does an answer to an earlier request
	is.True(sendsRequestsTo(core, start.Add(3*time.Second), resting))
}

// A back end that asks for a pause isn't also ejected for its refusals.
func TestRetryAfterIsNotAFailure(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(1, 6))
	for i := range 20 {
		refuseWithRetryAfter(core, start.Add(time.Duration(i)*time.Second), fmt.Sprint(i), time.Second)
	}
	is.True(sendsRequestsTo(core, start.Add(20*time.Second), "b00"))
}

func TestCallersGetTheEarliestRetryAfter(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(2, 6))
	refuseWithRetryAfter(core, start, "a", 5*time.Second)
	for _, m := range core.members {
		if m.health.retryWait(start) == 0 {
			m.health.setRetryAfter(start, 4*time.Second)
		}
	}
	_, decision := core.Begin(start.Add(time.Second), request(nonRepeatable(), "b"))
	is.Equal(decision.GiveUp.RetryDelay(), 3*time.Second)
}

// Parts held by a resting back end are copied from another one, or prefilled again.
func TestPartsAreNotCopiedFromRestingMember(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(4, 64))
	parts := []Part{{ID: "shared", Tokens: 500}, {ID: "own", Tokens: 10}}
	first := serveRequest(core, "a", parts)
	core.members[first.Send.BackEnd.ID].health.setRetryAfter(start, time.Second)
	_, next := core.Begin(start, request(repeatable(2), "b", parts...))
	is.True(next.Send.FetchFrom != first.Send.BackEnd.Address)
}
