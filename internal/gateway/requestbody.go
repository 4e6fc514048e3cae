package gateway

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/failure"
)

const (
	// firstPieceBytes is the size of the first piece of a body, or less for a shorter body. Each further piece is twice as
	// large, up to maxPieceBytes.
	firstPieceBytes = 4 << 10
	maxPieceBytes   = 64 << 10
)

// requestBody is a caller's body in the pieces in which it was read. A body that grows is never copied, so no more is held
// than was acquired from the buffer limit.
type requestBody struct {
	pieces [][]byte
	size   int64
}

// reader returns a reader of the whole body.
func (b *requestBody) reader() io.Reader {
	if len(b.pieces) == 1 {
		return bytes.NewReader(b.pieces[0])
	}
	readers := make([]io.Reader, len(b.pieces))
	for i, piece := range b.pieces {
		readers[i] = bytes.NewReader(piece)
	}
	return io.MultiReader(readers...)
}

// nextPieceBytes returns the size of the next piece of a body with the given length, which is negative if unknown.
func (b *requestBody) nextPieceBytes(length int64) int64 {
	next := int64(firstPieceBytes)
	if count := len(b.pieces); count > 0 {
		next = min(int64(2*cap(b.pieces[count-1])), maxPieceBytes)
	}
	if length >= 0 {
		next = max(min(next, length-b.size), 1) // 1 byte for the end of the body
	}
	return next
}

// errNoRoom means that a body doesn't fit within the buffer limit, and errGaveWay that it gave way to others because it
// arrived too slowly while there was no room for them.
var (
	errNoRoom  = errors.New("no room in the buffers")
	errGaveWay = errors.New("the body arrived too slowly while there was no room for others")
)

// readBody reads the caller's body. limit is the largest body; 0 means that the configuration sets none.
func (h *Handler) readBody(c *call, limit int64) error {
	if c.request.Body == http.NoBody {
		// The server already reads ahead on the connection. A deadline that ended that read would
		// end the request's context, as a caller that leaves does.
		return nil
	}
	if limit <= 0 {
		limit = h.config.MaxBodyBytes
	}
	if c.request.ContentLength > limit {
		return h.bodyError(c, &http.MaxBytesError{Limit: limit})
	}
	// A caller that stalls while sending its body must not hold a connection for longer
	// than it may wait for its answer.
	controller := http.NewResponseController(c.writer)
	if err := controller.SetReadDeadline(time.Now().Add(h.clock().Until(c.deadline))); err != nil {
		return failure.Wrap(failure.Internal, err, "bound the time of the body")
	}
	c.incoming = incomingBody{urgency: c.urgency, stop: func() { _ = controller.SetReadDeadline(past) }}
	err := h.collectBody(c, http.MaxBytesReader(c.writer, c.request.Body, limit))
	if !h.config.Buffers.Received(&c.incoming) {
		err = errGaveWay
	}
	if err != nil {
		return h.bodyError(c, err)
	}
	c.isBodyRead = true
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return failure.Wrap(failure.CallerGone, err, "the caller's connection ended")
	}
	return nil
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// collectBody reads the body to its end, as long as there is room for it.
func (h *Handler) collectBody(c *call, source io.Reader) error {
	var unnoted int64 // bytes since progress was last noted
	for {
		last := len(c.body.pieces) - 1
		if last < 0 || len(c.body.pieces[last]) == cap(c.body.pieces[last]) {
			size := c.body.nextPieceBytes(c.request.ContentLength)
			if !h.config.Buffers.AcquireIncoming(&c.incoming, size) {
				return errNoRoom
			}
			c.body.pieces = append(c.body.pieces, make([]byte, 0, size))
			last, unnoted = last+1, 0
		}
		piece := c.body.pieces[last]
		n, err := source.Read(piece[len(piece):cap(piece)])
		c.body.pieces[last] = piece[:len(piece)+n]
		c.body.size += int64(n)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if unnoted += int64(n); unnoted >= progressBytes {
			h.config.Buffers.Progressed(&c.incoming, c.body.size)
			unnoted = 0
		}
	}
}

// bodyError returns the failure of a request whose body can't be read to its end, and counts the body.
func (h *Handler) bodyError(c *call, err error) error {
	c.body.pieces = nil // the connection may stay for a moment
	h.releaseBuffers(c)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoRoom):
		h.config.Metrics.bodyEnded("no_room")
		return failure.New(failure.Overloaded, "this gateway holds too much for callers that read slowly; ask another")
	case errors.Is(err, errGaveWay):
		c.isBodyCut = true
		h.config.Metrics.bodyEnded("too_slow")
		return failure.Wrap(failure.Overloaded, err, "the body arrives too slowly for a gateway that holds too much; ask another")
	case errors.As(err, &tooLarge):
		h.config.Metrics.bodyEnded("too_large")
		return failure.Wrap(failure.TooLarge, err, "the body is too large; send less")
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.isBodyCut = true
		h.config.Metrics.bodyEnded("deadline")
		return failure.Wrap(failure.DeadlineUnmeetable, err, "the deadline passed before the body was read")
	}
	return failure.Wrap(failure.CallerGone, err, "the caller broke off in its body")
}

const (
	// bodyRestTime is how long the rest of a body that isn't needed is read before its request is answered, and how long
	// after that. A caller that sends its body to the end keeps its connection, and another one gets its answer and then
	// the close.
	bodyRestTime = 500 * time.Millisecond
	// maxBodyRest is the largest rest that is read before the answer.
	maxBodyRest = 64 << 10
)

// EndBody bounds what is left of the body of a request that needs none, before the request is answered.
func EndBody(w http.ResponseWriter, r *http.Request) { endBody(w, r, 0, false) }

// endBody bounds what is left of a request's body before the request is answered. The server would read it before it
// sends the answer, for as long as it takes. Where the read was cut, nothing more is read.
func endBody(w http.ResponseWriter, r *http.Request, alreadyRead int64, isCut bool) {
	if isCut {
		w.Header().Set("Connection", "close")
		return
	}
	controller := http.NewResponseController(w)
	// Errors mean that the connection has ended.
	_ = controller.SetReadDeadline(time.Now().Add(bodyRestTime))
	isShort := r.ContentLength < 0 || r.ContentLength-alreadyRead <= maxBodyRest
	isAwaited := strings.EqualFold(r.Header.Get("Expect"), "100-continue") && alreadyRead == 0
	if isShort && !isAwaited {
		if _, err := io.CopyN(io.Discard, r.Body, maxBodyRest); err == io.EOF {
			_ = controller.SetReadDeadline(time.Time{})
			return
		}
	}
	w.Header().Set("Connection", "close")
	_ = controller.SetReadDeadline(time.Now().Add(bodyRestTime))
}
