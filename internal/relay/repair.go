package relay

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

const (
	// maxRequestedBuckets limits the buckets of one request to a quarter of the list. The answer
	// must cross the network link of the smallest gateway machine within writeTimeout, along with
	// the answers to the peer's other neighbours: 750 back ends take 60 KB, or 20 KB compressed.
	maxRequestedBuckets = catalog.DigestBuckets / 4
	// answerTimeout is how long a request may go without an answer before another peer is asked.
	answerTimeout = time.Second
)

// pendingRequests holds when each bucket was requested from a peer, so that only one peer at a time
// is asked for it.
type pendingRequests struct {
	requestedAt [catalog.DigestBuckets]time.Time
}

// reserve returns the first of the wanted buckets that aren't being requested from any peer, up to
// the limit, and marks them as requested.
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

// complete ends the requests for the buckets.
func (q *pendingRequests) complete(buckets catalog.Buckets) {
	for bucket := range q.requestedAt {
		if buckets.Has(bucket) {
			q.requestedAt[bucket] = time.Time{}
		}
	}
}

// repair runs anti-entropy on one connection: it compares digests to find the buckets in which the
// peer and this gateway know different back ends, and requests them. The gateway that lacks
// something requests it, and from one peer only. So a list that a gateway reads when it starts
// reaches each other gateway once, and not over each connection. A bucket is requested once for
// each digest that the peer sends: if it is the peer that lacks something, its answer changes
// nothing, and it sends a request in turn.
type repair struct {
	// digest is the peer's last one, and unrequested are the buckets in which it differs, or hasn't
	// been compared yet, and that haven't been requested from the peer since it arrived.
	digest      catalog.Digest
	unrequested catalog.Buckets
	// inFlight are the buckets that were requested from the peer at requestedAt.
	inFlight    catalog.Buckets
	requestedAt time.Time
}

// receive processes the digest and the answer in a message from the peer.
func (r *repair) receive(pending *pendingRequests, message Message) {
	if message.Digest != nil {
		r.digest, r.unrequested = message.Digest, catalog.AllBuckets
	}
	pending.complete(message.Answered)
	r.inFlight &^= message.Answered
}

// nextRequest returns the buckets to request from the peer now. differing are the buckets in which
// its digest differs from what this gateway knows.
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
