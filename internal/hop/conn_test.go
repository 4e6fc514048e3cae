package hop

import (
	"context"
	"io"
	"net"
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
