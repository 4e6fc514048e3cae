package membership

import (
	"math"
	"time"
)

// damper keeps a flapping node from being trusted at every return. Each loss
// adds a penalty that decays by half in a fixed time, as in BGP route flap
// damping (RFC 2439).
type damper struct {
	penalty    float64
	decayedAt  time.Time
	suppressed bool
}

const (
	// dampingHalfLife halves the penalty.
	penaltyHalfLife = 30 * time.Second
	// dampingSuppress is the penalty above which the node is doubtful.
	suppressThreshold = 2.5
	// dampingReuse is the penalty below which it is trusted again.
	reuseThreshold = 1.0
	// dampingMaximum bounds the penalty, and so the longest suppression to
	// about two half-lives.
	maxPenalty = 4.0
)

// lost adds the penalty of one loss.
func (d *damper) addPenalty(now time.Time) {
	d.decay(now)
	d.penalty = math.Min(d.penalty+1, maxPenalty)
	if d.penalty > suppressThreshold {
		d.suppressed = true
	}
}

// isSuppressed tells whether the node is still doubtful.
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

func (d *damper) decay(now time.Time) {
	if !d.decayedAt.IsZero() {
		halvings := now.Sub(d.decayedAt).Seconds() / penaltyHalfLife.Seconds()
		d.penalty *= math.Exp2(-halvings)
	}
	d.decayedAt = now
}
