// Package gateway implements a router that sends requests directly to back ends, without
// agents. It serves callers over HTTP, lets the dispatch core choose the back end for each
// attempt, and passes answers on so that callers can tell a truncated one from a complete one.
package gateway

import (
	"net/http"
	"time"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// Dialect translates between the headers of callers and back ends and the gateway's own
// types. It makes no decisions.
type Dialect interface {
	// ReadRequest parses a caller's headers.
	ReadRequest(header http.Header) RequestFacts
	// WriteForward replaces a caller's headers by those for a back end, in place.
	WriteForward(header http.Header, forward Forward)
	// ReadAnswer parses the status and headers of a back end's answer.
	ReadAnswer(status int, header http.Header) AnswerFacts
	// FormatWait formats a time to wait for the Retry-After header.
	FormatWait(wait time.Duration) string
	// WriteIdentityQuestion makes a request for an address one that no back end runs, and that every one answers
	// with its ID if it can; see AnswerFacts.ActualBackEnd.
	WriteIdentityQuestion(request *http.Request)
	// EncodeStopCall returns the path of a POST call, and the body to encode as JSON, that makes a back end stop the run of
	// the request with the ID and move its memory to the back end with the target address.
	EncodeStopCall(request, target string) (path string, body any)
	// ReadStopAnswer parses the answer to that call.
	ReadStopAnswer(status int, body []byte) StopAnswer
}

// StopAnswer is the answer to the call that stops a run.
type StopAnswer struct {
	// Stopped is true if the back end doesn't work on the run, and Busy if another such call is under way.
	Stopped, Busy bool
	// Copy is the ID of the memory that was moved to the target, or "" if none was.
	Copy string
}

// RequestFacts is the content of a caller's headers.
type RequestFacts struct {
	// ID is the request's ID, chosen by the caller. Every attempt forwards it, and the back end's
	// answer repeats it.
	ID string
	// Key authenticates the tenant.
	Key string
	// Timeout is how long the caller waits; 0 if the headers don't say.
	Timeout time.Duration
	// Parts are the parts of the prompt, in order.
	Parts []dispatch.Part
	// PromptTokens is the length of the prompt. MaxOutputTokens is the largest length of the
	// answer, and OutputEstimate the caller's estimate of it. Each is 0 if unknown.
	PromptTokens    int
	MaxOutputTokens int
	OutputEstimate  int
	// LastEventID is the ID of the last event that the caller has of a stream that it resumes, and
	// Resumes the ID of the attempt that brought the first event of that stream. Each is "" if it isn't
	// given.
	LastEventID string
	Resumes     string
}

// resumes reports whether the caller resumes a stream that it has a part of.
func (f RequestFacts) resumes() bool { return f.LastEventID != "" || f.Resumes != "" }

// expectedOutput returns the caller's estimate of the length of the answer, limited by the largest
// length, or the largest length without an estimate; 0 if neither is known.
func (f RequestFacts) expectedOutput() int {
	if f.OutputEstimate == 0 || f.MaxOutputTokens > 0 && f.OutputEstimate > f.MaxOutputTokens {
		return f.MaxOutputTokens
	}
	return f.OutputEstimate
}

// Forward is the content of the headers that are sent to a back end.
type Forward struct {
	// Remaining is the time left for the request.
	Remaining time.Duration
	// BackEnd is the ID of the intended back end; any other one refuses the request.
	BackEnd string
	// Tenant is the authenticated tenant, or "" on a public route.
	Tenant string
	// Urgency ranks the request; 0 is the most urgent.
	Urgency int
	// FetchFrom is the address of a back end from which prompt parts can be copied, or "".
	FetchFrom string
	// BackUpTo is the address of a back end to which the memory of the request is backed up, or "".
	BackUpTo string
	// ContinueFrom identifies the copy of the request's memory that the back end has: the address
	// of the back end that ran the request, and the copy's ID. It is "" for a new run.
	ContinueFrom string
	// ResumeAfter is the ID of the last event that the caller has, or "" for a new stream.
	ResumeAfter string
}

// AnswerFacts is the content of the headers of a back end's answer.
type AnswerFacts struct {
	// ID is the ID of the request that is answered.
	ID string
	// Stamped is true if the answer carries the stamp by which back ends mark their own answers.
	Stamped bool
	// NotRun is true if the back end promises that it did not run the request.
	NotRun bool
	// Misdirected is true if the address now belongs to another back end.
	Misdirected bool
	// ActualBackEnd is the ID of the back end that has the address, "" if the answer doesn't name it. An answer that is
	// Misdirected, or one to an identity question, should.
	ActualBackEnd string
	// Encoded is true if the body is encoded (compressed), not the back end's own bytes.
	Encoded bool
	// Load is the back end's load, or -1 if unknown.
	Load int
	// Pace is the time that work takes at the back end now, relative to the usual time; 0 if unknown.
	Pace float64
	// Leaving is true if the back end says that it is leaving and wants no new work.
	Leaving bool
	// RetryAfter is how long the back end wants no requests from this gateway; 0 if not given.
	RetryAfter time.Duration
}
