package daemon

import (
	"os"
	"runtime/debug"
)

// collectorPercent lets the heap grow to five times its live size between two
// collections. A node's live heap is a few megabytes, so the default would
// collect many times a second under load; docs/CAPACITY.md has the figures.
const gcPercent = 400

// memoryTenths is the part of a process's memory, in tenths, below which the collector keeps
// the heap, whatever its percentage: the heap may otherwise grow to five times its live size,
// and a machine that is overrun kills the process. The rest is for what the runtime doesn't
// count.
const memoryLimitTenths = 7

// BoundMemory lets the collector keep below most of so many megabytes; 0 sets no bound. The
// environment variable GOMEMLIMIT, if set, wins.
func SetMemoryLimit(megabytes int) {
	if megabytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(megabytes) << 20 * memoryLimitTenths / 10)
	}
}

// TuneCollector sets the garbage collector for a process that is one node. The
// environment variable GOGC, if set, wins.
func TuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
