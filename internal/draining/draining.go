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
