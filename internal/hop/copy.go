package hop

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/go-faster/errors"
)

// ChatPathPrefix begins every path of the chat API.
const ChatPathPrefix = "/v1/"

// EventStream is the media type of server-sent events.
const EventStream = "text/event-stream"

// copyBufferSize is the largest piece passed on at once, in bytes.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferSize)
	return &buffer
}}

// streamEnd closes a whole stream of the chat API.
var streamEnd = []byte("data: [DONE]")

// tailSize is how much of a stream's end is kept to look for streamEnd.
const tailSize = 32

// ErrStreamCut means that a stream ended without its closing event.
var ErrStreamTruncated = errors.New("the stream ended without its closing event")

// receiverError marks a failure to pass an answer on: its source is still whole.
type receiverError struct{ cause error }

func (e *receiverError) Error() string { return "pass the answer on: " + e.cause.Error() }
func (e *receiverError) Unwrap() error { return e.cause }

// ReceiverGone tells whether a copy failed since its receiver broke off, and not
// its source.
func ReceiverGone(err error) bool {
	var gone *receiverError
	return errors.As(err, &gone)
}

// Copier passes an answer's body on.
type Copier struct {
	// Stream flushes every piece.
	Stream bool
	// RequireEnd reports a stream without the chat API's closing event as cut.
	RequireEnd bool
	// Observe sees every piece before it is passed on; it may be nil.
	Observe func(piece []byte)
}

// NewCopier returns the copier for an answer to a request for the path.
func NewCopier(path string, header http.Header) Copier {
	stream := isEventStream(header)
	return Copier{Stream: stream, RequireEnd: stream && strings.HasPrefix(path, ChatPathPrefix)}
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), EventStream)
}

// Copy copies until the end. An error means that the answer is not whole,
// whether its source or its receiver broke off.
func (c Copier) Copy(w http.ResponseWriter, source io.Reader) error {
	pooled, ok := copyBuffers.Get().(*[]byte)
	if !ok {
		return errors.New("the buffer pool holds a foreign value")
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

// keepTail returns the last bytes of the tail and the piece together.
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
