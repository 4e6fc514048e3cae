package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// Cause is a likely cause of a request's outcome.
type Cause string

// The closed list of causes. docs/OPERATIONS.md says what to do about each.
const (
	Unheard          Cause = "unheard"
	Served           Cause = "served"
	ServedLate       Cause = "served_after_failures"
	CallerLeft       Cause = "caller_left"
	CallersFault     Cause = "callers_fault"
	KeyTakenAway     Cause = "key_taken_away"
	GatewayUnready   Cause = "gateway_unready"
	GatewayEnded     Cause = "gateway_ended"
	StreamBroken     Cause = "stream_broken"
	BackEndCrashed   Cause = "back_end_crashed"
	BackEndSilent    Cause = "back_end_silent"
	BackEndFailing   Cause = "back_end_failing"
	PoolFailing      Cause = "pool_failing"
	RequestFails     Cause = "request_fails_everywhere"
	AnswerLost       Cause = "answer_lost"
	AnswerSpoiled    Cause = "answer_spoiled"
	BackEndsVanished Cause = "back_ends_vanished"
	PoolFull         Cause = "pool_full"
	Withheld         Cause = "withheld"
	StreamVersion    Cause = "stream_version"
	Refused          Cause = "back_end_refused"
	Unreachable      Cause = "back_end_unreachable"
	Unclear          Cause = "unclear"
)

// Verdict is a cause with the evidence for it.
type Verdict struct {
	Cause Cause
	// Why describes in one sentence what the lines show.
	Why string
	// Evidence are the lines that show the cause.
	Evidence []Line
}

// rule returns a verdict and true if the explanation's lines show the rule's cause.
type rule func(*Explanation) (Verdict, bool)

// rules are applied in order, and the first that matches decides. Lines about the
// request's end that name their own cause come before conclusions from other lines.
var rules = []rule{notLogged, served, callerLeft, callersFault, withheld, streamVersion, gatewayUnready, gatewayEnded, streamBroken, failedAttempt, poolFull}

// findCause applies the rules to an explanation.
func findCause(explanation *Explanation) Verdict {
	for _, applies := range rules {
		if verdict, ok := applies(explanation); ok {
			return verdict
		}
	}
	return Verdict{Cause: Unclear, Why: "the lines name no cause", Evidence: explanation.RequestLines}
}

func notLogged(e *Explanation) (Verdict, bool) {
	return Verdict{Cause: Unheard, Why: "no line names the request: it reached no gateway, went to one that ended at once, or was answered while ordinary lines were left out"}, len(e.RequestLines) == 0
}

// end returns the last line that logs the request's end, if there is one.
func (e *Explanation) end() (Line, bool) {
	for _, line := range slices.Backward(e.RequestLines) {
		switch line.Event {
		case eventlog.RequestAnswered, eventlog.RequestRefused, eventlog.RequestFailed, eventlog.CallerLeft:
			return line, true
		}
	}
	return Line{}, false
}

// firstErrorStatus is the lowest status that reports an error.
const firstErrorStatus = 400

func served(e *Explanation) (Verdict, bool) {
	end, ended := e.end()
	if !ended || end.Event != eventlog.RequestAnswered || end.Status >= firstErrorStatus {
		return Verdict{}, false
	}
	failures := e.requestLinesOf(eventlog.AttemptFailed)
	if len(failures) == 0 {
		return Verdict{Cause: Served, Why: fmt.Sprintf("answered whole with %d after %d ms", end.Status, end.ElapsedMillis), Evidence: []Line{end}}, true
	}
	cause := attemptVerdict(e, failures[0])
	why := fmt.Sprintf("answered whole after %d attempts and %d ms; the first failed: %s", end.Attempts, end.ElapsedMillis, cause.Why)
	continued := e.requestLinesOf(eventlog.RequestContinued)
	if len(continued) > 0 {
		why += "; " + continuation(continued)
	}
	return Verdict{Cause: ServedLate, Why: why, Evidence: slices.Concat(cause.Evidence, continued, []Line{end})}, true
}

// continuation describes how a run was continued from its backup.
func continuation(lines []Line) string {
	last := lines[len(lines)-1]
	return fmt.Sprintf("its run was continued from a backup %d time(s), at last by %s after event %s", len(lines), last.BackEnd, last.ResumeAfter)
}

