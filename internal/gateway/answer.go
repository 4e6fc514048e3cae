package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventstream"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
)

// passOn gives the caller a back end's answer.
func (h *Handler) passOn(ctx context.Context, c *call, result outcome) {
	defer func() { result.cancel() }()
	h.config.Metrics.headReceived(c, h.clock().Since(c.began))
	if result.body != nil {
		hop.CopyEndToEnd(c.writer.Header(), result.answer.Header)
		c.writer.Header().Set("Content-Length", strconv.Itoa(len(result.body)))
		c.writer.WriteHeader(result.answer.StatusCode)
		// A caller that left can't be told.
		_, _ = c.writer.Write(result.body)
		h.completed(c)
		h.logDone(c, result, 0)
		return
	}
	h.passStream(ctx, c, result)
}

// completed tells the core that a back end's answer was whole.
func (h *Handler) completed(c *call) {
	h.config.State.decide(func(_ time.Time, core *dispatch.Core) dispatch.Decision {
		core.Completed(c.exchange)
		return dispatch.Decision{}
	})
}

// stream is an answer of events on its way to the caller.
type stream struct {
	controller *http.ResponseController
	// lastID is the last event that the caller has.
	lastID string
	events int
}

// errBehind means that a continued stream doesn't follow the last event.
var errEventGap = errors.New("the continued stream leaves out an event")

// passStream passes events on as they come, and continues a stream that breaks
// off at another back end where the route allows it. An answer that can't be
// completed is cut visibly.
func (h *Handler) passStream(ctx context.Context, c *call, result outcome) {
	s := &stream{controller: http.NewResponseController(c.writer)}
	for {
		err := h.copyEvents(c, s, result)
		_ = result.answer.Body.Close()
		result.cancel()
		if err == nil {
			h.completed(c)
			h.logDone(c, result, s.events)
			return
		}
		next, resumed := h.resume(ctx, c, s, result, err)
		if !resumed {
			h.cut(c, result, s, err)
			return
		}
		result = next
	}
}

// callerError marks a failure to write to the caller.
type callerWriteError struct{ cause error }

func (e *callerWriteError) Error() string { return "write to the caller: " + e.cause.Error() }
func (e *callerWriteError) Unwrap() error { return e.cause }

const (
	// pausesUntilSilent and leastSilence bound the pause after which a stream
	// that can be continued elsewhere is given up.
	silenceFactor = 4
	minSilence    = time.Second
)

// copyEvents passes whole events on until the stream ends.
func (h *Handler) copyEvents(c *call, s *stream, result outcome) error {
	silence := h.watchSilence(c, result)
	defer silence.stop()
	reader := eventstream.NewReader(result.answer.Body)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) && s.events > 0 {
			return nil
		}
		if err != nil {
			return err
		}
		silence.reset()
		if s.events == 0 {
			// The head goes out with the first event: until then another back end's
			// answer, or a refusal, can still take this one's place.
			hop.CopyEndToEnd(c.writer.Header(), result.answer.Header)
			c.writer.WriteHeader(result.answer.StatusCode)
		}
		isNext, err := s.isNext(event.ID)
		if err != nil {
			return err
		}
		if !isNext {
			continue
		}
		if err := s.write(c.writer, event); err != nil {
			return &callerWriteError{err}
		}
	}
}

// follows tells whether the event is the next one; one that the caller has is
// passed over.
func (s *stream) isNext(id string) (isNext bool, err error) {
	if id == "" || s.lastID == "" {
		return true, nil
	}
	last, lastErr := strconv.ParseInt(s.lastID, 10, 64)
	next, nextErr := strconv.ParseInt(id, 10, 64)
	if lastErr != nil || nextErr != nil {
		return true, nil
	}
	if next > last+1 {
		return false, errEventGap
	}
	return next > last, nil
}

func (s *stream) write(w http.ResponseWriter, event eventstream.Event) error {
	if _, err := w.Write(event.Raw); err != nil {
		return err
	}
	if event.ID != "" {
		s.lastID = event.ID
	}
	s.events++
	return s.controller.Flush()
}

// pauseWatch ends an attempt that has been silent for too long. Where this process
// itself runs late, what has come may not have been read yet: it is given that much
// more time, once for each silence.
type silenceTimer struct {
	timer *time.Timer
	limit time.Duration
	lag   func() time.Duration
	// extended is set while a silence has been given more time.
	extended atomic.Bool
	cancel   func()
}

func (t *silenceTimer) fire() {
	if late := t.lag(); late > 0 && !t.extended.Swap(true) {
		t.timer.Reset(late)
		return
	}
	t.cancel()
}

func (h *Handler) watchSilence(c *call, result outcome) *silenceTimer {
	silence := &silenceTimer{
		limit: max(minSilence, silenceFactor*c.route.PauseObjective),
		lag:   h.config.State.Lag, cancel: result.cancel,
	}
	if c.route.Resumable && c.exchange.Attempts() < c.route.MaxAttempts {
		silence.start()
	}
	return silence
}

// start begins to watch.
func (t *silenceTimer) start() {
	started := make(chan struct{})
	t.timer = time.AfterFunc(t.limit, func() { <-started; t.fire() })
	close(started)
}

func (t *silenceTimer) reset() {
	if t.timer != nil {
		t.extended.Store(false)
		t.timer.Reset(t.limit)
	}
}

func (t *silenceTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// resume tries to continue a broken stream at another back end.
func (h *Handler) resume(ctx context.Context, c *call, s *stream, broken outcome, cause error) (outcome, bool) {
	var caller *callerWriteError
	if c.request.Context().Err() != nil || errors.As(cause, &caller) {
		return outcome{}, false
	}
	decision := h.decideSend(c, func(now time.Time, core *dispatch.Core) dispatch.Decision {
		return core.Truncated(now, c.exchange)
	})
	h.logFailure(c, attemptFailure{send: broken.send, cause: cause.Error(), events: s.events}, decision)
	for decision.Send != nil {
		result := h.attempt(ctx, c, *decision.Send, s.lastID)
		if result.answer == nil {
			decision = result.next
			continue
		}
		if result.answer.StatusCode == http.StatusOK {
			return result, true
		}
		result.cancel()
		break
	}
	return outcome{}, false
}

// cut ends an answer that can't be completed: with an error while nothing of it
// was sent, else by closing the caller's connection, for which it doesn't return.
func (h *Handler) cut(c *call, result outcome, s *stream, cause error) {
	h.logCut(c, result, s.events, cause)
	if c.request.Context().Err() == nil {
		h.config.Metrics.cut(c)
	}
	if s.events == 0 && c.request.Context().Err() == nil {
		failure.WriteHTTPWith(c.writer, failure.Wrap(failure.StreamBroken, cause, "the back end broke off in its answer"), h.config.Dialect.FormatWait)
		return
	}
	panic(http.ErrAbortHandler)
}
