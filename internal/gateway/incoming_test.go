package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bubble"
)

// A body that doesn't arrive must not keep room from others: the one that has stalled for longest gives way, and none
// before there is a lack of room.
func TestStalledBodiesGiveWay(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		buffers := NewBufferLimit(200 << 10)
		var stopped []string
		body := func(name string) *incomingBody {
			return &incomingBody{stop: func() { stopped = append(stopped, name) }}
		}
		stalled, alive, late := body("stalled"), body("alive"), body("late")
		is.True(buffers.AcquireIncoming(stalled, 50<<10))
		is.True(buffers.AcquireIncoming(alive, 40<<10))
		is.True(!buffers.AcquireIncoming(late, 20<<10)) // nothing has stalled yet
		time.Sleep(2 * stallTime)
		is.Equal(len(stopped), 0)
		buffers.Progressed(alive, 200<<10)
		is.True(buffers.AcquireIncoming(late, 20<<10))
		is.Equal(stopped, []string{"stalled"})
		is.True(!buffers.AcquireIncoming(stalled, 1))
		is.True(!buffers.Received(stalled))
		is.True(buffers.Received(alive))
		requests, _ := buffers.InUse()
		is.Equal(requests, int64(60<<10)) // what the stalled one held is free
		buffers.Release(stalled.held+alive.held, 0)
		requests, _ = buffers.InUse()
		is.Equal(requests, int64(20<<10))
	})
}

// A body that arrives in drops must not keep room from others either.
func TestSlowBodiesGiveWay(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		buffers := NewBufferLimit(200 << 10)
		isStopped := false
		slow := &incomingBody{stop: func() { isStopped = true }}
		is.True(buffers.AcquireIncoming(slow, 90<<10))
		for step := range 2*int64(slowTime/stallTime) - 1 {
			time.Sleep(stallTime / 2)
			is.True(!acquire(buffers, 20<<10, 0))
			buffers.Progressed(slow, (step+1)*progressBytes)
		}
		time.Sleep(stallTime / 2)
		is.True(acquire(buffers, 20<<10, 0))
		is.True(isStopped)
	})
}

// A body that is larger than the room for all is accepted in calm, and not beside others.
func TestLargeBodyIsAcceptedInCalm(t *testing.T) {
	is := is.New(t)
	buffers := NewBufferLimit(200 << 10)
	is.True(acquire(buffers, 10<<10, 0))
	large := &incomingBody{urgency: lowestUrgency}
	is.True(buffers.AcquireIncoming(large, 90<<10))
	is.True(buffers.AcquireIncoming(large, 90<<10))
	is.True(!buffers.AcquireIncoming(large, 300<<10)) // not at any price
	is.True(!acquire(buffers, 10<<10, 0))
	buffers.Release(large.held, 0)
	is.True(acquire(buffers, 10<<10, 0))
	is.True(!buffers.AcquireIncoming(&incomingBody{urgency: lowestUrgency}, 110<<10))
}