func callerLeft(e *Explanation) (Verdict, bool) {
	lines := e.requestLinesOf(eventlog.CallerLeft)
	return Verdict{Cause: CallerLeft, Why: "the caller closed its connection", Evidence: lines}, len(lines) > 0
}

// refusal returns the lines on which the gateway itself refused the request with an
// error of one of the kinds.
func (e *Explanation) refusal(kinds ...string) []Line {
	return filter(e.requestLinesOf(eventlog.RequestRefused), func(line Line) bool { return slices.Contains(kinds, line.Kind) })
}

// callersFault handles refusals that only the caller can correct. If the key or the
// route is unknown, and a configuration was adopted shortly before, that configuration
// may have removed it.
func callersFault(e *Explanation) (Verdict, bool) {
	lines := e.refusal("unauthenticated", "unknown_route", "invalid_request", "too_large")
	if len(lines) == 0 {
		return Verdict{}, false
	}
	adopted := filter(e.contextLinesOf(eventlog.ConfigurationAdopted), func(line Line) bool { return !line.At.After(lines[0].At) })
	if len(adopted) == 0 || lines[0].Kind != "unauthenticated" && lines[0].Kind != "unknown_route" {
		return Verdict{Cause: CallersFault, Why: "the gateway refused it: " + lines[0].Cause, Evidence: lines}, true
	}
	latest := adopted[len(adopted)-1]
	why := fmt.Sprintf("%s; version %d came into force there %.1f s before, and may have taken the key or route away", lines[0].Cause, latest.Version, lines[0].At.Sub(latest.At).Seconds())
	return Verdict{Cause: KeyTakenAway, Why: why, Evidence: []Line{latest, lines[0]}}, true
}

func withheld(e *Explanation) (Verdict, bool) {
	lines := e.refusal("withheld")
	if len(lines) == 0 {
		return Verdict{}, false
	}
	why := "requests of its content"
	if lines[0].Parts != "" {
		why += ", or with one of its prompt's parts " + lines[0].Parts + ","
	}
	why += " crashed the back ends that ran them, so the gateways send none (fingerprint " + lines[0].Fingerprint + ")"
	return Verdict{Cause: Withheld, Why: why, Evidence: append(e.SameContentLines, lines...)}, true
}

// streamVersion handles a stream that can't be resumed because of the version that began it.
func streamVersion(e *Explanation) (Verdict, bool) {
	lines := e.refusal("stream_version_unknown", "stream_version_gone")
	if len(lines) == 0 {
		return Verdict{}, false
	}
	refused := lines[0]
	why := "the caller takes a stream up without naming the attempt that began it: " + refused.Cause
	if refused.Resumes != "" {
		why = fmt.Sprintf("the caller takes up the stream that %s began: %s", refused.Resumes, refused.Cause)
	}
	return Verdict{Cause: StreamVersion, Why: why, Evidence: lines}, true
}

func gatewayUnready(e *Explanation) (Verdict, bool) {
	lines := e.refusal("not_ready")
	evidence := append(e.contextLinesOf(eventlog.Started), e.contextLinesOf(eventlog.StoreLost)...)
	return Verdict{Cause: GatewayUnready, Why: "its gateway had started and knew no configuration yet", Evidence: append(evidence, lines...)}, len(lines) > 0
}

// gatewayEnded handles requests whose end isn't logged, if their gateway stopped or
// started soon after their last line.
func gatewayEnded(e *Explanation) (Verdict, bool) {
	if _, ended := e.end(); ended {
		return Verdict{}, false
	}
	last := e.RequestLines[len(e.RequestLines)-1]
	evidence := filter(e.ContextLines, func(line Line) bool {
		return line.Node == e.Node() && line.At.After(last.At) && (line.Event == eventlog.Started || line.Event == eventlog.Stopped)
	})
	return Verdict{Cause: GatewayEnded, Why: "its gateway ended with the request under way: no end is logged, and the gateway started or stopped afterwards", Evidence: append([]Line{last}, evidence...)}, len(evidence) > 0
}

