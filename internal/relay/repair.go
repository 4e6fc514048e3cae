package relay

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

const (
	// mostAsked bounds the buckets of one question: a quarter of the list. An answer must
	// pass on the smallest entry machine's link within writeTimeout, beside those to the
	// peer's other neighbours: 750 back ends are 60 KB, and 20 compressed.
	mostAsked = catalog.DigestBuckets / 4
	// answerTime is how long a question may go without an answer before another peer is
	// asked.
	answerTime = time.Second
)

// questions are the buckets of back ends that peers are being asked for, so that one peer at
// a time is asked for each.
type questions struct {
	askedAt [catalog.DigestBuckets]time.Time
}

// take returns the first of the wanted buckets that nobody is being asked for, so many at
// the most, and notes the question.
func (q *questions) take(now time.Time, wanted catalog.Buckets, most int) catalog.Buckets {
	var taken catalog.Buckets
	for bucket := range q.askedAt {
		if most == 0 {
			break
		}
		if wanted.Has(bucket) && now.Sub(q.askedAt[bucket]) >= answerTime {
			q.askedAt[bucket] = now
			taken |= 1 << bucket
			most--
		}
	}
	return taken
}

// answered ends the questions for the buckets.
func (q *questions) answered(buckets catalog.Buckets) {
	for bucket := range q.askedAt {
		if buckets.Has(bucket) {
			q.askedAt[bucket] = time.Time{}
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
	digest catalog.Digest
	wanted catalog.Buckets
	// underWay are the buckets that the peer was asked for at the time askedAt.
	underWay catalog.Buckets
	askedAt  time.Time
}

// hear takes the digest and the answer of the peer's message.
func (r *repair) hear(all *questions, message Message) {
	if message.Digest != nil {
		r.digest, r.wanted = message.Digest, catalog.AllBuckets
	}
	all.answered(message.Answer)
	r.underWay &^= message.Answer
}

// next returns the buckets to ask the peer for now, of those in which its digest differs
// from what this gateway knows.
func (r *repair) next(now time.Time, all *questions, differing catalog.Buckets) catalog.Buckets {
	r.wanted &= differing
	if r.underWay != 0 && now.Sub(r.askedAt) < answerTime {
		return 0
	}
	lacking := all.take(now, r.wanted, mostAsked)
	r.wanted &^= lacking
	r.underWay, r.askedAt = lacking, now
	return lacking
}
