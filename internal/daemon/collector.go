package daemon

import (
	"os"
	"runtime/debug"
)

// Both are the growth of the heap between two collections, in percent of what lives.
const (
	// nodeCollectorPercent suits routers and agents. Their live heap is a few
	// megabytes, so the default would collect many times a second under load;
	// docs/CAPACITY.md has the figures.
	nodeCollectorPercent = 400
	// gatewayCollectorPercent suits gateways, of which each machine pays for the
	// memory: a quarter of it less than with the default, for a thirtieth more
	// processor time.
	gatewayCollectorPercent = 25
)

// TuneCollector sets the garbage collector for a process that is one router or agent.
// The environment variable GOGC, if set, wins.
func TuneCollector() { setCollector(nodeCollectorPercent) }

// TuneGatewayCollector is TuneCollector for a gateway.
func TuneGatewayCollector() { setCollector(gatewayCollectorPercent) }

func setCollector(percent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
}
