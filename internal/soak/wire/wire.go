// Package wire defines the messages that the stand-ins of a platform send and receive, in the
// product's own terms. A platform's adapter implements Protocol without depending on the rest
// of package soak.
package wire

import (
	"net/http"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// Protocol encodes and decodes the platform's side of the protocol for the stand-ins of the
// store, the back ends and the callers. It makes no decisions.
type Protocol interface {
	// ReadStoreCall parses a list or watch call to the store.
	ReadStoreCall(request *http.Request) StoreCall
	// WriteList writes the answer to a list or watch call. The values are of type
	// catalog.Configuration, catalog.BackEnd, catalog.Evacuation or catalog.Rollout, or the
	// bytes of an object that the gateways write.
	WriteList(w http.ResponseWriter, answer StoreAnswer[any])
	// ReadStoreWrite parses a write call; ok is false for a call that reads.
	ReadStoreWrite(request *http.Request) (write StoreWrite, ok bool)
	// WriteObject answers a write with the object's current state.
	WriteObject(w http.ResponseWriter, entry StoreEntry[any], era uint64)
	// ReadForward parses the headers that a gateway adds to a forwarded request.
	ReadForward(header http.Header) Forwarded
	// WriteStamp adds the stamp that marks an answer as the back end's own answer to the request.
	// WriteNotRun marks it as the back end's declaration that it did not run the request.
	WriteStamp(header http.Header, request, stamp string)
	WriteNotRun(header http.Header, request string)
	// WriteIdentity adds the ID of the back end, in answer to a request that is meant for another one.
	WriteIdentity(header http.Header, backEnd string)
	// ReadStopCall parses the call that stops a run; ok is false for another request.
	ReadStopCall(request *http.Request, body []byte) (call StopCall, ok bool)
	// WriteStopAnswer answers it. copyID is the ID of the memory that was moved to the target; "" means that no such run
	// exists.
	WriteStopAnswer(w http.ResponseWriter, copyID string)
	// WriteLeaving adds the notice that the back end is leaving.
	WriteLeaving(header http.Header)
	// WriteCallerRequest adds the headers of a caller's request.
	WriteCallerRequest(header http.Header, request CallerRequest)
	// ReadStamp returns the stamp that WriteStamp added to an answer, or "".
	ReadStamp(header http.Header) string
}

// StoreKind is a kind of object in the store.
type StoreKind uint8

// The kinds of objects.
const (
	Configurations StoreKind = iota
	BackEnds
	Evacuations
	// GatewayObjects are the records of withheld requests, which the gateways write.
	GatewayObjects
	// SettledServices are the records of settled services, which the gateways write.
	SettledServices
	// Rollouts are orders to move a service to another version. Gateways write their progress.
	Rollouts
)

// StoreWrite is a call that creates or removes one of the gateways' objects, or writes the
// progress of the named roll-out on the condition that the order is still at the revision given
// in Rollout.
type StoreWrite struct {
	Kind    StoreKind
	Name    string
	Gone    bool
	Spec    []byte
	Rollout *catalog.Rollout
}

// StoreCall is a call to the store.
type StoreCall struct {
	// Kind is the kind of objects to list or watch.
	Kind StoreKind
	// Watch is true if the call waits, for at most Wait, for changes after revision After.
	Watch bool
	After uint64
	Wait  time.Duration
}

// StoreAnswer is the store's answer to a list or a watch.
type StoreAnswer[T any] struct {
	// Watch is true for the answer to a watch.
	Watch bool
	// Revision is the store's revision. Era is its era, or 0 if the store doesn't report one.
	Revision uint64
	Era      uint64
	// Entries are ordered by name in a list and by revision in a watch.
	Entries []StoreEntry[T]
}

// StoreEntry is one object at a revision.
type StoreEntry[T any] struct {
	Name     string
	Revision uint64
	Gone     bool
	Value    T
}

// Untyped returns the entry with its value as type any.
func (e StoreEntry[T]) Untyped() StoreEntry[any] {
	return StoreEntry[any]{Name: e.Name, Revision: e.Revision, Gone: e.Gone, Value: e.Value}
}

// Forwarded holds the headers that a gateway adds to a request that it forwards to a back end.
type Forwarded struct {
	// Request is the caller's request ID. BackEnd is the ID of the back end that the request is
	// meant for.
	Request string
	BackEnd string
	// Tenant is the authenticated tenant.
	Tenant string
	// Prompt are the parts of the prompt as the caller states them.
	Prompt string
	// ResumeAfter is the ID of the last event that the caller has received, or "".
	ResumeAfter string
	// BackUpTo is the address to which the memory of the run is to be copied, and ContinueFrom the
	// run of which the back end is to have a copy; "" if there is none.
	BackUpTo     string
	ContinueFrom string
	// Resumes is the ID of the attempt that began the stream that the caller resumes, or "".
	Resumes string
}

// StopCall is the call that makes a back end stop a run and move its memory to the back end with the address Target.
type StopCall struct {
	Request, Target string
}

// CallerRequest holds the headers of a caller's request.
type CallerRequest struct {
	// Request is the request's ID and Key the tenant's API key.
	Request string
	Key     string
	// Timeout is how long the caller waits.
	Timeout time.Duration
	// Parts identify the shared parts of the prompt in order.
	Parts []string
	// PromptTokens and OutputTokens are the sizes that the caller states; 0 if it states none.
	PromptTokens, OutputTokens int
	// Resumes is the ID of the attempt that brought the first event of a stream that the caller resumes,
	// and LastEvent the ID of the last event that it has; "" for a new request.
	Resumes, LastEvent string
}
