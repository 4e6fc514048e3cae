// Package slo records how requests meet the service-level objectives, and reports the burn
// rate of the error budget.
package slo

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// Labels identify the tenant, pool and priority of a request.
type Labels struct {
	Tenant   string
	Pool     string
	Priority uint8
}

// Targets are the latency targets in force, from the bundle.
type Targets struct {
	// FirstToken and BetweenTokens are the longest times that meet the target.
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// SlotLength is the length of a slot, in which requests are counted together.
const SlotLength = 5 * time.Minute

// slotsKept is the number of slots that are kept for each label set: 72 consecutive slots are
// six hours. A label set with all of them takes about 4 KB.
const slotsKept = 72

// Counts is the number of requests of one label set in one slot, by result.
type Counts struct {
	// Start is when the slot began.
	Start time.Time `json:"start"`
	// Answered counts the requests with a whole answer; SlowFirst and SlowBetween count
	// those of them that missed the target for the first token or between tokens.
	Answered    int64 `json:"answered"`
	SlowFirst   int64 `json:"slow_first"`
	SlowBetween int64 `json:"slow_between"`
	// Slow counts the answered requests that missed either target.
	Slow int64 `json:"slow"`
	// Broken counts the requests without a whole answer that a back end may have run.
	Broken int64 `json:"broken"`
	// Refused counts the requests that failed and certainly were not run.
	Refused int64 `json:"refused"`
}

// Latency histograms have units of 100 µs, values of up to ten minutes, and one significant
// digit.
const (
	histogramUnit     = 100 * time.Microsecond
	highestUnits      = int64(10 * time.Minute / histogramUnit)
	significantDigits = 1
)

// poolLabels identify a histogram. All tenants share it, to save memory.
type poolLabels struct {
	pool     string
	priority uint8
}

// latencies are the histograms of one pool and priority.
type latencies struct {
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
}

// Recorder collects the counts and latencies of one node. It is safe for concurrent use.
type Recorder struct {
	mutex     sync.Mutex
	counts    map[Labels][]Counts
	latencies map[poolLabels]*latencies
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{counts: map[Labels][]Counts{}, latencies: map[poolLabels]*latencies{}}
}

// slotAt returns the last slot if the time lies in it. Otherwise it adds a slot for the time,
// and drops the first one if slotsKept are stored already. The mutex must be held.
func (r *Recorder) slotAt(at time.Time, labels Labels) *Counts {
	start := at.Truncate(SlotLength)
	slots := r.counts[labels]
	if count := len(slots); count > 0 && slots[count-1].Start.Equal(start) {
		return &slots[count-1]
	}
	if len(slots) == slotsKept {
		slots = append(slots[:0], slots[1:]...)
	}
	slots = append(slots, Counts{Start: start})
	r.counts[labels] = slots
	return &slots[len(slots)-1]
}

func (r *Recorder) latenciesOf(labels Labels) *latencies {
	key := poolLabels{labels.Pool, labels.Priority}
	if r.latencies[key] == nil {
		r.latencies[key] = &latencies{
			firstToken:    hdrhistogram.New(1, highestUnits, significantDigits),
			betweenTokens: hdrhistogram.New(1, highestUnits, significantDigits),
		}
	}
	return r.latencies[key]
}

// Tracker tracks one request.
type Tracker struct {
	recorder *Recorder
	labels   Labels
	targets  Targets
	started  time.Time
	first    time.Time
	last     time.Time
	chunks   int
}

// Begin starts to track a request.
func (r *Recorder) Begin(now time.Time, labels Labels, targets Targets) *Tracker {
	return &Tracker{recorder: r, labels: labels, targets: targets, started: now}
}

// Chunk records that a chunk of the answer arrived.
func (t *Tracker) Chunk(now time.Time) {
	if t.chunks == 0 {
		t.first = now
	}
	t.chunks++
	t.last = now
}

// Complete records that the whole answer arrived.
func (t *Tracker) Complete() {
	if t.chunks == 0 {
		t.first = t.started
	}
	toFirst := t.first.Sub(t.started)
	between := time.Duration(0)
	if t.chunks > 1 {
		between = t.last.Sub(t.first) / time.Duration(t.chunks-1)
	}
	t.recorder.mutex.Lock()
	defer t.recorder.mutex.Unlock()
	counts := t.recorder.slotAt(t.started, t.labels)
	counts.Answered++
	slowFirst := toFirst > t.targets.FirstToken
	slowBetween := between > t.targets.BetweenTokens
	if slowFirst {
		counts.SlowFirst++
	}
	if slowBetween {
		counts.SlowBetween++
	}
	if slowFirst || slowBetween {
		counts.Slow++
	}
	histograms := t.recorder.latenciesOf(t.labels)
	_ = histograms.firstToken.RecordValue(units(toFirst))
	_ = histograms.betweenTokens.RecordValue(units(between))
}

// Failed records that the request got no whole answer. A request whose caller is gone isn't
// counted.
func (t *Tracker) Failed(kind failure.Kind) {
	if kind == failure.CallerGone {
		return
	}
	t.recorder.mutex.Lock()
	defer t.recorder.mutex.Unlock()
	counts := t.recorder.slotAt(t.started, t.labels)
	if kind.Answer().Ran == failure.RanNo {
		counts.Refused++
		return
	}
	counts.Broken++
}

func units(span time.Duration) int64 {
	return min(max(int64(span/histogramUnit), 1), highestUnits)
}
