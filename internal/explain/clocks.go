package explain

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// shared names a change that all gateways hear of within a moment of each other:
// by the time each writes of it, their clocks can be compared.
type shared struct {
	event    eventlog.Event
	backEnd  string
	revision uint64
	gone     bool
}

const (
	// startup is how long after its start a gateway's lines on changes tell when it
	// first read of them, not when they were made.
	startup = 2 * time.Second
	// fewestShared is the number of changes below which a clock isn't corrected.
	fewestShared = 3
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
		if len(values) >= fewestShared {
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
	first := l.firstTold()
	differences := map[string][]time.Duration{}
	for _, told := range first {
		if len(told) < 2 {
			continue
		}
		times := make([]time.Duration, 0, len(told))
		for _, at := range told {
			times = append(times, time.Duration(at.UnixNano()))
		}
		middle := median(times)
		for node, at := range told {
			differences[node] = append(differences[node], time.Duration(at.UnixNano())-middle)
		}
	}
	return differences
}

// firstTold returns when each node first wrote of each shared change.
func (l *Log) firstTold() map[shared]map[string]time.Time {
	started := map[string]time.Time{}
	first := map[shared]map[string]time.Time{}
	for _, line := range l.Lines {
		if line.Event == eventlog.Started {
			started[line.Node] = line.Time
		}
		change, ok := sharedChange(line)
		if !ok || line.Time.Sub(started[line.Node]) < startup {
			continue
		}
		if first[change] == nil {
			first[change] = map[string]time.Time{}
		}
		if known, told := first[change][line.Node]; !told || line.Time.Before(known) {
			first[change][line.Node] = line.Time
		}
	}
	return first
}

func sharedChange(line Line) (shared, bool) {
	switch line.Event {
	case eventlog.Configured:
		return shared{event: line.Event, revision: line.Version}, true
	case eventlog.BackEndChanged:
		return shared{event: line.Event, backEnd: line.BackEnd, revision: line.Revision, gone: line.Gone}, true
	default:
		return shared{}, false
	}
}

// median returns the lower median of a list that isn't empty. Its order changes.
func median(values []time.Duration) time.Duration {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
