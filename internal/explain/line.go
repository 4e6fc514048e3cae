// Package explain reconstructs what happened to one request from the logs of many
// gateways: it reads their lines, orders them although the gateways' clocks differ,
// and names the likely cause of the request's outcome with the lines that show it.
//
// The package reads logs and nothing else, and claims nothing that the lines don't
// show.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// Line is one line of a gateway's log. Fields that an event doesn't have are
// zero; docs/OPERATIONS.md explains each.
type Line struct {
	// Time is by the clock of the gateway that wrote the line, or the time of the
	// decision where the line has decided_at. At is the same moment by the fleet's
	// clock; see Align.
	Time time.Time `json:"time"`
	At   time.Time `json:"-"`
	// Event is the kind of line and Node the gateway that wrote it.
	Event eventlog.Event `json:"msg"`
	Node  string         `json:"node"`

	Request   string    `json:"request"`
	DecidedAt time.Time `json:"decided_at"`
	Route     string    `json:"route"`
	Path      string    `json:"path"`
	Service   string    `json:"service"`
	Tenant    string    `json:"tenant"`
	Attempts  int       `json:"attempts"`
	Ran       string    `json:"ran"`
	Kind      string    `json:"kind"`
	// Reason is why the gateway refused the request, a dispatch.RefusalReason, or why an object of the
	// store can't be used. RetryAfterMillis is the time to come back that the caller was told. Excess is set if the request was beyond its tenant's fair share.
	Reason           string `json:"reason"`
	RetryAfterMillis int64  `json:"retry_after_ms"`
	Excess           bool   `json:"excess"`
	// Fingerprint identifies the request's content.
	Fingerprint string `json:"fingerprint"`
	// Parts are the fingerprints of the parts of the prompt that requests share, separated by commas.
	Parts  string `json:"parts"`
	Cause  string `json:"cause"`
	Status int    `json:"status"`
	Events int    `json:"events"`

	ElapsedMillis  int64 `json:"elapsed_ms"`
	DeadlineMillis int64 `json:"deadline_ms"`
	StoreAgeMillis int64 `json:"store_age_ms"`
	// PredictedFirstTokenMillis and FirstTokenMillis are the predicted and the actual time from an
	// attempt to its first token, and LongestPauseMillis the longest pause between events of a stream.
	PredictedFirstTokenMillis int64 `json:"predicted_first_token_ms"`
	FirstTokenMillis          int64 `json:"first_token_ms"`
	LongestPauseMillis        int64 `json:"longest_pause_ms"`

	BackEnd string `json:"back_end"`
	Address string `json:"address"`
	// BackEndVersion is the software version of the back end.
	BackEndVersion string  `json:"back_end_version"`
	LoadEstimate   float64 `json:"load_estimate"`
	Candidates     int     `json:"candidates"`
	FetchFrom      string  `json:"fetch_from"`
	// ResumeAfter is the last event that the caller has of a stream that is resumed, By who resumes it,
	// and Resumes the attempt that the caller names as the one that began it.
	ResumeAfter string `json:"resume_after"`
	By          string `json:"by"`
	Resumes     string `json:"resumes"`
	// VersionFrom is how it is known at which version the stream began.
	VersionFrom string `json:"version_from"`
	// BackUpTo is the address of the back end that gets a backup of the run, and ContinueFrom that
	// of the back end whose run is continued.
	BackUpTo     string `json:"back_up_to"`
	BackupReason string `json:"backup_reason"`
	ContinueFrom string `json:"continue_from"`

	NotSent        bool   `json:"not_sent"`
	Expired        bool   `json:"expired"`
	DeadlinePassed bool   `json:"deadline_passed"`
	RunEnd         string `json:"run_end"`
	Next           string `json:"next"`
	NextBackEnd    string `json:"next_back_end"`

	Version  uint64 `json:"version"`
	Before   uint64 `json:"before"`
	Source   string `json:"source"`
	Revision uint64 `json:"revision"`
	Leaving  bool   `json:"leaving"`
	Gone     bool   `json:"gone"`

	From         string  `json:"from"`
	To           string  `json:"to"`
	ErrorRate    float64 `json:"error_rate"`
	Peer         string  `json:"peer"`
	What         string  `json:"what"`
	DroppedLines int64   `json:"lines"`
}

// maxLineBytes limits the length of one line of a log. Read fails at a longer one.
const maxLineBytes = 1 << 20

// Log holds the lines read from the logs of any number of gateways.
type Log struct {
	// Lines are in the order in which they were read until Align sorts them.
	Lines []Line
	// Skipped counts input lines that aren't a gateway's event.
	Skipped int
}

// Read adds the lines of one input. Text before a line's JSON object, such as the
// prefix of a log collector, is ignored.
func (l *Log) Read(input io.Reader) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			l.Skipped++
			continue
		}
		l.Lines = append(l.Lines, line)
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, "read a log")
	}
	return nil
}

// parse reads one line of input and reports whether it is a gateway's event. A line
// with decided_at gets that time: it was written later than the decision was made.
func parse(raw []byte) (Line, bool) {
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return Line{}, false
	}
	var line Line
	if err := json.Unmarshal(raw[begin:], &line); err != nil {
		return Line{}, false
	}
	if !line.DecidedAt.IsZero() {
		line.Time = line.DecidedAt
	}
	return line, line.Event != "" && line.Node != "" && !line.Time.IsZero()
}
