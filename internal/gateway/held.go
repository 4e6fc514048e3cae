package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// errNoRoom means that a body can't be held beside what is held already.
var errNoRoom = errors.New("too much is held")

// admittedReader reads a caller's body as far as there is room.
type requestBodyReader struct {
	reader  io.Reader
	handler *Handler
	call    *call
}

func (r *requestBodyReader) Read(into []byte) (int, error) {
	n, err := r.reader.Read(into)
	if n > 0 && !r.handler.config.Buffers.AcquireRequest(int64(n), r.call.urgency) {
		return 0, errNoRoom
	}
	r.call.bufferedRequest += int64(n)
	return n, err
}

// heldReader reads a back end's answer, and waits where there is no room: the back end isn't
// read meanwhile.
type answerBodyReader struct {
	reader  io.Reader
	handler *Handler
	call    *call
	// size is that of the whole answer, below 0 where it isn't told.
	size int64
}

func (r *answerBodyReader) Read(into []byte) (int, error) {
	n, err := r.reader.Read(into)
	if n == 0 {
		return n, err
	}
	ctx, cancel := context.WithTimeout(r.call.request.Context(), r.handler.clock().Until(r.call.deadline))
	defer cancel()
	if waitErr := r.handler.config.Buffers.AcquireAnswer(ctx, int64(n), r.call.bufferedAnswer, r.size); waitErr != nil {
		return 0, errors.Wrap(waitErr, "wait for room for the answer")
	}
	r.call.bufferedAnswer += int64(n)
	return n, err
}

// release gives back what the call held.
func (h *Handler) releaseBuffers(c *call) {
	h.config.Buffers.Release(c.bufferedRequest, c.bufferedAnswer)
	c.bufferedRequest, c.bufferedAnswer = 0, 0
}

// writingGrace is how long after its deadline a caller may still read what was sent to it.
const writeGrace = 2 * time.Second

// boundWriting ends a caller's connection that reads nothing for longer than it said that it
// waits: what it doesn't read would be held for as long as its connection lasts. Each request sets
// the bound anew, since that of the one before on the connection has passed by then.
func (h *Handler) setWriteDeadline(c *call, wait time.Duration) {
	controller := http.NewResponseController(c.writer)
	if err := controller.SetWriteDeadline(time.Now().Add(wait + writeGrace)); err != nil {
		h.config.Log.Entry().WithError(err).Debug("a caller's connection ended before its request was read")
	}
}
