// Package eventstream splits a stream of server-sent events into whole events, so that
// an answer never contains part of an event and can be resumed after the last one.
package eventstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// MaxEventBytes is the maximum size of an event. Hundreds of events that never end must fit into the memory of a
// small machine.
const MaxEventBytes = 128 << 10

// ErrTooLarge means that an event is larger than MaxEventBytes.
var ErrTooLarge = errors.New("an event is larger than 1 MiB")

// Event is one whole event.
type Event struct {
	// Raw is the event as received, including its closing blank line. It is valid until
	// the next call of Next.
	Raw []byte
	// ID is the event's id field, or "" if it has none.
	ID string
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	source *bufio.Reader
	buffer bytes.Buffer
}

const readBufferBytes = 4 << 10

// NewReader returns a Reader of the stream.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, readBufferBytes)}
}

// Next returns the next whole event. It returns io.EOF if the stream ended after a whole
// event, and io.ErrUnexpectedEOF if it ended within one.
func (r *Reader) Next() (Event, error) {
	r.buffer.Reset()
	event := Event{}
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, r.endError(err)
		}
		if isBlank(line) {
			if r.buffer.Len() == len(line) {
				// A blank line before an event is part of the event. A second one
				// ends it, as an event without fields.
				continue
			}
			event.Raw = r.buffer.Bytes()
			return event, nil
		}
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			event.ID = string(bytes.TrimSpace(id))
		}
	}
}

// readLine appends one line to the buffer and returns it.
func (r *Reader) readLine() ([]byte, error) {
	start := r.buffer.Len()
	for {
		part, err := r.source.ReadSlice('\n')
		r.buffer.Write(part)
		if r.buffer.Len() > MaxEventBytes {
			return nil, ErrTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return r.buffer.Bytes()[start:], nil
	}
}

func (r *Reader) endError(err error) error {
	if errors.Is(err, io.EOF) && r.buffer.Len() > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }
