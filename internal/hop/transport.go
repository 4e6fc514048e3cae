package hop

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Protocol is the HTTP version between two nodes.
type Protocol string

// The supported protocols, all without encryption.
const (
	// HTTP1 uses one connection for each request in flight.
	HTTP1 Protocol = "http1"
	// HTTP2 sends all requests between two nodes over one connection.
	HTTP2 Protocol = "http2"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialError is a failure to connect: nothing of the request was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "connect: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// NothingSent reports whether a transport error means that no part of the request left
// this process.
func NothingSent(err error) bool {
	var failed *dialError
	return errors.As(err, &failed)
}

// MaxHeadBytes is the maximum size of the head of a request or an answer, and of all informational answers
// before it. Hundreds of heads that never end must fit into the memory of a small machine.
const MaxHeadBytes = 64 << 10

const (
	dialTimeout = time.Second
	idleTimeout = 90 * time.Second
	idlePerHost = 64
	// http2PingAfter is how long an HTTP/2 connection may receive nothing before a ping is
	// sent. If the ping isn't answered within http2PingWithin, the connection is closed.
	http2PingAfter  = 2 * time.Second
	http2PingWithin = 2 * time.Second
)

// keepAlive detects within eight seconds a peer that has become unreachable without
// closing the connection, while a request waits for its answer.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: 2 * time.Second, Count: 3}

// TransportConfig configures a transport to agents or back ends.
type TransportConfig struct {
	// Protocol is the HTTP version.
	Protocol Protocol
	// Dial opens connections; nil uses TCP.
	Dial DialFunc
}

// NewTransport returns a transport for requests made with NewRequest. Together they never
// send a request twice: if a reused connection turns out to be dead, http.Transport
// replays a request on its own, but only one that has no body or a body that it can
// rewind; see oneShotBody.
func NewTransport(config TransportConfig) *Transport {
	dial := config.Dial
	if dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
		dial = dialer.DialContext
	}
	dial = dialConn(dial)
	protocols := &http.Protocols{}
	protocols.SetHTTP1(config.Protocol != HTTP2)
	protocols.SetUnencryptedHTTP2(config.Protocol == HTTP2)
	return &Transport{&http.Transport{
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

		MaxResponseHeaderBytes: MaxHeadBytes,

		HTTP2: &http.HTTP2Config{SendPingTimeout: http2PingAfter, PingTimeout: http2PingWithin},
	}}
}

// oneShotBody is a request body that can't be sent again. http.Transport replays a
// request only if its body is nil or http.NoBody, or if it has GetBody. A oneShotBody is
// neither nil nor http.NoBody, and its request has no GetBody.
type oneShotBody struct{ io.ReadCloser }

// NewRequest returns a request that http.Transport doesn't replay. The body may be nil.
// The caller sets the headers. Idempotency-Key and X-Idempotency-Key make http.Transport
// treat a request of any method as idempotent, and replay it if the body can be sent
// again. CopyHeaders drops these headers. CopyEndToEnd keeps them; only the oneShotBody
// prevents the replay then.
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
	// directDialTimeout bounds the opening of a connection directly to a back end. A
	// machine that has gone doesn't answer at all, and another back end can be tried.
	directDialTimeout = 250 * time.Millisecond
	// directIdleTimeout is shorter than the time for which back ends keep idle
	// connections, so that a request is rarely sent on one that is being closed.
	directIdleTimeout = 3 * time.Second
	// unacknowledgedLimit is how long sent bytes may remain unacknowledged before the
	// kernel closes the connection.
	unacknowledgedLimit = 1200 * time.Millisecond
)

// NewDirectTransport returns a transport to back ends without an agent. If reuse is set,
// connections are kept for further requests. A nil dial uses TCP.
func NewDirectTransport(dial DialFunc, reuse bool) *Transport {
	if dial == nil {
		dialer := &net.Dialer{Timeout: directDialTimeout, KeepAliveConfig: keepAlive, Control: limitUnacknowledged}
		dial = dialer.DialContext
	}
	transport := NewTransport(TransportConfig{Protocol: HTTP1, Dial: dial})
	transport.DisableKeepAlives = !reuse
	transport.IdleConnTimeout = directIdleTimeout
	return transport
}
