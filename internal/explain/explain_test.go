package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

var start = time.Date(2026, 1, 6, 22, 0, 0, 0, time.UTC)

// newTestLog builds a log from lines "NODE SECONDS EVENT FIELDS", with the fields as
// JSON without braces. clockOffsets is how far ahead the clocks of nodes are.
func newTestLog(t *testing.T, clockOffsets map[string]time.Duration, lines ...string) *Log {
	t.Helper()
	var text strings.Builder
	for _, line := range lines {
		var node, event string
		var seconds float64
		if _, err := fmt.Sscan(line, &node, &seconds, &event); err != nil {
			t.Fatal(line, err)
		}
		fields := strings.Join(strings.Fields(line)[3:], " ")
		if fields != "" {
			fields = "," + fields
		}
		at := start.Add(time.Duration(seconds*1000) * time.Millisecond).Add(clockOffsets[node])
		fmt.Fprintf(&text, "collector: {\"time\":%q,\"node\":%q,\"msg\":%q%s}\n", at.Format(time.RFC3339Nano), node, event, fields)
	}
	var log Log
	if err := log.Read(strings.NewReader(text.String())); err != nil {
		t.Fatal(err)
	}
	if len(log.Lines) != len(lines) {
		t.Fatalf("%d of %d lines were read", len(log.Lines), len(lines))
	}
	return &log
}

