package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// dyingServer answers the first request on each connection, and closes the connection
// after it has read the second one, without an answer. To the client, a reused connection
// turns out to be dead. It counts the requests that it has read.
type dyingServer struct {
	listener net.Listener
	requests atomic.Int64
}

func startDyingServer(t *testing.T) *dyingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &dyingServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn)
		}
	}()
	return server
}

func (s *dyingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for answered := 0; ; answered++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests.Add(1)
		if answered > 0 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

func roundTrip(transport http.RoundTripper, request *http.Request) error {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// TestPlainTransportReplays shows that http.Transport on its own replays a request that has
// an Idempotency-Key and a body that it can rewind; NewRequest and CopyHeaders prevent this.
// If the test fails, the standard library has changed and they can be simpler.
func TestPlainTransportReplays(t *testing.T) {
	is := is.New(t)
	server := startDyingServer(t)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for range 2 {
		request, err := http.NewRequest(http.MethodPost, "http://"+server.listener.Addr().String(), strings.NewReader("x"))
		is.NoErr(err)
		request.Header.Set("Idempotency-Key", "k")
		is.NoErr(roundTrip(transport, request)) // the second one succeeds because it is replayed
	}
	is.Equal(server.requests.Load(), int64(3))
}

func TestHopNeverReplays(t *testing.T) {
	cases := map[string]struct {
		method string
		body   io.ReadCloser
		length int64
	}{
		"post with a body": {http.MethodPost, io.NopCloser(strings.NewReader("x")), 1},
		"post without":     {http.MethodPost, nil, 0},
		"get":              {http.MethodGet, nil, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startDyingServer(t)
			transport := NewTransport(TransportConfig{Protocol: HTTP1})
			defer transport.CloseIdleConnections()
			url := "http://" + server.listener.Addr().String()
			first, err := NewRequest(context.Background(), http.MethodGet, url, nil, 0)
			is.NoErr(err)
			is.NoErr(roundTrip(transport, first))
			second, err := NewRequest(context.Background(), c.method, url, c.body, c.length)
			is.NoErr(err)
			CopyHeaders(second.Header, http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}})
			err = roundTrip(transport, second)
			is.True(err != nil)        // the lost connection is reported, not hidden
			is.True(!NothingSent(err)) // and the request may have run
			is.Equal(server.requests.Load(), int64(2))
		})
	}
}

func TestNothingSentOnlyWhenNotConnected(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	for _, protocol := range []Protocol{HTTP1, HTTP2} {
		transport := NewTransport(TransportConfig{Protocol: protocol})
		request, err := NewRequest(context.Background(), http.MethodPost, "http://"+address, nil, 0)
		is.NoErr(err)
		is.True(NothingSent(roundTrip(transport, request)))
	}
}
