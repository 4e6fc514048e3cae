package explain

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// sharedChange identifies a change that all gateways learn of at almost the same
// time, so that the times at which they log it show how far their clocks differ.
type sharedChange struct {
	event    eventlog.Event
	backEnd  string
	revision uint64
	gone     bool
}

const (
	// startupPeriod is the time after a gateway's start in which its lines about
	// changes aren't used to compare clocks: they show when the starting gateway
	// first read of the changes, not when the changes were made.
	startupPeriod = 2 * time.Second
	// minSharedChanges is the number of shared changes below which a node's clock
	// isn't corrected.
	minSharedChanges = 3
)

// Align sets Line.At of all lines to the time by the fleet's clock, sorts the lines
// by it and returns the clock offsets by node. For every shared change that at
// least two nodes logged, the difference between a node's time and the median of
// all nodes' times is one sample; the offset of a node is the median of its
// samples. A node with fewer than minSharedChanges samples has no offset. Changes
// take a fraction of a second to spread, so smaller offsets mean nothing, and the
// order of lines of different nodes is no more exact than that.
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

// differences returns, by node, the difference between its time of each shared
// change and the median time of all nodes that logged the change.
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

// firstReports returns when each node first logged each shared change.
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

// sharedChangeOf returns the shared change that a line reports, if it reports one.
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

// median returns the lower median of a list that isn't empty. It sorts the list.
func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