func TestCauses(t *testing.T) {
	const sent = `g1 10 request.sent "request":"r","back_end":"b1","service":"s","attempts":1`
	failed := func(at float64, request, backEnd, fields string) string {
		return fmt.Sprintf(`g1 %v request.attempt_failed "request":%q,"back_end":%q,"service":"s","path":"/%s"%s`, at, request, backEnd, request, fields)
	}
	refused := func(kind string) string {
		return fmt.Sprintf(`g1 10.5 request.refused "request":"r","service":"s","kind":%q,"cause":"why"`, kind)
	}
	cases := map[string]struct {
		want  Cause
		lines []string
	}{
		"no line":                 {Unheard, []string{`g1 9 node.started`}},
		"answered":                {Served, []string{sent, `g1 10.2 request.answered "request":"r","back_end":"b1","status":200`}},
		"answered on 2nd attempt": {ServedLate, []string{sent, failed(10.1, "r", "b1", `,"not_sent":true`), `g1 10.2 request.answered "request":"r","back_end":"b2","status":200,"attempts":2`}},
		"caller left":             {CallerLeft, []string{sent, `g1 10.2 request.caller_left "request":"r"`}},
		"key unknown":             {CallersFault, []string{refused("unauthenticated")}},
		"key taken away":          {KeyTakenAway, []string{`g1 9 configuration.adopted "version":7`, refused("unauthenticated")}},
		"body too large":          {CallersFault, []string{`g1 9 configuration.adopted "version":7`, refused("too_large")}},
		"crashes back ends": {Withheld, []string{
			`g2 9 request.attempt_failed "request":"q","back_end":"b1","fingerprint":"00f1","cause":"EOF"`, `g2 9.5 requests.withheld "fingerprint":"00f1"`,
			`g1 10.1 request.refused "request":"r","kind":"withheld","fingerprint":"00f1"`}},
		"gateway not ready":       {GatewayUnready, []string{`g1 10.4 node.started`, refused("not_ready")}},
		"gateway killed":          {GatewayEnded, []string{sent, `g1 12 node.started`}},
		"no end and no restart":   {Unclear, []string{sent}},
		"connection refused":      {Unreachable, []string{sent, failed(10.1, "r", "b1", `,"not_sent":true`), refused("backend_unreachable")}},
		"no answer in time":       {BackEndSilent, []string{sent, failed(10.4, "r", "b1", `,"deadline_passed":true`), refused("timed_out")}},
		"back end refused":        {Refused, []string{sent, failed(10.1, "r", "b1", `,"status":503,"cause":"the back end refused"`), refused("pool_exhausted")}},
		"answer to another":       {AnswerSpoiled, []string{sent, failed(10.1, "r", "b1", `,"status":200,"cause":"the answer isn't one to this request"`), refused("backend_failed")}},
		"one answer lost":         {AnswerLost, []string{sent, failed(10.1, "r", "b1", `,"cause":"EOF"`), `g1 10.15 request.answered "request":"q","back_end":"b1","status":200`, refused("backend_failed")}},
		"all connections at once": {BackEndCrashed, []string{sent, failed(10.1, "r", "b1", `,"cause":"EOF"`), failed(10.1, "q", "b1", ""), failed(10.11, "p", "b1", ""), refused("backend_failed")}},
		"removed right after":     {BackEndCrashed, []string{sent, failed(10.1, "r", "b1", `,"cause":"EOF"`), `g2 12 back_end.changed "back_end":"b1","gone":true`, refused("backend_failed")}},
		"one back end fails":      {BackEndFailing, []string{sent, failed(10.1, "r", "b1", `,"status":500,"cause":"the back end failed"`), `g1 10.1 request.answered "request":"r","back_end":"b1","status":500`}},
		"the pool fails": {PoolFailing, []string{
			sent, failed(10.1, "r", "b1", `,"status":500,"cause":"the back end failed"`), failed(10.1, "q", "b1", `,"status":500`),
			failed(10.2, "p", "b2", `,"status":500`), failed(10.3, "o", "b3", `,"status":500`), `g1 10.1 request.answered "request":"r","back_end":"b1","status":500`}},
		"the path fails on two": {RequestFails, []string{
			sent, `g1 10.1 request.attempt_failed "request":"r","back_end":"b1","path":"/same","status":500`,
			`g1 11 request.attempt_failed "request":"retry","back_end":"b2","path":"/same","status":500`, `g1 10.1 request.answered "request":"r","back_end":"b1","status":500`}},
		"stream cut": {StreamBroken, []string{sent, `g1 11 request.failed "request":"r","back_end":"b1","events":7,"cause":"unexpected EOF"`}},
		"no room":    {PoolFull, []string{refused("pool_exhausted")}},
		"all back ends removed": {BackEndsVanished, []string{
			`g1 10 back_end.changed "back_end":"b1","service":"s","gone":true`, `g1 10 back_end.changed "back_end":"b2","service":"s","gone":true`,
			`g1 10 back_end.changed "back_end":"b3","service":"s","gone":true`, refused("pool_exhausted")}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := newTestLog(t, nil, c.lines...)
			offsets := log.Align()
			explanation := log.Explain("r")
			is.Equal(explanation.Verdict.Cause, c.want)
			var text strings.Builder
			is.NoErr(explanation.Print(&text, offsets))
			is.True(strings.HasPrefix(text.String(), "request r: "+string(c.want)))
			if c.want != Unheard && c.want != Unclear {
				is.True(strings.Contains(text.String(), "\n* ")) // at least one line is marked as evidence
			}
		})
	}
}

// Guards against a reason that gateways log and explanations don't describe, against an explanation
// without the time to come back, and against one that is empty for the lines of earlier builds, which
// have no reason.
func TestRefusalReasonsAreDescribed(t *testing.T) {
	for _, reason := range dispatch.RefusalReasons() {
		t.Run(string(reason), func(t *testing.T) {
			is := is.New(t)
			line := fmt.Sprintf(`g1 10 request.refused "request":"r","service":"s","kind":"pool_exhausted","cause":"c","reason":%q,"retry_after_ms":750,"excess":true`, reason)
			log := newTestLog(t, nil, line)
			offsets := log.Align()
			explanation := log.Explain("r")
			is.Equal(explanation.Verdict.Cause, PoolFull)
			is.Equal(explanation.Verdict.Why, refusalReasons[reason]+": c")
			is.True(refusalReasons[reason] != "")
			var text strings.Builder
			is.NoErr(explanation.Print(&text, offsets))
			is.True(strings.Contains(text.String(), "reason="+string(reason)))
			is.True(strings.Contains(text.String(), "retry_after=750ms"))
			is.True(strings.Contains(text.String(), " excess "))
		})
	}
	is := is.New(t)
	log := newTestLog(t, nil, `g1 10 request.refused "request":"r","service":"s","kind":"pool_exhausted","cause":"c"`)
	log.Align()
	is.True(strings.Contains(log.Explain("r").Verdict.Why, "no back end of the service had room by the gateway's estimate"))
}

