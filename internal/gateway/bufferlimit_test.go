package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/harriernotch/harriernotch/internal/bubble"
	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

// acquire acquires bytes for a request's body of its own.
func acquire(buffers *BufferLimit, bytes int64, urgency int) bool {
	return buffers.AcquireIncoming(&incomingBody{urgency: urgency, stop: func() {}}, bytes)
}

func TestLessUrgentRequestsAreRefusedFirst(t *testing.T) {
	is := is.New(t)
	buffers := NewBufferLimit(1000)
	is.True(acquire(buffers, 380, 0))
	is.True(!acquire(buffers, 50, 3))
	is.True(acquire(buffers, 120, 0))
	is.True(!acquire(buffers, 1, 0))
	buffers.Release(300, 0)
	is.True(acquire(buffers, 50, 3))
}

// Answers that callers don't read take no room from new requests.
func TestBufferedAnswersLeaveRoomForRequests(t *testing.T) {
	is := is.New(t)
	buffers := NewBufferLimit(100 << 10)
	is.NoErr(buffers.AcquireAnswer(t.Context(), 37<<10, 0, -1))
	is.True(acquire(buffers, 40<<10, 0))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(buffers.AcquireAnswer(ended, 1<<10, 0, 10<<10) != nil) // a large answer waits, and so does its beginning
	is.True(buffers.AcquireAnswer(ended, 1<<10, 0, -1) != nil)
	is.NoErr(buffers.AcquireAnswer(ended, 8<<10, 0, 8<<10)) // a small one doesn't
}

// An answer waits for room and gets it when another one was read.
func TestAnswerWaitsUntilAnotherIsReleased(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		buffers := NewBufferLimit(200 << 10)
		is.NoErr(buffers.AcquireAnswer(t.Context(), 70<<10, 0, 70<<10))
		go func() {
			time.Sleep(time.Second)
			buffers.Release(0, 70<<10)
		}()
		began := time.Now()
		is.NoErr(buffers.AcquireAnswer(t.Context(), 20<<10, 0, 20<<10))
		is.Equal(time.Since(began), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(buffers.AcquireAnswer(ctx, 70<<10, 0, 70<<10) != nil)
		_, answers := buffers.InUse()
		is.Equal(answers, int64(20<<10))
	})
}

func TestOversizedAnswerIsAdmittedAlone(t *testing.T) {
	is := is.New(t)
	buffers := NewBufferLimit(1000)
	is.NoErr(buffers.AcquireAnswer(t.Context(), 5000, 0, -1))
	is.NoErr(buffers.AcquireAnswer(t.Context(), 5000, 5000, -1))
}

// For any sequence of acquires and releases for requests, the bytes in use are those acquired
// and not released, and stay within the limit.
func TestBufferedBytesMatchAcquiredLessReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		buffers := NewBufferLimit(1000)
		var total int64
		var acquired []int64
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			bytes := rapid.Int64Range(0, 400).Draw(t, "bytes")
			if rapid.Bool().Draw(t, "releases") && len(acquired) > 0 {
				buffers.Release(acquired[0], 0)
				total -= acquired[0]
				acquired = acquired[1:]
				continue
			}
			if acquire(buffers, bytes, rapid.IntRange(0, 9).Draw(t, "urgency")) {
				acquired, total = append(acquired, bytes), total+bytes
			}
			if requests, _ := buffers.InUse(); requests != total || requests > 500 {
				t.Fatalf("%d bytes in use, want %d and at most 500", requests, total)
			}
		}
	})
}
