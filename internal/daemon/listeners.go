package daemon

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/failure"
)

const (
	// addressPatience is how long a start waits for an address that is in use or not there yet. A predecessor that is
	// being stopped, or an outgoing connection that was given the port, holds it for seconds.
	addressPatience = 15 * time.Second
	// addressRetryPause is the time between two attempts to open a listener.
	addressRetryPause = 50 * time.Millisecond
)

// openListeners opens the listeners that the gateway can't do without, and returns them by the name of
// their setting. It opens that for callers last, because the system accepts their connections from then on. The order
// is fixed, so that of two processes with the same settings one waits for the other, and not each for the other.
func (g *Gateway) openListeners(opener addressOpener) (map[string]net.Listener, error) {
	listeners := map[string]net.Listener{}
	for _, each := range []struct{ field, address string }{
		{"listen.admin", g.settings.Listen.Admin},
		{"listen.peers", g.settings.Listen.Peers},
		{"listen.callers", g.settings.Listen.Callers},
	} {
		listener, err := opener.open(each.field, each.address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, err
		}
		listeners[each.field] = listener
	}
	return listeners, nil
}

// addressOpener opens listeners.
type addressOpener struct {
	listen func(network, address string) (net.Listener, error)
	// starting ends when the start is to be given up.
	starting context.Context
	// patience is how long one listener is waited for; 0 means until starting ends.
	patience time.Duration
	log      logrus.FieldLogger
}

// open opens the listener of a setting. While the address is in use or not there, it tries again for up to its patience.
func (o addressOpener) open(field, address string) (net.Listener, error) {
	patience, cancel := context.WithCancel(o.starting)
	if o.patience > 0 {
		patience, cancel = context.WithTimeout(o.starting, o.patience)
	}
	defer cancel()
	pause := time.NewTicker(addressRetryPause)
	defer pause.Stop()
	isLogged := false
	for {
		listener, err := o.listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		err = failure.Wrap(failure.InvalidSettings, err, field+" can't be opened; free the port or choose another")
		if !mayBecomeFree(err) {
			return nil, err
		}
		if !isLogged {
			o.log.WithField("cause", err.Error()).Warn(string(eventlog.StartDelayed))
			isLogged = true
		}
		select {
		case <-pause.C:
		case <-patience.Done():
			return nil, err
		}
	}
}

// mayBecomeFree reports whether an address that couldn't be opened may be usable later without a change of the settings.
func mayBecomeFree(err error) bool {
	for _, passing := range []error{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
