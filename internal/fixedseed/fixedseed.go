// Package fixedseed gives property tests a fixed seed, so that they have the
// same verdict every time. Test files import it for its effect; the flag
// -rapid.seed still overrides it.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag that is set below
)

// seed has no meaning; it only must not change by itself.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // the flag is gone: the tests would no longer be repeatable
	}
}
