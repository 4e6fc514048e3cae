// Package draining shuts an HTTP server down without losing requests that have
// arrived but have not been read. http.Server.Shutdown closes idle connections, and
// closing the listener drops connections that were not yet accepted. In a process
// that is short of CPU time, both may already hold requests. http.Server also drops,
// without an answer, every request that it reads after its Shutdown has begun, and what is
// in a connection's socket when its keep-alives are switched off. So both are left for the end here: until
// then requests are served, and their connections close with their answers.
package draining

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/harriernotch/harriernotch/internal/socket"
)

// Connections tracks the connections of one server. It is safe for concurrent use.
type Connections struct {
	// isClosing is true once Shutdown has begun.
	isClosing atomic.Bool

	mutex sync.Mutex
	// open holds the connections that have been accepted and not closed.
	open map[*trackedConn]struct{}
	// listeners are the open listeners.
	listeners []*trackedListener
}

// New returns a tracker without connections.
func New() *Connections { return &Connections{open: map[*trackedConn]struct{}{}} }

// Listener returns a listener that tracks the connections it accepts.
func (c *Connections) Listener(listener net.Listener) net.Listener {
	tracked := &trackedListener{Listener: listener, connections: c, closing: make(chan struct{})}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.listeners = append(c.listeners, tracked)
	return tracked
}

// Handler returns the server's handler: next, with answers that announce the close of their connections once Shutdown
// has begun.
func (c *Connections) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&announcingWriter{w, &c.isClosing}, r)
	})
}

// ConnState is the hook for http.Server.ConnState.
func (c *Connections) ConnState(connection net.Conn, state http.ConnState) {
	tracked := connection.(*trackedConn)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	tracked.isIdle = state == http.StateNew || state == http.StateIdle
	tracked.isUnused = state == http.StateNew
	tracked.hasBytes = false
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
// ended, each with the answer to its request. If ctx ends first, Shutdown returns its error, and
// server.Close ends the others. A request that arrives until then on a connection that is open is served.
func (c *Connections) Shutdown(ctx context.Context, server *http.Server) error {
	c.isClosing.Store(true)
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
		if isLast := c.endIdle(); isLast {
			return server.Shutdown(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// endIdle ends the connections that are idle and hold no request, and reports whether none is open.
func (c *Connections) endIdle() (isLast bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for connection := range c.open {
		isWaiting := connection.isUnused && time.Since(connection.acceptedAt) < firstRequestTime
		if connection.isIdle && !isWaiting && !connection.hasBytes && !hasUnread(connection.Conn) {
			connection.end()
		}
	}
	return len(c.open) == 0
}

// add returns the tracked connection for one that was accepted.
func (c *Connections) add(accepted net.Conn) *trackedConn {
	connection := &trackedConn{Conn: accepted, connections: c, acceptedAt: time.Now()}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open[connection] = struct{}{}
	return connection
}

// announcingWriter adds the announcement of the connection's close to the head of an answer.
type announcingWriter struct {
	http.ResponseWriter
	isClosing *atomic.Bool
}

// WriteHeader implements http.ResponseWriter.
func (w *announcingWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.announce()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *announcingWriter) Write(part []byte) (int, error) {
	w.announce() // without effect once the head was written
	return w.ResponseWriter.Write(part)
}

// FlushError is called by http.ResponseController.
func (w *announcingWriter) FlushError() error {
	w.announce()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the writer for the other methods of http.ResponseController.
func (w *announcingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *announcingWriter) announce() {
	if w.isClosing.Load() {
		w.Header().Set("Connection", "close")
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

// trackedConn is a connection that its own goroutine of the server closes, between two requests, after end.
type trackedConn struct {
	net.Conn
	connections *Connections
	acceptedAt  time.Time

	// The fields below are guarded by the mutex of connections.

	// isIdle is true between two requests and before the first. The server counts a connection as idle until it has
	// read the whole request header.
	isIdle bool
	// isUnused is true before the first request.
	isUnused bool
	// hasBytes is true once bytes of the next request were read.
	hasBytes bool
	// isEnding is true after end, until bytes are read nevertheless.
	isEnding bool
}

// end makes the server's read fail, so that it closes the connection. The mutex must be held.
func (c *trackedConn) end() {
	c.isEnding = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails for a closed connection only
}

// Read implements net.Conn.
func (c *trackedConn) Read(into []byte) (int, error) {
	for {
		count, err := c.Conn.Read(into)
		if count > 0 {
			c.noteRead()
		}
		if count > 0 || !c.keepForUnread() {
			return count, err
		}
	}
}

// noteRead records that bytes were read. If the connection was to end, it stays open for their request.
func (c *trackedConn) noteRead() {
	c.connections.mutex.Lock()
	defer c.connections.mutex.Unlock()
	c.hasBytes = c.isIdle
	c.stay()
}

// keepForUnread reports whether an ending connection stays open, because bytes have arrived since end.
func (c *trackedConn) keepForUnread() bool {
	c.connections.mutex.Lock()
	defer c.connections.mutex.Unlock()
	if !c.isEnding || !hasUnread(c.Conn) {
		return false
	}
	c.stay()
	return true
}

// stay takes end back. The mutex must be held. The server sets a deadline of its own for the rest of the header of a
// kept connection, and that of another one is past then, so the end of the shutdown bounds it.
func (c *trackedConn) stay() {
	if c.isEnding {
		c.isEnding = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.connections.mutex.Lock()
	defer c.connections.mutex.Unlock()
	delete(c.connections.open, c)
	return err
}

// hasUnread reports whether unread bytes are in the connection's socket. It doesn't block, and
// returns false if this can't be determined.
func hasUnread(connection net.Conn) bool { return socket.Peek(connection) == socket.Bytes }
