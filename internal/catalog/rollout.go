package catalog

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/rollout"
)

// Rollout is an operator's order to move a service to back ends of another version, with how
// far it has come, as it is known at a position of the platform's store.
type Rollout struct {
	// Service, Target and Duration are those of rollout.Order.
	Service  string        `cbor:"1,keyasint"`
	Target   string        `cbor:"2,keyasint"`
	Duration time.Duration `cbor:"3,keyasint"`
	// State is what the store says of this order; one that it says of another target doesn't
	// count.
	State rollout.State `cbor:"4,keyasint,omitempty"`
	// BeganAt is when the fleet first heard of it, in milliseconds since 1970 by the clock of
	// whoever wrote the state; 0 before.
	BeganAt int64 `cbor:"5,keyasint,omitempty"`
	// Unwritten is set where the store lacks State: it was restored to a copy from before.
	Unwritten bool `cbor:"-"`
	// Withdrawn is true once the order is gone.
	Withdrawn bool `cbor:"6,keyasint,omitempty"`
	// Revision and Era are the position, which orders what is known of the same service.
	Revision uint64 `cbor:"7,keyasint"`
	Era      uint64 `cbor:"8,keyasint,omitempty"`
}

// Order returns what is ordered.
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

// carrying keeps a verdict that the copy lacks: the back ends have acted on it.
func (r Rollout) carryOver(known Rollout) Rollout {
	if r.Order() == known.Order() && !known.Withdrawn && known.State > r.State {
		r.State, r.BeganAt, r.Unwritten = known.State, known.BeganAt, true
	}
	return r
}

func (Rollout) needsNoUpdate(Rollout) bool { return false }

// OfferRollouts takes changes from a watch or a peer and returns those that were news.
func (v *View) OfferRollouts(rollouts []Rollout) []Rollout { return v.rollouts.offer(rollouts) }

// OfferRolloutList takes the complete list that was read at the position. An order that it
// lacks was withdrawn, unless it was heard of at a later one.
func (v *View) OfferRolloutList(rollouts []Rollout, at Position) []Rollout {
	return v.rollouts.offerList(rollouts, at)
}

// Rollouts returns the orders that stand, by service.
func (v *View) Rollouts() []Rollout { return v.rollouts.present() }

// RolloutsSince returns the orders that changed after the given number of changes, withdrawn
// ones included, and the number to go on from.
func (v *View) RolloutsSince(change uint64) ([]Rollout, uint64) { return v.rollouts.since(change) }
