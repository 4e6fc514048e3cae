package draining

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
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
