package dispatch

import "time"

// Health is the assumed health of a back end. It is derived from the outcomes of requests; no
// probes are sent.
type Health uint8

// The values of Health.
const (
	// Healthy back ends are chosen normally.
	Healthy Health = iota
	// OnTrial back ends were ejected or resting until recently: one request at a time tests
	// whether they work again. Shortly after an ejection only a repeatable one is used.
	OnTrial
	// Silent back ends have left requests waiting without any answer.
	Silent
	// Ejected back ends couldn't be connected to, repeatedly gave no valid answer, or failed
	// much more often than the rest of their pool or in a trial. A back end whose address is
	// used by another one counts as ejected, too.
	Ejected
	// Resting back ends refused a request of this gateway with a Retry-After that hasn't passed.
	Resting
)

var healthNames = map[Health]string{Healthy: "healthy", OnTrial: "on_trial", Silent: "silent", Ejected: "ejected", Resting: "resting"}

// String returns the name used in logs.
func (h Health) String() string { return healthNames[h] }

const (
	// baseEjectionTime and maxEjectionTime bound the duration of an ejection for attempts
	// without a valid answer; it doubles with each consecutive one.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
	// failuresToEject is the number of consecutive attempts without a valid answer that eject
	// a back end. A failed connection attempt ejects it at once, as does a failed trial.
	failuresToEject = 2
	// silenceLimit is how long requests may wait without any answer from the back end.
	silenceLimit = time.Second
	// busySilenceLimit is the same for a busy back end, where the first token may wait for prompts
	// that were sent before.
	busySilenceLimit = 3 * time.Second
	// errorWeight is the weight of the newest outcome in the error rate.
	errorWeight = 0.15
	// A back end is ejected if its error rate exceeds both ejectionErrorRate and
	// ejectionPoolFactor times the error rate of its pool.
	ejectionErrorRate  = 0.35
	ejectionPoolFactor = 2.0
	// errorEjectionTime is how long a back end is ejected for its error rate.
	errorEjectionTime = 2 * time.Second
	// repeatableTrialTime is how long after the end of an ejection only repeatable requests
	// are used as trials.
	repeatableTrialTime = 2 * time.Second
)

// health is the state machine that determines Health.
type health struct {
	consecutiveFailures int
	ejectedUntil        time.Time
	// onTrial is set from an ejection or a Retry-After until a request succeeds. trials is
	// raised for each request sent in that state, and lowered whenever a request no longer waits.
	onTrial   bool
	trials    int
	errorRate float64
	// awaiting counts the requests that wait for an answer. quietSince is when the back end last
	// answered, or when the first of these requests was sent.
	awaiting   int
	quietSince time.Time
	// allowance is added to silenceLimit; see Core.SetLag.
	allowance time.Duration
	// busy is set while the back end's load explains that requests wait longer than silenceLimit.
	busy bool
	// disabled is the set of mechanisms that are switched off; see Disabled.
	disabled Disabled
	// displaced is set when another back end was found at its address: the incarnation has
	// ended, even if it is still listed.
	displaced bool
	// retryAt is when the back end's last Retry-After has passed.
	retryAt time.Time
	// lastConnectFailed is set if the back end hasn't answered since a connection attempt failed.
	lastConnectFailed bool
	// lastFailureAt is when an attempt last failed, for any reason.
	lastFailureAt time.Time
}

// reachable reports whether the back end presumably accepts connections and answers, and hasn't
// asked for a pause. That suffices for other back ends to copy from it, and for requests if most
// of its pool isn't usable: its error rate doesn't matter.
func (h *health) reachable(now time.Time) bool {
	return !h.lastConnectFailed && !h.displaced && h.retryWait(now) == 0 && h.status(now) != Silent
}

// setRetryAfter records that the back end wants no requests for the given time. After that
// time it gets one request at a time, to test whether it accepts work again: if all waiting
// requests arrived at that moment, it would ask for a pause again.
func (h *health) setRetryAfter(now time.Time, wait time.Duration) {
	if until := now.Add(wait); until.After(h.retryAt) {
		h.retryAt = until
	}
	h.onTrial = true
}

// retryWait returns how much of the back end's Retry-After is left; 0 if it accepts requests.
func (h *health) retryWait(now time.Time) time.Duration { return max(0, h.retryAt.Sub(now)) }

func (h *health) status(now time.Time) Health {
	if h.displaced || now.Before(h.ejectedUntil) && !h.disabled[Ejection] {
		return Ejected
	}
	if h.retryWait(now) > 0 {
		return Resting
	}
	if !h.disabled[SilenceDetection] && h.awaiting > 0 && now.Sub(h.quietSince) > h.allowedSilence()+h.allowance {
		return Silent
	}
	if h.onTrial && !h.disabled[Ejection] && !h.disabled[Trials] {
		return OnTrial
	}
	return Healthy
}

// allowedSilence returns how long requests may wait without any answer from the back end.
func (h *health) allowedSilence() time.Duration {
	if h.busy {
		return busySilenceLimit
	}
	return silenceLimit
}

// usable reports whether a request may go to the back end while others are available.
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

// sent records a request that now waits for its answer.
func (h *health) sent(now time.Time) {
	if h.awaiting == 0 {
		h.quietSince = now
	}
	h.awaiting++
	if h.onTrial {
		h.trials++
	}
}

// waitEnded records that a request no longer waits for its answer, for any reason.
func (h *health) waitEnded() {
	h.awaiting = max(h.awaiting-1, 0)
	h.trials = max(h.trials-1, 0)
}

// answered records an answer that came from the back end itself.
func (h *health) answered(now time.Time) {
	h.quietSince = now
	h.consecutiveFailures = 0
	h.lastConnectFailed = false
}

// succeeded records an answer that shows that the back end works.
func (h *health) succeeded(now time.Time) {
	h.answered(now)
	h.onTrial = false
	h.errorRate -= errorWeight * h.errorRate
}

// failed records an error answer, or a refusal although the back end had room.
func (h *health) failed(now time.Time, poolRate float64) {
	h.answered(now)
	h.lastFailureAt = now
	h.errorRate += errorWeight * (1 - h.errorRate)
	if h.onTrial || h.errorRate > ejectionErrorRate && h.errorRate > ejectionPoolFactor*poolRate {
		h.eject(now, errorEjectionTime)
		h.errorRate = ejectionErrorRate / 2
	}
}

// connectionLost records an attempt whose connection was lost, whose answer was invalid, or that
// timed out.
func (h *health) connectionLost(now time.Time) {
	h.lastFailureAt = now
	h.consecutiveFailures++
	if h.consecutiveFailures >= failuresToEject || h.onTrial {
		h.eject(now, h.ejectionTime())
	}
}

// stalled records a stream that was taken up elsewhere because of its silence. All streams of a back end
// that falls silent are taken up at about the same moment, so that counts once, as one failure.
func (h *health) stalled(now time.Time) {
	h.lastFailureAt = now
	h.eject(now, baseEjectionTime)
}

// connectFailed records a failed connection attempt, or one that reached another back end.
func (h *health) connectFailed(now time.Time) {
	h.consecutiveFailures++
	h.lastConnectFailed = true
	h.lastFailureAt = now
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
