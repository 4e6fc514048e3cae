package coordination

import "time"

// pauseThreshold is the time between two steps above which the process is assumed to have been
// paused. Ticks occur several times a second.
const pauseThreshold = 1500 * time.Millisecond

// pauseClock detects pauses of the process and determines the age of what peers report.
//
// A process that resumes after a pause has outdated state, and its buffers may hold messages that
// were correct long ago. Two rules keep it from acting on them. First, what a message confirms is
// dated by the echo of the node's own stamp, which can't be later than the creation of the message.
// Second, Node.HasFreshContact stays false until an echo of a stamp made after the pause arrives.
type pauseClock struct {
	startedAt  time.Time
	lastStepAt time.Time
	resumedAt  time.Time
	lastEchoAt time.Time
}

// step records that the process is running at now, and detects a pause before it.
func (c *pauseClock) step(now time.Time, ignorePauses bool) {
	if now.Sub(c.lastStepAt) > pauseThreshold && !ignorePauses {
		c.resumedAt = now
	}
	if now.After(c.lastStepAt) {
		c.lastStepAt = now
	}
}

// runningSince returns when the process started or last resumed after a pause.
func (c *pauseClock) runningSince() time.Time {
	if c.resumedAt.After(c.startedAt) {
		return c.resumedAt
	}
	return c.startedAt
}

// stamp returns the current time as a Message.Stamp.
func (c *pauseClock) stamp(now time.Time) int64 {
	return max(1, now.Sub(c.startedAt).Milliseconds()+1)
}

// echoTime returns the time at which an echoed stamp was made. Stamps are rounded down, so the
// result is never later than the true time.
func (c *pauseClock) echoTime(echo int64) time.Time {
	return c.startedAt.Add(time.Duration(echo-1) * time.Millisecond)
}

// recordEcho records an echo and returns the duration to add to the ages in its message. It is
// zero in normal operation. If the echoed stamp is from before a pause, the message may be too, and
// the duration is the whole time since that stamp. After a pause, it is the whole time since the
// start for a message without an echo, until an echo of a stamp made after the pause has arrived on
// any link.
func (c *pauseClock) recordEcho(now time.Time, echo int64) time.Duration {
	if echo == 0 {
		if c.lastEchoAt.Before(c.resumedAt) {
			return now.Sub(c.startedAt)
		}
		return 0
	}
	at := c.echoTime(echo)
	if at.After(c.lastEchoAt) {
		c.lastEchoAt = at
	}
	if at.Before(c.resumedAt) {
		return now.Sub(at)
	}
	return 0
}
