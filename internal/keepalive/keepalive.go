// Package keepalive sends requests that may not be repeated on persistent connections, while that
// is safe.
//
// A back end may close an idle connection at any time. If it does so while a request is on its way,
// the sender can't tell whether the request ran, and may not repeat it. So a persistent connection
// carries such a request only if all of the following hold:
//
//   - Its last answer was read completely, didn't say Connection: close, and stated with
//     Keep-Alive: timeout=N for how long the back end keeps the connection.
//   - The back end finished that answer less than N minus a margin ago. The margin covers the
//     rounding of N, the way of the answer and of the request, and the lag of this process. When the
//     back end finished isn't known: the earliest possible time is used; see conn.finishedAfter.
//   - That was also less than maxIdle ago, and something has arrived from the back end within
//     maxUnproven, on this connection or on one that is at least as old: connections may have gone
//     silent without a reset, all of them or those to one machine. A new connection isn't at risk:
//     if the back end is silent, it can't be opened, and nothing is sent.
//   - The socket has no unread input. Before a request, input can only be the end of the connection
//     or an error. This detects a back end that closed early, once the end has arrived here.
//
// The check is made by the connection itself, immediately before the first byte of a request is
// written. At most one connection ever accepts the bytes of a request. If a check fails, nothing of
// the request has been sent, the connection is closed, and RoundTrip returns ErrNotSent: the request
// may then be sent on a new connection. This doesn't depend on how net/http handles errors or on
// what it would replay. Idle connections are closed here when their time is over, so that it is
// normally not the back end that closes them.
//
// These risks remain, and in each of them the request counts as one that may have run:
//
//   - The back end closes earlier than it stated, and the end is still on its way to this process.
//   - The back end doesn't read a request that arrived in time until its own idle timer has fired.
//     It must be stalled for longer than the margin for that.
//   - The connection went silent less than maxUnproven ago, or went silent alone. The same would
//     happen to a request that is waiting for its answer.
//   - This process is stopped between the check and the system call that follows it.
package keepalive

import (
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/clock"
	"github.com/harriernotch/harriernotch/internal/hop"
)

const (
	// maxIdle is how long after its last answer a connection is used at most. The back end may state
	// a longer time, but a path that lost its state in between (a failed-over address translation, a
	// replaced machine) is noticed only by sending.
	maxIdle = 3 * time.Second
	// maxUnproven is the longest silence of a back end after which its connections are still used. The
	// events of a stream from a busy engine come up to 0.3 s apart.
	maxUnproven = 500 * time.Millisecond
	// roundingMargin is the most by which a back end that rounds up to whole seconds states too much.
	roundingMargin = time.Second
	// transferMargin covers the end of the answer, the request, one retransmission of each, which the
	// kernel sends after at least 200 ms, and maxReadPause.
	transferMargin = 500 * time.Millisecond
	// maxUnused is how long a new connection may wait for its first request. Back ends allow several
	// seconds for it, but don't state how many.
	maxUnused = time.Second
)

// ErrNotSent means that nothing of the request was sent, because its connection could no longer be
// used safely. The request may be sent on a new connection.
var ErrNotSent = errors.New("the persistent connection could no longer be used; nothing was sent")

// Transport sends each request at most once, on persistent connections while they are safe and on
// new ones otherwise.
type Transport struct {
	inner *hop.Transport
	clock *clock.Clock
	lag   func() time.Duration

	// mutex protects conns and the state of all connections and exchanges.
	mutex sync.Mutex
	// conns holds the open connections by address.
	conns map[string]map[*conn]bool
}

// New returns a Transport that sends by inner, whose DialContext it replaces by one that calls the
// previous one; nothing else may use inner for requests. lag returns how late this process runs.
func New(inner *hop.Transport, clock *clock.Clock, lag func() time.Duration) *Transport {
	t := &Transport{inner: inner, clock: clock, lag: lag, conns: map[string]map[*conn]bool{}}
	inner.DialContext = t.trackDial(inner.DialContext)
	inner.IdleConnTimeout = maxIdle
	return t
}

// HasIdle reports whether an idle connection to the address exists that may be used. The address has
// the form HOST:PORT.
func (t *Transport) HasIdle(address string) bool {
	lag := t.lag()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for c := range t.conns[address] {
		if c.isIdle && c.isUsable(lag) {
			return true
		}
	}
	return false
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. It returns ErrNotSent only if nothing of the request was
// or will be sent.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	e := &exchange{transport: t}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { e.assign(info.Conn) },
		PutIdleConn: func(err error) {
			if err == nil {
				e.released()
			}
		},
	})
	response, err := t.inner.RoundTrip(request.WithContext(ctx))
	if err != nil {
		if e.abandon() {
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		return nil, err
	}
	e.answered(usableTime(response.Header))
	return response, nil
}

// usableTime returns for how long after an answer the connection may be used again, or 0 if it may
// not. net/http doesn't keep the connection of an answer with Connection: close, nor of one that wasn't
// read completely.
func usableTime(header http.Header) time.Duration {
	return max(0, min(statedTimeout(header)-roundingMargin-transferMargin, maxIdle))
}

// maxStatedSeconds bounds what is read from Keep-Alive, far above any time in use.
const maxStatedSeconds = 24 * 60 * 60

// statedTimeout returns the timeout that the Keep-Alive header states, or 0 if it states none. If it
// states several, the shortest counts; text that isn't a number of seconds counts as 0.
func statedTimeout(header http.Header) time.Duration {
	shortest, found := time.Duration(0), false
	for _, line := range header.Values("Keep-Alive") {
		for _, parameter := range strings.Split(line, ",") {
			name, value, _ := strings.Cut(parameter, "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			seconds, err := strconv.Atoi(strings.Trim(strings.TrimSpace(value), `"`))
			if err != nil || seconds < 0 {
				return 0
			}
			stated := time.Duration(min(seconds, maxStatedSeconds)) * time.Second
			if !found || stated < shortest {
				shortest, found = stated, true
			}
		}
	}
	return shortest
}
