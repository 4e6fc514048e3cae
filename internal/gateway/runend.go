package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/hop"
)

// A run goes on at another back end only after its first back end has stopped working on it. The end of a stream's
// connection doesn't tell: a back end may lose an answer and work on, and not every one drops a request with its
// connection. So the gateway asks at the back end's address. The run has ended if connections there are refused, if
// another back end has the address, or if the back end itself says so. What isn't known to have ended counts as
// going on.

// runEnd is what is known of whether a run whose stream broke off has ended.
type runEnd uint8

const (
	// runEndUnasked: nobody asked, because the run can't be continued elsewhere.
	runEndUnasked runEnd = iota
	// runEndUnknown: nothing showed whether it has ended.
	runEndUnknown
	// runGoesOn: the back end can be reached and wasn't found to have stopped.
	runGoesOn
	// runRefused: the back end refuses connections.
	runRefused
	// runUnreachable: the back end's machine has stopped responding.
	runUnreachable
	// runReplaced: another back end has the address.
	runReplaced
	// runStopped: the back end doesn't work on the run any more, by its own word.
	runStopped
)

// String returns the value of the metric's label and of the log field.
func (e runEnd) String() string {
	return [...]string{"unasked", "unknown", "goes_on", "refused", "unreachable", "replaced", "stopped"}[e]
}

// hasEnded reports whether the back end doesn't work on the run any more.
func (e runEnd) hasEnded() bool { return e >= runRefused }

const (
	// runEndPause is the time between two questions. A process that is ending may close its connections before its
	// port refuses new ones.
	runEndPause = 20 * time.Millisecond
	// maxControlAnswer limits the body of a back end's answer to a question, in bytes.
	maxControlAnswer = 64 << 10
)

// runEndInquiry finds out whether runs have ended.
type runEndInquiry struct {
	// transport opens a connection for each question.
	transport http.RoundTripper
	dialect   Dialect
}

// brokenRun is a run whose stream broke off.
type brokenRun struct {
	// request is the ID of the request, and backEnd and address those of the back end that ran it.
	request, backEnd, address string
	// unacknowledged is true if the connection ended because the back end's machine acknowledged nothing.
	unacknowledged bool
}

// await asks until it is known whether the run has ended, or until confirmation.Until. copyID is the ID of a newer copy
// at the target, or "".
func (q *runEndInquiry) await(ctx context.Context, run brokenRun, confirmation dispatch.Confirmation) (end runEnd, copyID string) {
	ctx, cancel := context.WithDeadline(ctx, confirmation.Until)
	defer cancel()
	for {
		end, copyID = q.ask(ctx, run, confirmation)
		if end != runEndUnknown || ctx.Err() != nil {
			return end, copyID
		}
		pause := time.NewTimer(runEndPause)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return runEndUnknown, ""
		}
	}
}

// ask sends each question once: which back end has the address and, if that is the one that ran the request, the call
// that stops the run. Both together take at most reachProbeTimeout.
func (q *runEndInquiry) ask(ctx context.Context, run brokenRun, confirmation dispatch.Confirmation) (end runEnd, copyID string) {
	ctx, cancel := context.WithTimeout(ctx, reachProbeTimeout)
	defer cancel()
	end = q.identify(ctx, run)
	if end != runGoesOn || !confirmation.MayStop {
		return end, ""
	}
	return q.stop(ctx, run, confirmation.Target)
}

// identify asks which back end has the address.
func (q *runEndInquiry) identify(ctx context.Context, run brokenRun) runEnd {
	began := time.Now()
	request, err := hop.NewRequest(ctx, http.MethodGet, "http://"+run.address, nil, 0)
	if err != nil {
		return runEndUnknown
	}
	q.dialect.WriteIdentityQuestion(request)
	answer, err := q.transport.RoundTrip(request)
	if err != nil {
		return run.endByFailure(err, time.Since(began))
	}
	defer answer.Body.Close()
	actual := q.dialect.ReadAnswer(answer.StatusCode, answer.Header).ActualBackEnd
	if actual != "" && actual != run.backEnd {
		return runReplaced
	}
	return runGoesOn
}

// endByFailure returns what the failure of a question after the span says about the run. A failure of this process,
// for example for want of descriptors, says nothing. Neither does a connection that isn't opened in time, unless the
// machine was silent before: a machine drops the packets that open connections while a queue is full.
func (r brokenRun) endByFailure(err error, span time.Duration) runEnd {
	switch {
	case !hop.NothingSent(err):
		return runEndUnknown
	case isRefused(err):
		return runRefused
	case isUnanswered(err) && r.unacknowledged && span <= reachProbeTimeout+reachProbeLateness:
		return runUnreachable
	default:
		return runEndUnknown
	}
}

// stop requests that the back end stops the run and moves its memory to the target.
func (q *runEndInquiry) stop(ctx context.Context, run brokenRun, target string) (end runEnd, copyID string) {
	request, err := q.newStopCall(ctx, run, target)
	if err != nil {
		return runEndUnknown, ""
	}
	answer, err := q.transport.RoundTrip(request)
	if err != nil {
		return runEndUnknown, ""
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxControlAnswer))
	if err != nil {
		return runEndUnknown, ""
	}
	result := q.dialect.ReadStopAnswer(answer.StatusCode, body)
	switch {
	case result.Stopped:
		return runStopped, result.Copy
	case result.Busy:
		return runEndUnknown, ""
	default:
		return runGoesOn, ""
	}
}

// newStopCall returns the call that stops the run.
func (q *runEndInquiry) newStopCall(ctx context.Context, run brokenRun, target string) (*http.Request, error) {
	path, content := q.dialect.EncodeStopCall(run.request, target)
	body, err := json.Marshal(content)
	if err != nil {
		return nil, err
	}
	request, err := hop.NewRequest(ctx, http.MethodPost, "http://"+run.address+path, io.NopCloser(bytes.NewReader(body)), int64(len(body)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// confirmEnd finds out whether the run of a broken stream has ended, and lets the core decide how the stream goes on. The
// decision is empty if the caller has left.
func (h *Handler) confirmEnd(ctx context.Context, c *call, broken outcome, cause error, confirmation dispatch.Confirmation) (dispatch.Decision, runEnd) {
	inquiry := runEndInquiry{transport: h.config.Fresh, dialect: h.config.Dialect}
	end, copyID := inquiry.await(ctx, brokenRun{
		request: c.facts.ID, backEnd: broken.send.BackEnd.ID, address: broken.send.BackEnd.Address,
		unacknowledged: errors.Is(cause, syscall.ETIMEDOUT),
	}, confirmation)
	if c.request.Context().Err() != nil {
		return dispatch.Decision{}, end
	}
	h.config.Metrics.runEndFound(c, end)
	decision := h.decideSend(c, func(now time.Time, core *dispatch.Core) dispatch.Decision {
		return core.TakeUp(now, c.exchange, dispatch.RunEnd{Ended: end.hasEnded(), Copy: copyID})
	})
	return decision, end
}
