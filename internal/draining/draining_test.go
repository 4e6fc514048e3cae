package draining

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

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
	listener := connections.Listener(inner) // before the goroutine: a shutdown closes only the listeners that it knows
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
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

// An answer that began before the shutdown doesn't announce the close of its connection. Guards against a server that
// drops the next request on that connection.
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
