package keepalive

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/socket"
)

// exchange is one request and its answer. Transport.mutex protects it.
type exchange struct {
	transport *Transport
	// conn is the connection that net/http chose last for the request.
	conn *conn
	// begun is true once a connection has accepted bytes of the request, or may have.
	begun bool
	// isAnswered is true once the head of the answer has been read.
	isAnswered bool
}

// assign records the connection that net/http chose for the request.
func (e *exchange) assign(chosen net.Conn) {
	c, ok := chosen.(*conn)
	if !ok {
		return
	}
	e.transport.mutex.Lock()
	defer e.transport.mutex.Unlock()
	e.conn = c
	c.exchange = e
	c.stopWaiting()
}

// abandon reports whether nothing of the request was sent. If so, nothing of it will be sent later:
// its connection accepts no more bytes.
func (e *exchange) abandon() bool {
	e.transport.mutex.Lock()
	if e.conn == nil || e.begun {
		e.transport.mutex.Unlock()
		return false
	}
	e.begun = true // from now on, no connection accepts it
	c, isOurs := e.conn, e.conn.exchange == e
	e.transport.mutex.Unlock()
	if isOurs {
		_ = c.Close()
	}
	return true
}

// answered records for how long the connection may be used after the answer. The connection of an
// answer without a body may be idle already.
func (e *exchange) answered(usable time.Duration) {
	e.transport.mutex.Lock()
	c := e.conn
	if c == nil || c.exchange != e {
		e.transport.mutex.Unlock()
		return
	}
	e.isAnswered = true
	c.usable = usable
	closeNow := c.isIdle && !c.scheduleClose()
	e.transport.mutex.Unlock()
	if closeNow {
		_ = c.Close()
	}
}

// released records that net/http has put the connection into its pool. Another request may have
// taken it from there before this call.
func (e *exchange) released() {
	e.transport.mutex.Lock()
	c := e.conn
	if c == nil || c.exchange != e || c.closed {
		e.transport.mutex.Unlock()
		return
	}
	c.isIdle = true
	closeNow := e.isAnswered && !c.scheduleClose()
	e.transport.mutex.Unlock()
	if closeNow {
		_ = c.Close()
	}
}

// conn is a connection that refuses to begin a request when that isn't safe. Transport.mutex
// protects all fields but the first four, which don't change.
type conn struct {
	net.Conn
	transport *Transport
	address   string
	openedAt  time.Time

	// closed is true once the connection accepts no more bytes.
	closed bool
	// exchange is the request that has the connection or had it last, and accepted the one whose bytes
	// it accepts. Both are nil on a new connection.
	exchange, accepted *exchange
	// finishedAfter is a time at which the back end certainly hadn't finished its last answer: at first
	// the time at which the request began, and then the time after which the bytes read last arrived.
	// The time at which they were read can be much later, because they wait in the socket while this
	// process, or the caller that the answer is passed on to, is busy.
	finishedAfter time.Time
	// drainedAt is the start of the last read that emptied the socket: all bytes read later arrived
	// after it.
	drainedAt time.Time
	// readAt is the time of the answer's last read, or zero. readerPaused is true once the reader has
	// paused for longer than maxReadPause: flow control may then have delayed bytes that the back end
	// wrote long before, so finishedAfter no longer changes.
	readAt       time.Time
	readerPaused bool
	// heardAt is when something arrived last.
	heardAt time.Time
	// usable is how long after finishedAfter another request may begin.
	usable time.Duration
	// isIdle is true while the connection is in the pool.
	isIdle bool
	// closer closes the connection when it is no longer usable; nil if it isn't waiting for a request.
	closer *time.Timer
}

// maxReadPause is the longest pause between two reads of an answer that is read as fast as it comes.
// transferMargin includes it.
const maxReadPause = 50 * time.Millisecond

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// trackDial returns a dial function whose connections are of type *conn.
func (t *Transport) trackDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		now := t.clock.Now()
		c := &conn{Conn: opened, transport: t, address: address, openedAt: now, finishedAfter: now, usable: maxUnused}
		t.mutex.Lock()
		defer t.mutex.Unlock()
		if t.conns[address] == nil {
			t.conns[address] = map[*conn]bool{}
		}
		t.conns[address][c] = true
		// If the request for which it was opened has got another one meanwhile, it waits in the pool.
		c.closer = time.AfterFunc(maxUnused, c.closeWaiting)
		return c, nil
	}
}

// errRefused is the error of a write that begins a request on a connection that isn't safe. Unlike
// ErrNotSent, it doesn't mean that no other connection has accepted the request.
var errRefused = errors.New("the connection can't be used safely")

