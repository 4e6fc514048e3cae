package simulation

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/harriernotch/harriernotch/internal/bundle"
)

// Times of the modelled engine and service.
const (
	prefillPerToken = 150 * time.Microsecond
	decodePerToken  = 30 * time.Millisecond
	// batchSlowdown is the additional time of a token in a full batch, as a share of
	// decodePerToken.
	batchSlowdown = 0.5
	serviceMean   = 200 * time.Millisecond
)

// backEnd is a modelled engine or plain service. The promises are checked against its
// record of runs.
type backEnd struct {
	id   string
	pool string
	kind bundle.PoolKind
	// cache maps a chat to the number of cached tokens of its context.
	cache    *simplelru.LRU[int, int]
	cached   int
	capacity int
	running  int
	// runsByRequest counts the runs of each request, runsByKey those of each
	// idempotency key.
	runsByRequest map[string]int
	runsByKey     map[string]int
}

func newBackEnd(id string, pool *bundle.Pool, capacity int) *backEnd {
	b := &backEnd{id: id, pool: pool.Name, kind: pool.Kind, capacity: capacity, runsByRequest: map[string]int{}, runsByKey: map[string]int{}}
	b.clearCache()
	return b
}

// clearCache empties the cache, as a restart of the engine does.
func (b *backEnd) clearCache() {
	const unbounded = 1 << 30
	b.cached = 0
	// The size is positive, so there is no error.
	b.cache, _ = simplelru.NewLRU[int, int](unbounded, func(_, tokens int) { b.cached -= tokens })
}

// cachedTokens returns the number of cached tokens of the chat's context.
func (b *backEnd) cachedTokens(chat int) int {
	tokens, _ := b.cache.Get(chat)
	return tokens
}

// store caches a chat's context and evicts the least recently used contexts above the
// capacity.
func (b *backEnd) store(chat, tokens int) {
	b.cache.Remove(chat)
	b.cache.Add(chat, tokens)
	b.cached += tokens
	for b.cached > b.capacity {
		b.cache.RemoveOldest()
	}
}

// runTiming holds the time to a run's first token and its total time, and the number of
// prompt tokens found in the cache.
type runTiming struct {
	firstToken time.Duration
	total      time.Duration
	cached     int
}

// startRun starts to run a request and returns its timing.
func (b *backEnd) startRun(s *Simulation, r *request) runTiming {
	b.running++
	b.runsByRequest[r.id]++
	if r.key != "" {
		b.runsByKey[r.key]++
	}
	if b.kind == bundle.PoolService {
		took := s.loop.exponential(serviceMean)
		return runTiming{firstToken: took, total: took}
	}
	cached := min(b.cachedTokens(r.chat.index), r.promptTokens)
	prefill := time.Duration(r.promptTokens-cached) * prefillPerToken
	slowdown := 1 + batchSlowdown*float64(b.running)/float64(s.options.Size.maxRunning)
	decode := time.Duration(float64(r.outputTokens) * slowdown * float64(decodePerToken))
	return runTiming{firstToken: prefill + decodePerToken, total: prefill + decode, cached: cached}
}

// endRun ends a run. If it completed, the chat's context with the answer is cached.
func (b *backEnd) endRun(r *request, completed bool) {
	b.running--
	if completed && r.chat != nil {
		b.store(r.chat.index, r.promptTokens+r.outputTokens)
	}
}
