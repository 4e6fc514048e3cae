package explain

import (
	"cmp"
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/eventlog"
)

const (
	// contextBefore and contextAfter limit how long before a request's first line
	// and after its last line other lines count as context.
	contextBefore = 10 * time.Second
	contextAfter  = 5 * time.Second
	// nearbyWindow is how long before a request's first line and after its last line
	// outcomes of other requests are taken as signs of the same problem.
	nearbyWindow = 2 * time.Second
)

// Explanation is what the logs show about one request.
type Explanation struct {
	// Request is the request's ID.
	Request string
	// RequestLines are the lines that name the request, in order.
	RequestLines []Line
	// ContextLines are lines from contextBefore before the request to contextAfter
	// after it that name no request and may explain the outcome: those of all gateways
	// about the health and changes of the back ends that the request was sent to; those
	// of the request's own gateway about anything but the health and changes of other
	// back ends; and that gateway's lines about the removal of back ends of the same
	// service.
	ContextLines []Line
	// NearbyOutcomes are failures and answers of other requests within nearbyWindow of
	// this one. If the request's path is known, lines that name the same path are
	// excluded; lines about answers name no path.
	NearbyOutcomes []Line
	// SamePathFailures are lines with a server error that a back end answered to
	// another request for the same path, at any time.
	SamePathFailures []Line
	// SameContentLines are lines about the request's content at any time, except those
	// of the request itself and refusals: failed attempts of other requests with this
	// content, decisions to withhold or release all requests with it, and records of
	// such decisions that weren't written to the store.
	SameContentLines []Line
	// ChainLines are the lines of the other attempts at the same stream: the one that began it, and those
	// that resume it, as their callers name it.
	ChainLines []Line
	// Verdict is the likely cause with its evidence.
	Verdict Verdict
}

// Explain returns the explanation of a request. Align must have been called.
func (l *Log) Explain(request string) Explanation {
	explanation := Explanation{Request: request}
	for _, line := range l.Lines {
		if line.Request == request {
			explanation.RequestLines = append(explanation.RequestLines, line)
		}
	}
	if len(explanation.RequestLines) > 0 {
		l.collectContext(&explanation)
		l.collectChain(&explanation)
	}
	explanation.Verdict = findCause(&explanation)
	return explanation
}

// collectChain collects the lines of the other attempts at the request's stream.
func (l *Log) collectChain(explanation *Explanation) {
	first := explanation.Request
	for _, line := range explanation.RequestLines {
		first = cmp.Or(line.Resumes, first)
	}
	chain := map[string]bool{first: true}
	for _, line := range l.Lines {
		if line.Resumes == first {
			chain[line.Request] = true
		}
	}
	for _, line := range l.Lines {
		if line.Request != explanation.Request && chain[line.Request] {
			explanation.ChainLines = append(explanation.ChainLines, line)
		}
	}
}

// collectContext collects the lines that don't name the request but may explain it.
func (l *Log) collectContext(explanation *Explanation) {
	first, last := explanation.RequestLines[0].At, explanation.RequestLines[len(explanation.RequestLines)-1].At
	path, fingerprint := explanation.Path(), explanation.fingerprint()
	for _, line := range l.Lines {
		if fingerprint != "" && line.Fingerprint == fingerprint && line.Request != explanation.Request && line.Event != eventlog.RequestRefused {
			explanation.SameContentLines = append(explanation.SameContentLines, line)
		}
		if path != "" && line.Path == path && line.Request != explanation.Request {
			if line.Status >= firstServerErrorStatus {
				explanation.SamePathFailures = append(explanation.SamePathFailures, line)
			}
			continue
		}
		if line.At.Before(first.Add(-contextBefore)) || line.At.After(last.Add(contextAfter)) {
			continue
		}
		nearby := !line.At.Before(first.Add(-nearbyWindow)) && !line.At.After(last.Add(nearbyWindow))
		switch {
		case line.Request == explanation.Request:
		case line.Request != "":
			if nearby && isOutcome(line) {
				explanation.NearbyOutcomes = append(explanation.NearbyOutcomes, line)
			}
		case explanation.isRelevant(line):
			explanation.ContextLines = append(explanation.ContextLines, line)
		}
	}
}

