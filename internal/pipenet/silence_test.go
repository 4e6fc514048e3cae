package pipenet

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Guards against an in-memory reset that reads as the end of the data, unlike one of TCP.
func TestResetReadsAsAnError(t *testing.T) {
	for _, resets := range []bool{false, true} {
		is := is.New(t)
		network := New()
		listener, err := network.Listen("pipe", "10.0.0.1:80")
		is.NoErr(err)
		accepted := make(chan net.Conn, 1)
		go func() {
			conn, err := listener.Accept()
			is.NoErr(err)
			accepted <- conn
		}()
		client, err := network.Dial(context.Background(), "pipe", "10.0.0.1:80")
		is.NoErr(err)
		server := <-accepted
		if resets {
			is.NoErr(server.(interface{ SetLinger(int) error }).SetLinger(0))
		}
		is.NoErr(server.Close())
		_, err = client.Read(make([]byte, 1))
		is.Equal(errors.Is(err, syscall.ECONNRESET), resets)
		is.Equal(errors.Is(err, io.EOF), !resets)
		is.NoErr(client.Close())
		is.NoErr(listener.Close())
	}
}
