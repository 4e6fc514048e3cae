package hop

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/go-faster/errors"
)

// ChatPathPrefix is the prefix of all paths of the chat API.
const ChatPathPrefix = "/v1/"

// EventStream is the media type of server-sent events.
const EventStream = "text/event-stream"

// copyBufferSize is the size of the largest piece passed on at once, in bytes.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferSize)
	return &buffer
}}

// streamEnd is the closing event of a complete stream of the chat API.
var streamEnd = []byte("data: [DONE]")

// tailSize is the number of bytes from the end of a stream in which streamEnd is
// searched.
const tailSize = 32

// ErrStreamTruncated means that a stream ended without its closing event.
var ErrStreamTruncated = errors.New("the stream ended without its closing event")

// receiverError is an error in writing to an answer's receiver. The source may still be
// intact.
type receiverError struct{ cause error }

func (e *receiverError) Error() string { return "write the answer to its receiver: " + e.cause.Error() }
func (e *receiverError) Unwrap() error { return e.cause }

// ReceiverGone reports whether a copy failed because of its receiver, and not because of
// its source.
func ReceiverGone(err error) bool {
	var gone *receiverError
	return errors.As(err, &gone)
}

// Copier copies an answer's body to the next hop.
type Copier struct {
	// Stream flushes after every piece.
	Stream bool
	// RequireEnd returns ErrStreamTruncated for a stream without the chat API's closing
	// event at its end.
	RequireEnd bool
	// Observe is called with every piece before it is passed on; it may be nil.
	Observe func(piece []byte)
}

// NewCopier returns the copier for an answer with the given headers to a request for
// the path.
func NewCopier(path string, header http.Header) Copier {
	stream := isEventStream(header)
	return Copier{Stream: stream, RequireEnd: stream && strings.HasPrefix(path, ChatPathPrefix)}
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), EventStream)
}

// Copy copies until the end of source. An error means that the receiver didn't get the
// complete answer, because either the source or the receiver failed; ReceiverGone
// distinguishes the two.
func (c Copier) Copy(w http.ResponseWriter, source io.Reader) error {
	pooled, ok := copyBuffers.Get().(*[]byte)
	if !ok {
		return errors.New("the buffer pool contains a value of another type")
	}
	defer copyBuffers.Put(pooled)
	buffer := *pooled
	controller := http.NewResponseController(w)
	var tail []byte
	for {
		count, readErr := source.Read(buffer)
		if count > 0 {
			if err := c.forward(w, controller, buffer[:count]); err != nil {
				return err
			}
			if c.RequireEnd {
				tail = appendTail(tail, buffer[:count])
			}
		}
		if readErr == io.EOF {
			return c.checkEnd(tail)
		}
		if readErr != nil {
			return errors.Wrap(readErr, "read the answer")
		}
	}
}

func (c Copier) forward(w http.ResponseWriter, controller *http.ResponseController, piece []byte) error {
	if c.Observe != nil {
		c.Observe(piece)
	}
	if _, err := w.Write(piece); err != nil {
		return &receiverError{err}
	}
	if !c.Stream {
		return nil
	}
	if err := controller.Flush(); err != nil {
		return &receiverError{err}
	}
	return nil
}

func (c Copier) checkEnd(tail []byte) error {
	if c.RequireEnd && !bytes.Contains(tail, streamEnd) {
		return ErrStreamTruncated
	}
	return nil
}

// appendTail returns the last tailSize bytes of the tail followed by the piece. It
// reuses the tail's memory.
func appendTail(tail, piece []byte) []byte {
	if len(piece) >= tailSize {
		return append(tail[:0], piece[len(piece)-tailSize:]...)
	}
	tail = append(tail, piece...)
	if excess := len(tail) - tailSize; excess > 0 {
		tail = append(tail[:0], tail[excess:]...)
	}
	return tail
}
