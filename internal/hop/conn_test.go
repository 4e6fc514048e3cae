package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Guards against an answer's end that is a reset: the kernel reports the reset to the writer of the request, and nothing
// but an end to the reader of the answer.
func TestResetReportedToWriterIsNoCleanEnd(t *testing.T) {
	for name, dial := range map[string]DialFunc{"direct": NewDirectTransport(nil, false).DialContext, "hop": NewTransport(TransportConfig{Protocol: HTTP1}).DialContext} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			go func() {
				peer, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = peer.Read(make([]byte, 1))
				_, _ = io.WriteString(peer, "part")
				_ = peer.(*net.TCPConn).SetLinger(0) // Close resets the connection
				_ = peer.Close()
			}()
			conn, err := dial(t.Context(), "tcp", listener.Addr().String())
			is.NoErr(err)
			defer conn.Close()
			for piece := make([]byte, 1<<16); err == nil; {
				_, err = conn.Write(piece)
			}
			got, err := io.ReadAll(conn)
			is.Equal(string(got), "part")
			is.True(err != nil) // otherwise the part looks whole
		})
	}
}

// heldConn is a connection that has ended while a write on it is under way: the write ends with writeErr once the end
// was read.
type heldConn struct {
	net.Conn
	began, ended chan struct{}
	writeErr     error
}

func (c *heldConn) Read([]byte) (int, error) {
	<-c.began
	close(c.ended)
	return 0, io.EOF
}

func (c *heldConn) Write(from []byte) (int, error) {
	close(c.began)
	<-c.ended
	return len(from), c.writeErr
}

// Guards against the moment between the reset that ends a write and the return of that write, and against an answer that
// is taken for broken because it ends before the last write of its request has returned.
func TestEndOfConnectionAwaitsWriteUnderWay(t *testing.T) {
	for _, writeErr := range []error{nil, errors.New("reset")} {
		is := is.New(t)
		inner, other := net.Pipe()
		defer other.Close()
		held := &heldConn{Conn: inner, began: make(chan struct{}), ended: make(chan struct{}), writeErr: writeErr}
		transport := NewDirectTransport(func(context.Context, string, string) (net.Conn, error) { return held, nil }, false)
		conn, err := transport.DialContext(t.Context(), "tcp", "10.0.0.1:1")
		is.NoErr(err)
		go func() { _, _ = conn.Write([]byte("request")) }()
		_, err = conn.Read(make([]byte, 1))
		is.Equal(errors.Is(err, io.EOF), writeErr == nil)
		is.NoErr(conn.Close())
	}
}

// Guards against a part of an answer that looks whole because its back end ended in order, but while it was still being
// sent the request. An answer that is sent after the whole request is whole.
func TestAnswerWithoutLengthNeedsWholeRequest(t *testing.T) {
	for _, readsAll := range []bool{false, true} {
		is := is.New(t)
		near, far := net.Pipe()
		transport := NewDirectTransport(func(context.Context, string, string) (net.Conn, error) {
			return near, nil
		}, false)
		go func() {
			defer far.Close()
			if request, err := http.ReadRequest(bufio.NewReader(far)); err == nil && readsAll {
				_, _ = io.Copy(io.Discard, request.Body)
			}
			_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\npart")
		}()
		body, writer := io.Pipe()
		request, err := NewRequest(t.Context(), http.MethodPost, "http://10.0.0.1:1", body, 2)
		is.NoErr(err)
		go func() {
			if readsAll {
				_, _ = io.WriteString(writer, "xy")
				_ = writer.Close()
			}
		}()
		response, err := transport.RoundTrip(request)
		is.NoErr(err)
		_, err = io.ReadAll(response.Body)
		is.Equal(err == nil, readsAll)
		is.NoErr(response.Body.Close())
		_ = writer.Close()
	}
}

// Guards against a handshake or an answer of the store that isn't valid and is taken for one.
func TestControlTransportRejectsInvalidAnswers(t *testing.T) {
	for raw, valid := range map[string]bool{
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n":                true,
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nOdd Name: x\r\n\r\n": false,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                                                         true,
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n":                                                        false,
	} {
		is := is.New(t)
		near, far := net.Pipe()
		transport := NewControlTransport(func(context.Context, string, string) (net.Conn, error) { return near, nil }, true)
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = io.WriteString(far, raw)
			}
		}()
		request, err := NewRequest(t.Context(), http.MethodGet, "http://10.0.0.1:1", nil, 0)
		is.NoErr(err)
		request.Header.Set("Upgrade", "websocket")
		response, err := transport.RoundTrip(request)
		is.Equal(err == nil, valid)
		is.Equal(IsInvalidAnswer(err), !valid)
		if valid {
			is.NoErr(response.Body.Close())
		}
		is.NoErr(far.Close())
	}
}
