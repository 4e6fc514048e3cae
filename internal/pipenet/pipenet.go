// Package pipenet provides an in-memory network of listeners and dialers, so that tests can
// run whole nodes on a virtual clock.
package pipenet

import (
	"context"
	"net"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// Network is an in-memory network, separate from all others.
type Network struct {
	mutex     sync.Mutex
	listeners map[string]*pipeListener
	// openConns holds the ends of all open connections, for Silence.
	openConns map[*pipeConn]bool
}

// New returns a Network without listeners.
func New() *Network {
	return &Network{listeners: map[string]*pipeListener{}, openConns: map[*pipeConn]bool{}}
}

// Listen returns a listener at the address. It fails if the address is in use.
func (n *Network) Listen(_, address string) (net.Listener, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.Errorf("address %s is already in use", address)
	}
	listener := &pipeListener{network: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = listener
	return listener, nil
}

// Dial connects to an address. It fails immediately if there is no listener.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mutex.Lock()
	listener := n.listeners[address]
	n.mutex.Unlock()
	if listener == nil {
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "no listener at %s", address)
	}
	client, server := n.pipe()
	select {
	case listener.conns <- server:
		return client, nil
	case <-listener.closed:
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "the listener at %s has been closed", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type pipeListener struct {
	network *Network
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mutex.Lock()
		delete(l.network.listeners, l.address)
		l.network.mutex.Unlock()
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddress(l.address) }

type pipeAddress string

func (pipeAddress) Network() string  { return "pipe" }
func (a pipeAddress) String() string { return string(a) }

// Close closes the listener at the address, if there is one. Dialing the address fails
// from then on; open connections remain.
func (n *Network) Close(address string) {
	n.mutex.Lock()
	listener := n.listeners[address]
	n.mutex.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
}
