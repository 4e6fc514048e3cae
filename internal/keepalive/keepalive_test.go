package keepalive

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/clock"
	"github.com/harriernotch/harriernotch/internal/hop"
)

// A back end closes idle connections at the time that it states, rounded up or down to whole
// seconds. Whatever the pause between requests, no request meets a closed connection, and it is this
// side that closes connections. Without the margin, requests are lost at pauses close to the time.
func TestNoRequestMeetsConnectionThatBackEndCloses(t *testing.T) {
	for stated := range 8 {
		for _, idleTime := range []time.Duration{time.Duration(stated) * time.Second, time.Duration(stated)*time.Second - 990*time.Millisecond} {
			if idleTime <= 0 {
				continue
			}
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := &testServer{header: fmt.Sprintf("Keep-Alive: timeout=%d\r\n", stated), idleTime: idleTime}
				transport, _ := startPipe(t, server, 0)
				defer startProof(t, transport)()
				for pause := time.Duration(0); pause < 8*time.Second; pause += 50 * time.Millisecond {
					is.NoErr(sendAgain(t.Context(), transport, serverAddress))
					time.Sleep(pause)
				}
				is.Equal(server.requests.Load(), int64(160))
				is.Equal(server.closedFirst.Load(), int64(0))
			})
		}
	}
}

// The pauses for which a connection is used again, by what the last answer said. Otherwise it is
// closed here: at once if it isn't usable at all.
func TestConnectionIsReusedOnlyWithinStatedTime(t *testing.T) {
	cases := map[string]struct {
		header string
		usable time.Duration
	}{
		"nothing stated":        {"", 0},
		"connection is closed":  {"Keep-Alive: timeout=10\r\nConnection: close\r\n", 0},
		"not a number":          {"Keep-Alive: timeout=soon\r\n", 0},
		"negative":              {"Keep-Alive: timeout=-5\r\n", 0},
		"only another word":     {"Keep-Alive: max=100\r\n", 0},
		"0 s":                   {"Keep-Alive: timeout=0\r\n", 0},
		"1 s":                   {"Keep-Alive: timeout=1\r\n", 0},
		"2 s":                   {"Keep-Alive: timeout=2\r\n", 500 * time.Millisecond},
		"4 s":                   {"Keep-Alive: timeout=4, max=100\r\n", 2500 * time.Millisecond},
		"two times":             {"Keep-Alive: timeout=60\r\nKeep-Alive: max=7, Timeout=\"4\"\r\n", 2500 * time.Millisecond},
		"longer than maxIdle":   {"Keep-Alive: timeout=60\r\n", maxIdle},
		"longer than any clock": {"Keep-Alive: timeout=9000000000000000000\r\n", maxIdle},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := &testServer{header: c.header}
				transport, _ := startPipe(t, server, 0)
				defer startProof(t, transport)()
				for _, pause := range []time.Duration{0, time.Millisecond, c.usable - time.Millisecond, c.usable, c.usable + time.Millisecond, time.Minute} {
					is.NoErr(sendAgain(t.Context(), transport, serverAddress))
					synctest.Wait()
					is.Equal(transport.HasIdle(serverAddress), c.usable > 0)
					before := server.connections.Load()
					time.Sleep(max(pause, 0))
					synctest.Wait()
					is.Equal(transport.HasIdle(serverAddress), max(pause, 0) < c.usable)
					is.NoErr(send(t.Context(), transport, serverAddress))
					wasReused := server.connections.Load() == before
					is.Equal(wasReused, max(pause, 0) < c.usable)
				}
			})
		})
	}
}

// net/http puts a connection into its pool before it returns an answer without a body. The connection
// is used again if the answer states a time, and closed if not.
func TestAnswerWithoutBody(t *testing.T) {
	for stated, connections := range map[string]int64{"": 10, "Keep-Alive: timeout=5\r\n": 1} {
		t.Run(stated, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := &testServer{}
				server.answer = func(conn net.Conn, _ int64) bool {
					_, err := io.WriteString(conn, "HTTP/1.1 204 No Content\r\n"+stated+"\r\n")
					return err == nil
				}
				transport, _ := startPipe(t, server, 0)
				for range 10 {
					is.NoErr(sendAgain(t.Context(), transport, serverAddress))
					synctest.Wait()
					is.Equal(transport.HasIdle(serverAddress), stated != "")
				}
				is.Equal(server.connections.Load(), connections)
				time.Sleep(maxIdle)
				synctest.Wait()
				is.True(!transport.HasIdle(serverAddress))
			})
		})
	}
}

