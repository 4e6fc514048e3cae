package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// LoadReport is the engine's own, lagging word on its load.
type LoadReport struct {
	Running   int   `json:"running"`
	Waiting   int   `json:"waiting"`
	AgeMillis int64 `json:"age_ms"`
}

// KVBlock is an exported prefix.
type KVBlock struct {
	Prefix uint64 `json:"prefix"`
	Tokens int    `json:"tokens"`
}

// Order is a fenced order to the engine.
type Order struct {
	// Epoch must not be below the highest that the engine has seen.
	Epoch uint64 `json:"epoch"`
	// LoadModels replaces the models served.
	LoadModels []string `json:"load_models"`
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	load := e.laggedLoad()
	report := LoadReport{Running: load.running, Waiting: load.waiting, AgeMillis: time.Since(load.at).Milliseconds()}
	_ = json.NewEncoder(w).Encode(report)
}

// serveEvents returns cache events after a sequence number, with gaps.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.mutex.Lock()
	defer e.mutex.Unlock()
	events := []CacheEvent{}
	for _, event := range e.events[min(max(0, after), len(e.events)):] {
		if e.config.EventGap == 0 || event.Sequence%e.config.EventGap != 0 {
			events = append(events, event)
		}
	}
	_ = json.NewEncoder(w).Encode(events)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	prefix, _ := strconv.ParseUint(r.PathValue("prefix"), 10, 64)
	e.mutex.Lock()
	tokens, found := e.prefix.Get(prefix)
	e.mutex.Unlock()
	if !found {
		http.NotFound(w, r)
		return
	}
	_ = json.NewEncoder(w).Encode(KVBlock{Prefix: prefix, Tokens: tokens})
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var block KVBlock
	if err := json.NewDecoder(r.Body).Decode(&block); err != nil {
		http.Error(w, "not a KV block", http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.prefix.Add(block.Prefix, block.Tokens)
	e.recordEvent(block.Prefix, block.Tokens, true)
	w.WriteHeader(http.StatusNoContent)
}

// serveOrder refuses an order with an epoch below the highest seen.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, "not an order", http.StatusBadRequest)
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if order.Epoch < e.epoch {
		http.Error(w, "the epoch is over", http.StatusConflict)
		return
	}
	e.epoch = order.Epoch
	e.loaded = slices.Clone(order.LoadModels)
	w.WriteHeader(http.StatusNoContent)
}

// Loaded returns the models that the engine serves and the epoch of the last
// order.
func (e *Engine) Loaded() (models []string, epoch uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.loaded), e.epoch
}
