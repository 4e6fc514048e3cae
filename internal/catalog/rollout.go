package catalog

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/rollout"
)

// Rollout is an operator's order to move a service to back ends of another version, with its
// progress, as of a position in the history of the platform's store.
type Rollout struct {
	// Service, Target and Duration are the fields of rollout.Order.
	Service  string        `cbor:"1,keyasint"`
	Target   string        `cbor:"2,keyasint"`
	Duration time.Duration `cbor:"3,keyasint"`
	// State is the state of this order in the store. A state that the store holds for another
	// target doesn't count.
	State rollout.State `cbor:"4,keyasint,omitempty"`
	// BeganAt is when the fleet first learned of the order, in milliseconds since 1970 by the
	// clock of the gateway that wrote the state; 0 if no state has been written.
	BeganAt int64 `cbor:"5,keyasint,omitempty"`
	// Unwritten is set if the store lacks State, because it was restored from an older backup.
	Unwritten bool `cbor:"-"`
	// Withdrawn is true once the order has been withdrawn.
	Withdrawn bool `cbor:"6,keyasint,omitempty"`
	// Revision and Era are the position, which orders the records of a service.
	Revision uint64 `cbor:"7,keyasint"`
	Era      uint64 `cbor:"8,keyasint,omitempty"`
}

// Order returns the order without its progress.
func (r Rollout) Order() rollout.Order {
	return rollout.Order{Service: r.Service, Target: r.Target, Duration: r.Duration}
}

func (r Rollout) key() string        { return r.Service }
func (r Rollout) position() Position { return Position{Era: r.Era, Revision: r.Revision} }
func (r Rollout) removed() bool      { return r.Withdrawn }

func (r Rollout) asRemoved(position Position) Rollout {
	r.Withdrawn = true
	return r.withPosition(position)
}

func (r Rollout) withPosition(position Position) Rollout {
	r.Revision, r.Era = position.Revision, position.Era
	return r
}

// carryOver keeps a more advanced state of the same order that the store's backup lacks: back
// ends have already acted on it.
func (r Rollout) carryOver(known Rollout) Rollout {
	if r.Order() == known.Order() && !known.Withdrawn && known.State > r.State {
		r.State, r.BeganAt, r.Unwritten = known.State, known.BeganAt, true
	}
	return r
}

func (Rollout) needsNoUpdate(Rollout) bool { return false }

// OfferRollouts merges changes from a watch or a peer, and returns those that were new.
func (v *View) OfferRollouts(rollouts []Rollout) []Rollout { return v.rollouts.offer(rollouts) }

// OfferRolloutList merges the complete list of orders at the position, and returns the changes.
// An order that isn't in the list has been withdrawn, unless its record has a later position, or is
// of an earlier era and the current one hasn't settled.
func (v *View) OfferRolloutList(rollouts []Rollout, at Position) []Rollout {
	return v.rollouts.offerList(rollouts, at)
}

// Rollouts returns the orders that haven't been withdrawn, sorted by service.
func (v *View) Rollouts() []Rollout { return v.rollouts.present() }

// RolloutsSince returns the orders that have changed since the cursor, including withdrawn ones,
// and the next cursor.
func (v *View) RolloutsSince(cursor uint64) ([]Rollout, uint64) { return v.rollouts.since(cursor) }
