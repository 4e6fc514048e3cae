//go:build !linux

package clock

import "time"

// suspendedSinceBoot returns a function that always returns 0: on this system suspensions aren't
// counted.
func suspendedSinceBoot() func() time.Duration {
	return func() time.Duration { return 0 }
}
