package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// errSilent means that a back end is silent, and errSilentGoesOn ends the attempt that was to take its
// stream up, because it isn't.
var (
	errSilent       = errors.New("the back end is silent")
	errSilentGoesOn = errors.New("the silent back end goes on")
)

// relocation takes a silent stream up at another back end. The silent back end is listened to until the
// other one has answered, unless the core has ended that attempt already: then the goroutine that passes
// the stream on carries the decision out.
//
// While the attempt of a relocation runs, the goroutine that passes the stream on does nothing but wait
// for the silent back end, and then for the relocation. It ends in one of three ways:
//   - accepted: the other back end has answered, and the silent attempt is ended.
//   - withdrawn: the silent back end went on or the caller left first, and the other attempt is ended.
//   - neither: the other back end refused, failed or couldn't be reached, and the silent attempt remains.
type relocation struct {
	decision dispatch.Decision
	// keepsSilentAttempt is set if the silent attempt is kept. The following fields are used only then.
	keepsSilentAttempt bool
	handler            *Handler
	call               *call
	silent             outcome
	cancel             context.CancelCauseFunc
	// settled is closed once it is certain whether the other back end has answered.
	settled chan struct{}

	mutex     sync.Mutex
	withdrawn bool
	accepted  bool
	// result is the answer of the other back end, if it is accepted.
	result outcome
}

// examineSilence lets the core decide about a stream whose back end is silent, and begins the relocation
// on which it decides.
func (h *Handler) examineSilence(ctx context.Context, c *call, s *stream, silent outcome, watch *silenceWatch) (*relocation, time.Duration) {
	if wait := h.config.Lag.SettleWait(h.clock().Now()); wait > 0 {
		return nil, wait
	}
	if wait := h.awaitStoppedRun(c, silent.send.BackEnd.Address); wait > 0 {
		return nil, wait
	}
	var recheck time.Duration
	moved := &relocation{handler: h, call: c, silent: silent, settled: make(chan struct{})}
	moved.decision = h.config.State.decide(func(now time.Time, core *dispatch.Core) (d dispatch.Decision) {
		d, recheck = core.ExamineSilence(now, c.exchange)
		moved.keepsSilentAttempt = c.exchange.HasSilentAttempt()
		return d
	})
	if moved.decision.Send == nil {
		return nil, recheck
	}
	h.logFailure(c, attemptFailure{send: silent.send, cause: errSilent.Error(), events: s.events, expired: true}, moved.decision)
	if !moved.keepsSilentAttempt {
		silent.cancel()
		return moved, 0
	}
	ctx, moved.cancel = context.WithCancelCause(ctx)
	lastID := s.lastID
	h.config.Tasks.Go("relocate_stream", func() {
		moved.run(ctx, lastID)
		if !moved.accepted && watch.relocationFailed(moved, recheck) {
			h.config.Metrics.relocated(c, moved)
		}
	})
	return moved, 0
}

// awaitStoppedRun returns how long to wait until a silent run may be continued elsewhere, or 0 if it may be now. One that
// may not be repeated is left to its back end while that can be reached, and may go on.
func (h *Handler) awaitStoppedRun(c *call, address string) (wait time.Duration) {
	if c.route.MayRepeat() {
		return 0
	}
	switch h.reach.examine(address) {
	case unreachable:
		return 0
	case reachable:
		return dispatch.SilenceRecheck
	default:
		return reachRecheck
	}
}

// run makes the attempt at the other back end, for the events after lastID. Once that has answered, run
// ends the silent attempt.
func (m *relocation) run(ctx context.Context, lastID string) {
	defer close(m.settled)
	result := m.handler.attempt(ctx, m.call, *m.decision.Send, lastID)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.accepted = result.answer != nil && result.answer.StatusCode == http.StatusOK && !m.withdrawn
	if !m.accepted {
		if result.answer != nil {
			_ = result.answer.Body.Close()
			result.cancel()
		}
		m.cancel(errSilentGoesOn)
		m.end((*dispatch.Core).EndSuccessor)
		return
	}
	endAttempt := result.cancel
	result.cancel = func() { endAttempt(); m.cancel(nil) }
	m.result = result
	m.end((*dispatch.Core).TakeOver)
	m.silent.cancel()
}

// end records in the core which of the two attempts remains.
func (m *relocation) end(step func(*dispatch.Core, time.Time, *dispatch.Exchange)) {
	m.handler.config.State.decide(func(now time.Time, core *dispatch.Core) dispatch.Decision {
		step(core, now, m.call.exchange)
		return dispatch.Decision{}
	})
}

// finish ends the relocation and returns whether the stream goes on at the other back end, after the silent one has sent an event
// or its end, or has broken off. An event or the end ends the other attempt unless that has been answered.
// The event is left out in that case, because the other back end sends it, too.
func (m *relocation) finish(c *call, silentGoesOn bool) bool {
	if !m.keepsSilentAttempt {
		return true
	}
	m.mutex.Lock()
	if !m.accepted && (silentGoesOn || c.request.Context().Err() != nil) {
		m.withdrawn = true
		m.cancel(errSilentGoesOn)
	}
	m.mutex.Unlock()
	<-m.settled
	m.handler.config.Metrics.relocated(c, m)
	return m.accepted
}
