package slo

import (
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Snapshot is a copy of a node's records, as the node serves it.
type Snapshot struct {
	Series    []Series    `json:"series"`
	Latencies []Latencies `json:"latencies"`
}

// Series holds the counts of one label set. A recorder adds a slot when a request ends that
// didn't start in the last slot, so several slots may have the same start; Merge adds them
// up and sorts them.
type Series struct {
	Tenant   string   `json:"tenant"`
	Pool     string   `json:"pool"`
	Priority uint8    `json:"priority"`
	Slots    []Counts `json:"slots"`
}

// Latencies holds the histograms of one pool and priority, in units of 100 µs. Unlike
// percentiles, the histograms of several nodes can be merged.
type Latencies struct {
	Pool          string                 `json:"pool"`
	Priority      uint8                  `json:"priority"`
	FirstToken    *hdrhistogram.Snapshot `json:"first_token"`
	BetweenTokens *hdrhistogram.Snapshot `json:"between_tokens"`
}

// Snapshot returns a copy of the records, in a fixed order.
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