// Guards against an explanation that doesn't show that a stream which was answered whole came late.
func TestExplanationShowsTimesOfStream(t *testing.T) {
	is := is.New(t)
	log := newTestLog(t, nil, `g1 10 request.answered "request":"r","back_end":"b","status":200,"events":9,"first_token_ms":420,"predicted_first_token_ms":90,"longest_pause_ms":610`)
	offsets := log.Align()
	explanation := log.Explain("r")
	var text strings.Builder
	is.NoErr(explanation.Print(&text, offsets))
	is.True(strings.Contains(text.String(), "predicted_first_token=90ms first_token=420ms longest_pause=610ms"))
}

// The lines of a gateway whose clock is 40 s ahead are corrected by the changes that
// all gateways log. Changes that the gateway reads at its start don't distort the
// correction.
// An operator must see in the explanation that a stream survived a crash by its backup.
func TestExplanationNamesContinuation(t *testing.T) {
	is := is.New(t)
	log := newTestLog(t, nil,
		`g1 10 request.sent "request":"r","back_end":"b1","service":"s","attempts":1,"back_up_to":"10.0.0.2:1","backup_reason":"suspect"`,
		`g1 10.5 request.attempt_failed "request":"r","back_end":"b1","service":"s","path":"/r","events":7,"cause":"unexpected EOF"`,
		`g1 10.5 request.continued "request":"r","back_end":"b2","continue_from":"10.0.0.1:1","resume_after":"7"`,
		`g1 11 request.answered "request":"r","back_end":"b2","status":200,"attempts":1`)
	explanation := log.Explain("r")
	is.Equal(explanation.Verdict.Cause, ServedLate)
	is.True(strings.Contains(explanation.Verdict.Why, "continued from a backup 1 time(s), at last by b2 after event 7"))
	var text strings.Builder
	is.NoErr(explanation.Print(&text, nil))
	for _, part := range []string{"back_up_to=10.0.0.2:1 backup_reason=suspect", "continue_from=10.0.0.1:1 resume_after=7"} {
		is.True(strings.Contains(text.String(), part))
	}
}

func TestAlignCorrectsClockOffset(t *testing.T) {
	is := is.New(t)
	clockOffsets := map[string]time.Duration{"g2": 40 * time.Second}
	lines := []string{`g2 1 node.started`}
	for version := range 5 {
		for i, node := range []string{"g1", "g2", "g3"} {
			lines = append(lines, fmt.Sprintf(`%s %v configuration.adopted "version":%d`, node, 5+float64(version)+0.1*float64(i), version+1))
		}
	}
	// What g2 reads at its start, the others have logged before.
	for revision := range 20 {
		for node, at := range map[string]float64{"g1": 0.1, "g2": 1.5} {
			lines = append(lines, fmt.Sprintf(`%s %v back_end.changed "back_end":"b%d","revision":1`, node, at, revision))
		}
	}
	lines = append(lines, `g2 12 request.refused "request":"r","kind":"timed_out"`, `g1 11 back_end.health "back_end":"b1"`, `g3 13 back_end.health "back_end":"b1"`)
	log := newTestLog(t, clockOffsets, lines...)
	offsets := log.Align()
	is.True((offsets["g2"] - 40*time.Second).Abs() < 200*time.Millisecond)
	var order []string
	for _, line := range log.Lines[len(log.Lines)-3:] {
		order = append(order, line.Node)
	}
	is.Equal(order, []string{"g1", "g2", "g3"})
}

