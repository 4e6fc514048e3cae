package collect

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// question is what a gateway tells a collector. The answer holds the sums over the whole
// fleet for a member, which tells its counts, and those over the group for another
// collector.
type queryMessage struct {
	// From is the gateway that asks.
	From string `cbor:"1,keyasint"`
	// Counts are a member's own; a collector that asks for the group has none.
	Counts packedCounts `cbor:"2,keyasint,omitempty"`
	// Group is set by another collector.
	Group bool `cbor:"3,keyasint,omitempty"`
	// Tallies are a member's own of moves to other versions.
	Tallies []rollout.Tally `cbor:"4,keyasint,omitempty"`
}

// answer is what a collector returns.
type answerMessage struct {
	Counts packedCounts `cbor:"1,keyasint"`
	// Counted and Expected are those of dispatch.Totals.
	Counted  int `cbor:"2,keyasint"`
	Expected int `cbor:"3,keyasint"`
	// Tallies are those of dispatch.Totals.
	Tallies []rollout.Tally `cbor:"4,keyasint,omitempty"`
}

// packed holds counts in as few bytes as a large fleet needs: for each back end three
// bytes of the key, then twice the requests and wanted as varints, one byte each as a
// rule. Where the first is told with one more, what ended and what it took follow.
type packedCounts []byte

const keyBytes = dispatch.CountKeyBits / 8

func pack(counts []dispatch.Count) packedCounts {
	bytes := make(packedCounts, 0, len(counts)*(keyBytes+2))
	for _, each := range counts {
		bytes = append(bytes, byte(each.Key>>16), byte(each.Key>>8), byte(each.Key))
		requests := 2 * uint64(each.Requests)
		if each.Ended > 0 {
			requests++
		}
		bytes = binary.AppendUvarint(bytes, requests)
		bytes = binary.AppendUvarint(bytes, uint64(each.Demand))
		if each.Ended > 0 {
			bytes = binary.AppendUvarint(bytes, uint64(each.Ended))
			bytes = binary.AppendUvarint(bytes, uint64(each.ResidenceMillis))
		}
	}
	return bytes
}

// mostPacked bounds the counts of one message, and mostCount one count: far above any
// fleet's, so that a damaged message can't take the memory.
const (
	maxPackedCounts = 100_000
	maxCount        = 1 << 24
)

var errMalformedCounts = errors.New("the counts can't be read")

func (p packedCounts) unpack() ([]dispatch.Count, error) {
	if len(p) > maxPackedCounts*(keyBytes+2) {
		return nil, errMalformedCounts
	}
	counts := make([]dispatch.Count, 0, len(p)/(keyBytes+2))
	remaining := unpacker{bytes: p}
	for len(remaining.bytes) > 0 {
		count := dispatch.Count{Key: remaining.key()}
		requests := remaining.uvarint()
		count.Requests = requests / 2
		count.Demand = remaining.uvarint()
		if requests%2 == 1 {
			count.Ended = remaining.uvarint()
			count.ResidenceMillis = remaining.uvarint()
		}
		if remaining.failed {
			return nil, errMalformedCounts
		}
		counts = append(counts, count)
	}
	return counts, nil
}

// reader takes packed counts apart. After a failure it returns zeros.
type unpacker struct {
	bytes  []byte
	failed bool
}

func (u *unpacker) key() uint32 {
	if len(u.bytes) < keyBytes {
		u.fail()
		return 0
	}
	key := uint32(u.bytes[0])<<16 | uint32(u.bytes[1])<<8 | uint32(u.bytes[2])
	u.bytes = u.bytes[keyBytes:]
	return key
}

func (u *unpacker) uvarint() uint32 {
	value, length := binary.Uvarint(u.bytes)
	if length <= 0 || value > maxCount {
		u.fail()
		return 0
	}
	u.bytes = u.bytes[length:]
	return uint32(value)
}

func (u *unpacker) fail() {
	u.bytes = nil
	u.failed = true
}

func encodeAnswer(totals dispatch.Totals) ([]byte, error) {
	return cbor.Marshal(answerMessage{Counts: pack(totals.Counts), Counted: totals.Counted, Expected: totals.Expected, Tallies: totals.Tallies})
}

func decodeAnswer(raw []byte) (dispatch.Totals, error) {
	var message answerMessage
	if err := cbor.Unmarshal(raw, &message); err != nil {
		return dispatch.Totals{}, err
	}
	counts, err := message.Counts.unpack()
	return dispatch.Totals{Counts: counts, Counted: max(0, message.Counted), Expected: max(0, message.Expected), Tallies: message.Tallies}, err
}
