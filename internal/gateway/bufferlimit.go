package gateway

import (
	"container/list"
	"context"
	"sync"
)

// BufferLimit limits the bytes of requests and answers that a process buffers. Callers and back
// ends may read slowly, and the data waiting for them uses this process's memory: a process that
// outgrows its machine is killed, with all requests that it carries.
//
// Half of the limit is for requests, of which less urgent requests may use a smaller part, and
// half for answers. So answers that callers don't read never take room from new requests. An
// answer without room isn't refused, because the result of a request that has run would be lost:
// it waits until others have been read, and its back end waits too. A BufferLimit is safe for
// concurrent use.
type BufferLimit struct {
	// limitPerKind applies to requests and to answers separately; 0 means no limit.
	limitPerKind int64

	mutex    sync.Mutex
	requests int64
	answers  int64
	// freed is closed and replaced when bytes of answers are released and hasWaiters is set.
	freed      chan struct{}
	hasWaiters bool
	// incoming holds the *incomingBody of all bodies that are being read, that without progress for longest first.
	incoming list.List
}

const (
	// urgencyStep is the fraction of the limit that is closed to requests for each rank by which
	// they are less urgent than rank 0, up to maxUrgencySteps ranks.
	urgencyStep     = 0.1
	maxUrgencySteps = 4
	// smallAnswer is the size up to which an answer may use the whole limit for answers. Larger
	// answers, and those of unknown size, leave 1/smallAnswerReserve of it free. Most answers are
	// small, and must not wait for callers that don't read their large answers.
	smallAnswer        = 8 << 10
	smallAnswerReserve = 4
)

// NewBufferLimit returns a limit on requests and answers together; 0 means no limit.
func NewBufferLimit(limit int64) *BufferLimit {
	return &BufferLimit{limitPerKind: limit / 2, freed: make(chan struct{})}
}

// AcquireAnswer acquires further bytes for an answer that already holds acquired bytes. It waits
// for room until the context ends. size is the size of the whole answer, or negative if unknown.
// An answer that is larger than the limit gets its bytes once no other answer holds any.
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

// Release returns bytes of a request and of its answer.
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

// InUse returns the bytes currently held by requests and by answers.
func (b *BufferLimit) InUse() (requests, answers int64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.requests, b.answers
}
