package admission

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// RequestID identifies a request at one agent.
type RequestID uint64

// Request is what the gate needs to know of a request.
type Request struct {
	// ID is chosen by the owner and unique in the life of the gate.
	ID RequestID
	// Tenant is the caller's tenant.
	Tenant string
	// Priority is the request's class.
	Priority Priority
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Affine says that the request gains by being served here and may wait a
	// little for a place under the bound.
	Affine bool
	// Last says that its router makes no further attempt, so it may wait a moment
	// rather than be refused.
	LastAttempt bool
	// Evidence holds the loads met where the request was refused before.
	Evidence []ObservedLoad
	// Key is set for an unrepeatable request with a key that this agent owns.
	Key *Key
}

// Event is something that happened; see the types below.
type Event interface{ isEvent() }

// Arrive is a new request.
type Arrive struct{ Request Request }

// Finished ends a request that was started.
type Finished struct {
	ID RequestID
	// NotRun says that the back end certainly did not run it.
	NotRun bool
	// Outcome is kept for a keyed request.
	Outcome Outcome
}

// Cancelled says that the caller left before the request was started.
type Cancelled struct{ ID RequestID }

// PoolObserved replaces the loads of the pool's other live members.
type PoolObserved struct{ Others []ObservedLoad }

// Configured replaces the gate's settings.
type Configured struct{ Config Config }

// Leave closes the gate for new work for good.
type Leave struct{}

// Rest closes the gate for a while: the back end has asked to be left alone for so long.
type BackOff struct{ For time.Duration }

// Tick lets time-based decisions take place.
type Tick struct{}

func (Arrive) isEvent()       {}
func (Finished) isEvent()     {}
func (Cancelled) isEvent()    {}
func (PoolObserved) isEvent() {}
func (Configured) isEvent()   {}
func (Leave) isEvent()        {}
func (BackOff) isEvent()      {}
func (Tick) isEvent()         {}

// Action is something the owner must do; see the types below.
type Action interface{ isAction() }

// Start hands the request to the back end.
type Start struct {
	ID RequestID
	// Load is the gate's load with this request.
	Load int
	// Limit is the bound under which it was accepted.
	Limit int
}

// Refuse answers that the request was not run here.
type Refuse struct {
	ID RequestID
	// Kind says why.
	Kind failure.Kind
	// RetryAfter is when to come back; 0 for the kind's default.
	RetryAfter time.Duration
	// Load is the gate's load.
	Load int
}

// Replay answers with the outcome of the first run under the request's key.
type Replay struct {
	ID      RequestID
	Outcome Outcome
}

func (Start) isAction()  {}
func (Refuse) isAction() {}
func (Replay) isAction() {}
