// Package clock measures durations that include the time that the machine was suspended.
//
// Go measures durations by the monotonic clock, which stops while a machine is suspended: after a
// suspension, a gateway would take what it learned hours ago to be milliseconds old. Clock adds
// the time of suspensions. Like the monotonic clock, it doesn't step with the time of day.
package clock

import (
	"sync/atomic"
	"time"
)

// Clock is a monotonic clock that also counts while the machine is suspended. The nil Clock is
// the monotonic clock itself. A Clock is safe for concurrent use.
type Clock struct {
	readSuspended func() time.Duration
	started       time.Time
	// alwaysReads is true if the time of day doesn't reveal suspensions, so that each call must
	// read them.
	alwaysReads bool
	// totalSuspended is the time that the machine was suspended since the clock was created.
	// drift is how far the time of day has moved ahead of the monotonic clock since then, as last
	// recorded. Both are in nanoseconds.
	totalSuspended atomic.Int64
	drift          atomic.Int64
}

// driftTolerance is the change of the drift above which the time of suspensions is read again.
// Reading it costs system calls, and Now is called very often. The time of day is slewed so slowly
// that this rarely causes a reading, and shorter suspensions don't matter.
const driftTolerance = 20 * time.Millisecond

// minSuspension is the shortest suspension that counts, since the system's two clocks aren't read
// at the same moment.
const minSuspension = 10 * time.Millisecond

// New returns a clock that counts the system's suspensions. On systems that don't report them, it
// is the monotonic clock.
func New() *Clock {
	c := NewFrom(suspendedSinceBoot())
	c.alwaysReads = false
	return c
}

// NewFrom returns a clock that calls suspended for each reading of the time, to get the total
// time that the machine was suspended. It is for tests of suspensions.
func NewFrom(suspended func() time.Duration) *Clock {
	c := &Clock{started: time.Now(), alwaysReads: true}
	initial := suspended()
	c.readSuspended = func() time.Duration { return suspended() - initial }
	return c
}

// Now returns the current time. It is comparable only with other times of this clock.
func (c *Clock) Now() time.Time {
	now := time.Now()
	if c == nil {
		return now
	}
	if c.alwaysReads || c.driftChanged(now) {
		c.update()
	}
	return now.Add(time.Duration(c.totalSuspended.Load()))
}

// driftChanged reports whether the time of day and the monotonic clock have drifted apart by more
// than driftTolerance since the drift was last recorded, and records the new drift: either the
// machine was suspended, or the time of day stepped.
func (c *Clock) driftChanged(now time.Time) bool {
	drift := now.Round(0).Sub(c.started.Round(0)) - now.Sub(c.started)
	change := drift - time.Duration(c.drift.Load())
	if change.Abs() <= driftTolerance {
		return false
	}
	c.drift.Store(int64(drift))
	return true
}

// update reads how long the machine was suspended. The total never decreases.
func (c *Clock) update() {
	for {
		known, current := c.totalSuspended.Load(), int64(c.readSuspended())
		if current < known+int64(minSuspension) || c.totalSuspended.CompareAndSwap(known, current) {
			return
		}
	}
}

// Since returns the time since moment, a time of this clock.
func (c *Clock) Since(moment time.Time) time.Duration { return c.Now().Sub(moment) }

// Until returns the time until moment, a time of this clock.
func (c *Clock) Until(moment time.Time) time.Duration { return moment.Sub(c.Now()) }

// Suspended returns how long the machine was suspended since the clock was created, by the last
// reading.
func (c *Clock) Suspended() time.Duration {
	if c == nil {
		return 0
	}
	return time.Duration(c.totalSuspended.Load())
}
