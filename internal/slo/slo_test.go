package slo

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/failure"
)

var (
	start   = time.Unix(1_800_000_000, 0).Truncate(SlotLength)
	targets = Targets{FirstToken: time.Second, BetweenTokens: 50 * time.Millisecond}
	goals   = Goals{Fraction: 0.9, AnsweredWhole: 0.9}
	labels  = Labels{Tenant: "school", Pool: "model"}
)

// answer records a request with an answer of three chunks.
func answer(r *Recorder, at time.Time, first, between time.Duration) {
	w := r.Begin(at, labels, targets)
	for i := range 3 {
		w.Chunk(at.Add(first + time.Duration(i)*between))
	}
	w.Complete()
}

func TestBurnIsBadShareOverAllowedShare(t *testing.T) {
	is := is.New(t)
	one, other := NewRecorder(), NewRecorder()
	for i := range 10 {
		slow := time.Duration(i/8) * 2 * time.Second // two of ten are slow
		answer(one, start, slow, time.Millisecond)
		answer(other, start, 0, time.Millisecond)
	}
	report := Merge(start.Add(time.Minute), goals, []Snapshot{one.Snapshot(), other.Snapshot()})
	is.Equal(len(report.Burns), 1)
	is.Equal(report.Burns[0].Requests, int64(20))
	is.True(report.Burns[0].Latency[0] > 0.999 && report.Burns[0].Latency[0] < 1.001) // 10% of 10%
	is.Equal(report.Burns[0].Whole[0], 0.0)
}

func TestPercentilesComeFromMergedHistograms(t *testing.T) {
	is := is.New(t)
	one, other := NewRecorder(), NewRecorder()
	for range 90 {
		answer(one, start, 100*time.Millisecond, time.Millisecond)
	}
	for range 10 {
		answer(other, start, 900*time.Millisecond, time.Millisecond)
	}
	report := Merge(start, goals, []Snapshot{one.Snapshot(), other.Snapshot()})
	p95 := report.Percentiles[0].FirstTokenP95
	is.True(p95 > 850*time.Millisecond && p95 < 950*time.Millisecond) // the mean of the two would be 500 ms
	is.Equal(report.Percentiles[0].TotalAnswered, int64(100))
}

func TestReportShowsBurningSeriesAndStart(t *testing.T) {
	is := is.New(t)
	r := NewRecorder()
	answer(r, start, 0, time.Millisecond)
	burning := start.Add(2 * SlotLength)
	for slot := range 3 {
		r.Begin(burning.Add(time.Duration(slot)*SlotLength), labels, targets).Failed(failure.StreamBroken)
	}
	r.Begin(burning, labels, targets).Failed(failure.PoolExhausted) // refused: not run, not broken
	r.Begin(burning, labels, targets).Failed(failure.CallerGone)    // not counted
	report := Merge(burning.Add(3*SlotLength), goals, []Snapshot{r.Snapshot()})
	is.True(report.Burns[0].Since.Equal(burning))
	is.Equal(report.Burns[0].Refused, int64(1))
	is.Equal(report.Burns[0].Requests, int64(4))
	is.True(report.Burns[0].Worst(0) > 9)
}

func TestRecorderKeepsSixHours(t *testing.T) {
	is := is.New(t)
	r := NewRecorder()
	for slot := range 2 * slotsKept {
		answer(r, start.Add(time.Duration(slot)*SlotLength), 0, time.Millisecond)
	}
	is.Equal(len(r.Snapshot().Series[0].Slots), slotsKept)
}
