//go:build !linux

package hop

import "syscall"

// limitUnacknowledged does nothing where the kernel has no such limit.
func limitUnacknowledged(_, _ string, _ syscall.RawConn) error { return nil }
