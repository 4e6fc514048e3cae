package soak

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
)

// link is a proxy for connections to one target that simulates network faults: it can block the
// connections' bytes or close the connections.
type link struct {
	environment Environment
	target      string
	// passesResets is true if a reset of one side resets the other one, and faults that close connections
	// reset them. Otherwise either side only sees the end of the data.
	passesResets bool

	listener net.Listener
	tasks    conc.WaitGroup
	cancel   context.CancelFunc
	ctx      context.Context

	mutex sync.Mutex
	// blocked counts the active faults that block all bytes, targetBlocked those that block the
	// bytes from the target, and refused those that close every connection.
	blocked, targetBlocked, refused int
	// closed counts the faults that close the port, so that connections to it are refused.
	closed int
	// accepted counts the connections so far. The first silent of them pass no more bytes.
	accepted, silent int
	changed          chan struct{}
	open             map[net.Conn]bool
}

func newLink(environment Environment, listener net.Listener, target string, passesResets bool) *link {
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{
		environment: environment, target: target, passesResets: passesResets, listener: listener, ctx: ctx, cancel: cancel,
		changed: make(chan struct{}), open: map[net.Conn]bool{},
	}
	l.tasks.Go(func() { l.accept(listener) })
	return l
}

// closePort makes the link end its connections and refuse new ones, as the address of a process that has ended.
func (l *link) closePort() {
	l.mutex.Lock()
	l.closed++
	_ = l.listener.Close()
	l.mutex.Unlock()
	l.reset()
}

// openPort undoes one closePort.
func (l *link) openPort() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed--
	if l.closed > 0 || l.ctx.Err() != nil {
		return
	}
	listener, err := l.environment.ListenAt(l.listener.Addr().String())
	if err != nil {
		panic(err) // the address is this link's, and nobody else listens there
	}
	l.listener = listener
	l.tasks.Go(func() { l.accept(listener) })
}

func (l *link) close() {
	l.cancel()
	l.mutex.Lock()
	_ = l.listener.Close()
	l.mutex.Unlock()
	l.reset()
	l.tasks.Wait()
}

// changeFaults changes one of the counts of active faults.
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

// silence permanently stops all bytes on the connections accepted so far, without a reset.
func (l *link) silence() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.silent = l.accepted
}

// reset closes all connections.
func (l *link) reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for conn := range l.open {
		l.closeConn(conn, false)
	}
}

// closeConn closes a connection. Unless the data before had an end, it resets it if the link passes resets.
func (l *link) closeConn(conn net.Conn, atEnd bool) {
	if !atEnd && l.passesResets {
		resetConn(conn)
		return
	}
	_ = conn.Close()
}

// resetConn closes a connection so that the other end reads an error and no end of the data.
func resetConn(conn net.Conn) {
	if lingering, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingering.SetLinger(0) // fails only if the connection is closed
	}
	_ = conn.Close()
}

func (l *link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
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
	outbound, err := l.environment.Dial(l.ctx, "tcp", l.target)
	if err != nil {
		return
	}
	defer outbound.Close()
	l.register(outbound, true)
	defer l.register(outbound, false)
	var back conc.WaitGroup
	back.Go(func() {
		atEnd := l.copy(inbound, outbound, func() bool { return l.blocked == 0 && l.targetBlocked == 0 && number > l.silent })
		l.closeConn(inbound, atEnd)
	})
	atEnd := l.copy(outbound, inbound, func() bool { return l.blocked == 0 && number > l.silent })
	l.closeConn(outbound, atEnd)
	back.Wait()
}

// nextNumber returns the number of a new connection.
func (l *link) nextNumber() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.accepted++
	return l.accepted
}

// register adds or removes an open connection. It returns false if connections are refused.
func (l *link) register(conn net.Conn, added bool) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !added {
		delete(l.open, conn)
		return true
	}
	if l.refused > 0 || l.closed > 0 || l.ctx.Err() != nil {
		return false
	}
	l.open[conn] = true
	return true
}

// copyBytes is the maximum size of one read.
const copyBytes = 32 << 10

// copy copies bytes while flows returns true, and waits otherwise. It returns whether the data ended, and not
// by an error.
func (l *link) copy(to, from net.Conn, flows func() bool) (atEnd bool) {
	buffer := make([]byte, copyBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if !l.awaitUnblocked(flows) {
				return false
			}
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				return false
			}
		}
		if err != nil {
			return errors.Is(err, io.EOF)
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
