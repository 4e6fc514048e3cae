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
type question struct {
	// From is the gateway that asks.
	From string `cbor:"1,keyasint"`
	// Counts are a member's own; a collector that asks for the group has none.
	Counts packed `cbor:"2,keyasint,omitempty"`
	// Group is set by another collector.
	Group bool `cbor:"3,keyasint,omitempty"`
	// Tallies are a member's own of moves to other versions.
	Tallies []rollout.Tally `cbor:"4,keyasint,omitempty"`
}

// answer is what a collector returns.
type answer struct {
	Counts packed `cbor:"1,keyasint"`
	// Counted and Expected are those of dispatch.Totals.
	Counted  int `cbor:"2,keyasint"`
	Expected int `cbor:"3,keyasint"`
	// Tallies are those of dispatch.Totals.
	Tallies []rollout.Tally `cbor:"4,keyasint,omitempty"`
}

// packed holds counts in as few bytes as a large fleet needs: for each back end three
// bytes of the key, then twice the requests and wanted as varints, one byte each as a
// rule. Where the first is told with one more, what ended and what it took follow.
type packed []byte

const keyBytes = dispatch.CountKeyBits / 8

func pack(counts []dispatch.Count) packed {
	bytes := make(packed, 0, len(counts)*(keyBytes+2))
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
	mostPacked = 100_000
	mostCount  = 1 << 24
)

var errPacked = errors.New("the counts can't be read")

func (p packed) unpack() ([]dispatch.Count, error) {
	if len(p) > mostPacked*(keyBytes+2) {
		return nil, errPacked
	}
	counts := make([]dispatch.Count, 0, len(p)/(keyBytes+2))
	rest := reader{bytes: p}
	for len(rest.bytes) > 0 {
		count := dispatch.Count{Key: rest.key()}
		requests := rest.number()
		count.Requests = requests / 2
		count.Demand = rest.number()
		if requests%2 == 1 {
			count.Ended = rest.number()
			count.ResidenceMillis = rest.number()
		}
		if rest.failed {
			return nil, errPacked
		}
		counts = append(counts, count)
	}
	return counts, nil
}

// reader takes packed counts apart. After a failure it returns zeros.
type reader struct {
	bytes  []byte
	failed bool
}

func (r *reader) key() uint32 {
	if len(r.bytes) < keyBytes {
		r.fail()
		return 0
	}
	key := uint32(r.bytes[0])<<16 | uint32(r.bytes[1])<<8 | uint32(r.bytes[2])
	r.bytes = r.bytes[keyBytes:]
	return key
}

func (r *reader) number() uint32 {
	value, length := binary.Uvarint(r.bytes)
	if length <= 0 || value > mostCount {
		r.fail()
		return 0
	}
	r.bytes = r.bytes[length:]
	return uint32(value)
}

func (r *reader) fail() {
	r.bytes = nil
	r.failed = true
}

func encodeAnswer(totals dispatch.Totals) ([]byte, error) {
	return cbor.Marshal(answer{Counts: pack(totals.Counts), Counted: totals.Counted, Expected: totals.Expected, Tallies: totals.Tallies})
}

func decodeAnswer(raw []byte) (dispatch.Totals, error) {
	var message answer
	if err := cbor.Unmarshal(raw, &message); err != nil {
		return dispatch.Totals{}, err
	}
	counts, err := message.Counts.unpack()
	return dispatch.Totals{Counts: counts, Counted: max(0, message.Counted), Expected: max(0, message.Expected), Tallies: message.Tallies}, err
}
