package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// answerBodyReader reads a back end's answer. While the buffers have no room for what it has
// read, it waits and reads no more from the back end.
type answerBodyReader struct {
	reader  io.Reader
	handler *Handler
	call    *call
	// size is the size of the whole answer, or negative if unknown.
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

// releaseBuffers returns the bytes that the call used of the buffer limit.
func (h *Handler) releaseBuffers(c *call) {
	h.config.Buffers.Release(c.incoming.held, c.bufferedAnswer)
	c.incoming.held, c.bufferedAnswer = 0, 0
}

// writeGrace is how long after its request's deadline a caller may still read what was sent to
// it.
const writeGrace = 2 * time.Second

// setWriteDeadline limits the time for writing the answer to the caller: the time that the
// request may take, and writeGrace. The connection of a caller that hasn't read its answer by
// then is closed; otherwise the answer would stay buffered for as long as the connection lasts.
// Every request sets a new deadline, because that of the previous request on the connection may
// have passed.
func (h *Handler) setWriteDeadline(c *call, wait time.Duration) {
	controller := http.NewResponseController(c.writer)
	if err := controller.SetWriteDeadline(time.Now().Add(wait + writeGrace)); err != nil {
		h.config.Log.Entry().WithError(err).Debug("a caller's connection ended before its request was read")
	}
}
