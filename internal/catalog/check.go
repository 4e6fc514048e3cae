package catalog

import (
	"math"
	"net/netip"
	"time"
)

const (
	// mostSlots and longestWarmUp bound what an entry may tell, LongestRollout the time of an
	// order to move a service.
	maxSlots           = 1 << 20
	maxWarmUp          = 24 * time.Hour
	MaxRolloutDuration = 7 * 24 * time.Hour
)

// WithSizes returns the entry with slots and a warm-up in milliseconds, as another writer told
// them, and what is wrong with it, or "".
func (e Entry) WithCapacity(slots, warmUpMillis float64) (Entry, Fault) {
	for _, field := range []string{e.BackEnd.Service, e.BackEnd.Address, e.BackEnd.Zone} {
		if field == "" {
			return Entry{}, MissingField
		}
	}
	_, err := netip.ParseAddrPort(e.BackEnd.Address)
	isCount := slots >= 0 && slots <= maxSlots && slots == math.Trunc(slots)
	if err != nil || !isCount || warmUpMillis < 0 || warmUpMillis > float64(maxWarmUp.Milliseconds()) || e.BackEnd.Born < 0 {
		return Entry{}, OutOfRange
	}
	e.BackEnd.Slots = int(slots)
	e.BackEnd.WarmUp = time.Duration(math.Round(warmUpMillis * float64(time.Millisecond)))
	return e, ""
}

// Check returns what is wrong with the order, or "".
func (r Rollout) Check() Fault {
	switch {
	case r.Service == "" || r.Target == "":
		return MissingField
	case r.Duration <= 0 || r.Duration > MaxRolloutDuration:
		return OutOfRange
	default:
		return ""
	}
}
