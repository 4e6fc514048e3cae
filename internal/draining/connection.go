package draining

import (
	"net"
	"time"

	"github.com/harriernotch/harriernotch/internal/socket"
)

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

// NetConn returns the connection that was accepted.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

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