// A back end that closes connections earlier than it stated costs no request once the end of the
// connection has arrived.
func TestEarlyCloseIsNoticed(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := &testServer{header: "Keep-Alive: timeout=60\r\n", idleTime: time.Second}
		transport, _ := startPipe(t, server, 0)
		for range 5 {
			is.NoErr(send(t.Context(), transport, serverAddress))
			time.Sleep(2 * time.Second)
		}
		is.Equal(server.closedFirst.Load(), int64(5))
		is.Equal(server.requests.Load(), int64(5))
	})
}

// An answer that the back end takes long to write keeps the connection usable if it arrives in
// pieces. If it arrives in one piece, the back end may have finished at any time since the request.
func TestAnswerInPiecesShowsWhenItEnds(t *testing.T) {
	for name, pieces := range map[string]int{"one": 1, "many": 50} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := &testServer{}
				server.answer = func(conn net.Conn, _ int64) bool {
					head := fmt.Sprintf("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: %d\r\n\r\n", pieces)
					for range pieces {
						time.Sleep(10 * time.Second / time.Duration(pieces))
						if _, err := io.WriteString(conn, head+"x"); err != nil {
							return false
						}
						head = ""
					}
					return true
				}
				transport, _ := startPipe(t, server, 0)
				is.NoErr(send(t.Context(), transport, serverAddress))
				time.Sleep(400 * time.Millisecond)
				is.NoErr(send(t.Context(), transport, serverAddress))
				is.Equal(server.connections.Load() == 1, pieces > 1)
			})
		})
	}
}

// The back end writes an answer at once, and flow control holds it back because the reader pauses.
// The time of reading must not count as the time of the answer, whether the reads empty the socket
// (small pieces) or not (large ones).
func TestPauseOfReaderIsNotTakenForBackEnds(t *testing.T) {
	for _, size := range []int{100, 1 << 14} {
		for _, pause := range []time.Duration{0, 100 * time.Millisecond} {
			t.Run(fmt.Sprint(size, " ", pause), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					is := is.New(t)
					const pieces = 64
					server := &testServer{}
					server.answer = func(conn net.Conn, _ int64) bool {
						_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: %d\r\n\r\n", pieces*size)
						for range pieces {
							if err == nil {
								_, err = io.WriteString(conn, strings.Repeat("x", size))
							}
						}
						return err == nil
					}
					transport, _ := startPipe(t, server, 0)
					request, err := hop.NewRequest(t.Context(), http.MethodPost, "http://"+serverAddress, nil, 0)
					is.NoErr(err)
					response, err := transport.RoundTrip(request)
					is.NoErr(err)
					for err == nil {
						time.Sleep(pause) // 6.4 s in total
						_, err = io.CopyN(io.Discard, response.Body, int64(size))
					}
					is.Equal(err, io.EOF)
					is.NoErr(sendAgain(t.Context(), transport, serverAddress))
					is.Equal(server.connections.Load() == 1, pause == 0)
				})
			})
		}
	}
}

// lateConn returns what it has read only after a delay, like a process that lacks processor time.
type lateConn struct {
	net.Conn
	delay time.Duration
}

func (c lateConn) Read(bytes []byte) (int, error) {
	count, err := c.Conn.Read(bytes)
	if count > 0 {
		time.Sleep(c.delay)
	}
	return count, err
}

// Bytes of an answer wait in the socket while this process doesn't run. The time at which it gets to
// them must not count as the time of the answer, for one read or for many.
func TestLateReadIsNotTakenForLateAnswer(t *testing.T) {
	for size, delay := range map[int]time.Duration{2: maxIdle, 1 << 20: 40 * time.Millisecond} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := &testServer{header: "Keep-Alive: timeout=60\r\n"}
				server.answer = func(conn net.Conn, _ int64) bool { return server.write(conn, strings.Repeat("x", size)) }
				transport, _ := startPipe(t, server, 0)
				open := transport.inner.DialContext
				transport.inner.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
					opened, err := open(ctx, network, address)
					if err == nil {
						tracked := opened.(*conn)
						tracked.Conn = lateConn{tracked.Conn, delay}
					}
					return opened, err
				}
				is.NoErr(send(t.Context(), transport, serverAddress))
				is.NoErr(sendAgain(t.Context(), transport, serverAddress))
				is.Equal(server.connections.Load(), int64(2))
			})
		})
	}
}

