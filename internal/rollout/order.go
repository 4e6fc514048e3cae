// Package rollout judges the move of a service's traffic to back ends of another version,
// the candidate, while those of the version before, the standing one, serve on.
//
// A Judge runs in every gateway. It tells for each request which of the two versions may take
// it, adds up how their answers turn out, and says when the move is to be completed or
// reverted. Three promises bind it:
//
//   - Exposure: until the operators' deadline a bad candidate gets at most a share of all
//     requests of the service, and a few more. A gateway draws each request by lot, so the
//     share holds in expectation for any number of gateways, whether they hear of each other
//     or not; nothing is split that each gateway would round up.
//   - A candidate that was found bad gets nothing more: every gateway that finds or hears so
//     keeps to it, and there is no way back within the order.
//   - The verdict is one: it is written to the platform's store under a condition, and the one
//     that stands there is everybody's, whatever a gateway found itself.
//
// The package does no I/O and reads no clock.
package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is how far the store says that an order has come.
type State uint8

// The states of an order. They only advance: a verdict isn't taken back.
const (
	// Ordered: nobody has taken it up.
	Ordered State = iota
	// InProgress: it is being tried.
	InProgress
	// Completed: the candidate serves alone, and the standing back ends stop at once.
	Completed
	// Reverted: the candidate is given up.
	Reverted
)

// String names the state for logs and status.
func (s State) String() string {
	return [...]string{"ordered", "in_progress", "completed", "reverted"}[min(s, Reverted)]
}

// IsVerdict tells whether the state ends the order.
func (s State) IsVerdict() bool { return s == Completed || s == Reverted }

// Order is an operator's order to move a service's traffic.
type Order struct {
	// Service is the service's name, and Target the version to move to.
	Service string
	Target  string
	// Duration is the time from the order until it must be completed or reverted.
	Duration time.Duration
}

// ID stands for the order in tallies and marks.
func (o Order) ID() uint32 {
	return uint32(xxhash.Sum64String(o.Service + "\x00" + o.Target + "\x00" + o.Duration.String()))
}

// Side is one of the two versions.
type Side uint8

// The sides.
const (
	// Standing are all back ends of the service that aren't of the target version.
	Standing Side = iota
	// Candidate are those of the target version.
	Candidate
)

// String names the side for logs and status.
func (s Side) String() string {
	if s == Candidate {
		return "candidate"
	}
	return "standing"
}

// Limits are the operators' bounds on the exposure to a bad candidate: in the whole time of
// the order at most Share of the service's requests, and Extra more.
type Limits struct {
	Share float64
	Extra float64
}

// Mark is what gateways tell each other of an order beside tallies.
type Mark struct {
	// Order is the order's ID.
	Order uint32 `cbor:"1,keyasint"`
	// AgeMillis is how long ago the teller knows it to have been given.
	AgeMillis int64 `cbor:"2,keyasint"`
	// Abandoned is true once any gateway found the candidate bad.
	Abandoned bool `cbor:"3,keyasint,omitempty"`
}
