package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventstream"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
)

// passOn sends a back end's answer to the caller.
func (h *Handler) passOn(ctx context.Context, c *call, result outcome) {
	defer func() { result.cancel() }()
	h.config.Metrics.headReceived(c, h.clock().Since(c.began))
	if result.body != nil {
		hop.CopyEndToEnd(c.writer.Header(), result.answer.Header)
		if length := answerLength(c, result); length >= 0 {
			c.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
		}
		c.writer.WriteHeader(result.answer.StatusCode)
		// A write error means that the caller has left, so there is nobody to send an error to.
		_, _ = c.writer.Write(result.body)
		h.completed(c)
		h.logDone(c, result, 0, streamTimes{})
		return
	}
	h.passStream(ctx, c, result)
}

// answerLength returns the length that the answer states to the caller, or a negative number if it states none. An answer
// to HEAD states the length of a body that it doesn't have.
func answerLength(c *call, result outcome) int64 {
	if c.request.Method == http.MethodHead {
		return result.answer.ContentLength
	}
	return int64(len(result.body))
}

// completed records that a back end's answer was passed on completely.
func (h *Handler) completed(c *call) {
	h.config.State.decide(func(_ time.Time, core *dispatch.Core) dispatch.Decision {
		core.Completed(c.exchange)
		return dispatch.Decision{}
	})
}

// stream is an event stream that is being passed on to the caller.
type stream struct {
	controller *http.ResponseController
	// lastID is the ID of the last event that was sent to the caller, and events the number of
	// events sent.
	lastID string
	events int
	// continued is set once a run was continued from a backup.
	continued bool
	times     streamTimes
}

// errEventGap means that a resumed stream skips events, and errNoEventNumber that it isn't known
// whether a continued one does.
var (
	errEventGap      = errors.New("the resumed stream skips an event")
	errNoEventNumber = errors.New("the continued stream has an event without a number")
)

// passStream passes events on as they arrive. If the stream breaks off, its run is continued from a
// backup, or it is resumed at another back end if the route allows that; so is a silent one, see
// relocation. An answer that can't be completed is cut in a way that the caller notices.
//
// The connection to a back end that broke off is closed before the run is continued elsewhere: Close
// returns once it is. The back end may work on all the same; see runEndInquiry.
func (h *Handler) passStream(ctx context.Context, c *call, result outcome) {
	s := &stream{controller: http.NewResponseController(c.writer)}
	for {
		moved, err := h.copyEvents(ctx, c, s, result)
		_ = result.answer.Body.Close()
		result.cancel()
		if err == nil {
			h.completed(c)
			if s.continued {
				h.config.Metrics.continuationSucceeded(c)
			}
			h.logDone(c, result, s.events, s.times)
			return
		}
		next, goesOn := h.successor(ctx, c, s, result, moved, err)
		if !goesOn {
			h.cut(c, result, s, err)
			return
		}
		s.continued = s.continued || next.send.ContinueFrom != ""
		result = next
	}
}

// successor returns the answer that goes on with a stream that broke off with the error, or that was
// moved for its silence. It returns false if there is none.
func (h *Handler) successor(ctx context.Context, c *call, s *stream, before outcome, moved *relocation, err error) (outcome, bool) {
	if moved == nil {
		return h.resume(ctx, c, s, before, err)
	}
	if moved.accepted {
		return moved.result, true
	}
	return h.attemptRest(ctx, c, s, moved.decision)
}

// callerWriteError is a failure to write to the caller.
type callerWriteError struct{ cause error }

func (e *callerWriteError) Error() string { return "write to the caller: " + e.cause.Error() }
func (e *callerWriteError) Unwrap() error { return e.cause }

