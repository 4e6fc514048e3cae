package soak

import (
	"context"
	"net"
	"sync"

	"github.com/sourcegraph/conc"
)

// link carries connections to one target, and can be told to hold up their bytes or
// to end them: the network's faults, from outside the programs.
type link struct {
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	target string

	listener net.Listener
	tasks    conc.WaitGroup
	cancel   context.CancelFunc
	ctx      context.Context

	mutex sync.Mutex
	// held counts the faults that hold up all bytes, deaf those that hold up the
	// target's, and refused those that end every connection.
	blocked, targetBlocked, refused int
	// accepted counts the connections, of which the first silent ones carry nothing more.
	accepted, silent int
	changed          chan struct{}
	open             map[net.Conn]bool
}

func newLink(environment Environment, listener net.Listener, target string) *link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{
		dial: environment.Dial, target: target, listener: listener, ctx: ctx, cancel: cancel,
		changed: make(chan struct{}), open: map[net.Conn]bool{},
	}
	l.tasks.Go(l.accept)
	return l
}

func (l *link) close() {
	l.cancel()
	_ = l.listener.Close()
	l.reset()
	l.tasks.Wait()
}

// hurt changes one of the counts of faults.
func (l *link) changeFaults(count func(*link) *int, by int) {
	l.mutex.Lock()
	*count(l) += by
	close(l.changed)
	l.changed = make(chan struct{})
	refused := l.refused > 0
	l.mutex.Unlock()
	if refused {
		l.reset()
	}
}

// silence makes the connections of the moment silent for good, without a reset.
func (l *link) silence() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.silent = l.accepted
}

// reset ends all connections.
func (l *link) reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.open {
		_ = conn.Close()
	}
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.tasks.Go(func() { l.forward(conn) })
	}
}

func (l *link) forward(inbound net.Conn) {
	defer inbound.Close()
	if !l.register(inbound, true) {
		return
	}
	number := l.nextNumber()
	defer l.register(inbound, false)
	outbound, err := l.dial(l.ctx, "tcp", l.target)
	if err != nil {
		return
	}
	defer outbound.Close()
	l.register(outbound, true)
	defer l.register(outbound, false)
	var back conc.WaitGroup
	back.Go(func() {
		l.copy(inbound, outbound, func() bool { return l.blocked == 0 && l.targetBlocked == 0 && number > l.silent })
		_ = inbound.Close()
	})
	l.copy(outbound, inbound, func() bool { return l.blocked == 0 && number > l.silent })
	_ = outbound.Close()
	back.Wait()
}

// count returns the number of a new connection.
func (l *link) nextNumber() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.accepted++
	return l.accepted
}

// note adds or removes a connection; it is false when connections are refused.
func (l *link) register(conn net.Conn, added bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !added {
		delete(l.open, conn)
		return true
	}
	if l.refused > 0 || l.ctx.Err() != nil {
		return false
	}
	l.open[conn] = true
	return true
}

// copyBytes is the size of one read.
const copyBytes = 32 << 10

// copy passes bytes on while they may flow, and holds them up otherwise.
func (l *link) copy(to, from net.Conn, flows func() bool) {
	buffer := make([]byte, copyBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if !l.awaitUnblocked(flows) {
				return
			}
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) awaitUnblocked(flows func() bool) bool {
	for {
		l.mutex.Lock()
		free, changed := flows(), l.changed
		l.mutex.Unlock()
		if free {
			return true
		}
		select {
		case <-changed:
		case <-l.ctx.Done():
			return false
		}
	}
}
