// Package fixedseed gives property tests a fixed seed, so that every run has the
// same result. Test files import it for its side effect; the flag -rapid.seed still
// overrides the seed.
package fixedseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag that is set below
)

// seed is an arbitrary value that must stay the same from run to run.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err) // without the flag the tests would not be repeatable
	}
}
