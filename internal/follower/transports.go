package follower

import (
	"context"
	"net/http"
)

// Transport sends calls to the store on a pool of connections.
type Transport interface {
	http.RoundTripper
	// CloseIdleConnections closes the connections that carry no call.
	CloseIdleConnections()
}

// Transports keeps the connections of watches separate from those of plain calls. A watch that
// waits on a silent connection is detected by a plain call that times out on a connection of the
// same age. If watches occupied the pooled connections, plain calls would use new connections and
// wouldn't detect anything.
type Transports struct {
	Plain   Transport
	Watches Transport
}

// RoundTrip implements http.RoundTripper.
func (t Transports) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.Context().Value(watchKey{}) != nil {
		return t.Watches.RoundTrip(request)
	}
	return t.Plain.RoundTrip(request)
}

// CloseIdleConnections implements Transport.
func (t Transports) CloseIdleConnections() {
	t.Plain.CloseIdleConnections()
	t.Watches.CloseIdleConnections()
}

// watchKey marks the context of a watch.
type watchKey struct{}

// asWatch returns a context that marks a call as a watch for Transports.
func asWatch(ctx context.Context) context.Context {
	return context.WithValue(ctx, watchKey{}, true)
}