// A decision to send that was over the rate limit of routine lines is logged later if
// an attempt at the request fails. Its line is ordered by the time of the decision.
func TestAlignOrdersLinesByDecisionTime(t *testing.T) {
	is := is.New(t)
	log := newTestLog(t, nil,
		`g1 10 request.attempt_failed "request":"r","back_end":"b1","cause":"EOF"`,
		`g1 10.1 request.sent "request":"r","back_end":"b1","decided_at":"2026-01-06T22:00:09Z"`)
	log.Align()
	is.Equal(string(log.Lines[0].Event), "request.sent")
}

func FuzzRead(f *testing.F) {
	f.Add("collector: {\"time\":\"2026-01-06T22:00:09Z\",\"node\":\"g\",\"msg\":\"request.sent\",\"request\":\"r\"}\nnoise\n{\"a\":")
	f.Fuzz(func(t *testing.T, text string) {
		var log Log
		if err := log.Read(strings.NewReader(text)); err != nil {
			return
		}
		log.Align()
		if err := log.Explain("r").Print(&strings.Builder{}, nil); err != nil {
			t.Fatal(err)
		}
	})
}

// During a rollout the output names the version of the back end that a request was sent to.
func TestPrintShowsBackEndVersion(t *testing.T) {
	is := is.New(t)
	log := newTestLog(t, nil, `g1 10 request.sent "request":"r","back_end":"b1","back_end_version":"v2","service":"s","attempts":1`)
	var output strings.Builder
	is.NoErr(log.Explain("r").Print(&output, nil))
	is.True(strings.Contains(output.String(), "back_end_version=v2"))
}

// Guards against an explanation of a resumed stream that leaves out where it began.
func TestExplanationFollowsAStreamOverItsAttempts(t *testing.T) {
	is := is.New(t)
	log := newTestLog(t, nil,
		`g1 10 request.sent "request":"a","back_end":"b1","back_end_version":"v1","service":"s","attempts":1`,
		`g2 11 request.resumed "request":"b","by":"caller","resumes":"a","back_end":"b2","back_end_version":"v1","version_from":"peer_record","resume_after":"7","service":"s","attempts":1`,
		`g3 12 request.refused "request":"c","resumes":"a","version_from":"unknown","kind":"stream_version_unknown","cause":"it isn't known"`,
		`g3 12.1 request.sent "request":"other","back_end":"b3","service":"s","attempts":1`,
	)
	refused := log.Explain("c")
	is.Equal(refused.Verdict.Cause, StreamVersion)
	var output strings.Builder
	is.NoErr(refused.Print(&output, nil))
	for _, part := range []string{"the stream that a began", "request=a service=s", "request=b service=s", "by=caller resumes=a version_from=peer_record resume_after=7"} {
		is.True(strings.Contains(output.String(), part))
	}
	is.True(!strings.Contains(output.String(), "request=other"))
	is.Equal(len(log.Explain("a").ChainLines), 2) // from the first attempt, too
}

// An operator can tell a back end that lost an answer from one that has ended.
func TestBrokenStreamTellsWhyItsBackupDidNotHelp(t *testing.T) {
	for end, want := range map[string]string{"goes_on": "may have worked on", "unknown": "couldn't be found out in time", "refused": ""} {
		t.Run(end, func(t *testing.T) {
			is := is.New(t)
			log := newTestLog(t, nil, `g1 10 request.sent "request":"r","back_end":"b1"`,
				`g1 10.5 request.attempt_failed "request":"r","back_end":"b1","events":7,"cause":"EOF","run_end":"`+end+`"`,
				`g1 11 request.failed "request":"r","back_end":"b1","events":7,"cause":"EOF"`)
			log.Align()
			verdict := log.Explain("r").Verdict
			is.Equal(verdict.Cause, StreamBroken)
			is.True(strings.Contains(verdict.Why, want))
			is.Equal(strings.Contains(verdict.Why, "there was a backup"), want != "")
		})
	}
}
