package explain

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/eventlog"
)

const (
	// before and after bound what else is told around a request's own lines.
	before = 10 * time.Second
	after  = 5 * time.Second
	// beside is how close another request's failure must lie to count as a sign of
	// the same trouble.
	beside = 2 * time.Second
)

// Story is what the logs tell of one request.
type Story struct {
	// Request is its ID.
	Request string
	// Own are the lines that name it, in order.
	Own []Line
	// Around are the lines that bear on it: what its gateway believed and heard, and
	// what became of the back ends that it was sent to.
	Around []Line
	// Beside are lines of other requests' failures and answers at about the same
	// time, for other paths.
	Beside []Line
	// Alike are failures of back ends' own, at other times too, to requests for the
	// same path.
	Alike []Line
	// Crashes are failed attempts of other requests of the same content, and what followed
	// for all of them.
	Crashes []Line
	// Verdict is the likely cause.
	Verdict Verdict
}

// Tell returns the story of a request. The log must be aligned.
func (l *Log) Tell(request string) Story {
	story := Story{Request: request}
	for _, line := range l.Lines {
		if line.Request == request {
			story.Own = append(story.Own, line)
		}
	}
	if len(story.Own) > 0 {
		l.lookAround(&story)
	}
	story.Verdict = judge(&story)
	return story
}

func (l *Log) lookAround(story *Story) {
	first, last := story.Own[0].At, story.Own[len(story.Own)-1].At
	path, fingerprint := story.Path(), story.fingerprint()
	for _, line := range l.Lines {
		if fingerprint != "" && line.Fingerprint == fingerprint && line.Request != story.Request && line.Event != eventlog.RequestRefused {
			story.Crashes = append(story.Crashes, line)
		}
		if path != "" && line.Path == path && line.Request != story.Request {
			if line.Status >= serverFailure {
				story.Alike = append(story.Alike, line)
			}
			continue
		}
		if line.At.Before(first.Add(-before)) || line.At.After(last.Add(after)) {
			continue
		}
		near := !line.At.Before(first.Add(-beside)) && !line.At.After(last.Add(beside))
		switch {
		case line.Request == story.Request:
		case line.Request != "":
			if near && isOutcome(line) {
				story.Beside = append(story.Beside, line)
			}
		case story.bearsOn(line):
			story.Around = append(story.Around, line)
		}
	}
}

// fingerprint returns what stands for the request's content, or "" where no line tells.
func (s *Story) fingerprint() string {
	for _, line := range s.Own {
		if line.Fingerprint != "" {
			return line.Fingerprint
		}
	}
	return ""
}

func isOutcome(line Line) bool {
	return isFailure(line) || line.Event == eventlog.RequestDone
}

func isFailure(line Line) bool {
	return line.Event == eventlog.RequestRetried || line.Event == eventlog.RequestFailed
}

// failuresAt and answersAt return other requests' outcomes at a back end.
func (s *Story) failuresAt(backEnd string) []Line {
	return where(s.Beside, func(line Line) bool { return line.BackEnd == backEnd && isFailure(line) })
}

func (s *Story) answersAt(backEnd string) []Line {
	return where(s.Beside, func(line Line) bool {
		return line.BackEnd == backEnd && line.Event == eventlog.RequestDone && line.Status < succeeded
	})
}

// failingBackEnds returns the back ends of the service at which other requests
// failed at least as often as they were answered. Of the answers only some are
// logged, so this asks for many failures.
func (s *Story) failingBackEnds() []string {
	var ids []string
	for _, id := range distinctBackEnds(s.Beside) {
		if failed := len(s.failuresAt(id)); failed > 0 && failed >= len(s.answersAt(id)) {
			ids = append(ids, id)
		}
	}
	return ids
}

// bearsOn tells whether a line on something else than a request may explain it.
func (s *Story) bearsOn(line Line) bool {
	switch line.Event {
	case eventlog.BackEndHealth:
		return slices.Contains(s.BackEnds(), line.BackEnd)
	case eventlog.BackEndChanged:
		return slices.Contains(s.BackEnds(), line.BackEnd) || line.Service == s.Service() && line.Gone && line.Node == s.Node()
	default:
		return line.Node == s.Node()
	}
}

// Node returns the gateway that served the request.
func (s *Story) Node() string { return s.Own[0].Node }

// Path returns the request's path where a failure told it, or "".
func (s *Story) Path() string {
	for _, line := range s.Own {
		if line.Path != "" {
			return line.Path
		}
	}
	return ""
}

// Service returns the service that the request went to, or "".
func (s *Story) Service() string {
	for _, line := range s.Own {
		if line.Service != "" {
			return line.Service
		}
	}
	return ""
}

// BackEnds returns the back ends that the request was sent to, in order.
func (s *Story) BackEnds() []string {
	var ids []string
	for _, line := range s.Own {
		if line.BackEnd != "" && !slices.Contains(ids, line.BackEnd) {
			ids = append(ids, line.BackEnd)
		}
	}
	return ids
}

// own returns the request's lines of an event.
func (s *Story) own(event eventlog.Event) []Line { return ofEvent(s.Own, event) }

// around returns the other lines of an event.
func (s *Story) around(event eventlog.Event) []Line { return ofEvent(s.Around, event) }

func ofEvent(lines []Line, event eventlog.Event) []Line {
	return where(lines, func(line Line) bool { return line.Event == event })
}

func where(lines []Line, holds func(Line) bool) []Line {
	var list []Line
	for _, line := range lines {
		if holds(line) {
			list = append(list, line)
		}
	}
	return list
}
