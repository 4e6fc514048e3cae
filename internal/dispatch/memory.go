package dispatch

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// rememberedParts bounds the memory for prompt parts.
	rememberedParts = 16384
	// holdersPerPart is how many back ends are remembered for a part.
	holdersPerPart = 4
	// holdingTime is how long a back end is believed to keep a part unused.
	holdingTime = time.Minute
	// rememberedPaths bounds the memory for paths that failed.
	rememberedPaths = 4096
	// failingTime is how long a path is believed to fail everywhere.
	failingTime = 30 * time.Second
)

// holder is a back end that read a part.
type holder struct {
	backEnd string
	usedAt  time.Time
}

// holderMemory remembers which back ends this gateway had read a prompt part,
// the latest first. It is a guess that ages: the part may have given way.
type holderMemory struct {
	parts *lru.Cache[string, []holder]
}

func newHolderMemory() *holderMemory {
	parts, err := lru.New[string, []holder](rememberedParts)
	if err != nil {
		panic(err) // the size is fixed and above 0
	}
	return &holderMemory{parts: parts}
}

func (h *holderMemory) note(now time.Time, part, backEnd string) {
	known, _ := h.parts.Get(part)
	list := make([]holder, 1, holdersPerPart)
	list[0] = holder{backEnd: backEnd, usedAt: now}
	for _, other := range known {
		if other.backEnd != backEnd && len(list) < holdersPerPart {
			list = append(list, other)
		}
	}
	h.parts.Add(part, list)
}

// holding returns the back ends that are believed to keep the part.
func (h *holderMemory) holding(now time.Time, part string) []string {
	known, _ := h.parts.Get(part)
	var ids []string
	for _, each := range known {
		if now.Sub(each.usedAt) < holdingTime {
			ids = append(ids, each.backEnd)
		}
	}
	return ids
}

// pathMemory remembers paths that failed on two back ends: a further attempt
// there would only spend budget.
type pathMemory struct {
	failed *lru.Cache[string, pathFailure]
}

type pathFailure struct {
	backEnd    string
	everywhere bool
	at         time.Time
}

func newPathMemory() *pathMemory {
	failed, err := lru.New[string, pathFailure](rememberedPaths)
	if err != nil {
		panic(err) // the size is fixed and above 0
	}
	return &pathMemory{failed: failed}
}

// note takes a failure of the path at a back end.
func (p *pathMemory) note(now time.Time, path, backEnd string) {
	known, ok := p.failed.Get(path)
	everywhere := ok && now.Sub(known.at) < failingTime && (known.everywhere || known.backEnd != backEnd)
	p.failed.Add(path, pathFailure{backEnd: backEnd, everywhere: everywhere, at: now})
}

// clear notes that the path succeeded.
func (p *pathMemory) clear(path string) { p.failed.Remove(path) }

// failsEverywhere tells whether the path failed on more than one back end of
// late.
func (p *pathMemory) failsEverywhere(now time.Time, path string) bool {
	known, ok := p.failed.Peek(path)
	return ok && known.everywhere && now.Sub(known.at) < failingTime
}
