//go:build !linux

package draining

import "net"

// hasUnread returns false: this platform offers no way to look into the socket.
func hasUnread(net.Conn) bool { return false }
