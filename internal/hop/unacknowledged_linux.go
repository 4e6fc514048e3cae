package hop

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// limitUnacknowledged makes the kernel end a connection whose peer acknowledges
// nothing for unacknowledgedLimit. It fails softly: keep-alive probes still find
// such a peer, only later.
func limitUnacknowledged(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedLimit.Milliseconds()))
	})
}
