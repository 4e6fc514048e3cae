package gateway

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/keepalive"
)

// outcome is the result of an attempt: an answer to pass on, or the next decision.
type outcome struct {
	answer *http.Response
	facts  AnswerFacts
	// body is the complete body of an answer that isn't a stream.
	body []byte
	// cancel ends the attempt.
	cancel context.CancelFunc
	send   dispatch.Send
	// sentAt is when the attempt began.
	sentAt time.Time
	next   dispatch.Decision
}

// maxBufferedAnswer limits an answer that is read completely before it is passed on.
const maxBufferedAnswer = 8 << 20

// attempt sends the request to one back end and evaluates its answer.
func (h *Handler) attempt(ctx context.Context, c *call, send dispatch.Send, resumeAfter string) outcome {
	h.logSend(c, send, resumeAfter)
	h.config.Metrics.sent(c, send, resumeAfter)
	sentAt := h.clock().Now()
	ctx, cancel := context.WithCancel(ctx)
	defer context.AfterFunc(h.config.State.stopping, cancel)() // a stream that has begun goes on
	timer := h.watchHead(c, send, cancel)
	response, err := h.roundTrip(ctx, c, send, resumeAfter)
	if next, replaced := timer.stop(); replaced {
		cancel()
		closeBody(response)
		return h.replacedAttempt(c, send, next)
	}
	if errors.Is(context.Cause(ctx), errSilentGoesOn) {
		cancel()
		return outcome{}
	}
	if err != nil {
		cancel()
		return outcome{next: h.noAnswer(c, send, err)}
	}
	result := h.checkAnswer(c, send, response, cancel)
	if result.answer == nil {
		_ = response.Body.Close()
		cancel()
		return result
	}
	result.cancel = cancel
	result.send, result.sentAt = send, sentAt
	return result
}

// closeBody closes the body of a response, if there is one.
func closeBody(response *http.Response) {
	if response != nil {
		_ = response.Body.Close()
	}
}

// roundTrip sends the request at most once, and returns the head of the answer.
func (h *Handler) roundTrip(ctx context.Context, c *call, send dispatch.Send, resumeAfter string) (*http.Response, error) {
	transport := h.transport(c, send)
	response, err := h.sendOn(ctx, transport, c, send, resumeAfter)
	if errors.Is(err, keepalive.ErrNotSent) {
		// No idle connection is usable, so this opens one, unless the transport hasn't yet
		// noticed that one is closed.
		response, err = h.sendOn(ctx, transport, c, send, resumeAfter)
	}
	if errors.Is(err, keepalive.ErrNotSent) {
		response, err = h.sendOn(ctx, h.config.Fresh, c, send, resumeAfter)
	}
	return response, err
}

// transport chooses the transport for an attempt; see Config.
func (h *Handler) transport(c *call, send dispatch.Send) http.RoundTripper {
	persistent := h.config.Persistent
	switch {
	case persistent != nil && (!c.route.MayRepeat() || persistent.HasIdle(send.BackEnd.Address)):
		return persistent
	case c.route.MayRepeat():
		return h.config.Reused
	default:
		return h.config.Fresh
	}
}

// sendOn sends the request by a transport, and records the connection that it took.
func (h *Handler) sendOn(ctx context.Context, transport http.RoundTripper, c *call, send dispatch.Send, resumeAfter string) (*http.Response, error) {
	c.connection = connectionNone
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c.connection = connectionNew
		if info.Reused {
			c.connection = connectionReused
		}
	}})
	request, err := h.newForward(ctx, c, send, resumeAfter)
	if err != nil {
		return nil, err
	}
	response, err := transport.RoundTrip(request)
	if errors.Is(err, keepalive.ErrNotSent) {
		c.connection = connectionUnsafe
	}
	h.config.Metrics.connected(c)
	return response, err
}

