package membership

import (
	"math"
	"time"
)

// damper keeps a flapping node from being trusted each time it returns. Each loss adds a penalty
// that decays exponentially, as in BGP route flap damping (RFC 2439).
type damper struct {
	penalty    float64
	decayedAt  time.Time
	suppressed bool
}

const (
	// penaltyHalfLife is the time in which the penalty decays by half.
	penaltyHalfLife = 30 * time.Second
	// suppressThreshold is the penalty above which the node is suppressed.
	suppressThreshold = 2.5
	// reuseThreshold is the penalty below which the node is trusted again.
	reuseThreshold = 1.0
	// maxPenalty limits the penalty, and so the suppression after the last loss to about two
	// half-lives.
	maxPenalty = 4.0
)

// addPenalty adds the penalty of one loss.
func (d *damper) addPenalty(now time.Time) {
	d.decay(now)
	d.penalty = math.Min(d.penalty+1, maxPenalty)
	if d.penalty > suppressThreshold {
		d.suppressed = true
	}
}

// isSuppressed reports whether the node is still suppressed.
func (d *damper) isSuppressed(now time.Time) bool {
	if !d.suppressed {
		return false
	}
	d.decay(now)
	if d.penalty < reuseThreshold {
		d.suppressed = false
	}
	return d.suppressed
}

// decay reduces the penalty according to the time since the last call.
func (d *damper) decay(now time.Time) {
	if !d.decayedAt.IsZero() {
		halvings := now.Sub(d.decayedAt).Seconds() / penaltyHalfLife.Seconds()
		d.penalty *= math.Exp2(-halvings)
	}
	d.decayedAt = now
}
