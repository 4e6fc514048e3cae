package gateway

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/failure"
)

// sendDecision is a decision to send whose line eventlog.Log.Info didn't write, as a rule because
// of the log's rate limit. It is kept until the request ends. If an attempt fails, or the request
// ends badly or takes more than one attempt, the line is written after all, with the time of the
// decision.
type sendDecision struct {
	at      time.Time
	attempt int
	send    dispatch.Send
	// storeAge is the time since the last answer of the store when the decision was made.
	storeAge time.Duration
}

// addResumption adds what is known of the stream that the caller resumes, if it resumes one.
func (c *call) addResumption(fields logrus.Fields) {
	if c.facts.Resumes != "" {
		fields["resumes"] = c.facts.Resumes
	}
	if c.originSource != "" {
		fields["version_from"] = c.originSource
	}
}

// Values of the log field "by" and of a metric's label: who resumed a stream.
const (
	resumedByGateway = "gateway"
	resumedByCaller  = "caller"
)

// logSend logs the decision to send a request to a back end.
func (h *Handler) logSend(c *call, send dispatch.Send, resumeAfter string) {
	decision := sendDecision{at: h.clock().Now(), attempt: c.exchange.Attempts(), send: send, storeAge: h.config.State.StoreAge()}
	if send.ContinueFrom != "" {
		fields := h.sendFields(c, decision)
		fields["continue_from"] = send.ContinueFrom
		fields["resume_after"] = resumeAfter
		fields["continuations"] = c.exchange.Continuations()
		h.config.Log.Warn(eventlog.RequestContinued, fields)
		return
	}
	if resumeAfter != "" || c.isResumption() {
		fields := h.sendFields(c, decision)
		fields["by"] = resumedByGateway
		fields["resume_after"] = resumeAfter
		if resumeAfter == "" {
			fields["by"] = resumedByCaller
			fields["resume_after"] = c.facts.LastEventID
		}
		c.addResumption(fields)
		h.config.Log.Warn(eventlog.RequestResumed, fields)
		return
	}
	written := h.config.Log.Info(eventlog.RequestSent, func() logrus.Fields { return h.sendFields(c, decision) })
	if !written {
		c.unloggedSends = append(c.unloggedSends, decision)
	}
}

func (h *Handler) sendFields(c *call, decision sendDecision) logrus.Fields {
	fields := h.fields(c)
	delete(fields, "ran")
	fields["elapsed_ms"] = decision.at.Sub(c.began).Milliseconds()
	fields["attempts"] = decision.attempt
	fields["back_end"] = decision.send.BackEnd.ID
	fields["address"] = decision.send.BackEnd.Address
	fields["load_estimate"] = decision.send.Estimate
	fields["candidates"] = decision.send.PoolSize
	fields["store_age_ms"] = decision.storeAge.Milliseconds()
	if decision.send.Predicted > 0 {
		fields["predicted_first_token_ms"] = decision.send.Predicted.Milliseconds()
	}
	if decision.send.BackEnd.Version != "" {
		fields["back_end_version"] = decision.send.BackEnd.Version
	}
	if decision.send.FetchFrom != "" {
		fields["fetch_from"] = decision.send.FetchFrom
	}
	if decision.send.BackUpTo != "" {
		fields["back_up_to"] = decision.send.BackUpTo
		fields["backup_reason"] = decision.send.BackupReason
	}
	return fields
}

// logUnloggedSends logs the decisions to send that weren't logged when they were made.
func (h *Handler) logUnloggedSends(c *call) {
	for _, decision := range c.unloggedSends {
		fields := h.sendFields(c, decision)
		fields["decided_at"] = decision.at.Format(time.RFC3339Nano)
		h.config.Log.Warn(eventlog.RequestSent, fields)
	}
	c.unloggedSends = nil
}

// attemptFailure is an attempt without an answer that can be passed on.
type attemptFailure struct {
	send  dispatch.Send
	cause string
	// status is the status of the back end's answer, or 0 without an answer.
	status int
	// events is the number of stream events that had been passed on.
	events int
	// notSent means that no byte of the request was sent, expired that the back end was silent
	// for too long, and deadlinePassed that the request's deadline had passed.
	notSent        bool
	expired        bool
	deadlinePassed bool
	// runEnd is what was found out about the run of a stream that broke off.
	runEnd runEnd
}

// maxLoggedPath limits a path in a log line, in bytes.
const maxLoggedPath = 200

// loggedPath returns the request's path without its query, as it appears in log lines. It
// identifies failures that affect only one path.
func (c *call) loggedPath() string {
	path := c.path()
	return path[:min(len(path), maxLoggedPath)]
}

// Values of the log field "next": what follows a failed attempt.
const (
	nextAttempt = "attempt"
	nextPassOn  = "pass_on"
	nextKeep    = "keep_silent"
	nextGiveUp  = "give_up"
)

