//go:build !linux

package hop

import "syscall"

// limitUnacknowledged does nothing on systems other than Linux.
func limitUnacknowledged(_, _ string, _ syscall.RawConn) error { return nil }
