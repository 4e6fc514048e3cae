// Package failure holds the one closed list of error kinds of the system and
// the table from a kind to the answer a caller gets.
//
// Every answer tells the caller whether its request ran. "Ran: no" is said only
// where an agent refused the request before handing it on, or where nothing of
// it was sent to an agent.
package failure

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Kind names one way in which a request, or a control message, can fail.
type Kind uint8

// The closed list of kinds. Add a row to the table with every new kind.
const (
	// Internal is a fault of the system itself; it is also the zero value, so
	// that an error without a kind is never reported as harmless.
	Internal Kind = iota
	// InvalidRequest is a malformed request; the message names the field.
	InvalidRequest
	// Unauthenticated is a missing or unknown tenant key.
	Unauthenticated
	// UntrustedPeer is a hop or control message without the cluster key.
	UntrustedPeer
	// UnknownModel is a model that no pool of the bundle serves.
	UnknownModel
	// UnknownRoute is a path that neither the API nor a service pool owns.
	UnknownRoute
	// TooLarge is a body over the configured limit.
	TooLarge
	// RateLimited is a tenant over its limit.
	RateLimited
	// OverBound is one agent's refusal because its load bound is reached.
	OverBound
	// QueueFull is one agent's refusal because its queue is full.
	QueueFull
	// Overloaded is a gateway that has too little processor time for one more
	// request; nothing was sent.
	Overloaded
	// PoolExhausted is the final answer when every attempt was refused.
	PoolExhausted
	// Withheld is a request of a content that crashed the back ends which ran it; nothing was
	// sent.
	Withheld
	// DeadlineUnmeetable is a request that could not finish in time.
	DeadlineUnmeetable
	// Leaving is a refusal by an agent that takes no new work.
	Leaving
	// OwnerAway means the one agent that may run an unrepeatable request can
	// not be reached; nothing was sent.
	OwnerAway
	// WrongOwner is a refusal by an agent that doesn't own the key.
	WrongOwner
	// LeaseLapsed is a refusal by an owner that could not confirm in time that
	// its bundle is still the newest.
	LeaseLapsed
	// OutcomeUnknown means an earlier attempt with this key may have run.
	OutcomeUnknown
	// KeyInProgress means the first attempt with this key still runs.
	KeyInProgress
	// KeyReused is a key that came back with a different request.
	KeyReused
	// ReplyNotKept means that the key's first run ended well, but its answer was
	// too large to be kept for a repeat.
	ReplyNotKept
	// BackendUnreachable means no connection to a back end could be made.
	BackendUnreachable
	// BackendFailed means the back end broke off before its answer began.
	BackendFailed
	// StreamBroken means an answer broke off after it had begun.
	StreamBroken
	// TimedOut means that the deadline passed before an answer began; the
	// request may have run.
	TimedOut
	// CallerGone means the caller left before the answer.
	CallerGone
	// NotReady means a node that has no bundle yet.
	NotReady
	// Conflict is the loss of a race between two operators.
	Conflict
	// PlatformUnavailable means that the platform's object API gave no answer.
	PlatformUnavailable
	// BadSignature is a bundle whose signature no trusted key made.
	BadSignature
	// StaleBundle is a bundle with a number not above the accepted one.
	StaleBundle
	// InvalidBundle is a bundle that is malformed or oversized.
	InvalidBundle
	// InvalidSettings is a settings file that can't be used.
	InvalidSettings

	kindCount
)

// Ran tells whether the attempt that an answer speaks of reached a back end.
type Ran string

// The three values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Answer is a row of the table: what the caller of a failed request is told.
type Answer struct {
	// Name is the kind's stable name in answers, logs and metrics.
	Name string
	// Status is the HTTP status.
	Status int
	// Ran says whether the attempt ran.
	Ran Ran
	// Retry says whether the same request may succeed later.
	Retry bool
	// RetryAfter is the default time to come back; 0 sends no header.
	RetryAfter time.Duration
}

// statusCallerGone is the customary status for a caller that left; it is only
// ever seen in logs and metrics.
const statusCallerGone = 499

// withheldWait is when to come back with a request that is withheld: it is for a day, or until
// operators mend what crashes.
const withheldRetryAfter = 10 * time.Minute

