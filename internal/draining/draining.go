// Package draining lets an HTTP server stop without losing requests that have come
// but were not read yet. http.Server.Shutdown closes connections that rest, and the
// listener with the connections that were not accepted; on a process that runs late,
// requests may already wait in both.
package draining

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Connections watches over the connections of one server. It is safe for concurrent
// use.
type Connections struct {
	mutex sync.Mutex
	// resting are the connections between two requests; the value is true once bytes of
	// the next one were read.
	idle map[net.Conn]bool
	// spared are connections that were not closed since a request waits in them;
	// none is closed when the last of them has ended.
	deferred map[*trackedConn]bool
	drained  chan struct{}
}

// New returns a watch over no connection.
func New() *Connections {
	return &Connections{idle: map[net.Conn]bool{}, deferred: map[*trackedConn]bool{}}
}

// Listener returns the listener whose connections are watched.
func (c *Connections) Listener(listener net.Listener) net.Listener {
	return &trackedListener{Listener: listener, connections: c, closing: make(chan struct{})}
}

// ConnState is the server's hook of the same name.
func (c *Connections) ConnState(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateIdle:
		c.idle[connection] = false
	default:
		delete(c.idle, connection)
	}
}

// Shutdown stops the server as http.Server.Shutdown does, and then waits for the
// requests that were found waiting. Its error is the context's.
func (c *Connections) Shutdown(ctx context.Context, server *http.Server) error {
	if err := server.Shutdown(ctx); err != nil {
		return err
	}
	c.mutex.Lock()
	if len(c.deferred) == 0 {
		c.mutex.Unlock()
		return nil
	}
	drained := make(chan struct{})
	c.drained = drained
	c.mutex.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends what Shutdown still waits for.
func (c *Connections) Close() {
	c.mutex.Lock()
	var deferred []*trackedConn
	for connection := range c.deferred {
		deferred = append(deferred, connection)
	}
	c.mutex.Unlock()
	for _, connection := range deferred {
		_ = connection.Conn.Close()
	}
}

// began notes that bytes were read from a connection.
func (c *Connections) noteRead(connection *trackedConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, isIdle := c.idle[connection]; isIdle {
		c.idle[connection] = true
	}
}

// spare tells whether a connection that is being closed rests with a request
// waiting in it, or with one that the server has begun to read: it counts the connection
// as resting until it has read the whole header. It is spared once: after its answer, or when its reader fails, it
// is closed.
func (c *Connections) deferClose(connection *trackedConn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	readStarted, isIdle := c.idle[connection]
	if !isIdle || c.deferred[connection] || !readStarted && !hasUnread(connection.Conn) {
		return false
	}
	c.deferred[connection] = true
	return true
}

// ended notes that a connection was closed.
func (c *Connections) noteClosed(connection *trackedConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.idle, connection)
	if !c.deferred[connection] {
		return
	}
	delete(c.deferred, connection)
	if len(c.deferred) == 0 && c.drained != nil {
		close(c.drained)
		c.drained = nil
	}
}

type trackedListener struct {
	net.Listener
	connections *Connections

	// closing is closed when Close begins.
	closing   chan struct{}
	closeOnce sync.Once
	drainOnce sync.Once
	// waiting are the connections that were not accepted before Close.
	mutex   sync.Mutex
	backlog []net.Conn
}

// Accept implements net.Listener. After Close it still returns the connections that
// were waiting then.
func (l *trackedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		select {
		case <-l.closing:
			l.drainOnce.Do(l.drainBacklogAndClose)
			accepted, err = l.popBacklog()
		default:
		}
	}
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: accepted, connections: l.connections}, nil
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

// Close implements net.Listener. It returns once no connection waits any more.
func (l *trackedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closing) })
	l.drainOnce.Do(l.drainBacklogAndClose)
	return nil
}

const (
	// quiet is how long a try waits for a further connection.
	acceptTimeout = 10 * time.Millisecond
	// quietTries is the number of tries in a row that must find none. The first may
	// have waited for an Accept that was under way until its own time was over.
	maxEmptyAccepts = 2
)

// takeAllAndClose accepts the connections that wait and closes the listener.
func (l *trackedListener) drainBacklogAndClose() {
	deadliner, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	for emptyAccepts := 0; ok && emptyAccepts < maxEmptyAccepts; {
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
		l.backlog = append(l.backlog, accepted)
		l.mutex.Unlock()
	}
	// It may have been closed already.
	_ = l.Listener.Close()
}

type trackedConn struct {
	net.Conn
	connections *Connections
}

// Read implements net.Conn.
func (c *trackedConn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if count > 0 {
		c.connections.noteRead(c)
	}
	return count, err
}

// Close implements net.Conn. Closing a connection in which a request waits does
// nothing: the server's reader is about to find it.
func (c *trackedConn) Close() error {
	if c.connections.deferClose(c) {
		return nil
	}
	err := c.Conn.Close()
	c.connections.noteClosed(c)
	return err
}
