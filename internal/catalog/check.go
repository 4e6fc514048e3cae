package catalog

import (
	"math"
	"net/netip"
	"time"
)

const (
	// maxSlots and maxWarmUp limit the values of an entry. MaxRolloutDuration limits the time
	// within which an order moves a service to another version.
	maxSlots           = 1 << 20
	maxWarmUp          = 24 * time.Hour
	MaxRolloutDuration = 7 * 24 * time.Hour
)

// WithCapacity validates the entry and returns it with the slots and the warm-up in milliseconds
// that its writer gave. It returns the fault if there is one, or "".
func (e Entry) WithCapacity(slots, warmUpMillis float64) (Entry, Fault) {
	for _, field := range []string{e.BackEnd.Service, e.BackEnd.Address, e.BackEnd.Zone} {
		if field == "" {
			return Entry{}, MissingField
		}
	}
	isCount := slots >= 0 && slots <= maxSlots && slots == math.Trunc(slots)
	if !isDialable(e.BackEnd.Address) || !isCount || warmUpMillis < 0 || warmUpMillis > float64(maxWarmUp.Milliseconds()) || e.BackEnd.Born < 0 {
		return Entry{}, OutOfRange
	}
	e.BackEnd.Slots = int(slots)
	e.BackEnd.WarmUp = time.Duration(math.Round(warmUpMillis * float64(time.Millisecond)))
	return e, ""
}

// isDialable reports whether the text is the address and port of one machine.
func isDialable(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified() && !address.Addr().IsMulticast()
}

// Check returns the order's fault, or "".
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
