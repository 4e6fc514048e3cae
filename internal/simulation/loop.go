// Package simulation runs the cores of a whole fleet in one seeded event loop on
// a virtual clock, with modelled engines, platform, network and callers. It
// holds no rule of the system: routers and agents are the daemon's own cores.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// event is something that happens at a moment. Events of one moment happen in
// the order in which they were scheduled.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventHeap is a heap of events by time and sequence.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(value any) {
	if e, ok := value.(event); ok {
		*h = append(*h, e)
	}
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// keptLines is how many lines of the log are kept to show at a violation.
const recentLineLimit = 40

// loop is the event loop with its clock, its random source and its log.
type loop struct {
	now         time.Time
	started     time.Time
	events      eventHeap
	sequence    uint64
	random      *rand.Rand
	digest      *xxhash.Digest
	recentLines []string
	lineCount   uint64
	sink        func(string)
}

// epoch is when every simulation begins.
var epoch = time.Unix(1_800_000_000, 0)

func newLoop(seed uint64) *loop {
	return &loop{
		now:     epoch,
		started: epoch,
		random:  rand.New(rand.NewPCG(seed, 0x68617272696572)),
		digest:  xxhash.New(),
	}
}

// after schedules run in so long.
func (l *loop) after(wait time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, event{at: l.now.Add(max(0, wait)), sequence: l.sequence, run: run})
}

// every schedules run again and again, the first time after a part of the
// period.
func (l *loop) every(first, period time.Duration, run func()) {
	l.after(first, func() {
		run()
		l.every(period, period, run)
	})
}

// runUntil runs events up to the end, or until stop says so.
func (l *loop) runUntil(end time.Time, stop func() bool) {
	for len(l.events) > 0 && !l.events[0].at.After(end) && !stop() {
		next, ok := heap.Pop(&l.events).(event)
		if !ok {
			return
		}
		l.now = next.at
		next.run()
	}
	if l.now.Before(end) {
		l.now = end
	}
}

// log writes a line into the event log, whose digest shows that two runs were
// the same, and keeps the last lines.
func (l *loop) log(format string, arguments ...any) {
	line := fmt.Sprintf("%10.3f ", l.now.Sub(l.started).Seconds()) + fmt.Sprintf(format, arguments...)
	_, _ = l.digest.WriteString(line + "\n")
	l.lineCount++
	if l.sink != nil {
		l.sink(line)
	}
	if len(l.recentLines) == recentLineLimit {
		l.recentLines = append(l.recentLines[:0], l.recentLines[1:]...)
	}
	l.recentLines = append(l.recentLines, line)
}

// exponential returns a random span with the mean.
func (l *loop) exponential(mean time.Duration) time.Duration {
	return time.Duration(l.random.ExpFloat64() * float64(mean))
}

// between returns a random span from low to high.
func (l *loop) between(low, high time.Duration) time.Duration {
	return low + time.Duration(l.random.Float64()*float64(high-low))
}
