package demo

import (
	"net"

	"github.com/go-faster/errors"
)

// anyPort is a loopback address with any free port.
const anyPort = "127.0.0.1:0"

// openListeners holds listeners by address. They are opened before the settings that name them are
// written, since another process could take an address that is known to be free but not yet in use.
type openListeners map[string]net.Listener

// open opens listeners and returns their addresses.
func (l openListeners) open(addresses ...string) ([]string, error) {
	var opened []string
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Wrapf(err, "open a listener at %s", address)
		}
		l[listener.Addr().String()] = listener
		opened = append(opened, listener.Addr().String())
	}
	return opened, nil
}

// take returns the open listener at the address and removes it from the map, or opens a new one.
func (l openListeners) take(network, address string) (net.Listener, error) {
	listener, ok := l[address]
	if !ok {
		return net.Listen(network, address)
	}
	delete(l, address)
	return listener, nil
}

// close closes the listeners that weren't taken.
func (l openListeners) close() {
	for _, listener := range l {
		_ = listener.Close() // it has accepted no connections
	}
}
