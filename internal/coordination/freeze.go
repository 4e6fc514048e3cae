package coordination

import "time"

// freezeAfter is the time between two steps from which the process is taken to
// have been paused. Ticks come several times a second.
const pauseThreshold = 1500 * time.Millisecond

// freezeClock notices that the process was paused and dates what peers say.
//
// A paused process wakes with its old beliefs and with messages in its buffers
// that were true long ago. Two rules keep it from acting on them: what a message
// confirms is dated by the echo of the node's own stamp, which can't be later
// than the making of the message, and FreshContact stays false until an echo
// from after the pause has come back.
type pauseClock struct {
	startedAt  time.Time
	lastStepAt time.Time
	resumedAt  time.Time
	lastEchoAt time.Time
}

// step notes that the process runs.
func (c *pauseClock) step(now time.Time, ignorePauses bool) {
	if now.Sub(c.lastStepAt) > pauseThreshold && !ignorePauses {
		c.resumedAt = now
	}
	if now.After(c.lastStepAt) {
		c.lastStepAt = now
	}
}

func (c *pauseClock) runningSince() time.Time {
	if c.resumedAt.After(c.startedAt) {
		return c.resumedAt
	}
	return c.startedAt
}

// stamp returns the present moment as a Stamp.
func (c *pauseClock) stamp(now time.Time) int64 {
	return max(1, now.Sub(c.startedAt).Milliseconds()+1)
}

// echoTime returns the moment that an echoed stamp stands for. It rounds down,
// so the moment is never later than the true one.
func (c *pauseClock) echoTime(echo int64) time.Time {
	return c.startedAt.Add(time.Duration(echo-1) * time.Millisecond)
}

// echoed notes an echo and returns how far the ages in its message must be
// raised: not at all in normal running, and by the whole time since the echoed
// stamp while the message may date from before a pause.
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
