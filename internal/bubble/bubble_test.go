package bubble

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Goroutines that poll timers which are due, beside timers that the clock's own goroutine runs:
// with several threads the race detector ends the process within a second.
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

// Threads are as they were once the last of several bubbles that overlap has ended.
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
