package intake

import (
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// phase is what a connection does.
type phase uint8

const (
	// fresh: nothing was read yet.
	fresh phase = iota
	// inHead: a part of the head of a request was read.
	inHead
	// active: a request is handled.
	active
	// resting: the last request was answered, and nothing was read since.
	resting
	// hijacked: the connection no longer belongs to net/http.
	hijacked
)

// connection is an accepted connection that net/http serves.
type connection struct {
	net.Conn
	listener *Listener
	client   string

	// mutex guards the fields below.
	mutex sync.Mutex
	phase phase
	// since is when the phase began; a head that is the first begins with its connection.
	since time.Time
	head  headMeter
	// charged is the memory of the head that the Intake counts.
	charged int64
	// isEnding is true after the connection was told to end, until bytes are read nevertheless. isFinal is true if bytes
	// that have arrived and weren't read don't keep it open.
	isEnding, isFinal bool
	// isLate is true if the connection was past its time at the last look.
	isLate   bool
	isClosed bool
}

// Answers to requests whose heads aren't read to their end. No back end gets such a request.
const (
	answerLargeHead  = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	answerHeadMemory = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

const (
	// refusalTime bounds writing a refusal, and then waiting for the client to end the connection: closing it with
	// unread bytes would reset it, and the client might lose the refusal.
	refusalTime = 500 * time.Millisecond
	// pastDeadlineUnix, in seconds, is a deadline that makes a read that is under way fail.
	pastDeadlineUnix = 1
)

var (
	errRefused  = errors.New("the head of the request was refused")
	errNoSocket = errors.New("the connection isn't a socket")
)

// NetConn returns the connection that was accepted.
func (c *connection) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn, where the accepted connection does.
func (c *connection) SyscallConn() (syscall.RawConn, error) {
	if source, ok := c.Conn.(syscall.Conn); ok {
		return source.SyscallConn()
	}
	return nil, errNoSocket
}

// Read implements net.Conn.
func (c *connection) Read(into []byte) (int, error) {
	for {
		count, err := c.Conn.Read(into)
		if count > 0 {
			if reason := c.noteRead(into[:count], len(into)); reason != "" {
				c.refuse(reason, into)
				return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errRefused}
			}
			return count, err
		}
		if !c.staysForUnread() {
			return count, err
		}
	}
}

// noteRead counts bytes that were read, and returns why their request is refused, or "".
func (c *connection) noteRead(part []byte, buffer int) Reason {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.stay()
	switch c.phase {
	case hijacked:
		return ""
	case active:
		c.head.readBody(part, buffer)
		return ""
	case resting:
		c.since = time.Now()
	}
	c.phase = inHead
	c.head.readHead(part)
	if c.head.bytes > c.listener.limits.Load().HeadBytes+readAhead {
		return LargeHead
	}
	if !c.charge() {
		return HeadMemory
	}
	return ""
}

// charge counts the memory of the head, and reports whether there was enough. The mutex must be held.
func (c *connection) charge() bool {
	wanted := max(0, c.head.memory()-HeadAllowance)
	if wanted > c.charged {
		if !c.listener.intake.chargeHead(wanted-c.charged, c.charged) {
			return false
		}
		c.charged = wanted
	}
	return true
}

// release gives back the memory of the head. The mutex must be held.
func (c *connection) release() {
	if c.charged > 0 {
		c.listener.intake.heads.Add(-c.charged)
		c.charged = 0
	}
}

// refuse answers a request whose head isn't read to its end, and waits a moment for the client to end the connection.
func (c *connection) refuse(reason Reason, buffer []byte) {
	c.listener.noteEnd(reason)
	answer := answerHeadMemory
	if reason == LargeHead {
		answer = answerLargeHead
	}
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTime)) // fails for a closed connection only, as what follows
	if _, err := io.WriteString(c.Conn, answer); err != nil {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_, _ = io.CopyBuffer(discard{}, onlyReader{c.Conn}, buffer)
	}
}

