package origins

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// queryMessage is what a gateway sends to another one: records to keep, or a question.
type queryMessage struct {
	Records  []dispatch.OriginRecord  `cbor:"1,keyasint,omitempty"`
	Question *dispatch.OriginQuestion `cbor:"2,keyasint,omitempty"`
}

// answerMessage answers a query. Its empty form acknowledges the records.
type answerMessage struct {
	Answer *dispatch.OriginAnswer `cbor:"1,keyasint,omitempty"`
}

const (
	// maxMessageBytes limits the size of a message, and maxBatch the records in one, of about 40 bytes
	// each.
	maxMessageBytes = 64 << 10
	maxBatch        = 500
)

func decodeAnswer(raw []byte) (answerMessage, error) {
	var message answerMessage
	err := cbor.Unmarshal(raw, &message)
	return message, err
}
