package catalog

import (
	"math"
	"net/netip"
	"strings"
	"time"
	"unicode"
)

const (
	// maxSlots and maxWarmUp limit the values of an entry. MaxRolloutDuration limits the time
	// within which an order moves a service to another version.
	maxSlots           = 1 << 20
	maxWarmUp          = 24 * time.Hour
	MaxRolloutDuration = 7 * 24 * time.Hour
	// MaxNameBytes limits the names and versions that objects have: they go into headers, log lines, metrics and messages
	// between gateways.
	MaxNameBytes = 1024
)

// IsName reports whether the text may be the name of an object, a service or a zone, or a version: it isn't too long, and
// fits into a header.
func IsName(text string) bool {
	return len(text) <= MaxNameBytes && !strings.ContainsFunc(text, unicode.IsControl)
}

// WithCapacity validates the entry and returns it with the slots and the warm-up in milliseconds
// that its writer gave. It returns the fault if there is one, or "".
func (e Entry) WithCapacity(slots, warmUpMillis float64) (Entry, Fault) {
	for _, field := range []string{e.BackEnd.Service, e.BackEnd.Address, e.BackEnd.Zone} {
		if field == "" {
			return Entry{}, MissingField
		}
	}
	for _, name := range []string{e.BackEnd.ID, e.BackEnd.Service, e.BackEnd.Zone, e.BackEnd.Version} {
		if !IsName(name) {
			return Entry{}, OutOfRange
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
