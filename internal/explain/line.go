// Package explain tells the story of one request from the logs of many gateways:
// it reads their lines, orders them in spite of clocks that differ, and names the
// likely cause of the request's end with the lines that show it.
//
// The package reads logs and nothing else: what it can't tell from lines it
// doesn't claim.
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
	// Time is the writer's own clock, At the same moment by the fleet's; see
	// Align.
	Time time.Time `json:"time"`
	At   time.Time `json:"-"`
	// Event is the kind of line and Node its writer.
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
	// Fingerprint stands for the request's content.
	Fingerprint string `json:"fingerprint"`
	Cause       string `json:"cause"`
	Status      int    `json:"status"`
	Events      int    `json:"events"`

	ElapsedMillis  int64 `json:"elapsed_ms"`
	DeadlineMillis int64 `json:"deadline_ms"`
	StoreAgeMillis int64 `json:"store_age_ms"`

	BackEnd string `json:"back_end"`
	Address string `json:"address"`
	// BackEndVersion is that of the back end while its service is moved to another one.
	BackEndVersion string  `json:"back_end_version"`
	LoadEstimate   float64 `json:"load_estimate"`
	Candidates     int     `json:"candidates"`
	FetchFrom      string  `json:"fetch_from"`
	ResumeAfter    string  `json:"resume_after"`

	NotSent        bool   `json:"not_sent"`
	Expired        bool   `json:"expired"`
	DeadlinePassed bool   `json:"deadline_passed"`
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

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Log is what was read from the logs of any number of gateways.
type Log struct {
	// Lines are in the order in which they were read, until Align.
	Lines []Line
	// Skipped counts input lines that hold no event of a gateway.
	Skipped int
}

// Read adds the lines of one input. Whatever stands before the JSON object of a
// line, as collectors put it there, is passed over.
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
