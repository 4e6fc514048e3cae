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
	resting map[net.Conn]bool
	// spared are connections that were not closed since a request waits in them;
	// none is closed when the last of them has ended.
	spared map[*conn]bool
	none   chan struct{}
}

// New returns a watch over no connection.
func New() *Connections {
	return &Connections{resting: map[net.Conn]bool{}, spared: map[*conn]bool{}}
}

// Listener returns the listener whose connections are watched.
func (c *Connections) Listener(listener net.Listener) net.Listener {
	return &watchedListener{Listener: listener, connections: c, closing: make(chan struct{})}
}

// ConnState is the server's hook of the same name.
func (c *Connections) ConnState(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateIdle:
		c.resting[connection] = false
	default:
		delete(c.resting, connection)
	}
}

// Shutdown stops the server as http.Server.Shutdown does, and then waits for the
// requests that were found waiting. Its error is the context's.
func (c *Connections) Shutdown(ctx context.Context, server *http.Server) error {
	if err := server.Shutdown(ctx); err != nil {
		return err
	}
	c.mutex.Lock()
	if len(c.spared) == 0 {
		c.mutex.Unlock()
		return nil
	}
	none := make(chan struct{})
	c.none = none
	c.mutex.Unlock()
	select {
	case <-none:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close ends what Shutdown still waits for.
func (c *Connections) Close() {
	c.mutex.Lock()
	var left []*conn
	for each := range c.spared {
		left = append(left, each)
	}
	c.mutex.Unlock()
	for _, each := range left {
		_ = each.Conn.Close()
	}
}

// began notes that bytes were read from a connection.
func (c *Connections) began(connection *conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, rests := c.resting[connection]; rests {
		c.resting[connection] = true
	}
}

// spare tells whether a connection that is being closed rests with a request
// waiting in it, or with one that the server has begun to read: it counts the connection
// as resting until it has read the whole header. It is spared once: after its answer, or when its reader fails, it
// is closed.
func (c *Connections) spare(connection *conn) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	begun, rests := c.resting[connection]
	if !rests || c.spared[connection] || !begun && !hasUnread(connection.Conn) {
		return false
	}
	c.spared[connection] = true
	return true
}

// ended notes that a connection was closed.
func (c *Connections) ended(connection *conn) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.resting, connection)
	if !c.spared[connection] {
		return
	}
	delete(c.spared, connection)
	if len(c.spared) == 0 && c.none != nil {
		close(c.none)
		c.none = nil
	}
}

type watchedListener struct {
	net.Listener
	connections *Connections

	// closing is closed when Close begins.
	closing chan struct{}
	begin   sync.Once
	finish  sync.Once
	// waiting are the connections that were not accepted before Close.
	mutex   sync.Mutex
	waiting []net.Conn
}

// Accept implements net.Listener. After Close it still returns the connections that
// were waiting then.
func (l *watchedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		select {
		case <-l.closing:
			l.finish.Do(l.takeAllAndClose)
			accepted, err = l.takeWaiting()
		default:
		}
	}
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, connections: l.connections}, nil
}

func (l *watchedListener) takeWaiting() (net.Conn, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.waiting) == 0 {
		return nil, net.ErrClosed
	}
	next := l.waiting[0]
	l.waiting = l.waiting[1:]
	return next, nil
}

// Close implements net.Listener. It returns once no connection waits any more.
func (l *watchedListener) Close() error {
	l.begin.Do(func() { close(l.closing) })
	l.finish.Do(l.takeAllAndClose)
	return nil
}

const (
	// quiet is how long a try waits for a further connection.
	quiet = 10 * time.Millisecond
	// quietTries is the number of tries in a row that must find none. The first may
	// have waited for an Accept that was under way until its own time was over.
	quietTries = 2
)

// takeAllAndClose accepts the connections that wait and closes the listener.
func (l *watchedListener) takeAllAndClose() {
	timed, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	for tries := 0; ok && tries < quietTries; {
		if err := timed.SetDeadline(time.Now().Add(quiet)); err != nil {
			break
		}
		accepted, err := l.Listener.Accept()
		if err != nil {
			tries++
			continue
		}
		tries = 0
		l.mutex.Lock()
		l.waiting = append(l.waiting, accepted)
		l.mutex.Unlock()
	}
	// It may have been closed already.
	_ = l.Listener.Close()
}

type conn struct {
	net.Conn
	connections *Connections
}

// Read implements net.Conn.
func (c *conn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if count > 0 {
		c.connections.began(c)
	}
	return count, err
}

// Close implements net.Conn. Closing a connection in which a request waits does
// nothing: the server's reader is about to find it.
func (c *conn) Close() error {
	if c.connections.spare(c) {
		return nil
	}
	err := c.Conn.Close()
	c.connections.ended(c)
	return err
}
