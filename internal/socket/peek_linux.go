package socket

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Peek returns what the connection's socket holds that hasn't been read. It doesn't block.
func Peek(connection net.Conn) Input {
	source, ok := connection.(syscall.Conn)
	if !ok {
		return None
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return None
	}
	input := None
	if raw.Control(func(descriptor uintptr) { input = peek(int(descriptor)) }) != nil {
		return None // the connection has been closed on this side
	}
	return input
}

func peek(descriptor int) Input {
	var first [1]byte
	count, _, err := unix.Recvfrom(descriptor, first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		return None
	case err != nil || count == 0:
		return Ended
	default:
		return Bytes
	}
}
