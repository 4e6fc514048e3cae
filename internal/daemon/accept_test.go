package daemon

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// failingListener fails the first calls of Accept with the errors, and then accepts one connection.
type failingListener struct {
	net.Listener
	errors   []error
	accepted net.Conn
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) > 0 {
		err := l.errors[0]
		l.errors = l.errors[1:]
		return nil, &net.OpError{Op: "accept", Err: err}
	}
	if l.accepted == nil {
		return nil, net.ErrClosed
	}
	accepted := l.accepted
	l.accepted = nil
	return accepted, nil
}

func (l *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a gateway that lives on without its listener after an error that passes.
func TestListenerOutlivesErrorsOfAccept(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := eventlog.New(io.Discard, logrus.InfoLevel, nil)
		defer log.Close()
		client, server := net.Pipe()
		defer client.Close()
		inner := &failingListener{accepted: server}
		for range 5 {
			inner.errors = append(inner.errors, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EMFILE)
		}
		began := time.Now()
		listener := newAcceptingListener(inner, log.Entry())
		accepted, err := listener.Accept()
		is.NoErr(err)
		is.Equal(accepted, server)
		is.True(time.Since(began) < time.Duration(26)*maxAcceptPause)
		_, err = listener.Accept()
		is.True(errors.Is(err, net.ErrClosed))
	})
}

// exhaustedListener fails for lack of descriptors until it is closed.
type exhaustedListener struct {
	net.Listener
	isClosed atomic.Bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.isClosed.Load() {
		return nil, net.ErrClosed
	}
	return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
}

func (l *exhaustedListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *exhaustedListener) Close() error { l.isClosed.Store(true); return nil }

// Guards against a stop that exceeds drain_timeout, because it waits for the pause after a failed Accept.
func TestStopDoesNotWaitForPauseOfAccept(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := eventlog.New(io.Discard, logrus.InfoLevel, nil)
		defer log.Close()
		listener := newAcceptingListener(&exhaustedListener{}, log.Entry())
		var server http.Server
		ended := make(chan error)
		go func() { ended <- server.Serve(listener) }()
		time.Sleep(10*maxAcceptPause + minAcceptPause)
		began := time.Now()
		is.NoErr(server.Close())
		is.True(errors.Is(<-ended, http.ErrServerClosed))
		is.Equal(time.Since(began), time.Duration(0))
	})
}
