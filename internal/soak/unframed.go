package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// An answer may have neither a length nor chunks and end with its connection. Whether it is whole shows only
// in how the connection ends: after a whole event, within one, or by a reset.

// unframedEnd is how an answer ended that had neither a length nor chunks.
type unframedEnd uint8

const (
	// endsWhole is the end of the connection after the whole answer.
	endsWhole unframedEnd = iota
	// endsWithinEvent is the end of the connection within an event of a stream.
	endsWithinEvent
	// endsByReset is a reset of the connection within the answer or an event.
	endsByReset
	unframedEnds
	// endsUnsent is the end of an answer whose gateway closed the connection before.
	endsUnsent
)

// endOf returns how an answer is to end. A plain answer is never ended early without a reset, since nobody
// could tell it from a whole one.
func endOf(path string, turn int) unframedEnd {
	end := unframedEnd(turn % int(unframedEnds))
	if end == endsWithinEvent && !isStream(path) {
		return endsWhole
	}
	return end
}

// answerUnframed sends an answer that ends with its connection; turn selects how it ends.
func (b *backEnd) answerUnframed(w http.ResponseWriter, r *http.Request, forwarded wire.Forwarded, turn int) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // unreachable: the server speaks HTTP/1.1
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	defer cancel()
	go func() {
		// The gateway sends nothing more, so a read ends with the connection.
		_, _ = conn.Read(make([]byte, 1))
		cancel()
	}()
	unframed := &unframedWriter{conn: conn, header: w.Header().Clone(), end: endOf(r.URL.Path, turn), breakAt: 1}
	if isStream(r.URL.Path) {
		unframed.breakAt += turn / int(unframedEnds) % minEvents
	}
	b.answer(unframed, r.WithContext(ctx), forwarded, 0)
	b.fleet.check.endedUnframed(forwarded.Request, unframed.finish(ctx))
}

// unframedWriter writes an answer to a connection and breaks it off if end isn't endsWhole.
type unframedWriter struct {
	conn   net.Conn
	header http.Header
	end    unframedEnd
	// breakAt is the number of the write that is broken off, and writes the number of writes so far.
	breakAt, writes int
	headSent        bool
	failed          error
}

var errBrokenOff = errors.New("the answer is broken off here")

func (u *unframedWriter) Header() http.Header { return u.header }

func (u *unframedWriter) WriteHeader(status int) {
	u.headSent = true
	if _, u.failed = fmt.Fprintf(u.conn, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status)); u.failed != nil {
		return
	}
	if u.failed = u.header.Write(u.conn); u.failed == nil {
		_, u.failed = u.conn.Write([]byte("\r\n"))
	}
}

func (u *unframedWriter) Write(text []byte) (int, error) {
	if !u.headSent {
		u.WriteHeader(http.StatusOK)
	}
	if u.failed != nil {
		return 0, u.failed
	}
	if u.writes++; u.end != endsWhole && u.writes == u.breakAt {
		count, _ := u.conn.Write(text[:len(text)/2])
		u.failed = errBrokenOff
		return count, u.failed
	}
	var count int
	count, u.failed = u.conn.Write(text)
	return count, u.failed
}

// FlushError implements the interface that http.ResponseController uses. Nothing is buffered.
func (u *unframedWriter) FlushError() error { return u.failed }

// finish ends the connection and returns how the answer ended. An answer that had fewer parts than breakAt
// is whole.
func (u *unframedWriter) finish(ctx context.Context) unframedEnd {
	broken := errors.Is(u.failed, errBrokenOff)
	connected := ctx.Err() == nil
	if broken && u.end == endsByReset {
		resetConn(u.conn)
	} else {
		_ = u.conn.Close()
	}
	switch {
	case broken:
		return u.end
	case u.failed == nil && u.writes > 0 && connected:
		return endsWhole
	default:
		return endsUnsent
	}
}

// endedUnframed records how an answer ended that had neither a length nor chunks.
func (c *checker) endedUnframed(request string, end unframedEnd) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.unframed[request] = append(c.unframed[request], end)
}

// brokenOff returns whether a back end broke off an answer to the request, which the caller may notice.
func (c *checker) brokenOff(s sentRequest) bool {
	return slices.ContainsFunc(c.unframed[s.request], func(end unframedEnd) bool { return end == endsWithinEvent || end == endsByReset })
}

// judgeUnframed checks that a whole answer that ended with its connection was passed on whole. Gateways and back
// ends are undisturbed.
func (c *checker) judgeUnframed(s sentRequest, r reply) {
	served := r.status == http.StatusOK && r.whole
	if slices.Contains(c.unframed[s.request], endsWhole) && !served {
		c.failLocked(PromiseUnframed, "%s%s was answered whole and got status %d, whole %t, from %s: %s", s.prefix, s.request, r.status, r.whole, s.gateway, r.cause)
	}
}
