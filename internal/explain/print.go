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

// Print writes the verdict and then a timeline. Lines that are evidence of the
// verdict are marked with an asterisk. offsets are those that Align returned.
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
		described := details(line)
		if line.Request != "" && line.Request != e.Request {
			described = "request=" + line.Request + " " + described
		}
		fmt.Fprintf(&text, "%s %s %-18s %-24s %s\n", mark, line.At.UTC().Format("15:04:05.000"), line.Node, line.Event, described)
	}
	if _, err := io.WriteString(output, text.String()); err != nil {
		return errors.Wrap(err, "print the explanation")
	}
	return nil
}

// minPrintedOffset is the clock offset up to which Print doesn't mention it.
const minPrintedOffset = 100 * time.Millisecond

// timeline returns the lines of the request, of the other attempts at its stream and of the context in
// order of time.
func (e Explanation) timeline() []Line {
	lines := slices.Concat(e.RequestLines, e.ChainLines, e.ContextLines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return lines
}

// details formats the fields of a line that the timeline shows.
func details(line Line) string {
	parts := slices.Concat(textDetails(line), flagDetails(line), numberDetails(line))
	if line.Cause != "" {
		parts = append(parts, fmt.Sprintf("cause=%q", line.Cause))
	}
	return strings.Join(parts, " ")
}

// textDetails formats the fields with text other than the cause, without empty ones.
func textDetails(line Line) []string {
	var parts []string
	for _, field := range []struct{ name, value string }{
		{"kind", line.Kind}, {"reason", line.Reason}, {"service", line.Service}, {"route", line.Route}, {"tenant", line.Tenant},
		{"back_end", line.BackEnd}, {"back_end_version", line.BackEndVersion}, {"from", line.From}, {"to", line.To}, {"peer", line.Peer},
		{"what", line.What}, {"source", line.Source}, {"fetch_from", line.FetchFrom},
		{"back_up_to", line.BackUpTo}, {"backup_reason", line.BackupReason}, {"continue_from", line.ContinueFrom},
		{"by", line.By}, {"resumes", line.Resumes}, {"version_from", line.VersionFrom}, {"resume_after", line.ResumeAfter}, {"ran", line.Ran}, {"next", line.Next}, {"next_back_end", line.NextBackEnd},
	} {
		if field.value != "" {
			parts = append(parts, field.name+"="+field.value)
		}
	}
	return parts
}

// flagDetails returns the names of the flags that are set.
func flagDetails(line Line) []string {
	var parts []string
	for _, flag := range []struct {
		name string
		set  bool
	}{{"leaving", line.Leaving}, {"gone", line.Gone}, {"excess", line.Excess}, {"not_sent", line.NotSent}, {"expired", line.Expired}, {"deadline_passed", line.DeadlinePassed}} {
		if flag.set {
			parts = append(parts, flag.name)
		}
	}
	return parts
}

// numberDetails formats the counts and durations. Most of them are left out if they are 0.
func numberDetails(line Line) []string {
	var parts []string
	add := func(format string, arguments ...any) { parts = append(parts, fmt.Sprintf(format, arguments...)) }
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
	for _, span := range []struct {
		name   string
		millis int64
	}{
		{"retry_after", line.RetryAfterMillis}, {"predicted_first_token", line.PredictedFirstTokenMillis},
		{"first_token", line.FirstTokenMillis}, {"longest_pause", line.LongestPauseMillis},
	} {
		if span.millis > 0 {
			add("%s=%dms", span.name, span.millis)
		}
	}
	if line.DroppedLines > 0 {
		add("lines=%d", line.DroppedLines)
	}
	return parts
}
