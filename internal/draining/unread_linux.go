package draining

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread tells whether bytes wait in a connection's socket. It doesn't block,
// and is false where that can't be known.
func hasUnread(connection net.Conn) bool {
	source, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(descriptor uintptr) {
		var first [1]byte
		count, _, err := unix.Recvfrom(int(descriptor), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = err == nil && count > 0
	})
	return err == nil && waiting
}
