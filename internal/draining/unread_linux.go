package draining

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnread reports whether unread bytes are in the connection's socket. It doesn't
// block, and returns false if this can't be determined.
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
