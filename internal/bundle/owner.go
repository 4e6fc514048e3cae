package bundle

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/routing"
)

// OwnerOf returns the only back end that may run an unrepeatable request with the key. It depends
// only on the key, its time of issue and the bundle's lists, never on which back ends seem to be
// alive, so churn can't move a key.
func (b *Bundle) OwnerOf(pool *Pool, key string, issued time.Time) string {
	return routing.Owner(key, b.ownersAt(pool, issued))
}

// ownersAt returns the member list that owns keys issued at the given time: that of the first
// handover that had not ended by then, or else the current one.
func (b *Bundle) ownersAt(pool *Pool, issued time.Time) []string {
	for _, handover := range b.Handovers {
		if handover.Pool == pool.Name && issued.Before(handover.Until()) {
			return handover.Members
		}
	}
	return pool.MemberIDs()
}

// PublishSlack is the maximum time from signing to publishing. A bundle that changes a member
// list and was signed longer ago must be signed again, since the ends of its handovers were
// computed from the time of signing.
const PublishSlack = 5 * time.Minute

// Succession is the part of a new version's header that follows from the version before it.
type Succession struct {
	// Handovers is the new header's list.
	Handovers []Handover
	// StaleUntil is the time by which every node that missed the new version has lost its lease,
	// whichever earlier version it holds.
	StaleUntil time.Time
}

// SuccessionOf returns what the successor of previous needs, given the new document and the time
// of signing. A handover is dropped KeyRetention after its end, since no owner remembers keys
// that are older than that.
func SuccessionOf(previous *Bundle, next *Content, signedAt time.Time) Succession {
	if previous == nil {
		return Succession{}
	}
	succession := Succession{StaleUntil: staleUntil(previous, signedAt)}
	for _, old := range previous.Handovers {
		if signedAt.Sub(old.Until()) < KeyRetention {
			succession.Handovers = append(succession.Handovers, old)
		}
	}
	for i := range previous.Content.Pools {
		pool := &previous.Content.Pools[i]
		successor := next.Pool(pool.Name)
		if successor == nil || slices.Equal(pool.MemberIDs(), successor.MemberIDs()) {
			continue
		}
		succession.Handovers = append(succession.Handovers, Handover{
			Pool: pool.Name, Members: pool.MemberIDs(), UntilMillis: succession.StaleUntil.UnixMilli(),
		})
	}
	return succession
}

// staleUntil returns the time until which a node may hold a lease on the previous version or on one
// before it. An earlier version may have had a longer lease; the previous header's StaleUntilMillis
// covers all of these.
func staleUntil(previous *Bundle, signedAt time.Time) time.Time {
	control := previous.Content.Control
	until := signedAt.Add(PublishSlack + control.OwnershipLease.Std() + 2*control.ClockError.Std())
	earlier := time.UnixMilli(previous.StaleUntilMillis)
	if earlier.After(until) {
		return earlier
	}
	return until
}

// KeyRetention is how long an owner remembers the outcome of a key.
const KeyRetention = 24 * time.Hour

// HandoversMissing reports whether next changes a member list of previous without the handover
// that keeps keys at their owners.
func HandoversMissing(previous, next *Bundle) bool {
	required := SuccessionOf(previous, next.Content, next.SignedAt())
	for _, handover := range required.Handovers {
		covered := slices.ContainsFunc(next.Handovers, func(present Handover) bool {
			return present.Pool == handover.Pool && slices.Equal(present.Members, handover.Members) && present.UntilMillis >= handover.UntilMillis
		})
		if !covered {
			return true
		}
	}
	return false
}
