package peerlink

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/pipenet"
)

const (
	testAddress = "10.0.0.1:1"
	testPath    = "/test"
	idleTimeout = 5 * time.Second
)

// peer is a gateway that repeats queries as its answers, after a delay, and counts connections.
type peer struct {
	messages    *Messages
	delay       atomic.Int64
	connections atomic.Int64
}

func (p *peer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != testPath {
		http.NotFound(w, r)
		return
	}
	p.connections.Add(1)
	Serve(context.Background(), w, r, ServeConfig{MaxMessageBytes: 1000, IdleTimeout: idleTimeout, Messages: p.messages, Answer: func(query []byte) ([]byte, error) {
		time.Sleep(time.Duration(p.delay.Load()))
		return bytes.Clone(query), nil
	}})
}

// withPeer runs a test on the virtual clock with a peer and a function that queries it.
func withPeer(t *testing.T, path string, test func(p *peer, query func(timeout time.Duration) error)) {
	bubble.Test(t, func(t *testing.T) {
		network, p := pipenet.New(), &peer{messages: NewMessages()}
		listener, err := network.Listen("pipe", testAddress)
		is.New(t).NoErr(err)
		server := &http.Server{Handler: p}
		go func() { _ = server.Serve(listener) }()
		client := NewClient(Config{ID: "g1", Path: path, MaxMessageBytes: 1000, Dial: func(ctx context.Context, network_, address string) (net.Conn, error) {
			return network.Dial(ctx, network_, address)
		}})
		test(p, func(timeout time.Duration) error {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			answer, err := client.Query(ctx, "g2", testAddress, []byte("question"))
			if err == nil && string(answer) != "question" {
				return errors.New("the answer is another one")
			}
			return err
		})
		client.Close()
		_ = server.Close()
		time.Sleep(idleTimeout)
	})
}

func TestConnectionIsKept(t *testing.T) {
	withPeer(t, testPath, func(p *peer, query func(time.Duration) error) {
		is := is.New(t)
		for range 3 {
			is.NoErr(query(time.Second))
			time.Sleep(idleTimeout / 2)
		}
		is.Equal(p.connections.Load(), int64(1))
	})
}

// A connection that the other side closed, as it does with an idle one, is reopened within one query,
// which succeeds.
func TestClosedConnectionIsReopenedWithinOneQuery(t *testing.T) {
	withPeer(t, testPath, func(p *peer, query func(time.Duration) error) {
		is := is.New(t)
		is.NoErr(query(time.Second))
		time.Sleep(2 * idleTimeout)
		is.NoErr(query(time.Second))
		is.Equal(p.connections.Load(), int64(2))
	})
}

// Guards against a query that outlasts its time because another one holds the connection.
func TestQueryEndsInTimeBesideASlowOne(t *testing.T) {
	withPeer(t, testPath, func(p *peer, query func(time.Duration) error) {
		is := is.New(t)
		is.NoErr(query(time.Second))
		p.delay.Store(int64(2 * time.Second))
		slow := make(chan error)
		go func() { slow <- query(time.Second) }()
		time.Sleep(10 * time.Millisecond)
		began := time.Now()
		is.True(query(100*time.Millisecond) != nil)
		is.True(time.Since(began) <= 110*time.Millisecond)
		is.True(<-slow != nil)
	})
}

func TestGatewayOfAnOlderBuildIsRecognized(t *testing.T) {
	withPeer(t, "/unknown", func(_ *peer, query func(time.Duration) error) {
		is.New(t).Equal(query(time.Second), ErrUnsupported)
	})
}
