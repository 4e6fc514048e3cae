// Package gateway is the shell of a router that sends straight to back ends: it
// serves callers over HTTP, asks the dispatch core where each request goes, and
// passes answers on whole.
package gateway

import (
	"net/http"
	"time"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// Dialect translates between the headers that callers and back ends use and the
// gateway's own terms. It decides nothing.
type Dialect interface {
	// ReadRequest returns what a caller's headers say.
	ReadRequest(header http.Header) RequestFacts
	// WriteForward turns a caller's headers into those for a back end, in place.
	WriteForward(header http.Header, forward Forward)
	// ReadAnswer returns what a back end's answer says.
	ReadAnswer(status int, header http.Header) AnswerFacts
	// FormatWait formats the time to come back for the Retry-After header.
	FormatWait(wait time.Duration) string
}

// RequestFacts is what a caller's headers say.
type RequestFacts struct {
	// ID is the request's own.
	ID string
	// Key authenticates the tenant.
	Key string
	// Timeout is how long the caller waits; 0 when it doesn't say.
	Timeout time.Duration
	// Parts are the prompt's parts in order.
	Parts []dispatch.Part
}

// Forward is what a gateway tells a back end.
type Forward struct {
	// Remaining is the time left for the request.
	Remaining time.Duration
	// BackEnd is the incarnation that is meant; any other refuses.
	BackEnd string
	// Tenant is the authenticated tenant, or "" on a public route.
	Tenant string
	// Urgency ranks the request; 0 is the most urgent.
	Urgency int
	// FetchFrom is a back end that keeps the prompt's parts, or "".
	FetchFrom string
	// ResumeAfter is the last event that the caller has, or "" from the start.
	ResumeAfter string
}

// AnswerFacts is what a back end's answer says.
type AnswerFacts struct {
	// ID is the request that is answered.
	ID string
	// Signed is true when the back end vouches for the answer.
	Signed bool
	// NotRun is true when the back end promises that it did not run the request.
	NotRun bool
	// Elsewhere is true when another back end has the address.
	Misdirected bool
	// Met names the back end that has the address where it is another one; "" where it doesn't
	// tell.
	ActualBackEnd string
	// Encoded is true when the body isn't the back end's own bytes.
	Encoded bool
	// Load is the back end's load, or -1.
	Load int
	// Leaving is true when the back end says that it leaves: it wants no new work.
	Leaving bool
	// Rest is for how long the back end wants nothing from this gateway; 0 when it doesn't say.
	RetryAfter time.Duration
}
