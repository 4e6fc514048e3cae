package hop

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// unfinishedWriteLimit is how long the end of a connection waits for the outcome of a write that is under way. A write
// whose bytes the peer has taken returns at once, unless this process lacks processor time.
const unfinishedWriteLimit = 250 * time.Millisecond

// brokenWriteError is the error of a read on a connection that ended after a write had failed.
type brokenWriteError struct{ cause error }

func (e *brokenWriteError) Error() string {
	return "the connection ended after a write on it had failed: " + e.cause.Error()
}
func (e *brokenWriteError) Unwrap() error { return e.cause }

// conn is a connection whose end is an error if a write on it has failed. A socket reports a reset once, to whoever
// asks first. If that is a write, a read gets the rest of the bytes and then a clean end, and an answer that ends with
// its connection looks whole.
type conn struct {
	net.Conn
	// writing is held during a write, and protects failed, the error of the first write that failed.
	writing sync.Mutex
	failed  error
}

// Read implements net.Conn.
func (c *conn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if errors.Is(err, io.EOF) {
		if failed := c.awaitWrite(); failed != nil {
			return count, &brokenWriteError{failed}
		}
	}
	return count, err
}

// awaitWrite waits for a write that is under way, and returns the error of the first write that has failed, or nil.
func (c *conn) awaitWrite() error {
	if !c.writing.TryLock() {
		// The reset may have ended the write, which hasn't returned yet. A write that the peer holds up must not hold up
		// this side. There is no deadline on a connection that is closed, but writes on it don't wait.
		_ = c.SetWriteDeadline(time.Now().Add(unfinishedWriteLimit))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.failed
}

// Write implements net.Conn.
func (c *conn) Write(from []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	count, err := c.Conn.Write(from)
	if err != nil && c.failed == nil {
		c.failed = err
	}
	return count, err
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no descriptor")
	}
	return inner.SyscallConn()
}

// dialConn returns a dial function whose connections are of type *conn.
func dialConn(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: opened}, nil
	}
}
