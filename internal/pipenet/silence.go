package pipenet

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Silence makes all open connections silent permanently, without a reset: written data is
// lost, and no data arrives. New connections work.
func (n *Network) Silence() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for conn := range n.openConns {
		conn.silence()
	}
}

// pipe returns the two ends of a connection.
func (n *Network) pipe() (client, server net.Conn) {
	near, far := net.Pipe()
	first, second := n.track(near), n.track(far)
	first.peer, second.peer = second, first
	return first, second
}

func (n *Network) track(conn net.Conn) *pipeConn {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	tracked := &pipeConn{Conn: conn, network: n, silent: make(chan struct{}), closed: make(chan struct{}), deadlineChanged: make(chan struct{})}
	n.openConns[tracked] = true
	return tracked
}

// pipeConn is one end of a connection that can become silent, see Silence, or be reset, see SetLinger.
type pipeConn struct {
	net.Conn
	network *Network
	peer    *pipeConn
	// resets is true if Close resets the connection.
	resets atomic.Bool
	silent chan struct{}
	closed chan struct{}
	once   sync.Once

	mutex    sync.Mutex
	deadline time.Time
	// deadlineChanged is closed and replaced whenever the read deadline is set.
	deadlineChanged chan struct{}
}

// silence marks the connection as silent and closes the underlying pipe, so that pending
// reads and writes return from the pipe and continue as on a silent connection. The caller
// holds the network's mutex.
func (c *pipeConn) silence() {
	close(c.silent)
	_ = c.Conn.Close()
	delete(c.network.openConns, c)
}

func (c *pipeConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *pipeConn) Read(bytes []byte) (int, error) {
	if !c.isSilent() {
		count, err := c.Conn.Read(bytes)
		if errors.Is(err, io.EOF) && c.peer.resets.Load() {
			return count, syscall.ECONNRESET
		}
		if err == nil || !c.isSilent() {
			return count, err
		}
	}
	return 0, c.awaitEnd()
}

// awaitEnd waits until the silent connection is closed or its read deadline has passed.
func (c *pipeConn) awaitEnd() error {
	for {
		c.mutex.Lock()
		deadline, changed := c.deadline, c.deadlineChanged
		c.mutex.Unlock()
		var expired <-chan time.Time
		if !deadline.IsZero() {
			timer := time.NewTimer(time.Until(deadline))
			defer timer.Stop()
			expired = timer.C
		}
		select {
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-changed:
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

// Write implements net.Conn.
func (c *pipeConn) Write(bytes []byte) (int, error) {
	if !c.isSilent() {
		count, err := c.Conn.Write(bytes)
		if err == nil || !c.isSilent() {
			return count, err
		}
	}
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
		return len(bytes), nil
	}
}

// SetDeadline implements net.Conn.
func (c *pipeConn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// SetReadDeadline implements net.Conn.
func (c *pipeConn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	c.deadline = deadline
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	c.mutex.Unlock()
	if c.isSilent() {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetWriteDeadline implements net.Conn. Writes to a silent connection never block.
func (c *pipeConn) SetWriteDeadline(deadline time.Time) error {
	if c.isSilent() {
		return nil
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// SetLinger makes Close reset the connection if seconds is 0, as net.TCPConn does: the other end reads an error
// and no end of the data.
func (c *pipeConn) SetLinger(seconds int) error {
	c.resets.Store(seconds == 0)
	return nil
}

// Close implements net.Conn. The other end of a silent connection doesn't notice it.
func (c *pipeConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mutex.Lock()
		delete(c.network.openConns, c)
		c.network.mutex.Unlock()
	})
	return c.Conn.Close()
}
