package draining

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bubble"
)

// Connections that clients opened before the listener closes are still accepted.
func TestBacklogIsAcceptedAfterClose(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := New().Listener(inner)
	const clients = 3
	for range clients {
		client, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		defer client.Close()
		_, err = io.WriteString(client, "GET")
		is.NoErr(err)
	}
	is.NoErr(listener.Close())
	for range clients {
		server, err := listener.Accept()
		is.NoErr(err)
		first := make([]byte, 3)
		_, err = io.ReadFull(server, first)
		is.NoErr(err)
		is.Equal(string(first), "GET")
		is.NoErr(server.Close())
	}
	_, err = listener.Accept()
	is.Equal(err, net.ErrClosed)
	_, err = net.Dial("tcp", inner.Addr().String())
	is.True(err != nil)
}

// The listener is closed before the server has accepted the connection of a request.
func TestServerAnswersBackloggedRequestAfterClose(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	client, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer client.Close()
	_, err = io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	connections := New()
	server := &http.Server{ConnState: connections.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })}
	listener := connections.Listener(inner)
	is.NoErr(listener.Close()) // as Shutdown does, before any connection was accepted
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	text, err := io.ReadAll(client)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(text), "answer"))
	is.Equal(<-served, net.ErrClosed)
	is.NoErr(connections.Shutdown(context.Background(), server))
}

// endlessListener always has a further connection, as one to which callers connect faster than it accepts.
type endlessListener struct{ closed bool }

func (l *endlessListener) Accept() (net.Conn, error) {
	time.Sleep(time.Millisecond)
	ours, theirs := net.Pipe()
	return ours, theirs.Close()
}
func (l *endlessListener) Close() error                { l.closed = true; return nil }
func (l *endlessListener) Addr() net.Addr              { return &net.TCPAddr{} }
func (l *endlessListener) SetDeadline(time.Time) error { return nil }

// Guards against a stop that accepts new connections until it is killed.
func TestBacklogThatNeverEndsDoesNotHoldTheShutdown(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		inner := &endlessListener{}
		began := time.Now()
		is.New(t).NoErr(New().Listener(inner).Close())
		is.New(t).True(inner.closed && time.Since(began) < time.Second)
	})
}