// This process is paused after net/http has chosen a connection, for longer than the back end keeps
// it. Nothing of the request is sent, and the caller is told so.
func TestPauseBetweenChoiceAndWrite(t *testing.T) {
	is := is.New(t)
	var passed atomic.Int64
	paused := clock.NewFrom(func() time.Duration { return time.Duration(passed.Load()) })
	server := &testServer{header: "Keep-Alive: timeout=4\r\n"}
	address, transport := startTCP(t, server, paused)
	is.NoErr(send(t.Context(), transport, address))
	is.NoErr(send(t.Context(), transport, address))
	is.Equal(server.connections.Load(), int64(1))
	wasReused := false
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		wasReused = info.Reused
		passed.Add(int64(2500 * time.Millisecond))
	}})
	is.True(errors.Is(send(ctx, transport, address), ErrNotSent))
	is.True(wasReused)
	is.True(!transport.HasIdle(address))
	is.NoErr(send(t.Context(), transport, address))
	is.Equal(server.connections.Load(), int64(2)) // the refused connection isn't used again
	is.Equal(server.requests.Load(), int64(3))
}

// If this process runs late, the time since the back end's answer is longer than it seems.
func TestLagShortensUse(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := &testServer{header: "Keep-Alive: timeout=4\r\n"}
		transport, _ := startPipe(t, server, time.Second)
		defer startProof(t, transport)()
		is.NoErr(send(t.Context(), transport, serverAddress))
		time.Sleep(1400 * time.Millisecond)
		is.NoErr(send(t.Context(), transport, serverAddress))
		is.Equal(server.connections.Load(), int64(1))
		time.Sleep(1600 * time.Millisecond)
		is.True(errors.Is(send(t.Context(), transport, serverAddress), ErrNotSent))
	})
}

// Connections fall silent. A request that is sent on one soon after it carried something is lost, and
// isn't reported as not sent. Without a sign of life for maxUnproven, a new connection is used.
func TestSilentConnections(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := &testServer{header: "Keep-Alive: timeout=60\r\n"}
		transport, network := startPipe(t, server, 0)
		is.NoErr(send(t.Context(), transport, serverAddress))
		network.Silence()
		time.Sleep(maxUnproven)
		is.True(!transport.HasIdle(serverAddress))
		is.NoErr(sendAgain(t.Context(), transport, serverAddress))
		network.Silence()
		time.Sleep(maxUnproven / 2)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := send(ctx, transport, serverAddress)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(!errors.Is(err, ErrNotSent) && !hop.NothingSent(err))
		is.NoErr(send(t.Context(), transport, serverAddress))
		is.Equal(server.requests.Load(), int64(3))
	})
}

// A connection that carries something shows that the idle ones which carried something later than it
// was opened aren't silent. One that was opened after they fell silent doesn't.
func TestOnlyOlderConnectionsProveThatOthersAreNotSilent(t *testing.T) {
	for name, c := range map[string]struct{ before, silence bool }{
		"older":                  {true, false},
		"older, silenced":        {true, true},
		"newer":                  {false, false},
		"newer than the silence": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := &testServer{header: "Keep-Alive: timeout=60\r\n"}
				transport, network := startPipe(t, server, 0)
				if c.before {
					defer startProof(t, transport)()
				}
				is.NoErr(send(t.Context(), transport, serverAddress))
				if c.silence {
					network.Silence()
				}
				time.Sleep(maxUnproven)
				if !c.before {
					defer startProof(t, transport)()
				}
				time.Sleep(time.Second)
				is.Equal(transport.HasIdle(serverAddress), c.before && !c.silence)
				is.NoErr(sendAgain(t.Context(), transport, serverAddress))
				is.Equal(server.connections.Load() == 1, c.before && !c.silence)
			})
		})
	}
}

// A refused connection takes the other unusable ones with it, so that the next request opens one that
// can be kept.
func TestUnusableConnectionsAreClosedTogether(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := &testServer{header: "Keep-Alive: timeout=60\r\n"}
		server.answer = func(conn net.Conn, _ int64) bool {
			time.Sleep(100 * time.Millisecond)
			return server.write(conn, "ok")
		}
		transport, _ := startPipe(t, server, 0)
		var sent sync.WaitGroup
		for range 10 {
			sent.Go(func() { is.NoErr(send(t.Context(), transport, serverAddress)) })
		}
		sent.Wait()
		is.Equal(server.connections.Load(), int64(10))
		time.Sleep(maxUnproven)
		is.True(errors.Is(send(t.Context(), transport, serverAddress), ErrNotSent))
		synctest.Wait()
		for range 5 {
			is.NoErr(send(t.Context(), transport, serverAddress))
		}
		is.Equal(server.connections.Load(), int64(11))
	})
}

