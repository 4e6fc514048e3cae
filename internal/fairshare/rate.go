package fairshare

import (
	"math"
	"time"
)

const (
	// timeConstant is the time constant of the averages by which tenants are compared: several
	// intervals of the exchange between gateways, and short compared with a surge.
	timeConstant = time.Second
	// recentTimeConstant is the time constant of the averages that show whether anything is being
	// refused. With timeConstant, tenants would still be marked four seconds after a surge.
	recentTimeConstant = 250 * time.Millisecond
)

// rate is an exponentially weighted average of work per second.
type rate struct {
	constant float64 // time constant in seconds
	value    float64 // at the time notedAt
	notedAt  time.Time
}

func newRate(constant time.Duration) rate { return rate{constant: constant.Seconds()} }

func (r *rate) note(now time.Time, work float64) {
	r.value, r.notedAt = r.at(now)+work/r.constant, now
}

// withdraw removes what note added at the given time and hasn't decayed since.
func (r *rate) withdraw(now, at time.Time, work float64) {
	r.value, r.notedAt = max(0, r.at(now)-work/r.constant*r.decay(now.Sub(at))), now
}

func (r *rate) at(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * r.decay(now.Sub(r.notedAt))
}

func (r *rate) decay(elapsed time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / r.constant)
}
