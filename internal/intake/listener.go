package intake

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/socket"
)

// Listener bounds the connections that it accepts.
type Listener struct {
	net.Listener
	intake *Intake
	config ListenerConfig
	limits atomic.Pointer[Limits]
	// ending is the number of open connections that have been told to end.
	ending atomic.Int64

	// mutex guards the fields below. It may be held when that of a connection is locked, not the reverse.
	mutex sync.Mutex
	open  map[*connection]struct{}
	// clients are the numbers of open connections by client address.
	clients map[string]int
	ended   map[Reason]uint64
}

const (
	// reserveDivisor is the part of a listener's maximum that is kept free by ending connections that can make room. A
	// client address that has most of the connections doesn't get it.
	reserveDivisor = 8
	// evictDivisor is the part of a listener's maximum that is made free at once.
	evictDivisor = 32
	// minRest is how long a connection rests at least before it is ended to make room.
	minRest = 200 * time.Millisecond
	// minHeadTime is how long a connection may take at least for a head before it is ended to make room.
	minHeadTime = time.Second
)

var errNoDeadline = errors.New("the listener takes no deadline")

// SetDeadline sets the deadline of Accept, where the inner listener has one.
func (l *Listener) SetDeadline(deadline time.Time) error {
	if deadliner, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return deadliner.SetDeadline(deadline)
	}
	return errNoDeadline
}

// Accept implements net.Listener. Connections for which there is no room are closed before anything is read from them.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.admit(accepted, time.Now()); admitted != nil {
			return admitted, nil
		}
		_ = accepted.Close()
		l.noteEnd(Full)
	}
}

// admit returns the bounded connection for one that was accepted, or nil if there is no room.
func (l *Listener) admit(accepted net.Conn, now time.Time) *connection {
	client := clientAddress(accepted)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isCrowded() {
		l.makeRoom(now)
	}
	hasMost := 2*l.clients[client] > len(l.open)
	if len(l.open) >= l.config.MaxConnections || l.isCrowded() && hasMost {
		return nil
	}
	c := &connection{Conn: accepted, listener: l, client: client, since: now}
	l.open[c] = struct{}{}
	l.clients[client]++
	return c
}

// isCrowded reports whether the part of the maximum that is kept free is in use. The mutex must be held.
func (l *Listener) isCrowded() bool {
	reserve := max(1, l.config.MaxConnections/reserveDivisor)
	return len(l.open)-int(l.ending.Load()) >= l.config.MaxConnections-reserve
}

// clientAddress returns the address of a connection's client without its port.
func clientAddress(accepted net.Conn) string {
	address := accepted.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

// candidate is a connection that can be ended to make room.
type candidate struct {
	connection *connection
	// share is the number of connections of the same client address, isResting whether it rests, and since for how long.
	share     int
	isResting bool
	since     time.Time
}

// makeRoom ends some of the connections that rest or have no whole head: first those of the address with most connections,
// of these first the ones that rest, and first those that have waited longest. The mutex must be held.
func (l *Listener) makeRoom(now time.Time) {
	var candidates []candidate
	for each := range l.open {
		if isResting, since, ok := each.canMakeRoom(now); ok {
			candidates = append(candidates, candidate{each, l.clients[each.client], isResting, since})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.share != b.share {
			return cmp.Compare(b.share, a.share)
		}
		if a.isResting != b.isResting {
			if a.isResting {
				return -1
			}
			return 1
		}
		return a.since.Compare(b.since)
	})
	wanted := max(1, l.config.MaxConnections/evictDivisor)
	for _, each := range candidates {
		if wanted == 0 {
			return
		}
		if each.connection.endUnlessUnread() {
			l.countEnd(MadeRoom)
			wanted--
		}
	}
}

// remove forgets a closed connection.
func (l *Listener) remove(c *connection) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, c)
	l.clients[c.client]--
	if l.clients[c.client] == 0 {
		delete(l.clients, c.client)
	}
}

func (l *Listener) noteEnd(reason Reason) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.countEnd(reason)
}

// countEnd counts a connection that was refused or ended. The mutex must be held.
func (l *Listener) countEnd(reason Reason) {
	l.ended[reason]++
	if l.intake.config.Ended != nil {
		l.intake.config.Ended(l.config.Name, reason)
	}
}

func (l *Listener) refreshLimits() {
	limits := l.config.Limits()
	limits.HeadBytes = min(limits.HeadBytes, MaxHeadBytes)
	l.limits.Store(&limits)
}

// sweep takes over the limits and ends the connections that are past their time.
func (l *Listener) sweep(now time.Time) {
	l.refreshLimits()
	limits := *l.limits.Load()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for each := range l.open {
		if reason := each.endIfLate(now, limits); reason != "" {
			l.countEnd(reason)
		}
	}
}

func (l *Listener) status() ListenerStatus {
	limits := *l.limits.Load()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	status := ListenerStatus{
		Name: l.config.Name, Open: len(l.open), Max: l.config.MaxConnections, Ended: maps.Clone(l.ended),
		HeadLimitBytes: limits.HeadBytes, HeadTimeoutSeconds: limits.HeadTimeout.Seconds(), IdleTimeoutSeconds: limits.IdleTimeout.Seconds(),
	}
	for each := range l.open {
		if each.isResting() {
			status.Resting++
		}
	}
	return status
}

// hasUnread reports whether bytes have arrived that the process hasn't read.
func hasUnread(c net.Conn) bool { return socket.Peek(c) == socket.Bytes }
