package hop

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// limitUnacknowledged makes the kernel close a connection whose peer acknowledges nothing
// for unacknowledgedLimit. An error in setting the option is ignored: keep-alive probes
// still detect such a peer, only later.
func limitUnacknowledged(_, _ string, conn syscall.RawConn) error {
	return conn.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedLimit.Milliseconds()))
	})
}
