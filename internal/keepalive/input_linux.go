package keepalive

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// inputPending reports whether the connection's socket holds bytes, its end or an error that haven't
// been read. It doesn't block, and returns false if this can't be determined.
func inputPending(connection net.Conn) bool {
	source, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	isPending := false
	err = raw.Control(func(descriptor uintptr) {
		var first [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isPending = !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	})
	return err == nil && isPending
}
