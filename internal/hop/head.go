// Package hop implements the connection between a router and an agent, or between a
// gateway and a back end: the metadata that router and agent exchange in addition to
// the caller's request and the answer, in one header of CBOR in each direction; the
// transports; and the copying of headers and bodies from one hop to the next.
package hop

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/harriernotch/harriernotch/internal/admission"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/membership"
	"github.com/harriernotch/harriernotch/internal/routing"
)

// Headers between nodes. They are never passed on to callers or back ends.
const (
	// HeaderCluster proves knowledge of the cluster key.
	HeaderCluster = "Harriernotch-Cluster"
	// HeaderHead carries a Head.
	HeaderHead = "Harriernotch-Head"
	// HeaderReply carries a Reply.
	HeaderReply = "Harriernotch-Reply"
	// HeaderNode is the ID of the sending node, in both directions, when a control
	// connection is opened.
	HeaderNode = "Harriernotch-Node"
)

// maxHeadLength bounds the encoded value of HeaderHead and HeaderReply, in bytes.
const maxHeadLength = 16 << 10

// Piggyback is control information that is sent with requests and answers.
type Piggyback struct {
	// Records holds the sender's freshest membership records of the pool.
	Records []membership.Record `cbor:"1,keyasint,omitempty"`
	// Number is the sender's bundle number.
	Number uint64 `cbor:"2,keyasint"`
	// ContactAgeMillis is how long ago the sender last heard from any peer.
	ContactAgeMillis int64 `cbor:"3,keyasint"`
}

// Head is a router's metadata for a request to an agent.
type Head struct {
	// RequestID identifies the request in both nodes' logs.
	RequestID string `cbor:"1,keyasint"`
	// BackEnd is the ID of the intended back end. The agent of another back end
	// refuses the request.
	BackEnd string `cbor:"2,keyasint"`
	// Tenant is the authenticated tenant.
	Tenant string `cbor:"3,keyasint"`
	// Priority is the request's priority class.
	Priority admission.Priority `cbor:"4,keyasint"`
	// RemainingMillis is the time until the deadline. It is a duration and not a point
	// in time, so that differences between the machines' clocks don't matter.
	RemainingMillis int64 `cbor:"5,keyasint"`
	// Affine means that the back end is expected to hold the chat's context, or owns the
	// request's key.
	Affine bool `cbor:"6,keyasint"`
	// LastAttempt means that the router might make no further attempt after a refusal, so
	// the request may wait for room under the bound instead of being refused at once. It
	// isn't set if no wait is left.
	LastAttempt bool `cbor:"13,keyasint,omitempty"`
	// WaitLeftMillis is how long the request may still wait for room under the bound, over
	// all further attempts. It is a duration, as RemainingMillis is. It is nil if the
	// router states no limit, which is the case with older builds; each attempt then waits
	// as long as the agent allows. Field 14 is reserved: some builds send another figure in it.
	WaitLeftMillis *int64 `cbor:"15,keyasint,omitempty"`
	// ReportedLoads holds the loads reported by earlier refusals.
	ReportedLoads []routing.ReportedLoad `cbor:"7,keyasint,omitempty"`
	// Unreachable holds the members of the pool to which a connection of the router
	// failed recently.
	Unreachable []string `cbor:"12,keyasint,omitempty"`
	// Key is the idempotency key of a non-repeatable request, or "".
	Key string `cbor:"8,keyasint,omitempty"`
	// KeyIssuedMillis is when the key was issued, in Unix milliseconds.
	KeyIssuedMillis int64 `cbor:"9,keyasint,omitempty"`
	// KeyDigest is a hash of the request's path and body.
	KeyDigest uint64 `cbor:"10,keyasint,omitempty"`
	// Piggyback is the router's control information.
	Piggyback Piggyback `cbor:"11,keyasint"`
}

