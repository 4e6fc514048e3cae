package explain

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/eventlog"
)

const (
	// before and after bound what else is told around a request's own lines.
	contextBefore = 10 * time.Second
	contextAfter  = 5 * time.Second
	// beside is how close another request's failure must lie to count as a sign of
	// the same trouble.
	nearbyWindow = 2 * time.Second
)

// Story is what the logs tell of one request.
type Explanation struct {
	// Request is its ID.
	Request string
	// Own are the lines that name it, in order.
	RequestLines []Line
	// Around are the lines that bear on it: what its gateway believed and heard, and
	// what became of the back ends that it was sent to.
	ContextLines []Line
	// Beside are lines of other requests' failures and answers at about the same
	// time, for other paths.
	NearbyOutcomes []Line
	// Alike are failures of back ends' own, at other times too, to requests for the
	// same path.
	SamePathFailures []Line
	// Crashes are failed attempts of other requests of the same content, and what followed
	// for all of them.
	SameContentLines []Line
	// Verdict is the likely cause.
	Verdict Verdict
}

// Tell returns the story of a request. The log must be aligned.
func (l *Log) Explain(request string) Explanation {
	explanation := Explanation{Request: request}
	for _, line := range l.Lines {
		if line.Request == request {
			explanation.RequestLines = append(explanation.RequestLines, line)
		}
	}
	if len(explanation.RequestLines) > 0 {
		l.collectContext(&explanation)
	}
	explanation.Verdict = findCause(&explanation)
	return explanation
}

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

// fingerprint returns what stands for the request's content, or "" where no line tells.
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

// failuresAt and answersAt return other requests' outcomes at a back end.
func (e *Explanation) failuresAt(backEnd string) []Line {
	return filter(e.NearbyOutcomes, func(line Line) bool { return line.BackEnd == backEnd && isFailure(line) })
}

func (e *Explanation) answersAt(backEnd string) []Line {
	return filter(e.NearbyOutcomes, func(line Line) bool {
		return line.BackEnd == backEnd && line.Event == eventlog.RequestAnswered && line.Status < firstErrorStatus
	})
}

// failingBackEnds returns the back ends of the service at which other requests
// failed at least as often as they were answered. Of the answers only some are
// logged, so this asks for many failures.
func (e *Explanation) failingBackEnds() []string {
	var ids []string
	for _, id := range distinctBackEnds(e.NearbyOutcomes) {
		if failed := len(e.failuresAt(id)); failed > 0 && failed >= len(e.answersAt(id)) {
			ids = append(ids, id)
		}
	}
	return ids
}

// bearsOn tells whether a line on something else than a request may explain it.
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

// Path returns the request's path where a failure told it, or "".
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

// own returns the request's lines of an event.
func (e *Explanation) requestLinesOf(event eventlog.Event) []Line {
	return ofEvent(e.RequestLines, event)
}

// around returns the other lines of an event.
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
