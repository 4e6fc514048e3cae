package follower

import (
	"context"
	"net/http"
)

// Transport carries calls to the store on connections that it keeps.
type Transport interface {
	http.RoundTripper
	// CloseIdleConnections closes those that carry no call.
	CloseIdleConnections()
}

// Transports keeps the connections of watches apart from those of plain calls. A watch that
// waits on a connection which has fallen silent is found by a plain call that gets no answer on
// one of the same age: were watches to take the kept connections, plain calls would go on new
// ones, and show nothing.
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

// asWatch marks a call as a watch, for Transports.
func asWatch(ctx context.Context) context.Context {
	return context.WithValue(ctx, watchKey{}, true)
}
