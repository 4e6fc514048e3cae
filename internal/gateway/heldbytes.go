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
type BufferLimit struct {
	// each is the bound on requests and that on answers; 0 for none.
	limitPerKind int64

	mutex    sync.Mutex
	requests int64
	answers  int64
	// freed is closed and replaced when bytes of answers are released, if isAwaited.
	freed      chan struct{}
	hasWaiters bool
}

const (
	// heldUrgencyStep is by how much less of the bound each less urgent rank may fill, up to
	// lastHeldUrgency ranks.
	urgencyStep     = 0.1
	maxUrgencySteps = 4
	// smallAnswer is the size up to which an answer may use all of the bound on answers; what
	// is larger, or doesn't tell its size, leaves smallPart of it, as one in so many. Most
	// answers are small, and mustn't wait for callers that let large ones lie.
	smallAnswer        = 8 << 10
	smallAnswerReserve = 4
)

// NewHeldBytes returns a bound on both together; 0 sets none.
func NewBufferLimit(limit int64) *BufferLimit {
	return &BufferLimit{limitPerKind: limit / 2, freed: make(chan struct{})}
}

// Admit holds bytes of a new request of an urgency, 0 for the most urgent, and tells whether it
// may.
func (b *BufferLimit) AcquireRequest(bytes int64, urgency int) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	part := 1 - urgencyStep*float64(min(urgency, maxUrgencySteps))
	if b.limitPerKind > 0 && float64(b.requests+bytes) > part*float64(b.limitPerKind) {
		return false
	}
	b.requests += bytes
	return true
}

// Hold holds further bytes of an answer of which so many are held, and waits for room until the
// context ends. size is that of the whole answer, below 0 where it isn't told. One that is larger
// than the bound by itself finds room once it is alone.
func (b *BufferLimit) AcquireAnswer(ctx context.Context, bytes, acquired, size int64) error {
	room := b.limitPerKind
	if size < 0 || size > smallAnswer {
		room -= b.limitPerKind / smallAnswerReserve
	}
	for {
		b.mutex.Lock()
		if b.limitPerKind <= 0 || b.answers == acquired || b.answers+bytes <= room {
			b.answers += bytes
			b.mutex.Unlock()
			return nil
		}
		freed := b.freed
		b.hasWaiters = true
		b.mutex.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Release gives bytes of a request and of its answer back.
func (b *BufferLimit) Release(request, answer int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.requests -= request
	b.answers -= answer
	if answer > 0 && b.hasWaiters {
		b.hasWaiters = false
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

// Held returns the bytes of requests and of answers that are held.
func (b *BufferLimit) InUse() (requests, answers int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.requests, b.answers
}
