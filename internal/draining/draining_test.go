package draining

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bubble"
)

// connect returns both ends of a loopback connection; the server's end is tracked.
func connect(t *testing.T, connections *Connections) (server *trackedConn, client net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := connections.Listener(listener).Accept()
	is.New(t).NoErr(err)
	return accepted.(*trackedConn), client
}

// waitForUnread returns once bytes are in the connection's socket.
func waitForUnread(connection *trackedConn) {
	for !hasUnread(connection.Conn) {
		runtime.Gosched()
	}
}

func TestConnectionWithUnreadRequestStaysOpen(t *testing.T) {
	is := is.New(t)
	connections := New()
	server, client := connect(t, connections)
	connections.ConnState(server, http.StateIdle)
	_, err := io.WriteString(client, "GET / HTTP/1.1\r\n")
	is.NoErr(err)
	waitForUnread(server)
	for range 3 { // however late the request is read
		is.True(!connections.endIdle())
	}
	first := make([]byte, 3)
	_, err = io.ReadFull(server, first)
	is.NoErr(err)
	is.Equal(string(first), "GET")

	shutdown := make(chan error, 1)
	go func() { shutdown <- connections.Shutdown(context.Background(), &http.Server{}) }()
	connections.ConnState(server, http.StateActive)
	is.NoErr(server.Close()) // the request was answered
	is.NoErr(<-shutdown)
	_, err = server.Read(first)
	is.True(err != nil)
}

// A busy server may have read the first bytes of a request while net/http still
// counts the connection as idle.
func TestConnectionWithPartlyReadRequestStaysOpen(t *testing.T) {
	is := is.New(t)
	connections := New()
	server, client := connect(t, connections)
	connections.ConnState(server, http.StateIdle)
	_, err := io.WriteString(client, "GET")
	is.NoErr(err)
	_, err = io.ReadFull(server, make([]byte, 3))
	is.NoErr(err)
	for range 3 {
		is.True(!connections.endIdle())
	}
	_, err = io.WriteString(client, " / HTTP/1.1\r\n")
	is.NoErr(err)
	_, err = io.ReadFull(server, make([]byte, 3))
	is.NoErr(err)
	_, err = io.WriteString(server, "answer")
	is.NoErr(err)
	connections.ConnState(server, http.StateActive)
	connections.ConnState(server, http.StateIdle)
	_, err = io.ReadFull(server, make([]byte, len("HTTP/1.1\r\n")))
	is.NoErr(err)
	connections.ConnState(server, http.StateActive)
	connections.ConnState(server, http.StateIdle)
	is.True(!connections.endIdle()) // the request was answered, and nothing was read since
	_, err = server.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.NoErr(server.Close()) // as net/http does then
	answer, err := io.ReadAll(client)
	is.NoErr(err)
	is.Equal(string(answer), "answer")
	is.NoErr(connections.Shutdown(context.Background(), &http.Server{}))
}

// Guards against a connection that ends although a request has arrived since it was found idle.
func TestRequestThatArrivesAsItsConnectionEndsIsRead(t *testing.T) {
	is := is.New(t)
	connections := New()
	server, client := connect(t, connections)
	connections.ConnState(server, http.StateIdle)
	connections.endIdle()
	_, err := io.WriteString(client, "GET")
	is.NoErr(err)
	waitForUnread(server)
	first := make([]byte, 3)
	_, err = io.ReadFull(server, first)
	is.NoErr(err)
	is.Equal(string(first), "GET")
	connections.endIdle()
	_, err = io.WriteString(client, " / ")
	is.NoErr(err)
	_, err = io.ReadFull(server, first) // also when the rest comes late
	is.NoErr(err)
}

func TestIdleConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	connections, server, address := startServer(t, http.HandlerFunc(sayAnswer))
	client, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer client.Close()
	sendAndRead(t, client)
	is.NoErr(connections.Shutdown(context.Background(), server))
	_, err = client.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// A connection that is active isn't ended: its request is still answered.
func TestActiveConnectionIsLeftToItsRequest(t *testing.T) {
	is := is.New(t)
	connections := New()
	server, client := connect(t, connections)
	connections.ConnState(server, http.StateActive)
	is.True(!connections.endIdle())
	_, err := io.WriteString(client, "more")
	is.NoErr(err)
	_, err = io.ReadFull(server, make([]byte, 4))
	is.NoErr(err)
	_, err = io.WriteString(client, "more")
	is.NoErr(err)
	waitForUnread(server)
	is.NoErr(server.Close()) // closes even though bytes are waiting
	_, err = server.Read(make([]byte, 1))
	is.True(err != nil)
	is.True(connections.endIdle())
}

func TestServerCloseEndsWhatTheShutdownLeft(t *testing.T) {
	is := is.New(t)
	connections, server, address := startServer(t, http.HandlerFunc(sayAnswer))
	client, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer client.Close()
	_, err = io.WriteString(client, "G")
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	is.Equal(connections.Shutdown(ctx, server), context.DeadlineExceeded)
	is.NoErr(server.Close())
	_, err = client.Read(make([]byte, 1))
	is.True(err != nil)
	for !connections.endIdle() { // until the server's goroutines have ended
		runtime.Gosched()
	}
}

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

// startServer returns a server with a tracked listener on loopback.
func startServer(t *testing.T, handler http.Handler) (*Connections, *http.Server, string) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	connections, server := serveOn(t, inner, handler)
	return connections, server, inner.Addr().String()
}

