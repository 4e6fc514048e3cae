package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedSinceBoot returns a reader of the time that the machine was suspended: the clock
// since boot counts it, the monotonic one doesn't.
func suspendedSinceBoot() func() time.Duration {
	return func() time.Duration { return readClock(unix.CLOCK_BOOTTIME) - readClock(unix.CLOCK_MONOTONIC) }
}

// read returns a clock's time, or 0 where the system lacks it: both differ by nothing then.
func readClock(id int32) time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(id, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
