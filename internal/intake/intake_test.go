package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/pipenet"
)

const testAddress = "server:1"

// testServer is a server of net/http behind an Intake. Requests for /wait are answered when release is closed.
type testServer struct {
	t        *testing.T
	network  *pipenet.Network
	intake   *Intake
	listener *Listener
	limits   atomic.Pointer[Limits]
	release  chan struct{}
}

// withServer runs a test on the virtual clock.
func withServer(t *testing.T, config Config, maxConnections int, test func(is *is.I, s *testServer)) {
	bubble.Test(t, func(t *testing.T) {
		s := &testServer{t: t, network: pipenet.New(), intake: New(config), release: make(chan struct{})}
		s.limits.Store(&Limits{HeadBytes: 64 << 10, HeadTimeout: 5 * time.Second, IdleTimeout: 60 * time.Second})
		inner, err := s.network.Listen("pipe", testAddress)
		is := is.New(t)
		is.NoErr(err)
		s.listener = s.intake.Listener(inner, ListenerConfig{Name: "callers", MaxConnections: maxConnections, Limits: func() Limits { return *s.limits.Load() }})
		server := &http.Server{MaxHeaderBytes: MaxHeadBytes, ConnState: s.intake.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				<-s.release
			}
			_, _ = io.WriteString(w, "answer")
		})}
		go func() { _ = server.Serve(s.listener) }()
		done := make(chan struct{})
		go s.intake.Run(done)
		test(is, s)
		close(done)
		is.NoErr(server.Close())
	})
}

// testClient is one client's connection.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial() *testClient {
	s.t.Helper()
	connection, err := s.network.Dial(context.Background(), "pipe", testAddress)
	is.New(s.t).NoErr(err)
	s.t.Cleanup(func() { _ = connection.Close() })
	return &testClient{connection, bufio.NewReader(connection)}
}

// send sends text in the background, since a pipe has no buffer.
func (c *testClient) send(text string) {
	go func() { _, _ = io.WriteString(c.Conn, text) }()
	synctest.Wait()
}

