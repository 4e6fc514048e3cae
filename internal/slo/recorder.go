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

// Histogram limits, in microseconds: from 1 µs to 10 minutes with two digits.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 2
)

// slotLength is the span of one slot of records.
const slotLength = time.Minute

// slotsKept is how many slots are kept: six hours.
const slotsKept = 360

// slot holds the records of one label set in one minute.
type slot struct {
	start         time.Time
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	whole         int64
	broken        int64
	refused       int64
}

func newSlot(start time.Time) *slot {
	return &slot{
		start:         start,
		firstToken:    hdrhistogram.New(lowestMicros, highestMicros, digits),
		betweenTokens: hdrhistogram.New(lowestMicros, highestMicros, digits),
	}
}

// Recorder collects the records of one node. It is safe for concurrent use.
type Recorder struct {
	mutex sync.Mutex
	slots map[Labels][]*slot
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{slots: map[Labels][]*slot{}}
}

// current returns the slot of the moment. The mutex is held.
func (r *Recorder) current(now time.Time, labels Labels) *slot {
	start := now.Truncate(slotLength)
	slots := r.slots[labels]
	if count := len(slots); count > 0 && slots[count-1].start.Equal(start) {
		return slots[count-1]
	}
	slots = append(slots, newSlot(start))
	if len(slots) > slotsKept {
		slots = slots[1:]
	}
	r.slots[labels] = slots
	return slots[len(slots)-1]
}

// Watch follows one request.
type Watch struct {
	recorder *Recorder
	labels   Labels
	begun    time.Time
	last     time.Time
	pieces   int
}

// Begin follows a new request.
func (r *Recorder) Begin(now time.Time, labels Labels) *Watch {
	return &Watch{recorder: r, labels: labels, begun: now}
}

// Piece notes that a piece of the answer came. The mean time between pieces is
// recorded at the end, so that a token costs no lock.
func (w *Watch) Piece(now time.Time) {
	if w.pieces == 0 {
		w.recorder.mutex.Lock()
		_ = w.recorder.current(now, w.labels).firstToken.RecordValue(clampMicros(now.Sub(w.begun)))
		w.recorder.mutex.Unlock()
		w.begun = now
	}
	w.pieces++
	w.last = now
}

// Whole notes that the answer came whole.
func (w *Watch) Whole(now time.Time) {
	w.recorder.mutex.Lock()
	defer w.recorder.mutex.Unlock()
	current := w.recorder.current(now, w.labels)
	current.whole++
	if w.pieces > 1 {
		mean := w.last.Sub(w.begun) / time.Duration(w.pieces-1)
		_ = current.betweenTokens.RecordValue(clampMicros(mean))
	}
}

// Failed notes that the request got no whole answer.
func (w *Watch) Failed(kind failure.Kind) {
	if kind == failure.CallerGone {
		return
	}
	now := time.Now()
	w.recorder.mutex.Lock()
	defer w.recorder.mutex.Unlock()
	current := w.recorder.current(now, w.labels)
	if kind.Answer().Ran == failure.RanNo {
		current.refused++
		return
	}
	current.broken++
}

func clampMicros(span time.Duration) int64 {
	return min(max(span.Microseconds(), lowestMicros), highestMicros)
}
