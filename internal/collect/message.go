package collect

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/fairshare"
	"github.com/harriernotch/harriernotch/internal/packed"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// queryMessage is what a gateway sends to a collector. A member reports its counts, and gets an
// answer with the totals of the whole fleet. Another collector reports nothing, and gets the totals
// of the group.
type queryMessage struct {
	// From is the ID of the sender.
	From string `cbor:"1,keyasint"`
	// Counts are a member's own counts; another collector sends none.
	Counts packedCounts `cbor:"2,keyasint,omitempty"`
	// Group is set by another collector.
	Group bool `cbor:"3,keyasint,omitempty"`
	// Tallies are a member's own tallies of rollouts.
	Tallies []rollout.Tally `cbor:"4,keyasint,omitempty"`
	// Unread holds the unread tokens of the back ends in Counts.
	Unread packedUnread `cbor:"5,keyasint,omitempty"`
	// Tenants are the demands of a member's largest tenants.
	Tenants fairshare.Packed `cbor:"6,keyasint,omitempty"`
}

// answerMessage is a collector's answer.
type answerMessage struct {
	Counts packedCounts `cbor:"1,keyasint"`
	// Counted and Expected are those of dispatch.Totals.
	Counted  int `cbor:"2,keyasint"`
	Expected int `cbor:"3,keyasint"`
	// Tallies are those of dispatch.Totals.
	Tallies []rollout.Tally `cbor:"4,keyasint,omitempty"`
	// Unread holds the unread tokens of the back ends in Counts.
	Unread packedUnread `cbor:"5,keyasint,omitempty"`
	// Tenants are those of dispatch.Totals.
	Tenants fairshare.Packed `cbor:"6,keyasint,omitempty"`
}

// packedCounts encodes counts compactly for a large fleet: for each back end three bytes of the
// key, then twice the number of requests, and the demand, as varints that are usually one byte
// each. If Ended isn't 0, one is added to the first varint, and Ended and ResidenceMillis follow as
// varints.
type packedCounts []byte

func pack(counts []dispatch.Count) packedCounts {
	bytes := make(packedCounts, 0, len(counts)*(packed.KeyBytes+2))
	for _, each := range counts {
		bytes = packed.AppendKey(bytes, each.Key)
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

// maxPackedCounts limits the counts of one message, and maxCount each count. Both are far above
// those of any fleet, and keep a damaged message from exhausting the memory.
const (
	maxPackedCounts = 100_000
	maxCount        = 1 << 24
)

var errMalformedCounts = errors.New("malformed packed counts")

func (p packedCounts) unpack() ([]dispatch.Count, error) {
	if len(p) > maxPackedCounts*(packed.KeyBytes+2) {
		return nil, errMalformedCounts
	}
	counts := make([]dispatch.Count, 0, len(p)/(packed.KeyBytes+2))
	reader := packed.NewReader(p)
	next := func() uint32 { return uint32(reader.Uvarint(maxCount)) }
	for reader.HasMore() {
		count := dispatch.Count{Key: reader.Key()}
		requests := next()
		count.Requests = requests / 2
		count.Demand = next()
		if requests%2 == 1 {
			count.Ended = next()
			count.ResidenceMillis = next()
		}
		if reader.Malformed() {
			return nil, errMalformedCounts
		}
		counts = append(counts, count)
	}
	return counts, nil
}

func encodeAnswer(totals dispatch.Totals) ([]byte, error) {
	return cbor.Marshal(answerMessage{
		Counts: pack(totals.Counts), Counted: totals.Counted, Expected: totals.Expected, Tallies: totals.Tallies,
		Unread: packUnread(totals.Counts), Tenants: fairshare.Pack(totals.Tenants),
	})
}

func decodeAnswer(raw []byte) (dispatch.Totals, error) {
	var message answerMessage
	if err := cbor.Unmarshal(raw, &message); err != nil {
		return dispatch.Totals{}, err
	}
	counts, err := unpackCounts(message.Counts, message.Unread)
	if err != nil {
		return dispatch.Totals{}, err
	}
	tenants, err := message.Tenants.Unpack()
	return dispatch.Totals{Counts: counts, Counted: max(0, message.Counted), Expected: max(0, message.Expected), Tallies: message.Tallies, Tenants: tenants}, err
}