// discard and onlyReader hide methods with which io.CopyBuffer would allocate a buffer of its own.
type discard struct{}

func (discard) Write(part []byte) (int, error) { return len(part), nil }

type onlyReader struct{ io.Reader }

// setState takes over the state of the connection in net/http.
func (c *connection) setState(state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateActive:
		c.stay()
		c.phase = active
		// A head from bytes that were read before can't be refused any more, but it is counted.
		if wanted := c.head.memory() - HeadAllowance; wanted > c.charged {
			c.listener.intake.heads.Add(wanted - c.charged)
			c.charged = wanted
		}
	case http.StateIdle:
		c.phase, c.since, c.isLate = resting, time.Now(), false
		c.head.next()
		c.release()
	case http.StateHijacked:
		c.stay()
		c.phase = hijacked
	}
}

// SetReadDeadline implements net.Conn. A connection that has been told to end keeps the deadline that ends it.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isEnding && (deadline.IsZero() || deadline.After(time.Now())) {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(deadline time.Time) error {
	if err := c.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.mutex.Lock()
	wasClosed := c.isClosed
	c.isClosed = true
	c.stay()
	c.release()
	c.mutex.Unlock()
	if !wasClosed {
		c.listener.remove(c)
	}
	return err
}

// end makes the server's read fail, so that it closes the connection. The mutex must be held.
func (c *connection) end(isFinal bool) {
	c.isFinal = isFinal
	if !c.isEnding {
		c.isEnding = true
		c.listener.ending.Add(1)
	}
	_ = c.Conn.SetReadDeadline(time.Unix(pastDeadlineUnix, 0)) // fails for a closed connection only
}

// stay takes end back. The mutex must be held.
func (c *connection) stay() {
	if c.isEnding {
		c.isEnding = false
		c.listener.ending.Add(-1)
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails for a closed connection only
	}
}

// staysForUnread reports whether a connection that was told to end stays open, because bytes have arrived since.
func (c *connection) staysForUnread() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.isEnding || c.isFinal || !hasUnread(c.Conn) {
		return false
	}
	c.stay()
	return true
}

// isResting reports whether the connection carries no request.
func (c *connection) isResting() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.phase == resting || c.phase == fresh
}

// canMakeRoom reports whether the connection may be ended to make room: whether it rests, and since when, or has had enough
// time for a head that isn't whole yet.
func (c *connection) canMakeRoom(now time.Time) (isResting bool, since time.Time, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isEnding || c.isClosed {
		return false, c.since, false
	}
	switch c.phase {
	case resting:
		return true, c.since, now.Sub(c.since) >= minRest
	case fresh, inHead:
		return false, c.since, !c.head.isWhole && now.Sub(c.since) >= minHeadTime
	default:
		return false, c.since, false
	}
}

// endUnlessUnread ends a connection that can make room, unless bytes have arrived that weren't read. It reports whether it
// did.
func (c *connection) endUnlessUnread() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isIdle := c.phase == resting || c.phase == fresh || c.phase == inHead && !c.head.isWhole
	if !isIdle || c.isClosed || hasUnread(c.Conn) {
		return false
	}
	c.end(false)
	return true
}

// endIfLate ends the connection if it is past its time, and returns why it did. It gives a process that was paused the time
// until the next look to read what has arrived.
func (c *connection) endIfLate(now time.Time, limits Limits) Reason {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isClosed || c.isEnding {
		return ""
	}
	reason, allowed := SlowHead, limits.HeadTimeout
	switch c.phase {
	case resting:
		reason, allowed = Idle, limits.IdleTimeout
	case active, hijacked:
		return ""
	}
	if allowed <= 0 || now.Sub(c.since) < allowed {
		c.isLate = false
		return ""
	}
	if !c.isLate {
		c.isLate = true
		return ""
	}
	if reason == Idle && hasUnread(c.Conn) {
		return ""
	}
	c.end(reason == SlowHead)
	return reason
}
