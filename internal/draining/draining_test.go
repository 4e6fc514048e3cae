package draining

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// pair returns both ends of a connection on loopback, the near one watched.
func pair(t *testing.T, connections *Connections) (near *conn, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer listener.Close()
	far, err = net.Dial("tcp", listener.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = far.Close() })
	accepted, err := connections.Listener(listener).Accept()
	is.New(t).NoErr(err)
	return accepted.(*conn), far
}

func TestWaitingRequestIsNotClosedAway(t *testing.T) {
	is := is.New(t)
	connections := New()
	near, far := pair(t, connections)
	connections.ConnState(near, http.StateIdle)
	_, err := io.WriteString(far, "GET / HTTP/1.1\r\n")
	is.NoErr(err)
	for !hasUnread(near.Conn) {
		runtime.Gosched()
	}
	is.NoErr(near.Close()) // spared
	first := make([]byte, 3)
	_, err = io.ReadFull(near, first)
	is.NoErr(err)
	is.Equal(string(first), "GET")

	ended := make(chan error, 1)
	go func() { ended <- connections.Shutdown(context.Background(), &http.Server{}) }()
	connections.ConnState(near, http.StateActive)
	is.NoErr(near.Close()) // answered
	is.NoErr(<-ended)
	_, err = near.Read(first)
	is.True(err != nil)
}

// A server that runs late has read a request's first bytes, and still counts the connection
// as resting.
func TestRequestThatWasReadIsNotClosedAway(t *testing.T) {
	is := is.New(t)
	connections := New()
	near, far := pair(t, connections)
	connections.ConnState(near, http.StateIdle)
	_, err := io.WriteString(far, "GET")
	is.NoErr(err)
	_, err = io.ReadFull(near, make([]byte, 3))
	is.NoErr(err)
	is.NoErr(near.Close()) // spared
	_, err = io.WriteString(near, "answer")
	is.NoErr(err)
	connections.ConnState(near, http.StateActive)
	connections.ConnState(near, http.StateIdle)
	is.NoErr(near.Close()) // answered, and nothing read since
	_, err = io.ReadAll(far)
	is.NoErr(err)
	is.NoErr(connections.Shutdown(context.Background(), &http.Server{}))
}

func TestRestingConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	connections := New()
	near, far := pair(t, connections)
	connections.ConnState(near, http.StateIdle)
	is.NoErr(near.Close())
	_, err := far.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.NoErr(connections.Shutdown(context.Background(), &http.Server{}))
}

// TestWorkingConnectionIsClosed: what the server closes by its own decision isn't
// spared, whatever waits in it.
func TestWorkingConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	connections := New()
	near, far := pair(t, connections)
	connections.ConnState(near, http.StateActive)
	_, err := io.WriteString(far, "more")
	is.NoErr(err)
	for !hasUnread(near.Conn) {
		runtime.Gosched()
	}
	is.NoErr(near.Close())
	_, err = near.Read(make([]byte, 1))
	is.True(err != nil)
}

func TestSparedConnectionEndsWithTheContext(t *testing.T) {
	is := is.New(t)
	connections := New()
	near, far := pair(t, connections)
	connections.ConnState(near, http.StateIdle)
	_, err := io.WriteString(far, "x")
	is.NoErr(err)
	for !hasUnread(near.Conn) {
		runtime.Gosched()
	}
	is.NoErr(near.Close())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(connections.Shutdown(ctx, &http.Server{}), context.Canceled)
	connections.Close()
	_, err = near.Read(make([]byte, 1))
	is.True(err != nil)
}

// TestConnectionsThatWaitAreStillAccepted: what callers have opened before the
// listener closes is served.
func TestConnectionsThatWaitAreStillAccepted(t *testing.T) {
	is := is.New(t)
	own, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := New().Listener(own)
	const callers = 3
	for range callers {
		far, err := net.Dial("tcp", own.Addr().String())
		is.NoErr(err)
		defer far.Close()
		_, err = io.WriteString(far, "GET")
		is.NoErr(err)
	}
	is.NoErr(listener.Close())
	for range callers {
		near, err := listener.Accept()
		is.NoErr(err)
		first := make([]byte, 3)
		_, err = io.ReadFull(near, first)
		is.NoErr(err)
		is.Equal(string(first), "GET")
		is.NoErr(near.Close())
	}
	_, err = listener.Accept()
	is.Equal(err, net.ErrClosed)
	_, err = net.Dial("tcp", own.Addr().String())
	is.True(err != nil)
}

// TestServerAnswersWhatWaitedAtItsEnd stops a server whose reader has not yet seen
// any of the requests that wait.
func TestServerAnswersWhatWaitedAtItsEnd(t *testing.T) {
	is := is.New(t)
	own, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	far, err := net.Dial("tcp", own.Addr().String())
	is.NoErr(err)
	defer far.Close()
	_, err = io.WriteString(far, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	connections := New()
	server := &http.Server{ConnState: connections.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })}
	listener := connections.Listener(own)
	is.NoErr(listener.Close()) // as Shutdown does, before anything was accepted
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	text, err := io.ReadAll(far)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(text), "answer"))
	is.Equal(<-served, net.ErrClosed)
	is.NoErr(connections.Shutdown(context.Background(), server))
}
