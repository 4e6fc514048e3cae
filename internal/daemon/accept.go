package daemon

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
)

const (
	// minAcceptPause and maxAcceptPause bound the pause after a failed Accept, which doubles with each further failure.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// acceptingListener goes on accepting after errors. http.Server.Serve returns with the first error that the net package
// doesn't call temporary, such as a lack of kernel memory or a connection that failed while it waited, and the process
// would live on without its listener.
type acceptingListener struct {
	net.Listener
	log logrus.FieldLogger
	// isLogged is true while consecutive calls of Accept fail.
	isLogged atomic.Bool
	// closed is closed by Close, so that a stop doesn't wait for a pause.
	closed    chan struct{}
	closeOnce sync.Once
}

func newAcceptingListener(listener net.Listener, log logrus.FieldLogger) *acceptingListener {
	return &acceptingListener{Listener: listener, log: log, closed: make(chan struct{})}
}

// Close implements net.Listener.
func (l *acceptingListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept implements net.Listener. It returns an error only once the listener is closed.
func (l *acceptingListener) Accept() (net.Conn, error) {
	pause := minAcceptPause
	for {
		accepted, err := l.Listener.Accept()
		if err == nil {
			l.isLogged.Store(false)
			return accepted, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if !l.isLogged.Swap(true) {
			l.log.WithError(err).WithField("listener", l.Addr().String()).Error("connections can't be accepted; trying again")
		}
		select {
		case <-time.After(pause):
		case <-l.closed: // Accept fails for good now
		}
		pause = min(2*pause, maxAcceptPause)
	}
}
