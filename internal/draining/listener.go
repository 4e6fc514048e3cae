package draining

import (
	"net"
	"sync"
	"time"
)

// trackedListener tracks the connections that it accepts.
type trackedListener struct {
	net.Listener
	connections *Connections

	// closing is closed when Close is called.
	closing   chan struct{}
	closeOnce sync.Once
	drainOnce sync.Once
	// mutex guards backlog, the connections that were not accepted before Close.
	mutex   sync.Mutex
	backlog []*trackedConn
}

// Accept implements net.Listener. After Close it still returns the connections of
// the backlog.
func (l *trackedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err == nil {
		return l.connections.add(accepted), nil
	}
	select {
	case <-l.closing:
		l.drainOnce.Do(l.drainBacklogAndClose)
		return l.popBacklog()
	default:
		return nil, err
	}
}

func (l *trackedListener) popBacklog() (net.Conn, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.backlog) == 0 {
		return nil, net.ErrClosed
	}
	next := l.backlog[0]
	l.backlog = l.backlog[1:]
	return next, nil
}

// Close implements net.Listener. It returns once the backlog has been accepted.
func (l *trackedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closing) })
	l.drainOnce.Do(l.drainBacklogAndClose)
	return nil
}

const (
	// acceptTimeout is how long one attempt waits for a further connection.
	acceptTimeout = 10 * time.Millisecond
	// maxEmptyAccepts is the number of consecutive attempts that must find no
	// connection. The first one may have spent its time waiting for a concurrent Accept.
	maxEmptyAccepts = 2
	// maxBacklogTime bounds the time for which pending connections are accepted. Where more arrive
	// all the time, there would be no end.
	maxBacklogTime = 250 * time.Millisecond
)

// drainBacklogAndClose accepts the pending connections and closes the listener.
func (l *trackedListener) drainBacklogAndClose() {
	deadliner, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	began := time.Now()
	for emptyAccepts := 0; ok && emptyAccepts < maxEmptyAccepts && time.Since(began) < maxBacklogTime; {
		if err := deadliner.SetDeadline(time.Now().Add(acceptTimeout)); err != nil {
			break
		}
		accepted, err := l.Listener.Accept()
		if err != nil {
			emptyAccepts++
			continue
		}
		emptyAccepts = 0
		l.mutex.Lock()
		l.backlog = append(l.backlog, l.connections.add(accepted))
		l.mutex.Unlock()
	}
	// The listener may already be closed.
	_ = l.Listener.Close()
}
