package hop

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Protocol is the HTTP version of a hop.
type Protocol string

// The protocols of a hop, all without encryption.
const (
	// HTTP1 uses one connection for each request under way.
	HTTP1 Protocol = "http1"
	// HTTP2 carries all requests between two nodes on one connection.
	HTTP2 Protocol = "http2"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialError marks a failure to connect: nothing of the request was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "connect: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// NothingSent tells whether a transport error means that no part of the
// request left this process.
func NothingSent(err error) bool {
	var failed *dialError
	return errors.As(err, &failed)
}

const (
	dialTimeout     = time.Second
	idleTimeout     = 90 * time.Second
	idlePerHost     = 64
	http2PingAfter  = 2 * time.Second
	http2PingWithin = 2 * time.Second
)

// keepAlive finds a peer that vanished without a word within eight seconds,
// while a request waits for its answer.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: 2 * time.Second, Count: 3}

// TransportConfig sets up a transport to agents or back ends.
type TransportConfig struct {
	// Protocol is the HTTP version.
	Protocol Protocol
	// Dial opens connections; nil uses TCP.
	Dial DialFunc
}

// NewTransport returns a transport for requests made with NewRequest. Together
// they never send a request twice: http.Transport replays one by itself, on a
// reused connection that turns out dead, only if the request has no body or a
// body it can rewind; see oneShotBody.
func NewTransport(config TransportConfig) *http.Transport {
	dial := config.Dial
	if dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
		dial = dialer.DialContext
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(config.Protocol != HTTP2)
	protocols.SetUnencryptedHTTP2(config.Protocol == HTTP2)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, &dialError{cause: err}
			}
			return conn, nil
		},
		Protocols:           protocols,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: http2PingAfter, PingTimeout: http2PingWithin},
	}
}

// oneShotBody is a request body that can't be sent again. It is never nil and
// never http.NoBody, and the request that carries it has no GetBody, which
// takes from http.Transport every ground for a replay.
type oneShotBody struct{ io.ReadCloser }

// NewRequest returns a request that http.Transport will not replay. The body
// may be nil. Headers are left to the caller, who must not set Idempotency-Key
// or X-Idempotency-Key: they too allow a replay.
func NewRequest(ctx context.Context, method, url string, body io.ReadCloser, length int64) (*http.Request, error) {
	if body == nil {
		body = http.NoBody
		length = 0
	}
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	request.Body = oneShotBody{body}
	request.GetBody = nil
	request.ContentLength = length
	return request, nil
}

const (
	// directDialTimeout bounds a connection straight to a back end: a machine that
	// is gone answers nothing, and another back end can be tried.
	directDialTimeout = 250 * time.Millisecond
	// directIdleTimeout is shorter than back ends keep idle connections, so that a
	// request seldom meets one that is being closed.
	directIdleTimeout = 3 * time.Second
	// unacknowledgedLimit is how long sent bytes may go unacknowledged before the
	// connection counts as dead.
	unacknowledgedLimit = 1200 * time.Millisecond
)

// NewDirectTransport returns a transport to back ends without an agent. reuse
// keeps connections for further requests. A nil dial uses TCP.
func NewDirectTransport(dial DialFunc, reuse bool) *http.Transport {
	if dial == nil {
		dialer := &net.Dialer{Timeout: directDialTimeout, KeepAliveConfig: keepAlive, Control: limitUnacknowledged}
		dial = dialer.DialContext
	}
	transport := NewTransport(TransportConfig{Protocol: HTTP1, Dial: dial})
	transport.DisableKeepAlives = !reuse
	transport.IdleConnTimeout = directIdleTimeout
	return transport
}
