package dispatch

import (
	"fmt"
	"strconv"
)

// Fingerprint stands for all requests with the same content, whatever their IDs.
type Fingerprint uint64

// ParseFingerprint reads what String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	return Fingerprint(value), err
}

// String returns it as logs show it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
