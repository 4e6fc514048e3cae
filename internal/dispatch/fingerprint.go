package dispatch

import "fmt"

// Fingerprint stands for all requests with the same content, whatever their IDs.
type Fingerprint uint64

// String returns it as logs show it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
