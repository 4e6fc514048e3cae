// Package pipenet connects listeners and dialers in memory, so that whole nodes run
// on the virtual clock of a test.
package pipenet

import (
	"context"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// Network is a network of its own.
type Network struct {
	mutex     sync.Mutex
	listeners map[string]*pipeListener
	// open are the connections, which Silence ends without a word.
	openConns map[*pipeConn]bool
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[string]*pipeListener{}, openConns: map[*pipeConn]bool{}}
}

// Listen opens an address.
func (n *Network) Listen(_, address string) (net.Listener, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.Errorf("%s is taken", address)
	}
	listener := &pipeListener{network: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = listener
	return listener, nil
}

// Dial connects to an address. It fails at once where nobody listens.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mutex.Lock()
	listener := n.listeners[address]
	n.mutex.Unlock()
	if listener == nil {
		return nil, errors.Errorf("nobody listens on %s", address)
	}
	client, server := n.pipe()
	select {
	case listener.conns <- server:
		return client, nil
	case <-listener.closed:
		return nil, errors.Errorf("%s has closed", address)
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

// Close ends the listener at the address, if there is one: connections to it
// fail from now on.
func (n *Network) Close(address string) {
	n.mutex.Lock()
	listener := n.listeners[address]
	n.mutex.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
}
