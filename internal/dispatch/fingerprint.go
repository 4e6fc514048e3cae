package dispatch

import (
	"fmt"
	"strconv"
)

// Fingerprint identifies all requests with the same content, regardless of their IDs.
type Fingerprint uint64

// ParseFingerprint parses the form that String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	return Fingerprint(value), err
}

// String returns the fingerprint in the form used in logs.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