var table = [kindCount]Answer{
	Internal:            {"internal", http.StatusInternalServerError, RanUnknown, false, 0},
	InvalidRequest:      {"invalid_request", http.StatusBadRequest, RanNo, false, 0},
	Unauthenticated:     {"unauthenticated", http.StatusUnauthorized, RanNo, false, 0},
	UntrustedPeer:       {"untrusted_peer", http.StatusForbidden, RanNo, false, 0},
	UnknownModel:        {"unknown_model", http.StatusNotFound, RanNo, false, 0},
	UnknownRoute:        {"unknown_route", http.StatusNotFound, RanNo, false, 0},
	TooLarge:            {"too_large", http.StatusRequestEntityTooLarge, RanNo, false, 0},
	RateLimited:         {"rate_limited", http.StatusTooManyRequests, RanNo, true, time.Second},
	OverBound:           {"over_bound", http.StatusServiceUnavailable, RanNo, true, time.Second},
	QueueFull:           {"queue_full", http.StatusServiceUnavailable, RanNo, true, time.Second},
	Overloaded:          {"overloaded", http.StatusServiceUnavailable, RanNo, true, 200 * time.Millisecond},
	PoolExhausted:       {"pool_exhausted", http.StatusServiceUnavailable, RanNo, true, 2 * time.Second},
	Withheld:            {"withheld", http.StatusServiceUnavailable, RanNo, true, withheldRetryAfter},
	DeadlineUnmeetable:  {"deadline_unmeetable", http.StatusServiceUnavailable, RanNo, true, time.Second},
	Leaving:             {"leaving", http.StatusServiceUnavailable, RanNo, true, time.Second},
	OwnerAway:           {"owner_away", http.StatusServiceUnavailable, RanNo, true, 5 * time.Second},
	WrongOwner:          {"wrong_owner", http.StatusServiceUnavailable, RanNo, true, time.Second},
	LeaseLapsed:         {"lease_lapsed", http.StatusServiceUnavailable, RanNo, true, 5 * time.Second},
	OutcomeUnknown:      {"outcome_unknown", http.StatusConflict, RanUnknown, false, 0},
	KeyInProgress:       {"key_in_progress", http.StatusConflict, RanYes, true, time.Second},
	KeyReused:           {"key_reused", http.StatusUnprocessableEntity, RanNo, false, 0},
	ReplyNotKept:        {"reply_not_kept", http.StatusConflict, RanYes, false, 0},
	BackendUnreachable:  {"backend_unreachable", http.StatusServiceUnavailable, RanNo, true, time.Second},
	BackendFailed:       {"backend_failed", http.StatusBadGateway, RanUnknown, false, 0},
	StreamBroken:        {"stream_broken", http.StatusBadGateway, RanYes, false, 0},
	TimedOut:            {"timed_out", http.StatusGatewayTimeout, RanUnknown, false, 0},
	CallerGone:          {"caller_gone", statusCallerGone, RanUnknown, false, 0},
	NotReady:            {"not_ready", http.StatusServiceUnavailable, RanNo, true, time.Second},
	Conflict:            {"conflict", http.StatusConflict, RanNo, false, 0},
	PlatformUnavailable: {"platform_unavailable", http.StatusServiceUnavailable, RanUnknown, true, 5 * time.Second},
	BadSignature:        {"bad_signature", http.StatusForbidden, RanNo, false, 0},
	StaleBundle:         {"stale_bundle", http.StatusConflict, RanNo, false, 0},
	InvalidBundle:       {"invalid_bundle", http.StatusBadRequest, RanNo, false, 0},
	InvalidSettings:     {"invalid_settings", http.StatusBadRequest, RanNo, false, 0},
}

// Answer returns the kind's row of the table.
func (k Kind) Answer() Answer {
	if k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the kind's stable name.
func (k Kind) String() string { return k.Answer().Name }

// Kinds lists every kind in the order of the table.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// Parse returns the kind with the given stable name.
func Parse(name string) (Kind, bool) {
	for _, kind := range Kinds() {
		if kind.String() == name {
			return kind, true
		}
	}
	return Internal, false
}

// Error is an error with a kind.
type Error struct {
	// Kind decides the answer.
	Kind Kind
	// Message tells a person what is wrong and what to do about it.
	Message string
	// RetryAfter overrides the table's default when it is above 0.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an error of the kind with a message for a person.
func New(kind Kind, message string) *Error {
	return &Error{Kind: kind, Message: message}
}

// Wrap returns an error of the kind around a cause.
func Wrap(kind Kind, cause error, message string) *Error {
	return &Error{Kind: kind, Message: message, Cause: cause}
}

// Error implements error.
func (e *Error) Error() string {
	text := e.Kind.String() + ": " + e.Message
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Wait returns when to come back: the error's own time or the table's.
func (e *Error) RetryDelay() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return e.Kind.Answer().RetryAfter
}

// KindOf returns the kind of the first Error in err's chain, else Internal.
func KindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return Internal
}

// From returns err as an Error, wrapping it as Internal where it has no kind.
func From(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return Wrap(Internal, err, "unexpected failure")
}
