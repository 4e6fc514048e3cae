package cli

import (
	"context"
	"os"
)

// daemonSignals are the signals that a daemon has received.
type daemonSignals struct {
	// stopping ends when the daemon is told to stop.
	stopping context.Context
	// reload has an element when the settings are to be reloaded. It has room for one: a reload that has not begun yet
	// reads what further signals announce.
	reload <-chan os.Signal
}

// watchSignals receives signals until the process ends, so that none has its default effect while the daemon stops.
// The daemon also stops when ctx ends.
func watchSignals(ctx context.Context, stops, reloads <-chan os.Signal) daemonSignals {
	stopping, stop := context.WithCancel(ctx)
	go func() {
		for range stops {
			stop()
		}
	}()
	return daemonSignals{stopping: stopping, reload: reloads}
}