// Write implements net.Conn. It returns errRefused if a request would begin and that isn't safe.
func (c *conn) Write(bytes []byte) (int, error) {
	isFirst, ok := c.accept()
	if !ok {
		_ = c.Close()
		c.transport.closeUnusable(c.address)
		return 0, errRefused
	}
	count, err := c.Conn.Write(bytes)
	if isFirst && count == 0 && err != nil {
		c.revoke() // the kernel took no byte
	}
	return count, err
}

// accept decides whether bytes may be written, and whether they are the first of a request.
func (c *conn) accept() (isFirst, ok bool) {
	lag := c.transport.lag()
	c.transport.mutex.Lock()
	defer c.transport.mutex.Unlock()
	e := c.exchange
	if c.closed || e == nil {
		return false, false
	}
	if c.accepted == e {
		return false, true
	}
	if e.begun || !c.isUsable(lag) || inputPending(c.Conn) {
		c.closed = true
		return false, false
	}
	now := c.transport.clock.Now()
	c.accepted, e.begun = e, true
	c.finishedAfter, c.drainedAt, c.readAt, c.readerPaused = now, now, time.Time{}, false
	c.usable = 0
	return true, true
}

// isUsable reports whether a request may begin. The lag of this process counts only after an answer:
// a new connection isn't at risk, and replacing it would cost time that this process lacks.
func (c *conn) isUsable(lag time.Duration) bool {
	now := c.transport.clock.Now()
	age := now.Sub(c.finishedAfter)
	if c.accepted == nil {
		return age < c.usable
	}
	return age+lag < c.usable && c.isProven(now)
}

// isProven reports whether something has arrived within maxUnproven on this connection, or on one to
// the same address that was open when this one last carried something: what silences this one since
// then would have silenced that one too.
func (c *conn) isProven(now time.Time) bool {
	for other := range c.transport.conns[c.address] {
		if !other.openedAt.After(c.heardAt) && now.Sub(other.heardAt) < maxUnproven {
			return true
		}
	}
	return false
}

// revoke records that no byte of the request was written, and that none will be.
func (c *conn) revoke() {
	c.transport.mutex.Lock()
	defer c.transport.mutex.Unlock()
	c.closed = true
	c.accepted.begun = false
}

// Read implements net.Conn.
func (c *conn) Read(bytes []byte) (int, error) {
	began := c.transport.clock.Now()
	count, err := c.Conn.Read(bytes)
	if count > 0 {
		c.noteRead(began, count < len(bytes))
	}
	return count, err
}

// noteRead records a read that began at a time and, if drained is set, emptied the socket.
func (c *conn) noteRead(began time.Time, drained bool) {
	now := c.transport.clock.Now()
	c.transport.mutex.Lock()
	defer c.transport.mutex.Unlock()
	c.heardAt = now
	if !c.readAt.IsZero() && began.Sub(c.readAt) > maxReadPause {
		c.readerPaused = true
	}
	c.readAt = now
	if c.readerPaused {
		return
	}
	if c.drainedAt.After(c.finishedAfter) {
		c.finishedAfter = c.drainedAt
	}
	if drained {
		c.drainedAt = began
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.transport.mutex.Lock()
	c.closed = true
	c.stopWaiting()
	sameAddress := c.transport.conns[c.address]
	delete(sameAddress, c)
	if len(sameAddress) == 0 {
		delete(c.transport.conns, c.address)
	}
	c.transport.mutex.Unlock()
	return c.Conn.Close()
}

// closeUnusable closes the idle connections to an address that aren't usable. net/http would choose
// them next.
func (t *Transport) closeUnusable(address string) {
	lag := t.lag()
	t.mutex.Lock()
	var unusable []*conn
	for c := range t.conns[address] {
		if c.isIdle && !c.isUsable(lag) {
			unusable = append(unusable, c)
		}
	}
	t.mutex.Unlock()
	for _, c := range unusable {
		c.closeWaiting()
	}
}

// scheduleClose arranges that the idle connection is closed when it is no longer usable. It
// returns false if it already isn't.
func (c *conn) scheduleClose() bool {
	left := c.usable - c.transport.clock.Since(c.finishedAfter)
	if left <= 0 {
		return false
	}
	c.closer = time.AfterFunc(left, c.closeWaiting)
	return true
}

// closeWaiting closes the connection unless a request has taken it.
func (c *conn) closeWaiting() {
	c.transport.mutex.Lock()
	waits := c.isIdle || c.exchange == nil
	if waits {
		c.closed = true
	}
	c.transport.mutex.Unlock()
	if waits {
		_ = c.Close()
	}
}

// stopWaiting records that the connection no longer waits for a request.
func (c *conn) stopWaiting() {
	if c.closer != nil {
		c.closer.Stop()
		c.closer = nil
	}
	c.isIdle = false
}

// inputPending reports whether the connection's socket holds bytes, its end or an error that haven't
// been read. It doesn't block, and returns false if this can't be determined.
func inputPending(connection net.Conn) bool { return socket.Peek(connection) != socket.None }