func streamBroken(e *Explanation) (Verdict, bool) {
	lines := filter(e.requestLinesOf(eventlog.RequestFailed), func(line Line) bool { return line.Events > 0 })
	if len(lines) == 0 {
		return Verdict{}, false
	}
	attempt := attemptVerdict(e, lines[0])
	why := fmt.Sprintf("the answer broke off after %d events (%s) and could not be continued: %s", lines[0].Events, lines[0].Cause, attempt.Why)
	continued := e.requestLinesOf(eventlog.RequestContinued)
	if len(continued) > 0 {
		why += "; before, " + continuation(continued)
	}
	why += runEndNote(e.requestLinesOf(eventlog.AttemptFailed))
	return Verdict{Cause: StreamBroken, Why: why, Evidence: slices.Concat(lines, attempt.Evidence, continued)}, true
}

// runEndNotes say why a backup couldn't help a broken stream, by what was found out about its run.
var runEndNotes = map[string]string{
	"goes_on": "; there was a backup, but its back end could be reached and may have worked on",
	"unknown": "; there was a backup, but it couldn't be found out in time whether its back end had stopped",
}

// runEndNote returns the note for the last failed attempt, or "".
func runEndNote(failed []Line) string {
	if len(failed) == 0 {
		return ""
	}
	return runEndNotes[failed[len(failed)-1].RunEnd]
}

// failedAttempt handles requests with failed attempts. If the request got a server
// error, and several back ends answered requests for its path with server errors, the
// request itself is the cause. Otherwise the last failed attempt decides.
func failedAttempt(e *Explanation) (Verdict, bool) {
	failures := e.requestLinesOf(eventlog.AttemptFailed)
	if len(failures) == 0 {
		return Verdict{}, false
	}
	failing := filter(failures, func(line Line) bool { return line.Status >= firstServerErrorStatus })
	if samePath := append(failing, e.SamePathFailures...); len(failing) > 0 && len(distinctBackEnds(samePath)) > 1 {
		why := fmt.Sprintf("%d back ends answered %d requests for the path %s with a failure of their own: it is the request that fails, wherever it runs", len(distinctBackEnds(samePath)), len(samePath), e.Path())
		return Verdict{Cause: RequestFails, Why: why, Evidence: failing}, true
	}
	return attemptVerdict(e, failures[len(failures)-1]), true
}

// firstServerErrorStatus is the lowest status that reports a failure of the back end.
const firstServerErrorStatus = 500

// minFailingBackEnds is the number of back ends that must fail, or be removed, at
// about the same time for the cause to be the pool's rather than one back end's.
const minFailingBackEnds = 3

// attemptVerdict returns the likely cause of the failure of one attempt. It matches
// parts of the texts that internal/gateway writes into the cause field, so those
// texts must keep these parts.
func attemptVerdict(e *Explanation, failed Line) Verdict {
	changes := filter(e.ContextLines, func(line Line) bool {
		return line.BackEnd == failed.BackEnd && (line.Event == eventlog.BackEndHealth || line.Event == eventlog.BackEndChanged && line.Gone)
	})
	evidence := append([]Line{failed}, changes...)
	failing := e.failingBackEnds()
	others := fmt.Sprintf("within %v %d other attempts failed there, and %d logged ones were answered", nearbyWindow, len(e.failuresAt(failed.BackEnd)), len(e.answersAt(failed.BackEnd)))
	verdict := func(cause Cause, why string) Verdict {
		return Verdict{Cause: cause, Why: failed.BackEnd + " " + why + " (" + others + ")", Evidence: evidence}
	}
	switch {
	case failed.NotSent:
		return verdict(Unreachable, "could not be connected to; nothing was sent")
	case failed.Status >= firstServerErrorStatus && len(failing) >= minFailingBackEnds:
		return verdict(PoolFailing, fmt.Sprintf("answered %d while %d back ends failed more requests than they were seen to answer", failed.Status, len(failing)))
	case failed.Status >= firstServerErrorStatus && strings.Contains(failed.Cause, "failed"):
		return verdict(BackEndFailing, fmt.Sprintf("answered %d", failed.Status))
	case strings.Contains(failed.Cause, "refused"), strings.Contains(failed.Cause, "has the address"):
		return verdict(Refused, "said that it did not run the request: "+failed.Cause)
	case failed.Status > 0:
		return verdict(AnswerSpoiled, "sent an answer that can't be used: "+failed.Cause)
	case failed.Expired || failed.DeadlinePassed:
		return verdict(BackEndSilent, "gave no answer in time")
	case e.backEndCrashed(failed):
		return verdict(BackEndCrashed, "broke off ("+failed.Cause+") together with others, or was gone right after")
	default:
		return verdict(AnswerLost, "broke off for this request ("+failed.Cause+") and went on answering others: it may have run and its answer was lost")
	}
}

