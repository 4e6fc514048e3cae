// Package packed decodes lists that are encoded compactly, for messages that are sent several times
// per second: keys of a fixed length, and numbers as varints.
package packed

import "encoding/binary"

// KeyBytes is the length of a key.
const KeyBytes = 3

// AppendKey appends the low KeyBytes bytes of the key.
func AppendKey(encoded []byte, key uint32) []byte {
	return append(encoded, byte(key>>16), byte(key>>8), byte(key))
}

// Reader decodes keys and numbers in the order in which they were appended. Once something is
// malformed, it returns zeros.
type Reader struct {
	remaining []byte
	malformed bool
}

// NewReader returns a Reader of the encoded bytes.
func NewReader(encoded []byte) *Reader { return &Reader{remaining: encoded} }

// HasMore reports whether anything is left to decode.
func (r *Reader) HasMore() bool { return len(r.remaining) > 0 }

// Malformed reports whether anything could not be decoded.
func (r *Reader) Malformed() bool { return r.malformed }

// Key decodes a key.
func (r *Reader) Key() uint32 {
	if len(r.remaining) < KeyBytes {
		r.Reject()
		return 0
	}
	key := uint32(r.remaining[0])<<16 | uint32(r.remaining[1])<<8 | uint32(r.remaining[2])
	r.remaining = r.remaining[KeyBytes:]
	return key
}

// Uvarint decodes a number of at most limit.
func (r *Reader) Uvarint(limit uint64) uint64 {
	value, length := binary.Uvarint(r.remaining)
	if length <= 0 || value > limit {
		r.Reject()
		return 0
	}
	r.remaining = r.remaining[length:]
	return value
}

// Reject marks the encoded bytes as malformed, for a value that is out of its range.
func (r *Reader) Reject() {
	r.remaining = nil
	r.malformed = true
}
