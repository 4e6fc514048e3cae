// Package bubble runs tests on the virtual clock of testing/synctest, in a way that the race
// detector bears.
//
// The runtime lends one race context of a bubble to every thread that runs one of its timers
// (runtime/time.go, bubble.timers.raceCtx): the goroutine that advances the clock, and any that
// polls a timer's channel that is due. Nothing guards it, and two threads in it at once end the
// process with SIGSEGV in the detector's StackDepot, whatever is tested. So under the detector a
// bubble has one thread at a time. Races are found all the same: the detector judges by the order
// that synchronization gives, not by time.
package bubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// threads keeps the process at one thread while any bubble is under way, since bubbles of
// parallel tests overlap.
var procLimit struct {
	sync.Mutex
	bubbles int
	before  int
}

// Test runs a test in a bubble, as synctest.Test does.
func Test(t *testing.T, test func(*testing.T)) {
	t.Helper()
	if raceDetector {
		limitProcs()
		defer restoreProcs()
	}
	synctest.Test(t, test)
}

func limitProcs() {
	procLimit.Lock()
	defer procLimit.Unlock()
	if procLimit.bubbles == 0 {
		procLimit.before = runtime.GOMAXPROCS(1)
	}
	procLimit.bubbles++
}

func restoreProcs() {
	procLimit.Lock()
	defer procLimit.Unlock()
	procLimit.bubbles--
	if procLimit.bubbles == 0 {
		runtime.GOMAXPROCS(procLimit.before)
	}
}