// logFailure logs a failed attempt and what follows it.
func (h *Handler) logFailure(c *call, failed attemptFailure, next dispatch.Decision) {
	h.config.Metrics.attemptFailed(c, failed)
	h.logUnloggedSends(c)
	fields := h.fields(c)
	fields["back_end"] = failed.send.BackEnd.ID
	fields["cause"] = failed.cause
	fields["path"] = c.loggedPath()
	fields["fingerprint"] = c.fingerprints()[0].String()
	c.addParts(fields)
	fields["status"] = failed.status
	fields["events"] = failed.events
	fields["not_sent"] = failed.notSent
	fields["expired"] = failed.expired
	fields["deadline_passed"] = failed.deadlinePassed
	if failed.runEnd != runEndUnasked {
		fields["run_end"] = failed.runEnd.String()
	}
	switch {
	case next.Send != nil:
		fields["next"] = nextAttempt
		fields["next_back_end"] = next.Send.BackEnd.ID
	case next.GiveUp != nil:
		fields["next"] = nextGiveUp
	case next.ReturnToSilent:
		fields["next"] = nextKeep
	default:
		fields["next"] = nextPassOn
	}
	h.config.Log.Warn(eventlog.AttemptFailed, fields)
}

// addParts adds the fingerprints of the parts of the prompt that requests share.
func (c *call) addParts(fields logrus.Fields) {
	if parts := dispatch.PartFingerprints(c.exchange.Service(), c.facts.Parts); len(parts) > 0 {
		fields["parts"] = joined(parts)
	}
}

// joined returns the fingerprints in the form used in logs, separated by commas.
func joined(list []dispatch.Fingerprint) string {
	texts := make([]string, len(list))
	for i, each := range list {
		texts[i] = each.String()
	}
	return strings.Join(texts, ",")
}

// isCallersFault reports whether only the caller can correct the refused request. Such refusals
// are logged as routine events, with eventlog.Log.Info: a caller without a valid key must not use
// up the rate limit of the lines about failures.
func isCallersFault(kind failure.Kind) bool {
	switch kind {
	case failure.Unauthenticated, failure.UnknownRoute, failure.InvalidRequest, failure.TooLarge, failure.CallerGone:
		return true
	default:
		return false
	}
}

// logRefusal logs an error that the gateway itself returns.
func (h *Handler) logRefusal(c *call, kind failure.Kind, cause error) {
	fields := func() logrus.Fields {
		fields := h.fields(c)
		fields["kind"] = kind.String()
		fields["cause"] = cause.Error()
		fields["store_age_ms"] = h.config.State.StoreAge().Milliseconds()
		if c.isExcess() {
			fields["excess"] = true
		}
		if reason := c.refusal(); reason != "" {
			fields["reason"] = reason
		}
		c.addResumption(fields)
		if wait := failure.From(cause).RetryDelay(); wait > 0 {
			fields["retry_after_ms"] = wait.Milliseconds()
		}
		if kind == failure.Withheld {
			fields["path"] = c.loggedPath()
			fields["fingerprint"] = c.fingerprints()[0].String()
			c.addParts(fields)
		}
		return fields
	}
	switch {
	case c.hasLeft(kind):
		h.config.Log.Info(eventlog.CallerLeft, fields)
	case isCallersFault(kind):
		h.config.Log.Info(eventlog.RequestRefused, fields)
	default:
		h.logUnloggedSends(c)
		h.config.Log.Warn(eventlog.RequestRefused, fields())
	}
}

// logCut logs an answer that ended before it was complete.
func (h *Handler) logCut(c *call, result outcome, events int, cause error) {
	fields := func() logrus.Fields {
		fields := h.fields(c)
		fields["back_end"] = result.send.BackEnd.ID
		fields["events"] = events
		fields["cause"] = cause.Error()
		return fields
	}
	if c.request.Context().Err() != nil {
		h.config.Log.Info(eventlog.CallerLeft, fields)
		return
	}
	h.logUnloggedSends(c)
	h.config.Log.Warn(eventlog.RequestFailed, fields())
}

// logDone logs an answer that was passed on completely. If it took more than one attempt or
// reports a failure, the decisions to send are logged as well.
func (h *Handler) logDone(c *call, result outcome, events int, times streamTimes) {
	h.config.Metrics.answered(c, result)
	fields := func() logrus.Fields {
		fields := h.fields(c)
		fields["back_end"] = result.send.BackEnd.ID
		fields["status"] = result.answer.StatusCode
		fields["events"] = events
		times.addTo(fields)
		return fields
	}
	if c.exchange.Attempts() > 1 || c.exchange.Continuations() > 0 || result.answer.StatusCode >= serverFailure {
		h.logUnloggedSends(c)
		h.config.Log.Warn(eventlog.RequestAnswered, fields())
		return
	}
	h.config.Log.Info(eventlog.RequestAnswered, fields)
}

// serverFailure is the first status code that reports a failure of the back end.
const serverFailure = 500
