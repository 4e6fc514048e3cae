//go:build !linux

package socket

import "net"

// Peek returns None: this platform offers no way to look into the socket.
func Peek(net.Conn) Input { return None }
