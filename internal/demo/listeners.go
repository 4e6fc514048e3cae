package demo

import (
	"net"

	"github.com/go-faster/errors"
)

// anyPort is a free port on loopback.
const anyPort = "127.0.0.1:0"

// openListeners are listeners by address, opened before the settings that name them: an
// address that is merely known to be free may be taken before it is listened at.
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

// take hands over the listener at the address, or opens one that wasn't.
func (l openListeners) take(network, address string) (net.Listener, error) {
	listener, ok := l[address]
	if !ok {
		return net.Listen(network, address)
	}
	delete(l, address)
	return listener, nil
}

// close closes those that weren't taken.
func (l openListeners) close() {
	for _, listener := range l {
		_ = listener.Close() // it carried nothing
	}
}
