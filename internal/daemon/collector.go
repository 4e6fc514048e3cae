package daemon

import (
	"os"
	"runtime/debug"
)

// collectorPercent lets the heap grow to five times its live size between two
// collections. A node's live heap is a few megabytes, so the default would
// collect many times a second under load; docs/CAPACITY.md has the figures.
const collectorPercent = 400

// TuneCollector sets the garbage collector for a process that is one node. The
// environment variable GOGC, if set, wins.
func TuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
}
