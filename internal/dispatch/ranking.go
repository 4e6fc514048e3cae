package dispatch

import (
	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/routing"
)

// ranking yields members by descending rendezvous weight for a key, preferred members first. It
// is a heap, because a decision usually looks at the first one or two members only: sorting a
// large pool would cost more than the rest of the decision.
type ranking struct {
	entries []rankedMember
}

type rankedMember struct {
	member    *member
	weight    uint64
	preferred bool
}

// rank fills the ranking with the members, ordered for the key.
func (r *ranking) rank(key string, members []*member, preferred func(m *member) bool) {
	keyHash := xxhash.Sum64String(key)
	r.entries = r.entries[:0]
	for _, m := range members {
		r.entries = append(r.entries, rankedMember{member: m, weight: routing.Weight(keyHash, m.hash), preferred: preferred(m)})
	}
	for i := len(r.entries)/2 - 1; i >= 0; i-- {
		r.sink(i)
	}
}

// next removes and returns the first member, or returns nil if none is left.
func (r *ranking) next() *member {
	if len(r.entries) == 0 {
		return nil
	}
	first := r.entries[0].member
	last := len(r.entries) - 1
	r.entries[0] = r.entries[last]
	r.entries = r.entries[:last]
	r.sink(0)
	return first
}

// firstIsPreferred reports whether the next member is a preferred one.
func (r *ranking) firstIsPreferred() bool { return len(r.entries) > 0 && r.entries[0].preferred }

// sink moves the entry down until no child ranks before it.
func (r *ranking) sink(i int) {
	for {
		first := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(r.entries); child++ {
			if r.entries[child].before(r.entries[first]) {
				first = child
			}
		}
		if first == i {
			return
		}
		r.entries[i], r.entries[first] = r.entries[first], r.entries[i]
		i = first
	}
}

func (a rankedMember) before(b rankedMember) bool {
	switch {
	case a.preferred != b.preferred:
		return a.preferred
	case a.weight != b.weight:
		return a.weight > b.weight
	default:
		return a.member.backEnd.ID < b.member.backEnd.ID
	}
}