const (
	// crashWindow is the time within which a crash breaks off all connections of a
	// back end.
	crashWindow = 150 * time.Millisecond
	// removalWindow is the time within which a crashed back end is removed from the
	// list.
	removalWindow = 5 * time.Second
	// minBrokenAttempts is the number of other attempts that must break off within
	// crashWindow for the cause to be a crash of the back end.
	minBrokenAttempts = 2
)

// backEndCrashed reports whether the back end itself ended: either it was removed
// from the list soon after the failed attempt, or several of its connections broke
// off at about the same time and no answer of it was logged right afterwards.
func (e *Explanation) backEndCrashed(failed Line) bool {
	gone := filter(e.ContextLines, func(line Line) bool {
		return line.BackEnd == failed.BackEnd && line.Gone && !line.At.Before(failed.At) && line.At.Sub(failed.At) < removalWindow
	})
	broken := filter(e.failuresAt(failed.BackEnd), func(line Line) bool {
		return line.Status == 0 && line.At.Sub(failed.At).Abs() < crashWindow
	})
	answered := filter(e.answersAt(failed.BackEnd), func(line Line) bool {
		return line.At.After(failed.At) && line.At.Sub(failed.At) < crashWindow
	})
	return len(gone) > 0 || len(broken) >= minBrokenAttempts && len(answered) == 0
}

// distinctBackEnds returns the back ends that the lines name, each once, in order.
func distinctBackEnds(lines []Line) []string {
	var ids []string
	for _, line := range lines {
		if !slices.Contains(ids, line.BackEnd) {
			ids = append(ids, line.BackEnd)
		}
	}
	return ids
}

// poolFull handles requests that were refused without a failed attempt. If several
// back ends of the service were removed shortly before, that is the cause.
func poolFull(e *Explanation) (Verdict, bool) {
	lines := e.refusal("pool_exhausted", "deadline_unmeetable", "backend_unreachable")
	if len(lines) == 0 {
		return Verdict{}, false
	}
	gone := filter(e.ContextLines, func(line Line) bool {
		return line.Event == eventlog.BackEndChanged && line.Gone && line.Service == e.Service() && !line.At.After(lines[0].At)
	})
	if len(gone) >= minFailingBackEnds {
		return Verdict{Cause: BackEndsVanished, Why: fmt.Sprintf("%d back ends of the service had vanished from the list just before", len(gone)), Evidence: append(gone, lines...)}, true
	}
	why := cmp.Or(refusalReasons[dispatch.RefusalReason(lines[0].Reason)], "no back end of the service had room by the gateway's estimate, and nothing was sent")
	return Verdict{Cause: PoolFull, Why: why + ": " + lines[0].Cause, Evidence: lines}, true
}

// refusalReasons describes the reasons of refusals. Lines of earlier builds have none.
var refusalReasons = map[dispatch.RefusalReason]string{
	dispatch.RefusedNoRoom:       "the back ends that may take it had no room for it by the gateway's estimate, and nothing was sent",
	dispatch.RefusedLostDraw:     "it got none of the free places of the service, which gateways draw for, and nothing was sent",
	dispatch.RefusedExcess:       "its tenant asked for more than its share, others left no place for it, and nothing was sent",
	dispatch.RefusedWarmUp:       "the back ends that may take it were warming up and got no more just then, and nothing was sent",
	dispatch.RefusedResting:      "all back ends of the service had asked for a pause, and nothing was sent",
	dispatch.RefusedNoBackEnd:    "the service had no back end that accepts new requests, and nothing was sent",
	dispatch.RefusedAfterAttempt: "back ends were tried, none of them took it, and no further attempt was possible",
}
