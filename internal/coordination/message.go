// Package coordination is the control plane of one node: gossip with a few
// peers, the spread and acceptance of bundles, and the choice of the nodes that
// watch the platform.
//
// The Node is a state machine without I/O: typed events and the time go in,
// actions come out. The daemon and the simulation run the same one.
package coordination

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/membership"
)

// noConfirmation is the wire value of "never confirmed".
const neverConfirmed = -1

// Message is the one control message between two nodes.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// From is the sender.
	From string
	// Number is the sender's bundle number; 0 when it has none.
	Number uint64
	// ConfirmedAgeMillis tells how long ago Number was known to be the
	// platform's newest; -1 when never.
	ConfirmedAgeMillis int64
	// Stamp is the sender's clock in milliseconds since its start, at least 1.
	Stamp int64
	// Echo is the last Stamp that the sender received on this link, or 0. It
	// proves that this message was made after that moment of the receiver's
	// clock, however long it lay in a buffer since.
	Echo int64
	// Want asks for the sender's bundle.
	Want bool
	// Records are news of nodes.
	Records []membership.Record
	// Bundle is a signed bundle, in answer to Want.
	Bundle []byte
}

// MaxMessageSize is the largest encoded message in bytes: one bundle and some
// records.
const MaxMessageSize = bundle.MaxSize + 1<<16

// maxRecordsPerMessage bounds what a peer may send at once.
const maxRecordsPerMessage = 4096

var decodeMode = mustDecodeMode()

func mustDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxRecordsPerMessage, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // fixed options; can't fail at run time
	}
	return mode
}

// Encode returns the message's wire form.
func (m Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

// DecodeMessage parses a message that a peer sent.
func DecodeMessage(raw []byte) (Message, error) {
	if len(raw) > MaxMessageSize {
		return Message{}, failure.New(failure.InvalidRequest, "the control message is too large")
	}
	var message Message
	if err := decodeMode.Unmarshal(raw, &message); err != nil {
		return Message{}, failure.Wrap(failure.InvalidRequest, err, "not a control message")
	}
	return message, nil
}
