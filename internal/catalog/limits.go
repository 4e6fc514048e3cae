package catalog

import (
	"math"
	"time"
)

// Limits restricts what callers may send, and how long they may take or rest. A limit of 0 means that the
// configuration sets none, and each gateway applies its own.
type Limits struct {
	// MaxBodyBytes is the largest size of a request body.
	MaxBodyBytes int64 `cbor:"1,keyasint,omitempty"`
	// MaxHeaderBytes is the largest size of a request line with its header fields.
	MaxHeaderBytes int64 `cbor:"2,keyasint,omitempty"`
	// HeaderTimeout is the longest time that a caller may take to send them.
	HeaderTimeout time.Duration `cbor:"3,keyasint,omitempty"`
	// IdleTimeout is how long a connection may rest between two requests. Callers reuse one that has rested
	// for a little less.
	IdleTimeout time.Duration `cbor:"4,keyasint,omitempty"`
	// Unusable names the limits in the operators' document whose values can't be limits. They count as not set.
	Unusable []string `cbor:"-"`
}

// NoteUnusable adds the name of a limit of the operators' document to Unusable, if it is unusable.
func (l *Limits) NoteUnusable(name string, isUnusable bool) {
	if isUnusable {
		l.Unusable = append(l.Unusable, name)
	}
}

// maxLimitBytes and maxLimitTime are the highest limits; higher ones are taken as these.
const (
	maxLimitBytes = 1 << 40
	maxLimitTime  = 24 * time.Hour
)

// LimitBytes returns a number of bytes as a limit. A number that can't be one gives 0.
func LimitBytes(bytes float64) int64 {
	if !(bytes > 0) { // also for NaN
		return 0
	}
	return int64(math.Ceil(min(bytes, maxLimitBytes)))
}

// LimitTime returns a number of milliseconds as a limit. A number that can't be one gives 0.
func LimitTime(milliseconds float64) time.Duration {
	if !(milliseconds > 0) { // also for NaN
		return 0
	}
	return time.Duration(math.Ceil(min(milliseconds*float64(time.Millisecond), float64(maxLimitTime))))
}

// setsConnectionLimits reports whether a limit on heads or on idle connections is set.
func (l Limits) setsConnectionLimits() bool {
	return l.MaxHeaderBytes > 0 || l.HeaderTimeout > 0 || l.IdleTimeout > 0
}
