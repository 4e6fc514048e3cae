package dispatch

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

const (
	// maxRememberedPaths bounds the number of failed paths remembered.
	maxRememberedPaths = 4096
	// pathFailureTTL is how long a failure of a path counts.
	pathFailureTTL = 30 * time.Second
)

// pathMemory remembers paths on which back ends recently failed. A path that failed on more than
// one back end is assumed to fail on all: retrying a request to it would only spend retry budget.
type pathMemory struct {
	failed *lru.Cache[string, pathFailure]
}

// pathFailure is the last failure of a path.
type pathFailure struct {
	backEnd catalog.Incarnation
	// everywhere is set once the path has failed on more than one back end.
	everywhere bool
	at         time.Time
}

func newPathMemory() *pathMemory {
	failed, err := lru.New[string, pathFailure](maxRememberedPaths)
	if err != nil {
		panic(err) // the size is constant and positive
	}
	return &pathMemory{failed: failed}
}

// note records a failure of the path at a back end.
func (p *pathMemory) note(now time.Time, path string, backEnd catalog.Incarnation) {
	known, ok := p.failed.Get(path)
	everywhere := ok && now.Sub(known.at) < pathFailureTTL && (known.everywhere || known.backEnd != backEnd)
	p.failed.Add(path, pathFailure{backEnd: backEnd, everywhere: everywhere, at: now})
}

// clear records a success of the path.
func (p *pathMemory) clear(path string) { p.failed.Remove(path) }

// failsEverywhere reports whether the path recently failed on more than one back end.
func (p *pathMemory) failsEverywhere(now time.Time, path string) bool {
	known, ok := p.failed.Peek(path)
	return ok && known.everywhere && now.Sub(known.at) < pathFailureTTL
}
