package slo

import (
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Snapshot is what a node hands out of its records.
type Snapshot struct {
	Series    []Series    `json:"series"`
	Latencies []Latencies `json:"latencies"`
}

// Series holds the counts of one label set, the oldest slot first.
type Series struct {
	Tenant   string   `json:"tenant"`
	Pool     string   `json:"pool"`
	Priority uint8    `json:"priority"`
	Slots    []Counts `json:"slots"`
}

// Latencies are the histograms of one pool and priority, in units of 100 µs.
// Histograms of several nodes can be merged; percentiles can't.
type Latencies struct {
	Pool          string                 `json:"pool"`
	Priority      uint8                  `json:"priority"`
	FirstToken    *hdrhistogram.Snapshot `json:"first_token"`
	BetweenTokens *hdrhistogram.Snapshot `json:"between_tokens"`
}

// Snapshot copies the records, in a fixed order.
func (r *Recorder) Snapshot() Snapshot {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	snapshot := Snapshot{Series: []Series{}, Latencies: []Latencies{}}
	for labels, slots := range r.counts {
		snapshot.Series = append(snapshot.Series, Series{
			Tenant: labels.Tenant, Pool: labels.Pool, Priority: labels.Priority, Slots: slices.Clone(slots),
		})
	}
	for labels, histograms := range r.latencies {
		snapshot.Latencies = append(snapshot.Latencies, Latencies{
			Pool: labels.pool, Priority: labels.priority,
			FirstToken: histograms.firstToken.Export(), BetweenTokens: histograms.betweenTokens.Export(),
		})
	}
	slices.SortFunc(snapshot.Series, compareSeries)
	slices.SortFunc(snapshot.Latencies, func(a, b Latencies) int {
		return compareSeries(Series{Pool: a.Pool, Priority: a.Priority}, Series{Pool: b.Pool, Priority: b.Priority})
	})
	return snapshot
}

func compareSeries(a, b Series) int {
	if order := strings.Compare(a.Tenant, b.Tenant); order != 0 {
		return order
	}
	if order := strings.Compare(a.Pool, b.Pool); order != 0 {
		return order
	}
	return int(a.Priority) - int(b.Priority)
}
