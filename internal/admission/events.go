package admission

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// RequestID identifies a request at one agent.
type RequestID uint64

// Request holds what the gate needs to know about a request.
type Request struct {
	// ID is chosen by the gate's owner and unique for the lifetime of the gate.
	ID RequestID
	// Tenant is the caller's tenant.
	Tenant string
	// Priority is the request's priority class.
	Priority Priority
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Affine means that this back end is the best one for the request, for example
	// because it caches the chat's context, so the request may wait a little for room
	// under the bound.
	Affine bool
	// LastAttempt means that the router might try no other back end, so the request may
	// wait for room under the bound instead of being refused.
	LastAttempt bool
	// WaitUntil is when the request's wait budget ends: it doesn't wait longer for room
	// under the bound. Zero means that it has no budget of its own.
	WaitUntil time.Time
	// Evidence holds the loads reported by the back ends that refused the request.
	Evidence []ObservedLoad
	// Key is set for a non-repeatable request whose idempotency key this agent owns.
	Key *Key
}

// Event is an input of the gate; see the types below.
type Event interface{ isEvent() }

// Arrive adds a new request.
type Arrive struct{ Request Request }

// Finished ends a request that was started.
type Finished struct {
	ID RequestID
	// NotRun means that the back end certainly did not run the request.
	NotRun bool
	// Outcome is stored for a request with a key.
	Outcome Outcome
}

// Cancelled means that the caller left before the request was started.
type Cancelled struct{ ID RequestID }

// PoolObserved replaces the observed loads of the pool's other members. Others omits
// those that don't count towards the mean load, such as leaving or dead ones.
type PoolObserved struct{ Others []ObservedLoad }

// Configured replaces the gate's configuration.
type Configured struct{ Config Config }

// Leave closes the gate permanently for new requests.
type Leave struct{}

// BackOff closes the gate for a time: the back end has asked for no requests for
// that long.
type BackOff struct{ For time.Duration }

// Tick triggers decisions that depend on the passing of time.
type Tick struct{}

func (Arrive) isEvent()       {}
func (Finished) isEvent()     {}
func (Cancelled) isEvent()    {}
func (PoolObserved) isEvent() {}
func (Configured) isEvent()   {}
func (Leave) isEvent()        {}
func (BackOff) isEvent()      {}
func (Tick) isEvent()         {}

// Action is something that the gate's owner must do; see the types below.
type Action interface{ isAction() }

// Start sends the request to the back end.
type Start struct {
	ID RequestID
	// Load is the gate's load, including this request.
	Load int
	// Limit is the bound under which the request was accepted.
	Limit int
}

// Refuse replies that the gate did not start this request. An earlier request with the
// same key may have run; Kind says so.
type Refuse struct {
	ID RequestID
	// Kind is the reason.
	Kind failure.Kind
	// RetryAfter is the time after which to retry; 0 for the default of the kind.
	RetryAfter time.Duration
	// Load is the gate's load.
	Load int
}

// Replay replies with the stored outcome of the first run under the request's key.
type Replay struct {
	ID      RequestID
	Outcome Outcome
}

func (Start) isAction()  {}
func (Refuse) isAction() {}
func (Replay) isAction() {}
