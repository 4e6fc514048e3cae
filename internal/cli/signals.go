package cli

import (
	"context"
	"os"
	"syscall"
)

// daemonSignals are the signals that a daemon has received.
type daemonSignals struct {
	// stopping ends when the daemon is told to stop.
	stopping context.Context
	// reload has an element when the settings are to be reloaded.
	reload <-chan struct{}
}

// watchSignals receives signals until the process ends, so that none has its default effect while the daemon stops.
// The daemon also stops when ctx ends.
func watchSignals(ctx context.Context, received <-chan os.Signal) daemonSignals {
	stopping, stop := context.WithCancel(ctx)
	reload := make(chan struct{}, 1)
	go func() {
		for each := range received {
			if each != syscall.SIGHUP {
				stop()
				continue
			}
			select {
			case reload <- struct{}{}:
			default: // a reload that has not begun yet reads what this signal announces
			}
		}
	}()
	return daemonSignals{stopping: stopping, reload: reload}
}
