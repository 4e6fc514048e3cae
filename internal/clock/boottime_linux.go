package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspendedSinceBoot returns a function that returns how long the machine was suspended since it
// booted: CLOCK_BOOTTIME includes that time, CLOCK_MONOTONIC doesn't.
func suspendedSinceBoot() func() time.Duration {
	return func() time.Duration { return readClock(unix.CLOCK_BOOTTIME) - readClock(unix.CLOCK_MONOTONIC) }
}

// readClock returns the time of a clock, or 0 if the system doesn't have the clock. Without
// CLOCK_BOOTTIME no suspension is counted.
func readClock(id int32) time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(id, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
