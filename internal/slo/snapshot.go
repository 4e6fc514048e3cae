package slo

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Snapshot is what a node hands out of its records.
type Snapshot struct {
	Series []Series `json:"series"`
}

// Series is one label set in one minute.
type Series struct {
	Tenant   string    `json:"tenant"`
	Pool     string    `json:"pool"`
	Priority uint8     `json:"priority"`
	Start    time.Time `json:"start"`
	// FirstToken and BetweenTokens are histograms in microseconds, so that the
	// histograms of many nodes can be merged.
	FirstToken    *hdrhistogram.Snapshot `json:"first_token"`
	BetweenTokens *hdrhistogram.Snapshot `json:"between_tokens"`
	Whole         int64                  `json:"whole"`
	Broken        int64                  `json:"broken"`
	Refused       int64                  `json:"refused"`
}

// Snapshot copies the records, in a fixed order.
func (r *Recorder) Snapshot() Snapshot {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	snapshot := Snapshot{Series: []Series{}}
	for labels, slots := range r.slots {
		for _, slot := range slots {
			snapshot.Series = append(snapshot.Series, Series{
				Tenant: labels.Tenant, Pool: labels.Pool, Priority: labels.Priority, Start: slot.start,
				FirstToken: slot.firstToken.Export(), BetweenTokens: slot.betweenTokens.Export(),
				Whole: slot.whole, Broken: slot.broken, Refused: slot.refused,
			})
		}
	}
	slices.SortFunc(snapshot.Series, compareSeries)
	return snapshot
}

func compareSeries(a, b Series) int {
	if order := strings.Compare(a.Tenant, b.Tenant); order != 0 {
		return order
	}
	if order := strings.Compare(a.Pool, b.Pool); order != 0 {
		return order
	}
	if a.Priority != b.Priority {
		return int(a.Priority) - int(b.Priority)
	}
	return a.Start.Compare(b.Start)
}
