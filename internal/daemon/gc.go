package daemon

import (
	"os"
	"runtime/debug"
)

// gcPercent is the GOGC value that TuneGC sets. The heap may grow to five times its
// live size between two collections. A node's live heap is a few megabytes, so the
// default of 100 would collect many times per second under load; docs/CAPACITY.md
// has the figures.
const gcPercent = 400

// memoryLimitTenths is the memory limit of the Go runtime in tenths of the process's memory. The
// collector aims to stay below it regardless of GOGC, which alone lets the heap grow to a multiple
// of its live size, with gcPercent to five times; a process that uses up its machine's memory is
// killed. The rest is for memory that the runtime doesn't count.
const memoryLimitTenths = 7

// SetMemoryLimit sets the memory limit of the Go runtime for a process that may use the given
// number of megabytes; 0 sets no limit. The environment variable GOMEMLIMIT takes precedence.
func SetMemoryLimit(megabytes int) {
	if megabytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(megabytes) << 20 * memoryLimitTenths / 10)
	}
}

// TuneGC tunes the garbage collector for a process that runs a single node. The
// environment variable GOGC takes precedence.
func TuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}
