// Package coordination implements the control plane of one node: gossip with a few peers, the
// distribution and acceptance of bundles, and the selection of the nodes that watch the platform.
//
// Node is a state machine without I/O: its inputs are typed events and the current time, its
// outputs are actions. The daemon and the simulation run the same code.
package coordination

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/membership"
)

// neverConfirmed is the value of ConfirmedAgeMillis for a bundle that was never confirmed.
const neverConfirmed = -1

// Message is the only type of control message between nodes.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// From is the sender's ID.
	From string
	// Number is the number of the sender's bundle, or 0 if it has none.
	Number uint64
	// ConfirmedAgeMillis is how long ago Number was last known to be the platform's newest, or -1
	// if it never was.
	ConfirmedAgeMillis int64
	// Stamp is the time since the sender's start in milliseconds, plus 1, so that it is never 0.
	Stamp int64
	// Echo is the latest Stamp that the sender received on this link, or 0. It proves that this
	// message was created after that moment of the receiver's clock, however long the message has
	// waited in a buffer since.
	Echo int64
	// Want requests the receiver's bundle.
	Want bool
	// Records are membership records that the receiver lacks.
	Records []membership.Record
	// Bundle is the sender's signed bundle, in answer to Want.
	Bundle []byte
}

// MaxMessageSize is the largest encoded message in bytes. It leaves room for one bundle and some
// records.
const MaxMessageSize = bundle.MaxSize + 1<<16

// maxRecordsPerMessage limits the records that a peer may send in one message.
const maxRecordsPerMessage = 4096

var decodeMode = mustDecodeMode()

func mustDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxRecordsPerMessage, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constant, so this can't fail at run time
	}
	return mode
}

// Encode returns the encoded message.
func (m Message) Encode() ([]byte, error) { return cbor.Marshal(m) }

// DecodeMessage decodes a message received from a peer.
func DecodeMessage(raw []byte) (Message, error) {
	if len(raw) > MaxMessageSize {
		return Message{}, failure.New(failure.InvalidRequest, "the control message exceeds the size limit")
	}
	var message Message
	if err := decodeMode.Unmarshal(raw, &message); err != nil {
		return Message{}, failure.Wrap(failure.InvalidRequest, err, "decode the control message")
	}
	return message, nil
}
