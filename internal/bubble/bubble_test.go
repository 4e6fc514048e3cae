package bubble

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Goroutines poll timers that are due while the goroutine that advances the clock runs other
// timers. On several threads the process crashes within a second under the race detector.
func TestConcurrentTimersUnderRaceDetector(t *testing.T) {
	const goroutines, rounds = 16, 500
	Test(t, func(*testing.T) {
		var all sync.WaitGroup
		for range goroutines {
			all.Go(func() {
				for range rounds {
					pollTimers()
				}
			})
		}
		all.Wait()
	})
}

func pollTimers() {
	timer := time.NewTimer(0)
	time.AfterFunc(0, func() {})
	select {
	case <-timer.C:
	default:
	}
	time.Sleep(time.Microsecond)
}

// GOMAXPROCS is restored when the last of several overlapping bubbles has ended, not before.
func TestProcsAreRestored(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	limitProcs()
	limitProcs()
	restoreProcs()
	is := is.New(t)
	is.Equal(runtime.GOMAXPROCS(0), 1)
	restoreProcs()
	is.Equal(runtime.GOMAXPROCS(0), before)
}
