package workload

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// errorWindows windows of errorWindow each are kept.
	errorWindows = 4
	errorWindow  = 15 * time.Second
	// errorUnit is the resolution of recorded errors, and largestError the largest one.
	errorUnit    = 100 * time.Microsecond
	largestError = time.Minute
)

// ErrorRecord records the prediction errors of the last minute: by how much the time to the first
// token differed from the predicted one. It takes about 12 KB.
type ErrorRecord struct {
	windows *hdrhistogram.WindowedHistogram
	// rotatedAt is when the current window began.
	rotatedAt time.Time
}

// NewErrorRecord returns an empty record.
func NewErrorRecord() *ErrorRecord {
	return &ErrorRecord{windows: hdrhistogram.NewWindowed(errorWindows, 1, int64(largestError/errorUnit), 1)}
}

// ErrorSummary summarizes the recent prediction errors, regardless of their sign.
type ErrorSummary struct {
	Count        int64
	Median       time.Duration
	Percentile95 time.Duration
}

// note records one error. A nil record ignores it.
func (r *ErrorRecord) note(now time.Time, predicted, actual time.Duration) {
	if r == nil {
		return
	}
	r.rotate(now)
	difference := min((actual - predicted).Abs(), largestError)
	_ = r.windows.Current.RecordValue(int64(difference / errorUnit)) // fails only for values out of range
}

// rotate begins a new window if the current one has ended, and drops those that are too old.
func (r *ErrorRecord) rotate(now time.Time) {
	elapsed := now.Sub(r.rotatedAt)
	if elapsed < errorWindow {
		return
	}
	for range min(elapsed/errorWindow, errorWindows) {
		r.windows.Rotate()
	}
	r.rotatedAt = now
}

// Summary returns the summary of the errors of the last minute.
func (r *ErrorRecord) Summary(now time.Time) ErrorSummary {
	r.rotate(now)
	recent := r.windows.Merge()
	return ErrorSummary{
		Count:  recent.TotalCount(),
		Median: time.Duration(recent.ValueAtQuantile(50)) * errorUnit, Percentile95: time.Duration(recent.ValueAtQuantile(95)) * errorUnit,
	}
}
