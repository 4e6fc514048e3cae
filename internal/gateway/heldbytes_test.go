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

func TestLessUrgentRequestsAreRefusedFirst(t *testing.T) {
	is := is.New(t)
	held := NewHeldBytes(1000)
	is.True(held.Admit(380, 0))
	is.True(!held.Admit(50, 3))
	is.True(held.Admit(120, 0))
	is.True(!held.Admit(1, 0))
	held.Release(300, 0)
	is.True(held.Admit(50, 3))
}

// Answers that lie unread cost new requests nothing.
func TestAnswersDoNotTakeTheRoomOfRequests(t *testing.T) {
	is := is.New(t)
	held := NewHeldBytes(100 << 10)
	is.NoErr(held.Hold(t.Context(), 37<<10, 0, -1))
	is.True(held.Admit(40<<10, 0))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(held.Hold(ended, 1<<10, 0, 10<<10) != nil) // a large one waits, its beginning too
	is.True(held.Hold(ended, 1<<10, 0, -1) != nil)
	is.NoErr(held.Hold(ended, 8<<10, 0, 8<<10)) // a small one passes beside it
}

// An answer that is ready waits for room, and gets it when another was read.
func TestAnswersWaitForRoom(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		held := NewHeldBytes(200 << 10)
		is.NoErr(held.Hold(t.Context(), 70<<10, 0, 70<<10))
		go func() {
			time.Sleep(time.Second)
			held.Release(0, 70<<10)
		}()
		began := time.Now()
		is.NoErr(held.Hold(t.Context(), 20<<10, 0, 20<<10))
		is.Equal(time.Since(began), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(held.Hold(ctx, 70<<10, 0, 70<<10) != nil)
		_, answers := held.Held()
		is.Equal(answers, int64(20<<10))
	})
}

func TestAnswerLargerThanTheBoundPassesAlone(t *testing.T) {
	is := is.New(t)
	held := NewHeldBytes(1000)
	is.NoErr(held.Hold(t.Context(), 5000, 0, -1))
	is.NoErr(held.Hold(t.Context(), 5000, 5000, -1))
}

// Whatever is admitted, held and released: what is held is what wasn't released, within the
// bounds.
func TestHeldBytesAreAccountedFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		held := NewHeldBytes(1000)
		var total int64
		var kept []int64
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			bytes := rapid.Int64Range(0, 400).Draw(t, "bytes")
			if rapid.Bool().Draw(t, "releases") && len(kept) > 0 {
				held.Release(kept[0], 0)
				total -= kept[0]
				kept = kept[1:]
				continue
			}
			if held.Admit(bytes, rapid.IntRange(0, 9).Draw(t, "urgency")) {
				kept, total = append(kept, bytes), total+bytes
			}
			if requests, _ := held.Held(); requests != total || requests > 500 {
				t.Fatalf("%d held, %d kept", requests, total)
			}
		}
	})
}
