package pipenet

import (
	"net"
	"os"
	"sync"
	"time"
)

// Silence makes all open connections silent for good, without a reset: what is written is
// lost, and nothing comes. New connections work.
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
	return n.track(near), n.track(far)
}

func (n *Network) track(conn net.Conn) net.Conn {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	tracked := &pipeConn{Conn: conn, network: n, silent: make(chan struct{}), closed: make(chan struct{}), deadlineChanged: make(chan struct{})}
	n.openConns[tracked] = true
	return tracked
}

// pipeConn is one end of a connection that may fall silent.
type pipeConn struct {
	net.Conn
	network *Network
	silent  chan struct{}
	closed  chan struct{}
	once    sync.Once

	mutex    sync.Mutex
	deadline time.Time
	// moved is closed and replaced whenever the deadline for reading moves.
	deadlineChanged chan struct{}
}

// fallSilent ends the pipe below, so that reads and writes under way return and go on in
// silence.
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
		if err == nil || !c.isSilent() {
			return count, err
		}
	}
	return 0, c.awaitEnd()
}

// awaitEnd waits until the silent connection is closed or its deadline has passed.
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

// SetWriteDeadline implements net.Conn. Writes to a silent connection don't wait.
func (c *pipeConn) SetWriteDeadline(deadline time.Time) error {
	if c.isSilent() {
		return nil
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// Close implements net.Conn. The other end of a silent connection isn't told.
func (c *pipeConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mutex.Lock()
		delete(c.network.openConns, c)
		c.network.mutex.Unlock()
	})
	return c.Conn.Close()
}
