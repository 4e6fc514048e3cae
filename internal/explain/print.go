package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// Print writes the story as a timeline, the verdict first. Lines that show the
// verdict are marked with an asterisk.
func (e Explanation) Print(output io.Writer, offsets map[string]time.Duration) error {
	var text strings.Builder
	fmt.Fprintf(&text, "request %s: %s\n  %s\n", e.Request, e.Verdict.Cause, e.Verdict.Why)
	for _, node := range slices.Sorted(maps.Keys(offsets)) {
		if offset := offsets[node].Round(time.Millisecond); offset.Abs() > minPrintedOffset {
			fmt.Fprintf(&text, "  the clock of %s is taken to be %v ahead\n", node, offset)
		}
	}
	for _, line := range e.timeline() {
		mark := " "
		if slices.Contains(e.Verdict.Evidence, line) {
			mark = "*"
		}
		fmt.Fprintf(&text, "%s %s %-18s %-24s %s\n", mark, line.At.UTC().Format("15:04:05.000"), line.Node, line.Event, details(line))
	}
	if _, err := io.WriteString(output, text.String()); err != nil {
		return errors.Wrap(err, "print the story")
	}
	return nil
}

// toldOffset is the difference of a clock below which nothing is said of it.
const minPrintedOffset = 100 * time.Millisecond

// timeline joins the request's lines and those around it.
func (e Explanation) timeline() []Line {
	lines := slices.Concat(e.RequestLines, e.ContextLines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return lines
}

// details returns the fields worth reading of a line.
func details(line Line) string {
	var parts []string
	add := func(format string, arguments ...any) { parts = append(parts, fmt.Sprintf(format, arguments...)) }
	for _, field := range []struct{ name, value string }{
		{"kind", line.Kind}, {"service", line.Service}, {"route", line.Route}, {"tenant", line.Tenant},
		{"back_end", line.BackEnd}, {"back_end_version", line.BackEndVersion}, {"from", line.From}, {"to", line.To}, {"peer", line.Peer},
		{"what", line.What}, {"source", line.Source}, {"fetch_from", line.FetchFrom},
		{"resume_after", line.ResumeAfter}, {"ran", line.Ran}, {"next", line.Next}, {"next_back_end", line.NextBackEnd},
	} {
		if field.value != "" {
			add("%s=%s", field.name, field.value)
		}
	}
	for _, flag := range []struct {
		name string
		set  bool
	}{{"leaving", line.Leaving}, {"gone", line.Gone}, {"not_sent", line.NotSent}, {"expired", line.Expired}, {"deadline_passed", line.DeadlinePassed}} {
		if flag.set {
			add("%s", flag.name)
		}
	}
	if line.Version > 0 {
		add("version=%d", line.Version)
	}
	if line.Attempts > 0 {
		add("attempts=%d", line.Attempts)
	}
	if line.Status > 0 {
		add("status=%d", line.Status)
	}
	if line.Events > 0 {
		add("events=%d", line.Events)
	}
	if line.Event == eventlog.RequestSent {
		add("load_estimate=%.1f candidates=%d", line.LoadEstimate, line.Candidates)
	}
	if line.Request != "" {
		add("elapsed=%dms", line.ElapsedMillis)
	}
	if line.DroppedLines > 0 {
		add("lines=%d", line.DroppedLines)
	}
	if line.Cause != "" {
		add("cause=%q", line.Cause)
	}
	return strings.Join(parts, " ")
}
