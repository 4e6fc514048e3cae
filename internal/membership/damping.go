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
	at         time.Time
	suppressed bool
}

const (
	// dampingHalfLife halves the penalty.
	dampingHalfLife = 30 * time.Second
	// dampingSuppress is the penalty above which the node is doubtful.
	dampingSuppress = 2.5
	// dampingReuse is the penalty below which it is trusted again.
	dampingReuse = 1.0
	// dampingMaximum bounds the penalty, and so the longest suppression to
	// about two half-lives.
	dampingMaximum = 4.0
)

// lost adds the penalty of one loss.
func (d *damper) lost(now time.Time) {
	d.decay(now)
	d.penalty = math.Min(d.penalty+1, dampingMaximum)
	if d.penalty > dampingSuppress {
		d.suppressed = true
	}
}

// isSuppressed tells whether the node is still doubtful.
func (d *damper) isSuppressed(now time.Time) bool {
	if !d.suppressed {
		return false
	}
	d.decay(now)
	if d.penalty < dampingReuse {
		d.suppressed = false
	}
	return d.suppressed
}

func (d *damper) decay(now time.Time) {
	if !d.at.IsZero() {
		halvings := now.Sub(d.at).Seconds() / dampingHalfLife.Seconds()
		d.penalty *= math.Exp2(-halvings)
	}
	d.at = now
}