// newForward returns the request to send to the back end.
func (h *Handler) newForward(ctx context.Context, c *call, send dispatch.Send, resumeAfter string) (*http.Request, error) {
	var body io.ReadCloser
	if c.body.size > 0 {
		body = io.NopCloser(c.body.reader())
	}
	request, err := hop.NewRequest(ctx, c.request.Method, "http://"+send.BackEnd.Address, body, c.body.size)
	if err != nil {
		return nil, err
	}
	request.URL = targetURL(send.BackEnd.Address, c.request)
	request.Host = c.request.Host
	hop.CopyEndToEnd(request.Header, c.request.Header)
	if request.Header.Get("User-Agent") == "" {
		// An empty value stops the transport from adding its own.
		request.Header["User-Agent"] = []string{""}
	}
	continueFrom := ""
	if send.ContinueFrom != "" {
		continueFrom = send.ContinueFrom + "/" + cmp.Or(send.ContinueCopy, c.facts.ID)
	}
	h.config.Dialect.WriteForward(request.Header, Forward{
		Remaining: h.clock().Until(c.deadline),
		BackEnd:   send.BackEnd.ID,
		Tenant:    c.tenant,
		Urgency:   h.forwardedUrgency(c),
		FetchFrom: send.FetchFrom,

		BackUpTo:     send.BackUpTo,
		ContinueFrom: continueFrom,
		ResumeAfter:  resumeAfter,
	})
	return request, nil
}

// targetURL returns the URL by which a back end gets the path and query just as the caller wrote them.
func targetURL(address string, original *http.Request) *url.URL {
	path, query, hasQuery := strings.Cut(original.RequestURI, "?")
	target := &url.URL{Scheme: "http", Host: address, Opaque: path, RawQuery: query, ForceQuery: hasQuery}
	if strings.HasPrefix(path, "//") {
		// net/url writes the scheme before an opaque part that begins like this, which makes another host of it.
		target.Opaque, target.Path, target.RawPath = "", original.URL.Path, path
	}
	return target
}

// defaultUrgency is the urgency that back ends assume for requests without one.
const defaultUrgency = 5

// forwardedUrgency returns the urgency that is sent to back ends.
func (h *Handler) forwardedUrgency(c *call) int {
	if h.config.Disabled[dispatch.EnginePriority] {
		return defaultUrgency
	}
	return c.urgency
}

// noAnswer lets the core decide how to continue after an attempt without an answer.
func (h *Handler) noAnswer(c *call, send dispatch.Send, cause error) dispatch.Decision {
	if c.request.Context().Err() != nil {
		return dispatch.Decision{GiveUp: failure.Wrap(failure.CallerGone, cause, "the caller left")}
	}
	notSent, invalid := hop.NothingSent(cause), hop.IsInvalidAnswer(cause)
	deadlinePassed := h.isOver(c) && !invalid
	// The kernel reports ETIMEDOUT if the back end's machine acknowledges nothing.
	isSilent := deadlinePassed || errors.Is(cause, syscall.ETIMEDOUT)
	if isSilent && !notSent && (c.route.MayRepeat() || c.connection == connectionReused) {
		h.closeReused()
	}
	next := h.decideSend(c, func(now time.Time, core *dispatch.Core) dispatch.Decision {
		switch {
		case notSent:
			return core.NotConnected(now, c.exchange)
		case invalid:
			return core.InvalidAnswer(now, c.exchange)
		case deadlinePassed:
			return core.TimedOut(now, c.exchange)
		default:
			return core.ConnectionLost(now, c.exchange)
		}
	})
	h.logFailure(c, attemptFailure{send: send, cause: cause.Error(), notSent: notSent, deadlinePassed: deadlinePassed}, next)
	return next
}

