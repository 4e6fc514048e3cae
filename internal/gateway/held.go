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
type admittedReader struct {
	reader  io.Reader
	handler *Handler
	call    *call
}

func (r *admittedReader) Read(into []byte) (int, error) {
	n, err := r.reader.Read(into)
	if n > 0 && !r.handler.config.Held.Admit(int64(n), r.call.urgency) {
		return 0, errNoRoom
	}
	r.call.heldRequest += int64(n)
	return n, err
}

// heldReader reads a back end's answer, and waits where there is no room: the back end isn't
// read meanwhile.
type heldReader struct {
	reader  io.Reader
	handler *Handler
	call    *call
	// size is that of the whole answer, below 0 where it isn't told.
	size int64
}

func (r *heldReader) Read(into []byte) (int, error) {
	n, err := r.reader.Read(into)
	if n == 0 {
		return n, err
	}
	ctx, cancel := context.WithTimeout(r.call.request.Context(), r.handler.clock().Until(r.call.deadline))
	defer cancel()
	if waited := r.handler.config.Held.Hold(ctx, int64(n), r.call.heldAnswer, r.size); waited != nil {
		return 0, errors.Wrap(waited, "wait for room for the answer")
	}
	r.call.heldAnswer += int64(n)
	return n, err
}

// release gives back what the call held.
func (h *Handler) release(c *call) {
	h.config.Held.Release(c.heldRequest, c.heldAnswer)
	c.heldRequest, c.heldAnswer = 0, 0
}

// writingGrace is how long after its deadline a caller may still read what was sent to it.
const writingGrace = 2 * time.Second

// boundWriting ends a caller's connection that reads nothing for longer than it said that it
// waits: what it doesn't read would be held for as long as its connection lasts. Each request sets
// the bound anew, since that of the one before on the connection has passed by then.
func (h *Handler) boundWriting(c *call, wait time.Duration) {
	controller := http.NewResponseController(c.writer)
	if err := controller.SetWriteDeadline(time.Now().Add(wait + writingGrace)); err != nil {
		h.config.Log.Entry().WithError(err).Debug("a caller's connection ended before its request was read")
	}
}