// Reply is an agent's metadata for an answer to a router.
type Reply struct {
	// Refused means that the agent did not run the request; Kind says why. The request
	// may have run before, if Kind says so.
	Refused bool `cbor:"1,keyasint"`
	// Kind is the name of a failure.Kind, or "" if the answer is the back end's.
	Kind string `cbor:"2,keyasint,omitempty"`
	// RetryAfterMillis is the time after which a retry may be accepted.
	RetryAfterMillis int64 `cbor:"3,keyasint,omitempty"`
	// Load is the back end's load.
	Load int `cbor:"4,keyasint"`
	// Incarnation is the agent's incarnation.
	Incarnation membership.Incarnation `cbor:"5,keyasint"`
	// Piggyback is the agent's control information.
	Piggyback Piggyback `cbor:"6,keyasint"`
}

// KeyIssued returns when the key was issued.
func (h Head) KeyIssued() time.Time { return time.UnixMilli(h.KeyIssuedMillis) }

// Remaining returns the time until the deadline.
func (h Head) Remaining() time.Duration { return time.Duration(h.RemainingMillis) * time.Millisecond }

// WaitLeft returns how long the request may still wait for room under the bound. The
// boolean is false if the router stated no limit.
func (h Head) WaitLeft() (left time.Duration, limited bool) {
	if h.WaitLeftMillis == nil {
		return 0, false
	}
	return time.Duration(*h.WaitLeftMillis) * time.Millisecond, true
}

// FailureKind returns the reply's kind. The boolean is false if there is none or it is
// unknown.
func (r Reply) FailureKind() (failure.Kind, bool) { return failure.Parse(r.Kind) }

// SetHead adds the head to a request's headers.
func SetHead(header http.Header, head Head) error { return set(header, HeaderHead, head) }

// SetReply adds the reply to an answer's headers.
func SetReply(header http.Header, reply Reply) error { return set(header, HeaderReply, reply) }

func set(header http.Header, name string, value any) error {
	raw, err := cbor.Marshal(value)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode "+name)
	}
	header.Set(name, base64.RawStdEncoding.EncodeToString(raw))
	return nil
}

// ParseHead reads the head from a request's headers. Callers check the sender's
// credential first; the size is limited nevertheless.
func ParseHead(header http.Header) (Head, error) {
	var head Head
	if err := parse(header, HeaderHead, &head); err != nil {
		return Head{}, err
	}
	if head.Priority > admission.Batch {
		return Head{}, failure.New(failure.InvalidRequest, "the head's priority is unknown; run the same version on routers and agents")
	}
	return head, nil
}

// ParseReply reads the reply from an answer's headers.
func ParseReply(header http.Header) (Reply, error) {
	var reply Reply
	err := parse(header, HeaderReply, &reply)
	return reply, err
}

func parse(header http.Header, name string, target any) error {
	text := header.Get(name)
	if text == "" {
		return failure.New(failure.InvalidRequest, "the header "+name+" is missing")
	}
	if len(text) > maxHeadLength {
		return failure.New(failure.InvalidRequest, "the header "+name+" is too long")
	}
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return failure.Wrap(failure.InvalidRequest, err, "the header "+name+" is not base64")
	}
	if err := cbor.Unmarshal(raw, target); err != nil {
		return failure.Wrap(failure.InvalidRequest, err, "the header "+name+" is not CBOR")
	}
	return nil
}

// Credential proves knowledge of the cluster key without revealing the key.
type Credential struct {
	value string
}

// NewCredential derives the credential from the cluster key.
func NewCredential(clusterKey []byte) Credential {
	mac := hmac.New(sha256.New, clusterKey)
	mac.Write([]byte("harriernotch hop v1"))
	return Credential{value: hex.EncodeToString(mac.Sum(nil))}
}

// Set adds the credential to a request's headers.
func (c Credential) Set(header http.Header) { header.Set(HeaderCluster, c.value) }

// Check returns an error unless the headers contain the credential.
func (c Credential) Check(header http.Header) error {
	if hmac.Equal([]byte(header.Get(HeaderCluster)), []byte(c.value)) {
		return nil
	}
	return failure.New(failure.UntrustedPeer, "the peer doesn't hold this cluster's key; give all nodes the same cluster_key")
}
