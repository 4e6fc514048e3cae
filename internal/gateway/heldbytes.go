package gateway

import (
	"context"
	"sync"
)

// HeldBytes bounds the bytes of requests and answers that a process holds for others. Callers
// and back ends may read slowly, and whatever waits for them is this process's memory: one that
// outgrows its machine is killed, with all that it carries.
//
// Half is for requests, of which the less urgent may fill less, and half for answers. So callers
// that don't read their answers cost no new request its place, and an answer that is ready finds
// room once others have been read: its back end waits, and what has run isn't lost. It is safe
// for concurrent use.
type HeldBytes struct {
	// each is the bound on requests and that on answers; 0 for none.
	each int64

	mutex    sync.Mutex
	requests int64
	answers  int64
	// freed is closed and replaced when bytes of answers are released, if isAwaited.
	freed     chan struct{}
	isAwaited bool
}

const (
	// heldUrgencyStep is by how much less of the bound each less urgent rank may fill, up to
	// lastHeldUrgency ranks.
	heldUrgencyStep = 0.1
	lastHeldUrgency = 4
	// smallAnswer is the size up to which an answer may use all of the bound on answers; what
	// is larger, or doesn't tell its size, leaves smallPart of it, as one in so many. Most
	// answers are small, and mustn't wait for callers that let large ones lie.
	smallAnswer = 8 << 10
	smallPart   = 4
)

// NewHeldBytes returns a bound on both together; 0 sets none.
func NewHeldBytes(limit int64) *HeldBytes {
	return &HeldBytes{each: limit / 2, freed: make(chan struct{})}
}

// Admit holds bytes of a new request of an urgency, 0 for the most urgent, and tells whether it
// may.
func (h *HeldBytes) Admit(bytes int64, urgency int) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	part := 1 - heldUrgencyStep*float64(min(urgency, lastHeldUrgency))
	if h.each > 0 && float64(h.requests+bytes) > part*float64(h.each) {
		return false
	}
	h.requests += bytes
	return true
}

// Hold holds further bytes of an answer of which so many are held, and waits for room until the
// context ends. size is that of the whole answer, below 0 where it isn't told. One that is larger
// than the bound by itself finds room once it is alone.
func (h *HeldBytes) Hold(ctx context.Context, bytes, before, size int64) error {
	room := h.each
	if size < 0 || size > smallAnswer {
		room -= h.each / smallPart
	}
	for {
		h.mutex.Lock()
		if h.each <= 0 || h.answers == before || h.answers+bytes <= room {
			h.answers += bytes
			h.mutex.Unlock()
			return nil
		}
		freed := h.freed
		h.isAwaited = true
		h.mutex.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Release gives bytes of a request and of its answer back.
func (h *HeldBytes) Release(request, answer int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.requests -= request
	h.answers -= answer
	if answer > 0 && h.isAwaited {
		h.isAwaited = false
		close(h.freed)
		h.freed = make(chan struct{})
	}
}

// Held returns the bytes of requests and of answers that are held.
func (h *HeldBytes) Held() (requests, answers int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.requests, h.answers
}