// checkAnswer checks that an answer is the back end's own answer to this request, and
// decides whether it is passed on. cancel ends the attempt.
func (h *Handler) checkAnswer(c *call, send dispatch.Send, response *http.Response, cancel func()) outcome {
	facts := h.config.Dialect.ReadAnswer(response.StatusCode, response.Header)
	// An answer is foreign if it belongs to another request. Only a refusal may lack the request's
	// ID. Refusals are also exempt from the check for untrusted answers, which comes after them.
	foreign := facts.ID != c.facts.ID && (facts.ID != "" || !facts.NotRun)
	untrusted := !facts.Stamped || promisesNotRun(response.StatusCode)
	if h.config.Disabled[dispatch.VerifyAnswers] {
		foreign, untrusted = false, false
	}
	if !foreign && !facts.Misdirected {
		h.reportPace(c, facts)
		h.applyNotice(c, send, response.StatusCode, facts)
	}
	switch {
	case foreign || facts.Encoded:
		return h.invalidAnswer(c, send, response, "the answer isn't one to this request")
	case facts.Misdirected && facts.ActualBackEnd != "" && facts.ActualBackEnd != send.BackEnd.ID:
		return h.rejectAnswer(c, send, response, "the back end "+facts.ActualBackEnd+" has the address", (*dispatch.Core).Displaced)
	case facts.Misdirected:
		return h.rejectAnswer(c, send, response, "another back end has the address", (*dispatch.Core).Misdirected)
	case facts.NotRun:
		return h.rejectAnswer(c, send, response, "the back end refused", (*dispatch.Core).Refused)
	case untrusted:
		return h.invalidAnswer(c, send, response, "the answer lacks a back end's stamp, or its status promises that the request was not run")
	}
	result := outcome{answer: response, facts: facts}
	if !c.route.Stream || response.StatusCode >= http.StatusMultipleChoices {
		h.config.State.decide(func(now time.Time, core *dispatch.Core) dispatch.Decision {
			core.ReleaseSlot(now, c.exchange)
			return dispatch.Decision{}
		})
		timer := h.watchHead(c, send, cancel)
		body, err := h.readWhole(c, response)
		if next, replaced := timer.stop(); replaced {
			return h.replacedAttempt(c, send, next)
		}
		if err != nil {
			return outcome{next: h.noAnswer(c, send, err)}
		}
		result.body = body
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return h.failed(c, send, response, result)
	}
	h.config.State.decide(func(now time.Time, core *dispatch.Core) dispatch.Decision {
		core.Answered(now, c.exchange, facts.Load)
		return dispatch.Decision{}
	})
	return result
}

// reportPace passes the pace that a back end reported to the core.
func (h *Handler) reportPace(c *call, facts AnswerFacts) {
	if facts.Pace <= 0 {
		return
	}
	h.config.State.decide(func(now time.Time, core *dispatch.Core) dispatch.Decision {
		core.ReportPace(now, c.exchange, facts.Pace)
		return dispatch.Decision{}
	})
}

// promisesNotRun reports whether callers take the status as a promise that the request was
// not run. An answer with such a status from a back end that did run it can't be passed on.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// readWhole reads a body to its end, so that a truncated one is never passed on as complete.
func (h *Handler) readWhole(c *call, response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	reader := &answerBodyReader{reader: io.LimitReader(response.Body, maxBufferedAnswer+1), handler: h, call: c, size: response.ContentLength}
	whole, err := io.ReadAll(reader)
	if err == nil && len(whole) > maxBufferedAnswer {
		err = errors.Errorf("the answer is larger than %d bytes", maxBufferedAnswer)
	}
	return whole, err
}

// invalidAnswer rejects an answer that can't be used. The request may have run.
func (h *Handler) invalidAnswer(c *call, send dispatch.Send, response *http.Response, cause string) outcome {
	return h.rejectAnswer(c, send, response, cause, (*dispatch.Core).InvalidAnswer)
}

// rejectAnswer lets a step of the core decide how to continue after a refusal, an invalid answer or
// a failure, and logs the attempt as failed.
func (h *Handler) rejectAnswer(c *call, send dispatch.Send, response *http.Response, cause string, step func(*dispatch.Core, time.Time, *dispatch.Exchange) dispatch.Decision) outcome {
	next := h.decideSend(c, func(now time.Time, core *dispatch.Core) dispatch.Decision {
		return step(core, now, c.exchange)
	})
	h.logFailure(c, attemptFailure{send: send, cause: cause, status: response.StatusCode}, next)
	return outcome{next: next}
}

// failed lets the core decide how to continue after a back end answered with a failure of
// its own. If the core neither retries nor gives up, that answer is passed on.
func (h *Handler) failed(c *call, send dispatch.Send, response *http.Response, result outcome) outcome {
	tried := h.rejectAnswer(c, send, response, "the back end failed", (*dispatch.Core).Failed)
	if tried.next == (dispatch.Decision{}) {
		return result
	}
	return tried
}
