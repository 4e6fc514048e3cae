package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// LoadReport is the load that the engine reports, with a lag.
type LoadReport struct {
	Running   int   `json:"running"`
	Waiting   int   `json:"waiting"`
	AgeMillis int64 `json:"age_ms"`
}

// KVBlock is the exported KV cache of a prefix.
type KVBlock struct {
	Prefix uint64 `json:"prefix"`
	Tokens int    `json:"tokens"`
}

// Order is an order to the engine with an epoch as fencing token.
type Order struct {
	// Epoch must not be below the highest epoch that the engine has accepted.
	Epoch uint64 `json:"epoch"`
	// LoadModels replaces the list of served models.
	LoadModels []string `json:"load_models"`
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	load := e.laggedLoad()
	report := LoadReport{Running: load.running, Waiting: load.waiting, AgeMillis: time.Since(load.at).Milliseconds()}
	_ = json.NewEncoder(w).Encode(report)
}

// serveEvents returns the cache events after a sequence number, without those that EventGap drops.
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

// serveOrder applies an order, or rejects it if its epoch is below the highest one accepted.
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

// Loaded returns the models that the engine serves and the epoch of the last accepted order.
func (e *Engine) Loaded() (models []string, epoch uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.loaded), e.epoch
}
