package standin

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// EngineConfig configures a model engine.
type EngineConfig struct {
	// Models are the model names it serves.
	Models []string
	// MaxBatch is the number of requests that it decodes concurrently. Default 32.
	MaxBatch int
	// PrefillPerToken is the prefill time of one uncached prompt token. Default 50µs.
	PrefillPerToken time.Duration
	// DecodeStep is the time between two tokens with an empty batch. It grows linearly to twice
	// this time with a full batch. Default 2ms.
	DecodeStep time.Duration
	// CachedPrefixes is the number of prompt prefixes that the cache holds. Default 1024.
	CachedPrefixes int
	// LoadLag is the age of the reported load. Default 500ms.
	LoadLag time.Duration
	// EventGap drops every EventGap-th cache event from the reports; 0 drops none.
	EventGap int
}

func (c *EngineConfig) applyDefaults() {
	c.MaxBatch = cmp.Or(c.MaxBatch, 32)
	c.PrefillPerToken = cmp.Or(c.PrefillPerToken, 50*time.Microsecond)
	c.DecodeStep = cmp.Or(c.DecodeStep, 2*time.Millisecond)
	c.CachedPrefixes = cmp.Or(c.CachedPrefixes, 1024)
	c.LoadLag = cmp.Or(c.LoadLag, 500*time.Millisecond)
}

// Engine models a continuously batching engine with a prefix cache.
type Engine struct {
	config EngineConfig

	mutex   sync.Mutex
	running int
	waiting []*engineWaiter
	prefix  *lru.Cache[uint64, int]
	events  []CacheEvent
	history []loadSample
	streams map[string]*engineStream
	epoch   uint64
	loaded  []string
	runs    []Run
}

// engineWaiter is a request that waits for a slot in the batch.
type engineWaiter struct {
	priority int
	ready    chan struct{}
}

// loadSample is the load from a point in time until the next sample.
type loadSample struct {
	at      time.Time
	running int
	waiting int
}

// CacheEvent reports one prefix that was stored in the prefix cache or evicted from it.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Tokens   int    `json:"tokens"`
	Stored   bool   `json:"stored"`
}

// NewEngine returns an engine with an empty cache.
func NewEngine(config EngineConfig) *Engine {
	config.applyDefaults()
	engine := &Engine{config: config, streams: map[string]*engineStream{}, loaded: config.Models}
	cache, err := lru.NewWithEvict(config.CachedPrefixes, func(prefix uint64, tokens int) {
		engine.recordEvent(prefix, tokens, false)
	})
	if err != nil {
		panic(err) // only a size below 1 fails; applyDefaults excludes it
	}
	engine.prefix = cache
	return engine
}

// recordEvent appends a cache event. The mutex is held.
func (e *Engine) recordEvent(prefix uint64, tokens int, stored bool) {
	sequence := len(e.events) + 1
	e.events = append(e.events, CacheEvent{Sequence: sequence, Prefix: prefix, Tokens: tokens, Stored: stored})
}

// Handler serves the engine's API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache/events", e.serveEvents)
	mux.HandleFunc("GET /kv/{prefix}", e.serveExport)
	mux.HandleFunc("PUT /kv/{prefix}", e.serveImport)
	mux.HandleFunc("POST /orders", e.serveOrder)
	return mux
}

// Runs returns the requests that the engine has started to run.
func (e *Engine) Runs() []Run {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.runs)
}

// acquire waits for a slot in the batch. The lowest priority number goes first, and requests of
// equal priority go in order of arrival.
func (e *Engine) acquire(ctx context.Context, priority int) error {
	e.mutex.Lock()
	if e.running < e.config.MaxBatch {
		e.running++
		e.sampleLoad()
		e.mutex.Unlock()
		return nil
	}
	waiter := &engineWaiter{priority: priority, ready: make(chan struct{})}
	e.waiting = append(e.waiting, waiter)
	slices.SortStableFunc(e.waiting, func(a, b *engineWaiter) int { return cmp.Compare(a.priority, b.priority) })
	e.sampleLoad()
	e.mutex.Unlock()
	select {
	case <-waiter.ready:
		return nil
	case <-ctx.Done():
		e.abandon(waiter)
		return ctx.Err()
	}
}

// abandon removes a waiter from the queue, or releases the slot if it has just got one.
func (e *Engine) abandon(waiter *engineWaiter) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if i := slices.Index(e.waiting, waiter); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return
	}
	e.releaseLocked()
}

func (e *Engine) release() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.releaseLocked()
}

// releaseLocked passes the slot on to the next waiter or frees it. The mutex is held.
func (e *Engine) releaseLocked() {
	if len(e.waiting) > 0 {
		close(e.waiting[0].ready)
		e.waiting = slices.Delete(e.waiting, 0, 1)
	} else {
		e.running--
	}
	e.sampleLoad()
}

// sampleLoad records the current load and drops samples that are no longer reported. The mutex is
// held.
func (e *Engine) sampleLoad() {
	now := time.Now()
	e.history = append(e.history, loadSample{at: now, running: e.running, waiting: len(e.waiting)})
	for len(e.history) > 1 && now.Sub(e.history[1].at) > e.config.LoadLag {
		e.history = e.history[1:]
	}
}

// laggedLoad returns the load as of LoadLag ago, or a zero sample if no kept sample is that old.
func (e *Engine) laggedLoad() loadSample {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var seen loadSample
	for _, sample := range e.history {
		if time.Since(sample.at) >= e.config.LoadLag {
			seen = sample
		}
	}
	return seen
}

// stepTime returns the time between two tokens at the current batch size.
func (e *Engine) stepTime() time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	share := float64(e.running) / float64(e.config.MaxBatch)
	return time.Duration(float64(e.config.DecodeStep) * (1 + share))
}

// lookUp returns the number of the prompt's tokens and of those that were cached. It caches the
// prefixes of the prompt, one up to the end of each message.
func (e *Engine) lookUp(messages []chatMessage) (prompt, cached int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	hash := xxhash.New()
	for _, message := range messages {
		_, _ = hash.WriteString(message.Role + "\n" + message.Content + "\n")
		prompt += countTokens(message.Content)
		prefix := hash.Sum64()
		if tokens, ok := e.prefix.Get(prefix); ok {
			cached = tokens
			continue
		}
		e.prefix.Add(prefix, prompt)
		e.recordEvent(prefix, prompt, true)
	}
	return prompt, cached
}

// bytesPerToken is a rough average length of a token.
const bytesPerToken = 4

func countTokens(text string) int { return len(text)/bytesPerToken + 1 }
