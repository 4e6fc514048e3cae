// Package bubble runs tests on the virtual clock of testing/synctest in a way that works under
// the race detector.
//
// The runtime has one race context per bubble for timers (runtime/time.go,
// bubble.timers.raceCtx). Every thread that runs one of the bubble's timers uses it: the thread
// of the goroutine that advances the clock, and that of any goroutine that polls the channel of
// a timer that is due. Nothing synchronizes these uses, and two threads in the context at once
// crash the process with SIGSEGV in the detector's StackDepot, whatever code is tested. So under
// the detector the process runs Go code on one thread at a time while a bubble runs. Races are
// still detected: the detector finds them by the order that synchronization establishes between
// accesses, not by accesses at the same moment.
package bubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// procLimit keeps GOMAXPROCS at 1 while any bubble runs. It counts the running bubbles, since
// those of parallel tests overlap. before is the value of GOMAXPROCS to restore.
var procLimit struct {
	sync.Mutex
	bubbles int
	before  int
}

// Test runs a test in a bubble as synctest.Test does, under the race detector with GOMAXPROCS
// at 1.
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
