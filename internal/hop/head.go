// Package hop is what a router and an agent tell each other beside the caller's
// own request and answer. It travels in one HTTP header each way, as CBOR.
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

// Headers of the hop. They never reach callers or back ends.
const (
	// HeaderCluster proves knowledge of the cluster key.
	HeaderCluster = "Harriernotch-Cluster"
	// HeaderHead carries a Head.
	HeaderHead = "Harriernotch-Head"
	// HeaderReply carries a Reply.
	HeaderReply = "Harriernotch-Reply"
	// HeaderNode names the answering node of a control connection.
	HeaderNode = "Harriernotch-Node"
)

// maxHeadLength bounds the encoded header, in bytes.
const maxHeadLength = 16 << 10

// News is the control information that rides on traffic in both directions.
type Piggyback struct {
	// Records are the sender's freshest records of the pool.
	Records []membership.Record `cbor:"1,keyasint,omitempty"`
	// Number is the sender's bundle number.
	Number uint64 `cbor:"2,keyasint"`
	// ContactAgeMillis is how long ago the sender heard from its peers.
	ContactAgeMillis int64 `cbor:"3,keyasint"`
}

// Head is what a router tells an agent about a request.
type Head struct {
	// RequestID names the request in both nodes' logs.
	RequestID string `cbor:"1,keyasint"`
	// BackEnd is the back end that the router means to reach; an agent that
	// stands before another one refuses.
	BackEnd string `cbor:"2,keyasint"`
	// Tenant is the authenticated tenant.
	Tenant string `cbor:"3,keyasint"`
	// Priority is the request's class.
	Priority admission.Priority `cbor:"4,keyasint"`
	// RemainingMillis is the time until the deadline. A duration, not a time,
	// so that clock error between the machines doesn't matter.
	RemainingMillis int64 `cbor:"5,keyasint"`
	// Affine says that the chat's context is believed to be here.
	Affine bool `cbor:"6,keyasint"`
	// Last says that the router makes no further attempt: the request may wait a
	// moment for a place rather than be refused.
	LastAttempt bool `cbor:"13,keyasint,omitempty"`
	// LoadsMet are the loads of the back ends that refused before.
	ReportedLoads []routing.ReportedLoad `cbor:"7,keyasint,omitempty"`
	// Unreachable are members of the pool that the router could not reach a
	// moment ago.
	Unreachable []string `cbor:"12,keyasint,omitempty"`
	// Key is the idempotency key of an unrepeatable request, or "".
	Key string `cbor:"8,keyasint,omitempty"`
	// KeyIssuedMillis is the key's time of issue in Unix milliseconds.
	KeyIssuedMillis int64 `cbor:"9,keyasint,omitempty"`
	// KeyDigest is a hash of the request.
	KeyDigest uint64 `cbor:"10,keyasint,omitempty"`
	// News is the router's control information.
	Piggyback Piggyback `cbor:"11,keyasint"`
}

// Reply is what an agent tells a router beside the answer.
type Reply struct {
	// Refused says that the request was not run here and Kind says why.
	Refused bool `cbor:"1,keyasint"`
	// Kind is a failure's stable name, "" when the answer is the back end's.
	Kind string `cbor:"2,keyasint,omitempty"`
	// RetryAfterMillis is when to come back.
	RetryAfterMillis int64 `cbor:"3,keyasint,omitempty"`
	// Load is the back end's load.
	Load int `cbor:"4,keyasint"`
	// Incarnation is the agent's.
	Incarnation membership.Incarnation `cbor:"5,keyasint"`
	// News is the agent's control information.
	Piggyback Piggyback `cbor:"6,keyasint"`
}

// KeyIssued returns the key's time of issue.
func (h Head) KeyIssued() time.Time { return time.UnixMilli(h.KeyIssuedMillis) }

// Remaining returns the time until the deadline.
func (h Head) Remaining() time.Duration { return time.Duration(h.RemainingMillis) * time.Millisecond }

// FailureKind returns the reply's kind; ok is false when there is none.
func (r Reply) FailureKind() (failure.Kind, bool) { return failure.Parse(r.Kind) }

// SetHead writes the head into a request's headers.
func SetHead(header http.Header, head Head) error { return set(header, HeaderHead, head) }

// SetReply writes the reply into an answer's headers.
func SetReply(header http.Header, reply Reply) error { return set(header, HeaderReply, reply) }

func set(header http.Header, name string, value any) error {
	raw, err := cbor.Marshal(value)
	if err != nil {
		return failure.Wrap(failure.Internal, err, "encode "+name)
	}
	header.Set(name, base64.RawStdEncoding.EncodeToString(raw))
	return nil
}

// ParseHead reads a head; what it returns came from a node with the cluster
// key but is still bounded in size.
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

// ParseReply reads a reply.
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

// Credential proves knowledge of the cluster key without showing it.
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

// Check refuses a request without the credential.
func (c Credential) Check(header http.Header) error {
	if hmac.Equal([]byte(header.Get(HeaderCluster)), []byte(c.value)) {
		return nil
	}
	return failure.New(failure.UntrustedPeer, "the peer doesn't hold this cluster's key; give all nodes the same cluster_key")
}