// status reads an answer and returns its status, or 0 if the connection ended.
func (c *testClient) status() int {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (c *testClient) get(path string) int {
	c.send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")
	return c.status()
}

// hasEnded reports whether the server has ended the connection.
func (c *testClient) hasEnded() bool {
	ended := make(chan bool, 1)
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	go func() {
		_, err := c.reader.Peek(1)
		netError, isNetError := err.(net.Error)
		ended <- err != nil && !(isNetError && netError.Timeout())
	}()
	result := <-ended
	_ = c.SetReadDeadline(time.Time{})
	return result
}

func TestRestingConnectionsEndAfterTheIdleTimeout(t *testing.T) {
	withServer(t, Config{}, 100, func(is *is.I, s *testServer) {
		client := s.dial()
		is.Equal(client.get("/"), http.StatusOK)
		time.Sleep(59 * time.Second)
		is.Equal(client.get("/"), http.StatusOK)
		time.Sleep(60*time.Second + 2*SweepPeriod)
		is.True(client.hasEnded())
		is.Equal(s.intake.Status().Listeners[0].Ended[Idle], uint64(1))
	})
}

// Guards against limits that apply only to connections opened after a change of the configuration.
func TestChangedLimitsApplyToOpenConnections(t *testing.T) {
	withServer(t, Config{}, 100, func(is *is.I, s *testServer) {
		client, slow := s.dial(), s.dial()
		is.Equal(client.get("/"), http.StatusOK)
		is.Equal(slow.get("/"), http.StatusOK)
		s.limits.Store(&Limits{HeadBytes: 100, HeadTimeout: 20 * time.Second, IdleTimeout: 10 * time.Second})
		slow.send("GET / HTTP/1.1\r\n")
		time.Sleep(12 * time.Second)
		is.True(client.hasEnded())
		is.True(!slow.hasEnded())
		slow.send("Host: h\r\nA: " + strings.Repeat("a", readAhead+100) + "\r\n\r\n")
		is.Equal(slow.status(), http.StatusRequestHeaderFieldsTooLarge)
	})
}

func TestSlowHeadsEnd(t *testing.T) {
	withServer(t, Config{}, 100, func(is *is.I, s *testServer) {
		silent, begun := s.dial(), s.dial()
		is.Equal(begun.get("/"), http.StatusOK)
		time.Sleep(30 * time.Second)
		is.True(silent.hasEnded())
		begun.send("GET / HTTP/1.1\r\n")
		for range 4 {
			time.Sleep(time.Second)
			begun.send("A: b\r\n")
		}
		is.True(!begun.hasEnded())
		time.Sleep(time.Second + 2*SweepPeriod)
		is.True(begun.hasEnded())
		is.Equal(s.intake.Status().Listeners[0].Ended[SlowHead], uint64(2))
	})
}

// Guards against an end of connections whose requests are being handled.
func TestRequestsUnderWayAreLeftAlone(t *testing.T) {
	withServer(t, Config{}, 16, func(is *is.I, s *testServer) {
		var clients []*testClient
		for range 16 {
			client := s.dial()
			client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
			clients = append(clients, client)
		}
		time.Sleep(time.Hour)
		served := 0
		close(s.release)
		for _, each := range clients {
			if each.status() == http.StatusOK {
				served++
			}
		}
		status := s.intake.Status().Listeners[0]
		is.Equal(served, 14) // the reserve isn't for the address that has all the others
		is.Equal(status.Ended, map[Reason]uint64{Full: 2})
	})
}

// Guards against connections that rest, or never send anything, keeping new ones out.
func TestCrowdsMakeRoom(t *testing.T) {
	for name, first := range map[string]string{"resting": "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "part of a head": "GET / HTTP/1.1\r\n", "silent": ""} {
		t.Run(name, func(t *testing.T) {
			withServer(t, Config{}, 64, func(is *is.I, s *testServer) {
				for range 200 {
					client := s.dial()
					client.send(first)
					if name == "resting" {
						client.status()
					}
					is.True(s.intake.Status().Listeners[0].Open <= 64)
				}
				time.Sleep(minHeadTime)
				is.Equal(s.dial().get("/"), http.StatusOK)
				is.True(s.intake.Status().Listeners[0].Ended[MadeRoom] > 0)
			})
		})
	}
}

func TestLongestRestEndsFirst(t *testing.T) {
	withServer(t, Config{}, 16, func(is *is.I, s *testServer) {
		var clients []*testClient
		for range 14 {
			client := s.dial()
			is.Equal(client.get("/"), http.StatusOK)
			clients = append(clients, client)
			time.Sleep(time.Second)
		}
		is.Equal(clients[0].get("/"), http.StatusOK)
		is.Equal(s.dial().get("/"), http.StatusOK)
		is.True(!clients[0].hasEnded())
		is.True(clients[1].hasEnded())
		is.True(!clients[2].hasEnded())
	})
}

// Guards against heads of many fields that together take more memory than there is, and against a refusal of a single one.
func TestHeadMemoryIsBounded(t *testing.T) {
	const fields = 1000
	withServer(t, Config{HeadMemory: 2 * fields * fieldBytes}, 100, func(is *is.I, s *testServer) {
		var head strings.Builder
		head.WriteString("GET /wait HTTP/1.1\r\nHost: h\r\n")
		for each := range 3 * fields {
			fmt.Fprintf(&head, "x%d:\r\n", each)
		}
		first, second := s.dial(), s.dial()
		first.send(head.String() + "\r\n")
		is.True(s.intake.Status().HeadBytes > 2*fields*fieldBytes) // a single head may take more
		second.send(head.String() + "\r\n")
		is.Equal(second.status(), http.StatusServiceUnavailable)
		is.Equal(s.dial().get("/"), http.StatusOK) // an ordinary head needs none of it
		close(s.release)
		is.Equal(first.status(), http.StatusOK)
		synctest.Wait()
		is.Equal(s.intake.Status().HeadBytes, int64(0))
	})
}
