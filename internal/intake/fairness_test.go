package intake

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

// addressedConn is a connection of a client with an address. Its deadlines tell whether it was ended.
type addressedConn struct {
	net.Conn
	address string
	// isEnded is true while the deadline ends the connection, and wasEnded since it did first.
	isEnded, wasEnded bool
}

func (c *addressedConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.ParseIP(c.address), Port: 1}
}

func (c *addressedConn) SetReadDeadline(deadline time.Time) error {
	c.isEnded = !deadline.IsZero() && deadline.Before(time.Now())
	c.wasEnded = c.wasEnded || c.isEnded
	return nil
}

func (c *addressedConn) Close() error { return nil }

// newTestListener returns a listener for connections that are admitted by hand.
func newTestListener(maxConnections int) *Listener {
	limits := func() Limits {
		return Limits{HeadBytes: 64 << 10, HeadTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	}
	return New(Config{}).Listener(nil, ListenerConfig{MaxConnections: maxConnections, Limits: limits})
}

// admitFrom admits a connection from an address, in the given state.
func admitFrom(l *Listener, address string, now time.Time, state http.ConnState) (*connection, *addressedConn) {
	accepted := &addressedConn{address: address}
	admitted := l.admit(accepted, now)
	if admitted != nil {
		admitted.setState(state)
		admitted.since = now
	}
	return admitted, accepted
}

// closeEnding closes the connections that have been told to end, as their server does.
func closeEnding(l *Listener) {
	for _, each := range slices.Collect(maps.Keys(l.open)) {
		if each.isEnding {
			_ = each.Close()
		}
	}
}

// Guards against connections of a client that has few ending because another client has very many.
func TestClientWithMostConnectionsMakesRoom(t *testing.T) {
	is := is.New(t)
	l := newTestListener(64)
	now := time.Now()
	var few []*addressedConn
	for each := range 6 {
		_, accepted := admitFrom(l, fmt.Sprintf("10.0.0.%d", each), now, http.StateIdle)
		few = append(few, accepted)
	}
	for range 200 {
		now = now.Add(time.Second)
		admitFrom(l, "10.9.9.9", now, http.StateIdle)
		closeEnding(l)
	}
	admitted, _ := admitFrom(l, "10.0.0.7", now, http.StateIdle)
	is.True(admitted != nil)
	for _, each := range few { // they have rested for longest
		is.True(!each.wasEnded)
	}
}

// Guards against a client whose requests use up all connections.
func TestClientWithMostConnectionsDoesNotGetTheReserve(t *testing.T) {
	is := is.New(t)
	l := newTestListener(64)
	now := time.Now()
	for range 200 {
		admitFrom(l, "10.9.9.9", now, http.StateActive)
	}
	is.Equal(len(l.open), 56)
	for each := range 8 {
		admitted, _ := admitFrom(l, fmt.Sprintf("10.0.0.%d", each), now, http.StateActive)
		is.True(admitted != nil)
	}
	admitted, _ := admitFrom(l, "10.0.0.9", now, http.StateActive)
	is.True(admitted == nil)
}

// Guards against a maximum that is exceeded, a request under way that is ended, and memory or addresses that stay counted.
func TestListenerKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestListener(16)
		now := time.Now()
		var open []*connection
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if len(open) == 0 || rapid.Bool().Draw(t, "admits") {
				if added, _ := admitFrom(l, fmt.Sprintf("10.0.0.%d", rapid.IntRange(0, 3).Draw(t, "client")), now, http.StateNew); added != nil {
					open = append(open, added)
				}
			} else {
				at := rapid.IntRange(0, len(open)-1).Draw(t, "at")
				c := open[at]
				switch rapid.SampledFrom([]string{"read", "active", "idle", "close"}).Draw(t, "step") {
				case "read":
					c.noteRead([]byte("GET / HTTP/1.1\r\na:\r\nb:\r\n"), readAhead)
				case "active":
					c.setState(http.StateActive)
				case "idle":
					c.setState(http.StateIdle)
				case "close":
					_ = c.Close()
					_ = c.Close()
					open = append(open[:at], open[at+1:]...)
				}
			}
			l.sweep(now)
			ending := 0
			for _, each := range open {
				if each.phase == active && (each.isEnding || each.Conn.(*addressedConn).isEnded) {
					t.Fatal("a request under way was ended")
				}
				if each.isEnding {
					ending++
				}
			}
			if len(l.open) > 16 || len(l.open) != len(open) || int(l.ending.Load()) != ending {
				t.Fatalf("%d of %d connections, %d of %d ending", len(l.open), len(open), l.ending.Load(), ending)
			}
		}
		for _, each := range open {
			_ = each.Close()
		}
		if len(l.open) > 0 || len(l.clients) > 0 || l.intake.heads.Load() != 0 || l.ending.Load() != 0 {
			t.Fatal("closed connections are still counted")
		}
	})
}

func TestSharesOfAProcess(t *testing.T) {
	is := is.New(t)
	small := Capacity{MemoryBytes: 184 << 20, Descriptors: 4100}
	is.Equal(small.MaxConnections(Callers), 1950)
	is.Equal(small.MaxConnections(Peers), 420)
	is.Equal(small.MaxConnections(Operators), 105)
	is.Equal(Capacity{MemoryBytes: 96 << 20, Descriptors: 4100}.MaxConnections(Callers), 1755)
	is.Equal(Capacity{MemoryBytes: 32 << 20, Descriptors: 64}.MaxConnections(Metrics), minConnections)
	for _, capacity := range []Capacity{small, {Descriptors: 400}, {MemoryBytes: 96 << 20, Descriptors: 1000}} {
		total := 0
		for role := range shares {
			total += capacity.MaxConnections(role)
		}
		is.True(int64(total) < capacity.Descriptors*3/4)
		is.True(capacity.MemoryBytes == 0 || int64(total)*ConnectionBytes+capacity.HeadMemory() < capacity.MemoryBytes*3/4)
	}
}
