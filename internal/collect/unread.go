package collect

import (
	"encoding/binary"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/packed"
)

// packedUnread encodes the unread tokens of the counts of the same message, in their order, as varints:
// twice the unread tokens of a back end that has any, or one more than twice the number of consecutive
// back ends without any. Back ends after the last one with unread tokens are left out. A back end's
// unread tokens take at most two bytes; its key would take three more. Builds that don't know this
// field read the counts without it.
type packedUnread []byte

// maxSentUnread limits the unread tokens of a back end in a message, in units of dispatch.UnreadUnit,
// to what two bytes can hold: two million tokens, half a minute of prefill.
const maxSentUnread = 1<<13 - 1

// packUnread returns the unread tokens of the counts, nil if there are none.
func packUnread(counts []dispatch.Count) packedUnread {
	var bytes packedUnread
	without := uint64(0)
	for _, each := range counts {
		if each.Unread == 0 {
			without++
			continue
		}
		if without > 0 {
			bytes = binary.AppendUvarint(bytes, 2*without+1)
			without = 0
		}
		bytes = binary.AppendUvarint(bytes, 2*uint64(min(each.Unread, maxSentUnread)))
	}
	return bytes
}

// addTo sets the unread tokens of the counts of the same message. It returns errMalformedCounts if they
// aren't encoded as packUnread does, or if there are more of them than counts.
func (p packedUnread) addTo(counts []dispatch.Count) error {
	reader := packed.NewReader(p)
	for reader.HasMore() {
		next := reader.Uvarint(2 * maxCount)
		without := uint64(0)
		if next%2 == 1 {
			without = next / 2
			next = reader.Uvarint(2 * maxCount)
		}
		if reader.Malformed() || next == 0 || next%2 == 1 || without >= uint64(len(counts)) {
			return errMalformedCounts
		}
		counts[without].Unread = uint32(next / 2)
		counts = counts[without+1:]
	}
	return nil
}

// unpackCounts decodes the counts of a message, including their unread tokens. A message without
// unread tokens has none.
func unpackCounts(counts packedCounts, unread packedUnread) ([]dispatch.Count, error) {
	list, err := counts.unpack()
	if err != nil {
		return nil, err
	}
	if err := unread.addTo(list); err != nil {
		return nil, err
	}
	return list, nil
}
