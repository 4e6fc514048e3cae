//go:build !linux

package keepalive

import "net"

// inputPending returns false: this platform offers no way to look into the socket.
func inputPending(net.Conn) bool { return false }
