package dispatch

import "time"

// Health is what a gateway believes of a back end from the answers it gets; no
// probe is sent.
type Health uint8

// The values of Health.
const (
	// Healthy back ends are chosen as usual.
	Healthy Health = iota
	// OnTrial means that its ejection has ended: one request at a time that may
	// be repeated finds out whether it is back.
	OnTrial
	// Silent back ends have let requests wait without any answer.
	Silent
	// Ejected back ends broke off, could not be reached, or failed much more
	// often than their pool.
	Ejected
	// Resting back ends have turned this gateway away and asked it to leave them alone.
	Resting
)

var healthNames = map[Health]string{Healthy: "healthy", OnTrial: "on_trial", Silent: "silent", Ejected: "ejected", Resting: "resting"}

// String returns the name used in logs.
func (h Health) String() string { return healthNames[h] }

const (
	// firstEjection and longestEjection bound the time without requests; it
	// doubles with each failure in a row.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
	// breaksToEject is the number of breaks in a row that eject. A connection
	// that can't be made ejects at once.
	failuresToEject = 2
	// silenceLimit is how long requests may wait without any answer.
	silenceLimit = time.Second
	// errorWeight is the weight of the newest outcome in the error rate.
	errorWeight = 0.15
	// errorsToEject is the least error rate that ejects, and errorsOverPool how
	// many times its pool's rate it must be.
	ejectionErrorRate  = 0.35
	ejectionPoolFactor = 2.0
	// errorEjection is how long a failing back end is left alone.
	errorEjectionTime = 2 * time.Second
	// trialPatience is how long after an ejection only requests that may be
	// repeated are tried.
	repeatableTrialTime = 2 * time.Second
)

// health is the state machine behind Health.
type health struct {
	consecutiveFailures int
	ejectedUntil        time.Time
	onTrial             bool
	trials              int
	errorRate           float64
	awaiting            int
	quietSince          time.Time
	// allowance is added to the time that counts as silence.
	allowance time.Duration
	// disabled switches mechanisms off; see Disabled.
	disabled Disabled
	// displaced is set when another back end was met at its address: its incarnation has
	// ended, whatever the list says.
	displaced bool
	// restUntil is until when it wants nothing.
	retryAt time.Time
	// connectsFailed is set while the last sign was a connection that could not be
	// made.
	lastConnectFailed bool
}

// reachable tells whether another back end may copy from this one: what it
// answers to callers doesn't matter, only that it is there and doesn't want to be left alone.
func (h *health) reachable(now time.Time) bool {
	return !h.lastConnectFailed && !h.displaced && h.retryWait(now) == 0 && h.status(now) != Silent
}

// rest notes that it wants nothing for so long. Then one request at a time finds out whether
// it takes work again: a crowd that has waited for the moment would make it rest once more.
func (h *health) setRetryAfter(now time.Time, wait time.Duration) {
	if until := now.Add(wait); until.After(h.retryAt) {
		h.retryAt = until
	}
	h.onTrial = true
}

// restLeft returns for how long it wants nothing; 0 for one that takes work.
func (h *health) retryWait(now time.Time) time.Duration { return max(0, h.retryAt.Sub(now)) }

func (h *health) status(now time.Time) Health {
	if h.displaced || now.Before(h.ejectedUntil) && !h.disabled[Ejection] {
		return Ejected
	}
	if h.retryWait(now) > 0 {
		return Resting
	}
	if !h.disabled[SilenceDetection] && h.awaiting > 0 && now.Sub(h.quietSince) > silenceLimit+h.allowance {
		return Silent
	}
	if h.onTrial && !h.disabled[Ejection] && !h.disabled[Trials] {
		return OnTrial
	}
	return Healthy
}

// usable tells whether a request may go to the back end while others would do.
func (h *health) usable(now time.Time, mayRepeat bool) bool {
	switch h.status(now) {
	case Healthy:
		return true
	case OnTrial:
		return h.trials == 0 && (mayRepeat || now.Sub(h.ejectedUntil) > repeatableTrialTime)
	default:
		return false
	}
}

// sent notes a request that waits for its answer.
func (h *health) sent(now time.Time) {
	if h.awaiting == 0 {
		h.quietSince = now
	}
	h.awaiting++
	if h.onTrial {
		h.trials++
	}
}

// settled notes the end of a wait, however it ended.
func (h *health) waitEnded() {
	h.awaiting = max(h.awaiting-1, 0)
	h.trials = max(h.trials-1, 0)
}

// answered notes an answer of the back end's own.
func (h *health) answered(now time.Time) {
	h.quietSince = now
	h.consecutiveFailures = 0
	h.lastConnectFailed = false
}

// good notes an answer that shows that the back end works.
func (h *health) succeeded(now time.Time) {
	h.answered(now)
	h.onTrial = false
	h.errorRate -= errorWeight * h.errorRate
}

// bad notes an answer that the back end failed or refused without need.
func (h *health) failed(now time.Time, poolRate float64) {
	h.answered(now)
	h.errorRate += errorWeight * (1 - h.errorRate)
	if h.onTrial || h.errorRate > ejectionErrorRate && h.errorRate > ejectionPoolFactor*poolRate {
		h.eject(now, errorEjectionTime)
		h.errorRate = ejectionErrorRate / 2
	}
}

// broke notes a connection that ended without an answer.
func (h *health) connectionLost(now time.Time) {
	h.consecutiveFailures++
	if h.consecutiveFailures >= failuresToEject || h.onTrial {
		h.eject(now, h.ejectionTime())
	}
}

// unreachable notes a connection that could not be made.
func (h *health) connectFailed(now time.Time) {
	h.consecutiveFailures++
	h.lastConnectFailed = true
	h.eject(now, h.ejectionTime())
}

func (h *health) ejectionTime() time.Duration {
	wait := baseEjectionTime
	for i := 1; i < h.consecutiveFailures && wait < maxEjectionTime; i++ {
		wait *= 2
	}
	return min(wait, maxEjectionTime)
}

func (h *health) eject(now time.Time, wait time.Duration) {
	h.onTrial = true
	if until := now.Add(wait); until.After(h.ejectedUntil) {
		h.ejectedUntil = until
	}
}