// copyEvents passes complete events on until the stream ends. A stream that ends before its
// first event has broken off, and so has an answer that ends with its connection before its first event. If
// the stream was moved to another back end because this one is silent, copyEvents returns the relocation and
// errSilent.
func (h *Handler) copyEvents(ctx context.Context, c *call, s *stream, result outcome) (*relocation, error) {
	silence, byPace := h.watchSilence(ctx, c, s, result)
	reader := eventstream.NewReader(result.answer.Body)
	joins := s.events > 0 // until an event of this answer has been passed on
	for received := 0; ; received++ {
		silence.resume()
		began := h.clock().Now()
		event, err := reader.Next()
		isComplete := errors.Is(err, io.EOF) && s.events > 0 && (received > 0 || !hop.EndsWithConnection(result.answer))
		// A caller that reads slowly isn't a silent back end.
		if moved := silence.pause(); moved != nil && moved.finish(c, err == nil || isComplete) {
			return moved, errSilent
		}
		if isComplete {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		if received == 0 {
			h.config.State.answerBegan(c.exchange)
		}
		waited := h.clock().Since(began)
		s.times.arrived(h.clock().Now(), result)
		h.config.State.progressed(c.exchange, result.send.EventTokens)
		isFirst := s.events == 0
		if isFirst {
			// The response header is sent with the first event. Until then, the answer of another
			// back end or an error can still replace this one.
			hop.CopyEndToEnd(c.writer.Header(), result.answer.Header)
			c.writer.WriteHeader(result.answer.StatusCode)
		}
		isNext, err := s.isNext(event.ID, joins)
		if err != nil {
			return nil, err
		}
		if isNext {
			joins = false
			if err := s.write(c.writer, event); err != nil {
				return nil, &callerWriteError{err}
			}
			s.times.passed(h.clock().Now())
		}
		if byPace || isFirst {
			h.config.State.eventPassed(c.exchange, waited, isNumber(event.ID))
		}
	}
}

// isNumber reports whether the ID of an event is a number, by which gaps are noticed.
func isNumber(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

// isNext reports whether the event follows the last one sent. Events that the caller already
// has are to be skipped. Where it joins another answer to what was sent, a gap is an error: within an
// answer, the back end chooses its numbers. So is an event without a number in a continued stream.
func (s *stream) isNext(id string, joins bool) (isNext bool, err error) {
	if s.continued && (!isNumber(id) || !isNumber(s.lastID)) {
		return false, errNoEventNumber
	}
	if id == "" || s.lastID == "" {
		return true, nil
	}
	last, lastErr := strconv.ParseInt(s.lastID, 10, 64)
	next, nextErr := strconv.ParseInt(id, 10, 64)
	if lastErr != nil || nextErr != nil {
		return true, nil
	}
	if joins && next > last+1 {
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

// resume sends attempts for the rest of a broken stream, as the core decides: its run is continued
// from a backup if it has ended, or the stream is resumed by a new run. It returns false if there is no answer.
func (h *Handler) resume(ctx context.Context, c *call, s *stream, broken outcome, cause error) (outcome, bool) {
	var caller *callerWriteError
	if c.request.Context().Err() != nil || errors.As(cause, &caller) {
		return outcome{}, false
	}
	decision := h.decideSend(c, func(now time.Time, core *dispatch.Core) dispatch.Decision {
		return core.Truncated(now, c.exchange)
	})
	end := runEndUnasked
	if decision.Confirm != nil {
		decision, end = h.confirmEnd(ctx, c, broken, cause, *decision.Confirm)
	}
	if c.request.Context().Err() != nil {
		return outcome{}, false
	}
	h.logFailure(c, attemptFailure{send: broken.send, cause: cause.Error(), events: s.events, runEnd: end}, decision)
	if decision.GiveUp != nil {
		h.config.Metrics.notResumed(c, resumedByGateway, decision.GiveUp.Kind)
	}
	return h.attemptRest(ctx, c, s, decision)
}

// attemptRest makes attempts for the rest of a stream until one of them is answered.
func (h *Handler) attemptRest(ctx context.Context, c *call, s *stream, decision dispatch.Decision) (outcome, bool) {
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

// cut ends an answer that can't be completed. If none of it was sent and the caller is still
// there, the caller gets an error; otherwise cut closes the caller's connection by a panic and
// doesn't return.
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
