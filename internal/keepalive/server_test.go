package keepalive

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/clock"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/pipenet"
)

const serverAddress = "10.0.0.1:1"

// testServer answers requests on connections that it closes when they have been idle for idleTime.
type testServer struct {
	// header is added to the head of each answer, as lines that end with CRLF.
	header string
	// idleTime is 0 if idle connections stay open.
	idleTime time.Duration
	// answer writes the answer, or returns false to close the connection; nil writes "ok" at once.
	answer func(conn net.Conn, number int64) bool

	// connections and requests count what carried requests and was read, except for proofs; closedFirst
	// counts the connections that the server closed because they were idle.
	connections, requests, closedFirst atomic.Int64

	mutex sync.Mutex
	open  []net.Conn
}

// close closes all connections.
func (s *testServer) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, conn := range s.open {
		_ = conn.Close()
	}
}

// serve accepts connections until the listener is closed.
func (s *testServer) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mutex.Lock()
		s.open = append(s.open, conn)
		s.mutex.Unlock()
		go s.serveConn(conn)
	}
}

func (s *testServer) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
				s.closedFirst.Add(1)
			}
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path == proofPath {
			writeProofs(conn)
			return
		}
		if number == 0 {
			s.connections.Add(1)
		}
		answer := s.answer
		if answer == nil {
			answer = func(conn net.Conn, _ int64) bool { return s.write(conn, "ok") }
		}
		if !answer(conn, s.requests.Add(1)) {
			return
		}
		if s.idleTime > 0 {
			_ = conn.SetReadDeadline(time.Now().Add(s.idleTime))
		}
	}
}

// proofPath is the path of requests whose answer is a byte every 100 ms, without an end.
const proofPath = "/proof"

func writeProofs(conn net.Conn) {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
	for err == nil {
		time.Sleep(100 * time.Millisecond)
		_, err = io.WriteString(conn, "x")
	}
}

// startProof opens a connection of the transport, not from its pool, on which the server shows that it
// isn't silent until stop is called.
func startProof(t *testing.T, transport *Transport) (stop func()) {
	t.Helper()
	opened, err := transport.inner.DialContext(t.Context(), "tcp", serverAddress)
	if err != nil {
		t.Fatal(err)
	}
	(&exchange{transport: transport}).assign(opened)
	if _, err := fmt.Fprintf(opened, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", proofPath, serverAddress); err != nil {
		t.Fatal(err)
	}
	read := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, opened)
		close(read)
	}()
	return func() {
		_ = opened.Close()
		<-read
	}
}

// write writes an answer at once.
func (s *testServer) write(conn net.Conn, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", s.header, len(body), body)
	return err == nil
}

// startPipe starts the server on a network in memory, and returns a transport to it.
func startPipe(t *testing.T, server *testServer, lag time.Duration) (*Transport, *pipenet.Network) {
	t.Helper()
	network := pipenet.New()
	listener, err := network.Listen("pipe", serverAddress)
	if err != nil {
		t.Fatal(err)
	}
	go server.serve(listener)
	transport := New(hop.NewDirectTransport(network.Dial, true), nil, func() time.Duration { return lag })
	t.Cleanup(func() {
		_ = listener.Close()
		server.close()
		transport.CloseIdleConnections()
		time.Sleep(200 * time.Millisecond) // virtual time, until writeProofs has ended
	})
	return transport, network
}

// startTCP starts the server on loopback, and returns its address and a transport to it that
// measures time by the clock.
func startTCP(t testing.TB, server *testServer, clock *clock.Clock) (string, *Transport) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.serve(listener)
	transport := New(hop.NewDirectTransport(nil, true), clock, noLag)
	t.Cleanup(func() {
		_ = listener.Close()
		server.close()
		transport.CloseIdleConnections()
	})
	return listener.Addr().String(), transport
}

func noLag() time.Duration { return 0 }

// sendAgain sends like send, and sends again what was not sent, as the gateway does.
func sendAgain(ctx context.Context, transport *Transport, address string) error {
	err := send(ctx, transport, address)
	for errors.Is(err, ErrNotSent) {
		err = send(ctx, transport, address)
	}
	return err
}

// send sends a request that net/http doesn't replay, and reads the answer.
func send(ctx context.Context, transport *Transport, address string) error {
	request, err := hop.NewRequest(ctx, http.MethodPost, "http://"+address, io.NopCloser(strings.NewReader("x")), 1)
	if err != nil {
		return err
	}
	return roundTrip(transport, request)
}

func roundTrip(transport *Transport, request *http.Request) error {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
