// Package rollout decides how a service's traffic moves to back ends of another version, the
// candidate, while back ends of the version before, the standing version, keep serving.
//
// A Judge runs in every gateway. It decides for each request which of the two versions may get
// it, counts good and bad answers of both, and determines when the rollout is to be completed or
// reverted. It gives three guarantees:
//
//   - Exposure: until the operators' deadline a bad candidate gets at most a fixed share of the
//     service's requests plus a fixed number. Each request is assigned by a hash of its ID, so
//     the share holds in expectation for any number of gateways, whether or not they hear from
//     each other. There is no budget that is divided among gateways, so none is exceeded because
//     each gateway rounds its part up.
//   - A candidate that was found bad gets no more requests: every gateway that finds it bad or
//     learns of it stops sending to it, and nothing undoes that within the order.
//   - There is one verdict: it is written to the platform's store by a conditional write, and the
//     stored verdict binds every gateway, whatever the gateway found itself.
//
// The package does no I/O and reads no clock.
package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the progress of an order, as recorded in the store.
type State uint8

// The states of an order. They only advance: a verdict is never undone.
const (
	// Ordered: no gateway has started it.
	Ordered State = iota
	// InProgress: the candidate is being tried.
	InProgress
	// Completed: the candidate serves alone, and the standing back ends stop at once.
	Completed
	// Reverted: the candidate is abandoned.
	Reverted
)

// String returns the state's name in logs and status.
func (s State) String() string {
	return [...]string{"ordered", "in_progress", "completed", "reverted"}[min(s, Reverted)]
}

// IsVerdict reports whether the state ends the order.
func (s State) IsVerdict() bool { return s == Completed || s == Reverted }

// Order is an operator's order to move a service's traffic to another version.
type Order struct {
	// Service is the service's name, and Target the version to move to.
	Service string
	Target  string
	// Duration is the time from the order until it must be completed or reverted.
	Duration time.Duration
}

// ID returns the hash that identifies the order in tallies and marks.
func (o Order) ID() uint32 {
	return uint32(xxhash.Sum64String(o.Service + "\x00" + o.Target + "\x00" + o.Duration.String()))
}

// Side is one of the two versions.
type Side uint8

// The two sides of a rollout.
const (
	// Standing is all back ends of the service that aren't of the target version.
	Standing Side = iota
	// Candidate is the back ends of the target version.
	Candidate
)

// String returns the side's name in logs and status.
func (s Side) String() string {
	if s == Candidate {
		return "candidate"
	}
	return "standing"
}

// Limits are the operators' limits on the exposure to a bad candidate: over the whole duration of
// the order, at most the fraction Share of the service's requests plus Extra requests.
type Limits struct {
	Share float64
	Extra float64
}

// Mark is what gateways send each other about an order, in addition to tallies.
type Mark struct {
	// Order is the order's ID.
	Order uint32 `cbor:"1,keyasint"`
	// AgeMillis is the age of the order, as far as the sender knows.
	AgeMillis int64 `cbor:"2,keyasint"`
	// Abandoned is true once any gateway has found the candidate bad.
	Abandoned bool `cbor:"3,keyasint,omitempty"`
}