// serveOn returns a server with a tracked listener over inner.
func serveOn(t *testing.T, inner net.Listener, handler http.Handler) (*Connections, *http.Server) {
	t.Helper()
	connections := New()
	server := &http.Server{Handler: connections.Handler(handler), ConnState: connections.ConnState}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(connections.Listener(inner))
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	return connections, server
}

// answerTimeout is when a test gives up an answer that doesn't come.
const answerTimeout = 10 * time.Second

const shortRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"

// sendAndRead sends a request and reads its whole answer.
func sendAndRead(t *testing.T, client net.Conn) *http.Response {
	t.Helper()
	is := is.New(t)
	_, err := io.WriteString(client, shortRequest)
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	return response
}

// expectAnswerAndEnd reads a whole answer and the end of its connection.
func expectAnswerAndEnd(t *testing.T, client net.Conn) (text string) {
	t.Helper()
	raw, err := io.ReadAll(client)
	if err != nil || !strings.HasPrefix(string(raw), "HTTP/1.1 200") || !strings.HasSuffix(string(raw), "answer") {
		t.Errorf("a request that was read got %q and %v", raw, err)
	}
	return string(raw)
}

func sayAnswer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "answer")
}

// waitUntilAccepted returns once a connection was accepted that hasn't carried a request.
func waitUntilAccepted(connections *Connections) {
	accepted := func() bool {
		connections.mutex.Lock()
		defer connections.mutex.Unlock()
		return len(connections.open) > 0
	}
	for !accepted() {
		runtime.Gosched()
	}
}

// Guards against a server that reads the first request of a connection after the shutdown has begun, and closes the
// connection without an answer.
func TestLateRequestOnANewConnectionIsAnswered(t *testing.T) {
	is := is.New(t)
	connections, server, address := startServer(t, http.HandlerFunc(sayAnswer))
	client, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer client.Close()
	waitUntilAccepted(connections)
	ended := make(chan error, 1)
	go func() { ended <- connections.Shutdown(context.Background(), server) }()
	for connected := true; connected; runtime.Gosched() { // until the listener is closed
		further, err := net.Dial("tcp", address)
		if connected = err == nil; connected {
			_ = further.Close()
		}
	}
	_, err = io.WriteString(client, shortRequest)
	is.NoErr(err)
	is.True(strings.Contains(expectAnswerAndEnd(t, client), "Connection: close"))
	is.NoErr(<-ended)
}

// slowClosingListener closes once its Close may return.
type slowClosingListener struct {
	*net.TCPListener
	closing   chan struct{}
	mayReturn chan struct{}
}

func (l *slowClosingListener) Close() error {
	close(l.closing)
	<-l.mayReturn
	return l.TCPListener.Close()
}

// Guards against an answer beside the closing of the listener that doesn't announce that its connection closes after it.
func TestAnswerBesideTheClosingOfTheListenerAnnouncesTheClose(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := &slowClosingListener{inner.(*net.TCPListener), make(chan struct{}), make(chan struct{})}
	connections, server := serveOn(t, listener, http.HandlerFunc(sayAnswer))
	client, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer client.Close()
	waitUntilAccepted(connections)
	ended := make(chan error, 1)
	go func() { ended <- connections.Shutdown(context.Background(), server) }()
	<-listener.closing
	answer := sendAndRead(t, client)
	close(listener.mayReturn)
	is.True(answer.Close)
	is.NoErr(<-ended)
}

// Guards against requests on kept connections that the server has read, or that are in its sockets, as the shutdown
// begins, and that get no answer.
func TestRequestsBesideTheShutdownAreAnswered(t *testing.T) {
	is := is.New(t)
	connections, server, address := startServer(t, http.HandlerFunc(sayAnswer))
	var clients []net.Conn
	for range 50 {
		client, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer client.Close()
		sendAndRead(t, client)
		clients = append(clients, client)
	}
	for _, client := range clients {
		_, err := io.WriteString(client, shortRequest)
		is.NoErr(err)
	}
	is.NoErr(connections.Shutdown(context.Background(), server))
	for _, client := range clients {
		expectAnswerAndEnd(t, client)
	}
}

// Guards against a caller that isn't told of the close, because its answer began before the shutdown, and whose next
// request on the connection is then dropped.
func TestRequestAfterAnAnswerThatBeganBeforeTheShutdownIsAnswered(t *testing.T) {
	is := is.New(t)
	mayEnd := make(chan struct{})
	connections, server, address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		is.NoErr(http.NewResponseController(w).Flush())
		<-mayEnd
		_, _ = io.WriteString(w, "answer")
	}))
	var clients []net.Conn
	for range 50 {
		client, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer client.Close()
		_, err = io.WriteString(client, shortRequest)
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		is.NoErr(err)
		is.True(!response.Close)
		clients = append(clients, client)
	}
	ended := make(chan error, 1)
	go func() { ended <- connections.Shutdown(context.Background(), server) }()
	for !connections.isClosing.Load() {
		runtime.Gosched()
	}
	for _, client := range clients { // the next request is there as the answer ends
		_, err := io.WriteString(client, shortRequest)
		is.NoErr(err)
	}
	close(mayEnd)
	for _, client := range clients {
		is.NoErr(client.SetReadDeadline(time.Now().Add(answerTimeout)))
		raw, err := io.ReadAll(client)
		is.NoErr(err)
		is.Equal(strings.Count(string(raw), "HTTP/1.1 200"), 1) // of the second answer
		is.True(strings.Contains(string(raw), "Connection: close"))
	}
	is.NoErr(<-ended)
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
