package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// The test guards against a retry delay that stays the same however much of the pool's
// traffic is refused.
func TestRetryDelayGrowsWithRefusedShare(t *testing.T) {
	is := is.New(t)
	const stated = time.Second
	is.Equal(retryDelay(stated, 0, "r"), stated)
	previous := stated
	for _, share := range []float64{0.2, 0.5, 0.8, 0.9} {
		delay := retryDelay(stated, share, "r")
		is.True(delay > previous)
		previous = delay
	}
	is.True(retryDelay(stated, 1, "r") <= stated+3*maxGrownDelay/2)
	// A back end may ask for more than maxGrownDelay; callers must not return earlier.
	is.Equal(retryDelay(time.Minute, 0.9, "r"), time.Minute)
}

// The test guards against callers that are refused together and retry together.
func TestRetryDelayIsSpread(t *testing.T) {
	const requests, slots = 4000, 10
	const stated, share = time.Second, 0.5
	var counts [slots]int
	for i := range requests {
		// The mean of 1/(1-share) seconds leaves an addition of 0.5 to 1.5 s.
		added := retryDelay(stated, share, fmt.Sprint("request-", i)) - stated
		counts[int((added.Seconds()-0.5)*slots)]++
	}
	for slot, count := range counts {
		if count < requests/slots*3/4 || count > requests/slots*5/4 {
			t.Errorf("%d of %d requests return in tenth %d of the spread", count, requests, slot)
		}
	}
}

// refuseRequest sends a request through the core that each back end refuses, and returns
// the caller's error.
func refuseRequest(core *Core, now time.Time, id string) *failure.Error {
	r := request("free")
	r.ID = id
	exchange, decision := core.Begin(now, r)
	for decision.Send != nil {
		decision = core.Refused(now, exchange, refusal(failure.OverBound))
	}
	return decision.GiveUp
}

// The test guards against a core whose refusals don't count, and against a delay that
// stays long after the pool has room again.
func TestGrownRetryDelayFallsAfterRefusalsEnd(t *testing.T) {
	is := is.New(t)
	core := newRouter(t, nil)
	const stated = 700 * time.Millisecond
	is.Equal(refuseRequest(core, start, "first").RetryDelay(), stated)
	for i := range 100 {
		given := refuseRequest(core, start.Add(time.Duration(i)*50*time.Millisecond), fmt.Sprint(i))
		is.Equal(given.Kind.Answer().Ran, failure.RanNo)
	}
	is.True(refuseRequest(core, start.Add(5*time.Second), "during").RetryDelay() > 3*stated)
	after := refuseRequest(core, start.Add(50*time.Second), "after")
	is.Equal(after.Kind, failure.PoolExhausted)
	is.True(after.RetryDelay() < stated*11/10)
}

// The test guards against refusals that say nothing about the pool's room, such as a
// tenant's limit, and lengthen the delay of others.
func TestRefusalsOfATenantDoNotGrowDelays(t *testing.T) {
	is := is.New(t)
	core := newRouter(t, nil)
	for range 50 {
		core.Begin(start, request("t"))
	}
	is.Equal(refuseRequest(core, start, "r").RetryDelay(), 700*time.Millisecond)
}

// The test guards against callers with short deadlines who lengthen the delay of others: a deadline that
// passes while no back end can be connected to says nothing about the pool's room.
func TestPassedDeadlinesDoNotGrowDelays(t *testing.T) {
	is := is.New(t)
	core := newRouter(t, nil)
	for range 50 {
		exchange, _ := core.Begin(start, request("free"))
		late := core.NotConnected(exchange.request.Deadline, exchange)
		is.Equal(late.GiveUp.Kind, failure.DeadlineUnmeetable)
	}
	is.Equal(refuseRequest(core, start, "r").RetryDelay(), 700*time.Millisecond)
}
