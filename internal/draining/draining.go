// Package draining shuts an HTTP server down without losing requests that have
// arrived but have not been read. http.Server.Shutdown closes idle connections, and
// closing the listener drops connections that were not yet accepted. In a process
// that is short of CPU time, both may already hold requests.
package draining

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/harriernotch/harriernotch/internal/socket"
)

// Connections tracks the connections of one server. It is safe for concurrent use.
type Connections struct {
	mutex sync.Mutex
	// idle holds the connections between two requests. The value is true once bytes of
	// the next request were read.
	idle map[net.Conn]bool
	// deferred holds connections that were kept open on Close because they hold a
	// request. Shutdown sets drained, which is closed with the last of them.
	deferred map[*trackedConn]bool
	drained  chan struct{}
}

// New returns a tracker without connections.
func New() *Connections {
	return &Connections{idle: map[net.Conn]bool{}, deferred: map[*trackedConn]bool{}}
}

// Listener returns a listener that tracks the connections it accepts.
func (c *Connections) Listener(listener net.Listener) net.Listener {
	return &trackedListener{Listener: listener, connections: c, closing: make(chan struct{})}
}

// ConnState is the hook for http.Server.ConnState.
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
// requests that were found on connections being closed. If ctx ends first, Shutdown
// returns its error.
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

// Close closes the connections that Shutdown still waits for.
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

// noteRead records that bytes were read from a connection.
func (c *Connections) noteRead(connection *trackedConn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, isIdle := c.idle[connection]; isIdle {
		c.idle[connection] = true
	}
}

// deferClose reports whether a connection that is being closed must stay open: it
// is idle for the server, but an unread request is in its socket, or the server has
// begun to read one. (The server counts a connection as idle until it has read the
// whole request header.) Closing is deferred only once per connection: it is closed
// after the request's answer, or when reading the request fails.
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

// noteClosed removes a closed connection.
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

	// closing is closed when Close is called.
	closing   chan struct{}
	closeOnce sync.Once
	drainOnce sync.Once
	// mutex guards backlog, the connections that were not accepted before Close.
	mutex   sync.Mutex
	backlog []net.Conn
}

// Accept implements net.Listener. After Close it still returns the connections of
// the backlog.
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
)

// drainBacklogAndClose accepts all pending connections and closes the listener.
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
	// The listener may already be closed.
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

// Close implements net.Conn. It does nothing if a request is waiting on the connection;
// see deferClose.
func (c *trackedConn) Close() error {
	if c.connections.deferClose(c) {
		return nil
	}
	err := c.Conn.Close()
	c.connections.noteClosed(c)
	return err
}

// hasUnread reports whether unread bytes are in the connection's socket. It doesn't block, and
// returns false if this can't be determined.
func hasUnread(connection net.Conn) bool { return socket.Peek(connection) == socket.Bytes }