// fingerprint returns the fingerprint of the request's content, or "" if no line
// has it.
func (e *Explanation) fingerprint() string {
	for _, line := range e.RequestLines {
		if line.Fingerprint != "" {
			return line.Fingerprint
		}
	}
	return ""
}

func isOutcome(line Line) bool {
	return isFailure(line) || line.Event == eventlog.RequestAnswered
}

func isFailure(line Line) bool {
	return line.Event == eventlog.AttemptFailed || line.Event == eventlog.RequestFailed
}

// failuresAt returns the nearby failures of other requests at a back end.
func (e *Explanation) failuresAt(backEnd string) []Line {
	return filter(e.NearbyOutcomes, func(line Line) bool { return line.BackEnd == backEnd && isFailure(line) })
}

// answersAt returns the nearby answers without an error of a back end to other
// requests.
func (e *Explanation) answersAt(backEnd string) []Line {
	return filter(e.NearbyOutcomes, func(line Line) bool {
		return line.BackEnd == backEnd && line.Event == eventlog.RequestAnswered && line.Status < firstErrorStatus
	})
}

// failingBackEnds returns the back ends with at least one nearby failure, and at least
// as many nearby failures as answers. The threshold is high because only some of the
// answers are logged.
func (e *Explanation) failingBackEnds() []string {
	var ids []string
	for _, id := range distinctBackEnds(e.NearbyOutcomes) {
		if failed := len(e.failuresAt(id)); failed > 0 && failed >= len(e.answersAt(id)) {
			ids = append(ids, id)
		}
	}
	return ids
}

// isRelevant reports whether a line that names no request may explain this one.
func (e *Explanation) isRelevant(line Line) bool {
	switch line.Event {
	case eventlog.BackEndHealth:
		return slices.Contains(e.BackEnds(), line.BackEnd)
	case eventlog.BackEndChanged:
		return slices.Contains(e.BackEnds(), line.BackEnd) || line.Service == e.Service() && line.Gone && line.Node == e.Node()
	default:
		return line.Node == e.Node()
	}
}

// Node returns the gateway that served the request.
func (e *Explanation) Node() string { return e.RequestLines[0].Node }

// Path returns the request's path, or "" if no line has it. Only lines about failed
// attempts and refusals of withheld requests do.
func (e *Explanation) Path() string {
	for _, line := range e.RequestLines {
		if line.Path != "" {
			return line.Path
		}
	}
	return ""
}

// Service returns the service that the request went to, or "".
func (e *Explanation) Service() string {
	for _, line := range e.RequestLines {
		if line.Service != "" {
			return line.Service
		}
	}
	return ""
}

// BackEnds returns the back ends that the request was sent to, in order.
func (e *Explanation) BackEnds() []string {
	var ids []string
	for _, line := range e.RequestLines {
		if line.BackEnd != "" && !slices.Contains(ids, line.BackEnd) {
			ids = append(ids, line.BackEnd)
		}
	}
	return ids
}

// requestLinesOf returns the request's lines with an event.
func (e *Explanation) requestLinesOf(event eventlog.Event) []Line {
	return ofEvent(e.RequestLines, event)
}

// contextLinesOf returns the context lines with an event.
func (e *Explanation) contextLinesOf(event eventlog.Event) []Line {
	return ofEvent(e.ContextLines, event)
}

func ofEvent(lines []Line, event eventlog.Event) []Line {
	return filter(lines, func(line Line) bool { return line.Event == event })
}

func filter(lines []Line, keep func(Line) bool) []Line {
	var list []Line
	for _, line := range lines {
		if keep(line) {
			list = append(list, line)
		}
	}
	return list
}
