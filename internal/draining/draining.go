// Package draining shuts an HTTP server down without losing requests that have
// arrived but have not been read. http.Server.Shutdown closes idle connections, and
// closing the listener drops connections that were not yet accepted. In a process
// that is short of CPU time, both may already hold requests. http.Server also drops,
// without an answer, every request that it reads after its Shutdown has begun, so
// Shutdown here leaves that for the end: until then requests are served, and their
// connections close with their answers.
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
	// request.
	deferred map[*trackedConn]bool
	// unused holds the connections that have not carried a request, with the time at which
	// they were accepted.
	unused map[net.Conn]time.Time
	// open counts the connections that have been accepted and not closed.
	open int
	// listeners are the open listeners.
	listeners []*trackedListener
}

// New returns a tracker without connections.
func New() *Connections {
	return &Connections{idle: map[net.Conn]bool{}, deferred: map[*trackedConn]bool{}, unused: map[net.Conn]time.Time{}}
}

// Listener returns a listener that tracks the connections it accepts.
func (c *Connections) Listener(listener net.Listener) net.Listener {
	tracked := &trackedListener{Listener: listener, connections: c, closing: make(chan struct{})}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.listeners = append(c.listeners, tracked)
	return tracked
}

// ConnState is the hook for http.Server.ConnState.
func (c *Connections) ConnState(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateNew:
		c.idle[connection] = false
		c.unused[connection] = time.Now()
	case http.StateIdle:
		c.idle[connection] = false
	default:
		delete(c.idle, connection)
		delete(c.unused, connection)
	}
}

const (
	// closePeriod is the time between two looks for connections that have become idle.
	closePeriod = 20 * time.Millisecond
	// firstRequestTime is the age at which a connection that hasn't carried a request is closed
	// during the shutdown. It is longer than 0 because no answer has announced the close to its
	// caller.
	firstRequestTime = 5 * time.Second
)

// Shutdown closes the listeners and the idle connections, and waits until all others have
// ended, each with the answer to its request. If ctx ends first, Shutdown returns its error.
// A request that arrives until then on a connection that is open is served.
func (c *Connections) Shutdown(ctx context.Context, server *http.Server) error {
	c.mutex.Lock()
	listeners := c.listeners
	c.listeners = nil
	c.mutex.Unlock()
	for _, each := range listeners {
		_ = each.Close() // also closed by the server, which reports its error
	}
	ticker := time.NewTicker(closePeriod)
	defer ticker.Stop()
	for {
		server.SetKeepAlivesEnabled(false) // closes idle connections, each time
		c.closeUnused()
		if c.openCount() == 0 {
			return server.Shutdown(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// closeUnused closes the connections whose first request hasn't come within firstRequestTime.
func (c *Connections) closeUnused() {
	c.mutex.Lock()
	var due []net.Conn
	for connection, acceptedAt := range c.unused {
		if time.Since(acceptedAt) >= firstRequestTime {
			due = append(due, connection)
			delete(c.unused, connection) // one that holds a request stays open, see deferClose
		}
	}
	c.mutex.Unlock()
	for _, connection := range due {
		_ = connection.Close()
	}
}

func (c *Connections) openCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.open
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

// noteAccepted records that a connection was accepted.
func (c *Connections) noteAccepted() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open++
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
	delete(c.unused, connection)
	delete(c.deferred, connection)
	if !connection.isClosed {
		connection.isClosed = true
		c.open--
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
	l.connections.noteAccepted()
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
		l.backlog = append(l.backlog, accepted)
		l.mutex.Unlock()
	}
	// The listener may already be closed.
	_ = l.Listener.Close()
}

type trackedConn struct {
	net.Conn
	connections *Connections
	// isClosed is guarded by the mutex of connections.
	isClosed bool
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
