package explain

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// shared names a change that all gateways hear of within a moment of each other:
// by the time each writes of it, their clocks can be compared.
type sharedChange struct {
	event    eventlog.Event
	backEnd  string
	revision uint64
	gone     bool
}

const (
	// startup is how long after its start a gateway's lines on changes tell when it
	// first read of them, not when they were made.
	startupPeriod = 2 * time.Second
	// fewestShared is the number of changes below which a clock isn't corrected.
	minSharedChanges = 3
)

// Align sets the time of all lines by the fleet's clock and sorts them. A node's
// clock is taken to be off by the median, over all changes that it and others
// wrote of, of how far its time lies from the others' median. The news of a change
// travels within a fraction of a second, so smaller differences mean nothing and
// the order of lines of different nodes is only that good. The differences are
// returned by node; a node with too few changes in common has none.
func (l *Log) Align() map[string]time.Duration {
	differences := l.differences()
	offsets := map[string]time.Duration{}
	for node, values := range differences {
		if len(values) >= minSharedChanges {
			offsets[node] = median(values)
		}
	}
	for i := range l.Lines {
		l.Lines[i].At = l.Lines[i].Time.Add(-offsets[l.Lines[i].Node])
	}
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return offsets
}

// differences returns, by node, how far its time of each shared change lies from
// the median time of all nodes that wrote of it.
func (l *Log) differences() map[string][]time.Duration {
	first := l.firstReports()
	differences := map[string][]time.Duration{}
	for _, reports := range first {
		if len(reports) < 2 {
			continue
		}
		times := make([]time.Duration, 0, len(reports))
		for _, at := range reports {
			times = append(times, time.Duration(at.UnixNano()))
		}
		middle := median(times)
		for node, at := range reports {
			differences[node] = append(differences[node], time.Duration(at.UnixNano())-middle)
		}
	}
	return differences
}

// firstTold returns when each node first wrote of each shared change.
func (l *Log) firstReports() map[sharedChange]map[string]time.Time {
	started := map[string]time.Time{}
	first := map[sharedChange]map[string]time.Time{}
	for _, line := range l.Lines {
		if line.Event == eventlog.Started {
			started[line.Node] = line.Time
		}
		change, ok := sharedChangeOf(line)
		if !ok || line.Time.Sub(started[line.Node]) < startupPeriod {
			continue
		}
		if first[change] == nil {
			first[change] = map[string]time.Time{}
		}
		if known, found := first[change][line.Node]; !found || line.Time.Before(known) {
			first[change][line.Node] = line.Time
		}
	}
	return first
}

func sharedChangeOf(line Line) (sharedChange, bool) {
	switch line.Event {
	case eventlog.ConfigurationAdopted:
		return sharedChange{event: line.Event, revision: line.Version}, true
	case eventlog.BackEndChanged:
		return sharedChange{event: line.Event, backEnd: line.BackEnd, revision: line.Revision, gone: line.Gone}, true
	default:
		return sharedChange{}, false
	}
}

// median returns the lower median of a list that isn't empty. Its order changes.
func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
