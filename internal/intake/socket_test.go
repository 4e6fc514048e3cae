package intake

import (
	"net"
	"net/http"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Guards against a connection that is ended although bytes of a request have arrived, and against one that hides its socket
// from others who look for unread bytes.
func TestBytesThatArriveAsTheirConnectionEndsAreRead(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer inner.Close()
	limits := func() Limits {
		return Limits{HeadBytes: 64 << 10, HeadTimeout: time.Minute, IdleTimeout: time.Minute}
	}
	listener := New(Config{}).Listener(inner, ListenerConfig{MaxConnections: 16, Limits: limits})
	client, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer client.Close()
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer accepted.Close()
	server := accepted.(*connection)
	server.setState(http.StateIdle)
	is.True(server.endUnlessUnread())
	_, err = client.Write([]byte("GET"))
	is.NoErr(err)
	for !hasUnread(accepted) {
		runtime.Gosched()
	}
	first := make([]byte, 3)
	count, err := accepted.Read(first)
	is.NoErr(err)
	is.Equal(string(first[:count]), "GET")
	is.Equal(listener.ending.Load(), int64(0))
	server.setState(http.StateActive)
	is.True(!server.endUnlessUnread())
	server.setState(http.StateIdle)
	is.True(server.endUnlessUnread())
	_, err = accepted.Read(first)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}
