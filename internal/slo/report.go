package slo

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Goals are the shares of requests that must meet the objectives, less than 1.
type Goals struct {
	// Fraction is the share of answered requests that must meet both latency
	// targets.
	Fraction float64
	// AnsweredWhole is the share of accepted requests that must get a whole answer.
	AnsweredWhole float64
}

// Windows are the time windows of a report: a short one shows the present burn rate, a long
// one how much of the budget is spent.
var Windows = []time.Duration{SlotLength, 30 * time.Minute, time.Hour, 6 * time.Hour}

// Burn holds the burn rates of one label set: how many times faster than allowed it spends
// its error budget. A rate of 1 spends exactly what the goal allows.
type Burn struct {
	Series
	// Latency and Whole are the burn rates of the two goals, one for each window.
	Latency []float64
	Whole   []float64
	// Requests is the number of accepted requests in the longest window.
	Requests int64
	// Refused is the number of refused requests in the longest window.
	Refused int64
	// Since is the start of the uninterrupted run of slots, up to the latest, that have a
	// burn rate above 1; zero if the latest slot hasn't. There are no slots without
	// requests, so a time without requests doesn't interrupt the run.
	Since time.Time
}

// Worst returns the higher burn rate of the two goals in the window with the index.
func (b Burn) Worst(window int) float64 { return max(b.Latency[window], b.Whole[window]) }

// Percentiles are the latencies of one pool and priority over all nodes, since each node
// started. TotalAnswered is the number of answered requests in the same time.
type Percentiles struct {
	Pool             string
	Priority         uint8
	FirstTokenP95    time.Duration
	BetweenTokensP95 time.Duration
	TotalAnswered    int64
}

// Report is the merged report of several nodes.
type Report struct {
	Burns       []Burn
	Percentiles []Percentiles
}

// Merge merges the snapshots of nodes into a report at the time, with the highest burn rate
// in the shortest window first.
func Merge(now time.Time, goals Goals, snapshots []Snapshot) Report {
	report := Report{}
	for _, series := range mergeSeries(snapshots) {
		report.Burns = append(report.Burns, burnOf(now, goals, series))
	}
	slices.SortStableFunc(report.Burns, func(a, b Burn) int { return cmp.Compare(b.Worst(0), a.Worst(0)) })
	report.Percentiles = mergeLatencies(snapshots)
	return report
}

// mergeSeries adds up the slots with equal labels and start times.
func mergeSeries(snapshots []Snapshot) []Series {
	merged := map[Labels]map[time.Time]Counts{}
	for _, snapshot := range snapshots {
		for _, series := range snapshot.Series {
			labels := Labels{series.Tenant, series.Pool, series.Priority}
			if merged[labels] == nil {
				merged[labels] = map[time.Time]Counts{}
			}
			for _, slot := range series.Slots {
				start := slot.Start.UTC()
				merged[labels][start] = addCounts(merged[labels][start], slot)
			}
		}
	}
	var list []Series
	for labels, slots := range merged {
		series := Series{Tenant: labels.Tenant, Pool: labels.Pool, Priority: labels.Priority}
		for start, slot := range slots {
			slot.Start = start
			series.Slots = append(series.Slots, slot)
		}
		slices.SortFunc(series.Slots, func(a, b Counts) int { return a.Start.Compare(b.Start) })
		list = append(list, series)
	}
	slices.SortFunc(list, compareSeries)
	return list
}

func addCounts(a, b Counts) Counts {
	a.Answered += b.Answered
	a.SlowFirst += b.SlowFirst
	a.SlowBetween += b.SlowBetween
	a.Slow += b.Slow
	a.Broken += b.Broken
	a.Refused += b.Refused
	return a
}

func burnOf(now time.Time, goals Goals, series Series) Burn {
	burn := Burn{Series: series}
	for _, window := range Windows {
		total := Counts{}
		for _, slot := range series.Slots {
			// A slot counts when any part of it lies in the window.
			if slot.Start.Add(SlotLength).After(now.Add(-window)) {
				total = addCounts(total, slot)
			}
		}
		burn.Latency = append(burn.Latency, burnRate(total.Slow, total.Answered, goals.Fraction))
		burn.Whole = append(burn.Whole, burnRate(total.Broken, total.Answered+total.Broken, goals.AnsweredWhole))
		burn.Requests = total.Answered + total.Broken
		burn.Refused = total.Refused
	}
	burn.Since = burningSince(goals, series.Slots)
	return burn
}

// burnRate returns the share of bad requests divided by the share that the goal allows.
func burnRate(bad, all int64, goal float64) float64 {
	if all == 0 {
		return 0
	}
	return float64(bad) / float64(all) / (1 - goal)
}

// burningSince returns the start of the uninterrupted run of slots, up to the latest, that
// have a burn rate above 1, or zero if the latest slot hasn't.
func burningSince(goals Goals, slots []Counts) time.Time {
	var since time.Time
	for i := len(slots) - 1; i >= 0; i-- {
		if SlotBurn(goals, slots[i]) <= 1 {
			break
		}
		since = slots[i].Start
	}
	return since
}

// SlotBurn returns the higher burn rate of the two goals in one slot.
func SlotBurn(goals Goals, slot Counts) float64 {
	latency := burnRate(slot.Slow, slot.Answered, goals.Fraction)
	whole := burnRate(slot.Broken, slot.Answered+slot.Broken, goals.AnsweredWhole)
	return max(latency, whole)
}

func mergeLatencies(snapshots []Snapshot) []Percentiles {
	merged := map[poolLabels]*latencies{}
	for _, snapshot := range snapshots {
		for _, l := range snapshot.Latencies {
			key := poolLabels{l.Pool, l.Priority}
			if merged[key] == nil {
				merged[key] = &latencies{hdrhistogram.Import(l.FirstToken), hdrhistogram.Import(l.BetweenTokens)}
				continue
			}
			merged[key].firstToken.Merge(hdrhistogram.Import(l.FirstToken))
			merged[key].betweenTokens.Merge(hdrhistogram.Import(l.BetweenTokens))
		}
	}
	var list []Percentiles
	for key, histograms := range merged {
		list = append(list, Percentiles{
			Pool: key.pool, Priority: key.priority,
			FirstTokenP95:    time.Duration(histograms.firstToken.ValueAtQuantile(95)) * histogramUnit,
			BetweenTokensP95: time.Duration(histograms.betweenTokens.ValueAtQuantile(95)) * histogramUnit,
			TotalAnswered:    histograms.firstToken.TotalCount(),
		})
	}
	slices.SortFunc(list, func(a, b Percentiles) int {
		return compareSeries(Series{Pool: a.Pool, Priority: a.Priority}, Series{Pool: b.Pool, Priority: b.Priority})
	})
	return list
}
