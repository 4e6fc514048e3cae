// Package wire holds what the stand-ins of a platform say and hear, in the product's
// own terms, so that the folder that meets the platform needs no more of the soak.
package wire

import (
	"net/http"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// Protocol speaks the platform's side of the protocol for the stand-ins: what the
// store, the back ends and the callers say and hear. It decides nothing.
type Protocol interface {
	// ReadStoreCall returns what a call to the store asks for.
	ReadStoreCall(request *http.Request) StoreCall
	// WriteList answers a list or a watch of objects, which are catalog.Configuration,
	// catalog.BackEnd, catalog.Evacuation, catalog.Rollout, or the bytes of one of the
	// gateways' own.
	WriteList(w http.ResponseWriter, answer StoreAnswer[any])
	// ReadStoreWrite returns what a call writes; ok is false for one that reads.
	ReadStoreWrite(request *http.Request) (write StoreWrite, ok bool)
	// WriteObject answers a write with the object as it is now.
	WriteObject(w http.ResponseWriter, entry StoreEntry[any], era uint64)
	// ReadForward returns what a gateway told a back end.
	ReadForward(header http.Header) Forwarded
	// WriteStamp marks an answer as the back end's own to the request; WriteNotRun
	// marks it as the promise that the request was not run.
	WriteStamp(header http.Header, request, stamp string)
	WriteNotRun(header http.Header, request string)
	// WriteLeaving adds that the back end leaves.
	WriteLeaving(header http.Header)
	// WriteAsk adds what a caller says of its request.
	WriteCallerRequest(header http.Header, ask CallerRequest)
	// ReadStamp returns a back end's mark, or "".
	ReadStamp(header http.Header) string
}

// StoreKind is a kind of object in the store.
type StoreKind uint8

// The kinds of objects.
const (
	Configurations StoreKind = iota
	BackEnds
	Evacuations
	// Own are those that the gateways write.
	GatewayObjects
	// Rollouts are orders to move a service to another version. Gateways write how far they
	// have come.
	Rollouts
)

// StoreWrite is a call that writes one of the gateways' own objects, or removes it, or writes
// how far the roll-out of that name has come, on the condition that the order is at its revision.
type StoreWrite struct {
	Name    string
	Gone    bool
	Spec    []byte
	Rollout *catalog.Rollout
}

// StoreCall is a call to the store.
type StoreCall struct {
	// Kind is what is listed or watched.
	Kind StoreKind
	// Watch is true where the call waits for changes after a revision.
	Watch bool
	After uint64
	Wait  time.Duration
}

// StoreAnswer is the store's answer to a list or a watch.
type StoreAnswer[T any] struct {
	// Watch is true for the answer to a watch.
	Watch bool
	// At is the store's revision, and Era its era; 0 for a store that tells none.
	Revision uint64
	Era      uint64
	// Entries are in order of their names in a list, of their revisions in a watch.
	Entries []StoreEntry[T]
}

// StoreEntry is one object at a revision.
type StoreEntry[T any] struct {
	Name     string
	Revision uint64
	Gone     bool
	Value    T
}

// Untyped returns the entry as one of any kind.
func (e StoreEntry[T]) Untyped() StoreEntry[any] {
	return StoreEntry[any]{Name: e.Name, Revision: e.Revision, Gone: e.Gone, Value: e.Value}
}

// Forwarded is what a gateway told a back end.
type Forwarded struct {
	// Request is the caller's ID, BackEnd the incarnation that is meant.
	Request string
	BackEnd string
	// Tenant is the authenticated tenant.
	Tenant string
	// ResumeAfter is the last event that the caller has, or "".
	ResumeAfter string
}

// Ask is what a caller says of its request.
type CallerRequest struct {
	// Request is its ID and Key the tenant's.
	Request string
	Key     string
	// Timeout is how long the caller waits.
	Timeout time.Duration
	// Prompt names the shared part of its prompt, or is "".
	Prompt string
}
