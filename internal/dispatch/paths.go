package dispatch

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

const (
	// rememberedPaths bounds the memory for paths that failed.
	maxRememberedPaths = 4096
	// failingTime is how long a path is believed to fail everywhere.
	pathFailureTTL = 30 * time.Second
)

// pathMemory remembers paths that failed on two back ends: a further attempt
// there would only spend budget.
type pathMemory struct {
	failed *lru.Cache[string, pathFailure]
}

type pathFailure struct {
	backEnd    catalog.Incarnation
	everywhere bool
	at         time.Time
}

func newPathMemory() *pathMemory {
	failed, err := lru.New[string, pathFailure](maxRememberedPaths)
	if err != nil {
		panic(err) // the size is fixed and above 0
	}
	return &pathMemory{failed: failed}
}

// note takes a failure of the path at a back end.
func (p *pathMemory) note(now time.Time, path string, backEnd catalog.Incarnation) {
	known, ok := p.failed.Get(path)
	everywhere := ok && now.Sub(known.at) < pathFailureTTL && (known.everywhere || known.backEnd != backEnd)
	p.failed.Add(path, pathFailure{backEnd: backEnd, everywhere: everywhere, at: now})
}

// clear notes that the path succeeded.
func (p *pathMemory) clear(path string) { p.failed.Remove(path) }

// failsEverywhere tells whether the path failed on more than one back end of
// late.
func (p *pathMemory) failsEverywhere(now time.Time, path string) bool {
	known, ok := p.failed.Peek(path)
	return ok && known.everywhere && now.Sub(known.at) < pathFailureTTL
}