// The back end reads the second request of a connection and closes it without an answer. The
// request is sent once, also one that net/http would replay, and isn't reported as not sent.
func TestNoRequestIsSentTwice(t *testing.T) {
	oneShot := func(method string, body io.ReadCloser, length int64) func(url string) (*http.Request, error) {
		return func(url string) (*http.Request, error) {
			return hop.NewRequest(t.Context(), method, url, body, length)
		}
	}
	cases := map[string]func(url string) (*http.Request, error){
		"post with a body": oneShot(http.MethodPost, io.NopCloser(strings.NewReader("x")), 1),
		"post without":     oneShot(http.MethodPost, nil, 0),
		"get":              oneShot(http.MethodGet, nil, 0),
		"replayable post": func(url string) (*http.Request, error) {
			return http.NewRequest(http.MethodPost, url, strings.NewReader("x"))
		},
		"replayable get": func(url string) (*http.Request, error) { return http.NewRequest(http.MethodGet, url, nil) },
	}
	for name, newRequest := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := &testServer{header: "Keep-Alive: timeout=60\r\n"}
			server.answer = func(conn net.Conn, number int64) bool { return number == 1 && server.write(conn, "ok") }
			address, transport := startTCP(t, server, nil)
			is.NoErr(send(t.Context(), transport, address))
			request, err := newRequest("http://" + address)
			is.NoErr(err)
			request.Header.Set("Idempotency-Key", "k")
			err = roundTrip(transport, request)
			is.True(err != nil)
			is.True(!errors.Is(err, ErrNotSent) && !hop.NothingSent(err))
			is.Equal(server.requests.Load(), int64(2))
		})
	}
}

// A request whose caller leaves before anything of it is written is never written later, although
// its connection was already chosen.
func TestAbandonedRequestIsNotWritten(t *testing.T) {
	is := is.New(t)
	server := &testServer{header: "Keep-Alive: timeout=60\r\n"}
	address, transport := startTCP(t, server, nil)
	is.NoErr(send(t.Context(), transport, address))
	opened, err := transport.inner.DialContext(t.Context(), "tcp", address)
	is.NoErr(err)
	abandoned := &exchange{transport: transport}
	abandoned.assign(opened)
	is.True(abandoned.abandon())
	_, err = opened.Write([]byte("x"))
	is.Equal(err, errRefused)
	is.Equal(server.requests.Load(), int64(1))
}

// A request of which a byte may have been written isn't reported as not sent.
func TestBegunRequestIsNotAbandoned(t *testing.T) {
	is := is.New(t)
	address, transport := startTCP(t, &testServer{}, nil)
	opened, err := transport.inner.DialContext(t.Context(), "tcp", address)
	is.NoErr(err)
	begun := &exchange{transport: transport}
	begun.assign(opened)
	_, err = opened.Write([]byte("x"))
	is.NoErr(err)
	is.True(!begun.abandon())
	is.NoErr(opened.Close())
}

// A connection that was opened for a request that then took another one isn't kept: the back end
// hasn't stated how long it waits for the first request.
func TestUnusedConnectionIsClosed(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := &testServer{}
		transport, _ := startPipe(t, server, 0)
		opened, err := transport.inner.DialContext(t.Context(), "tcp", serverAddress)
		is.NoErr(err)
		time.Sleep(maxUnused)
		_, err = opened.Read(make([]byte, 1))
		is.True(err != nil)
		(&exchange{transport: transport}).assign(opened)
		_, err = opened.Write([]byte("x"))
		is.Equal(err, errRefused)
	})
}

// The end of a connection that waits in the socket is seen before this process has read it, which it
// does late when it lacks processor time.
func TestPendingInputIsSeen(t *testing.T) {
	for name, end := range map[string]func(conn net.Conn) error{
		"closed": net.Conn.Close,
		"bytes":  func(conn net.Conn) error { _, err := conn.Write([]byte("x")); return err },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			near, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer near.Close()
			far, err := listener.Accept()
			is.NoErr(err)
			defer far.Close()
			is.True(!inputPending(near))
			is.NoErr(end(far))
			for !inputPending(near) { // loopback delivers it soon
				continue
			}
			transport := &Transport{lag: noLag, conns: map[string]map[*conn]bool{}}
			waiting := &conn{Conn: near, transport: transport, finishedAfter: time.Now(), usable: time.Hour}
			(&exchange{transport: transport}).assign(waiting)
			_, err = waiting.Write([]byte("x"))
			is.Equal(err, errRefused)
		})
	}
}
