package relay

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

const (
	// mostAsked bounds the buckets of one question: a quarter of the list. An answer must
	// pass on the smallest entry machine's link within writeTimeout, beside those to the
	// peer's other neighbours: 750 back ends are 60 KB, and 20 compressed.
	maxRequestedBuckets = catalog.DigestBuckets / 4
	// answerTime is how long a question may go without an answer before another peer is
	// asked.
	answerTimeout = time.Second
)

// questions are the buckets of back ends that peers are being asked for, so that one peer at
// a time is asked for each.
type pendingRequests struct {
	requestedAt [catalog.DigestBuckets]time.Time
}

// take returns the first of the wanted buckets that nobody is being asked for, so many at
// the most, and notes the question.
func (q *pendingRequests) reserve(now time.Time, wanted catalog.Buckets, limit int) catalog.Buckets {
	var reserved catalog.Buckets
	for bucket := range q.requestedAt {
		if limit == 0 {
			break
		}
		if wanted.Has(bucket) && now.Sub(q.requestedAt[bucket]) >= answerTimeout {
			q.requestedAt[bucket] = now
			reserved |= 1 << bucket
			limit--
		}
	}
	return reserved
}

// answered ends the questions for the buckets.
func (q *pendingRequests) complete(buckets catalog.Buckets) {
	for bucket := range q.requestedAt {
		if buckets.Has(bucket) {
			q.requestedAt[bucket] = time.Time{}
		}
	}
}

// repair finds out what back ends the peer of one connection knows and this gateway doesn't,
// from digests, and asks for them: whoever lacks something asks, and of one peer. So a list
// that a gateway reads as it starts reaches the others once each, and not over each
// connection. For each digest that the peer tells, a bucket is asked for once: where the
// peer is the one that lacks something, its answer changes nothing, and it asks in turn.
type repair struct {
	// digest is the peer's last one, and wanted the buckets in which it differed and that
	// the peer wasn't asked for yet.
	digest      catalog.Digest
	unrequested catalog.Buckets
	// underWay are the buckets that the peer was asked for at the time askedAt.
	inFlight    catalog.Buckets
	requestedAt time.Time
}

// hear takes the digest and the answer of the peer's message.
func (r *repair) receive(pending *pendingRequests, message Message) {
	if message.Digest != nil {
		r.digest, r.unrequested = message.Digest, catalog.AllBuckets
	}
	pending.complete(message.Answered)
	r.inFlight &^= message.Answered
}

// next returns the buckets to ask the peer for now, of those in which its digest differs
// from what this gateway knows.
func (r *repair) nextRequest(now time.Time, pending *pendingRequests, differing catalog.Buckets) catalog.Buckets {
	r.unrequested &= differing
	if r.inFlight != 0 && now.Sub(r.requestedAt) < answerTimeout {
		return 0
	}
	requested := pending.reserve(now, r.unrequested, maxRequestedBuckets)
	r.unrequested &^= requested
	r.inFlight, r.requestedAt = requested, now
	return requested
}
