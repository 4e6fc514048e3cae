// Package slo records how well requests meet the service-level objectives and
// reports how fast the error budget burns.
package slo

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// Labels tell whose request it was.
type Labels struct {
	Tenant   string
	Pool     string
	Priority uint8
}

// Targets are the objectives in force, from the bundle.
type Targets struct {
	// FirstToken and BetweenTokens are the longest times that count as met.
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// SlotLength is the span over which requests are counted together.
const SlotLength = 5 * time.Minute

// slotsKept is how many slots are kept: six hours. A label set costs about 4 KB
// when it is busy all the time.
const slotsKept = 72

// Counts are the requests of one label set in one slot.
type Counts struct {
	// Start is when the slot began.
	Start time.Time `json:"start"`
	// Answered requests came whole; SlowFirst and SlowBetween of them missed a
	// target.
	Answered    int64 `json:"answered"`
	SlowFirst   int64 `json:"slow_first"`
	SlowBetween int64 `json:"slow_between"`
	// Slow missed either target.
	Slow int64 `json:"slow"`
	// Broken requests got no whole answer after a back end may have run them.
	Broken int64 `json:"broken"`
	// Refused requests were told that they were not run.
	Refused int64 `json:"refused"`
}

// Latency histograms, in units of 100 µs up to ten minutes, with one digit.
const (
	histogramUnit     = 100 * time.Microsecond
	highestUnits      = int64(10 * time.Minute / histogramUnit)
	significantDigits = 1
)

// poolLabels name a histogram; tenants share them to keep memory small.
type poolLabels struct {
	pool     string
	priority uint8
}

// latencies are the histograms of one pool and priority.
type latencies struct {
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
}

// Recorder collects the records of one node. It is safe for concurrent use.
type Recorder struct {
	mutex     sync.Mutex
	counts    map[Labels][]Counts
	latencies map[poolLabels]*latencies
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{counts: map[Labels][]Counts{}, latencies: map[poolLabels]*latencies{}}
}

// current returns the slot of the moment. The mutex is held.
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

// Watch follows one request.
type Tracker struct {
	recorder *Recorder
	labels   Labels
	targets  Targets
	started  time.Time
	first    time.Time
	last     time.Time
	chunks   int
}

// Begin follows a new request.
func (r *Recorder) Begin(now time.Time, labels Labels, targets Targets) *Tracker {
	return &Tracker{recorder: r, labels: labels, targets: targets, started: now}
}

// Piece notes that a piece of the answer came.
func (t *Tracker) Chunk(now time.Time) {
	if t.chunks == 0 {
		t.first = now
	}
	t.chunks++
	t.last = now
}

// Whole notes that the answer came whole.
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

// Failed notes that the request got no whole answer.
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
