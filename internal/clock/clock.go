// Package clock tells how old something is, also across a suspension of the machine.
//
// The monotonic clock, by which Go measures, stands still while a machine is suspended: a
// gateway that wakes takes what it knew hours ago for milliseconds old. Clock adds the time
// that the machine was suspended. Like the monotonic clock it never steps with the time of
// day.
package clock

import (
	"sync/atomic"
	"time"
)

// Clock counts like the monotonic clock, and while the machine is suspended, too. The nil
// Clock is the monotonic clock alone. It is safe for concurrent use.
type Clock struct {
	readSuspended func() time.Duration
	started       time.Time
	// looksAlways is set where the time of day doesn't show a suspension.
	alwaysReads bool
	// total is the time that the machine was suspended since the start, in nanoseconds, and
	// apart how far the time of day and the monotonic clock had come apart when it was read.
	totalSuspended atomic.Int64
	drift          atomic.Int64
}

// tolerance is how far the time of day may come apart from the monotonic clock before a
// suspension is looked for: that costs a system call, and any moment asks for the time. The
// time of day is slewed by less between two looks; shorter suspensions don't matter.
const driftTolerance = 20 * time.Millisecond

// shortest is the shortest suspension that counts: the system's two clocks aren't read at the
// same moment.
const minSuspension = 10 * time.Millisecond

// New returns a clock by the system's. Where the system doesn't tell of suspensions, it is the
// monotonic clock.
func New() *Clock {
	c := NewFrom(suspendedSinceBoot())
	c.alwaysReads = false
	return c
}

// NewFrom returns a clock that asks, each time, how long the machine was suspended so far, for
// trials of suspensions.
func NewFrom(suspended func() time.Duration) *Clock {
	c := &Clock{started: time.Now(), alwaysReads: true}
	initial := suspended()
	c.readSuspended = func() time.Duration { return suspended() - initial }
	return c
}

// Now returns the moment. It compares with other moments of this clock alone.
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

// cameApart tells whether the time of day and the monotonic clock came apart since the last
// look: the machine was suspended, or the time of day stepped.
func (c *Clock) driftChanged(now time.Time) bool {
	drift := now.Round(0).Sub(c.started.Round(0)) - now.Sub(c.started)
	change := drift - time.Duration(c.drift.Load())
	if change.Abs() <= driftTolerance {
		return false
	}
	c.drift.Store(int64(drift))
	return true
}

// look reads how long the machine was suspended. A machine is never less suspended than it
// was.
func (c *Clock) update() {
	for {
		known, current := c.totalSuspended.Load(), int64(c.readSuspended())
		if current < known+int64(minSuspension) || c.totalSuspended.CompareAndSwap(known, current) {
			return
		}
	}
}

// Since returns the time since a moment of this clock.
func (c *Clock) Since(moment time.Time) time.Duration { return c.Now().Sub(moment) }

// Until returns the time to a moment of this clock.
func (c *Clock) Until(moment time.Time) time.Duration { return moment.Sub(c.Now()) }

// Suspended returns how long the machine was suspended since the start.
func (c *Clock) Suspended() time.Duration {
	if c == nil {
		return 0
	}
	return time.Duration(c.totalSuspended.Load())
}
