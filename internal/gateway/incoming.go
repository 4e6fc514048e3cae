package gateway

import (
	"container/list"
	"time"
)

const (
	// progressBytes is how much of a body must arrive within stallTime for the body not to count as stalled.
	progressBytes = 4 << 10
	stallTime     = 500 * time.Millisecond
	// A body that has been arriving for slowTime with fewer than slowRate bytes per second on average counts as slow.
	slowRate = 64 << 10
	slowTime = time.Second
	// A body that doesn't fit beside others is accepted nevertheless if they hold no more than 1/aloneShare of the limit,
	// and it no more than aloneMultiple times the limit.
	aloneShare    = 8
	aloneMultiple = 4
)

// incomingBody is a request's body that is being read.
type incomingBody struct {
	// urgency is the request's urgency, 0 being the most urgent.
	urgency int
	// stop ends the read.
	stop func()

	// The fields below are guarded by the mutex of the BufferLimit.

	// held are the bytes acquired for the body, and received those that have arrived.
	held, received int64
	// beganAt is when the first bytes were acquired, and progressedAt when the body last made progress.
	beganAt, progressedAt time.Time
	// place is its place in BufferLimit.incoming.
	place *list.Element
	// gaveWay is true once the body has lost its room to others.
	gaveWay bool
}

// AcquireIncoming acquires bytes for a body that is being read. If there is no room, stalled bodies and then slow ones give
// way: their reads end, and what they hold counts as released. It returns false, without waiting, if there is no room
// even so.
func (b *BufferLimit) AcquireIncoming(body *incomingBody, bytes int64) bool {
	isAcquired, gaveWay := b.acquireIncoming(time.Now(), body, bytes)
	for _, each := range gaveWay {
		each.stop()
	}
	return isAcquired
}

// acquireIncoming implements AcquireIncoming and returns the bodies that have to be stopped.
func (b *BufferLimit) acquireIncoming(now time.Time, body *incomingBody, bytes int64) (isAcquired bool, gaveWay []*incomingBody) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for !body.gaveWay && !b.fits(bytes, body.held, body.urgency) {
		slowest := b.slowest(now, body)
		if slowest == nil {
			return false, gaveWay
		}
		b.giveWay(slowest)
		gaveWay = append(gaveWay, slowest)
	}
	if body.gaveWay {
		return false, gaveWay
	}
	b.requests += bytes
	body.held += bytes
	if body.place == nil {
		body.beganAt, body.place = now, b.incoming.PushBack(body)
	}
	b.noteProgress(now, body)
	return true, gaveWay
}

// Progressed records that progressBytes or more have arrived since the last call, and how many in all.
func (b *BufferLimit) Progressed(body *incomingBody, received int64) {
	now := time.Now()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	body.received = received
	b.noteProgress(now, body)
}

func (b *BufferLimit) noteProgress(now time.Time, body *incomingBody) {
	if !body.gaveWay {
		body.progressedAt = now
		b.incoming.MoveToBack(body.place)
	}
}

// Received records that the body isn't read any more. It reports whether the body has kept its room, which Release returns.
func (b *BufferLimit) Received(body *incomingBody) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if body.place != nil && !body.gaveWay {
		b.incoming.Remove(body.place)
	}
	return !body.gaveWay
}

// fits reports whether a request that holds some bytes may hold further ones.
func (b *BufferLimit) fits(bytes, held int64, urgency int) bool {
	part := 1 - urgencyStep*float64(min(urgency, maxUrgencySteps))
	isAlone := b.requests-held <= b.limitPerKind/aloneShare && held+bytes <= aloneMultiple*b.limitPerKind
	return b.limitPerKind <= 0 || float64(b.requests+bytes) <= part*float64(b.limitPerKind) || isAlone
}

// giveWay takes the room of a body away. Its read has to be stopped.
func (b *BufferLimit) giveWay(body *incomingBody) {
	b.incoming.Remove(body.place)
	b.requests -= body.held
	body.held, body.gaveWay = 0, true
}

// slowest returns the body that has been stalled for longest, or if none is stalled the one that arrives most slowly, or nil
// if none is slow.
func (b *BufferLimit) slowest(now time.Time, except *incomingBody) *incomingBody {
	var slowest *incomingBody
	lowest := float64(slowRate)
	for place := b.incoming.Front(); place != nil; place = place.Next() {
		body := place.Value.(*incomingBody)
		if body == except {
			continue
		}
		if now.Sub(body.progressedAt) >= stallTime {
			return body // the list is in the order of progress
		}
		age := now.Sub(body.beganAt)
		if rate := float64(body.received) / age.Seconds(); age >= slowTime && rate < lowest {
			slowest, lowest = body, rate
		}
	}
	return slowest
}
