// Package simulation runs a whole fleet in one seeded event loop on a virtual clock.
// Routers and agents are the daemon's own cores, so the package implements none of the
// system's rules; the engines, the platform, the network and the callers are models.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// event is a function scheduled for a point in virtual time. Events with the same time
// run in the order in which they were scheduled.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventHeap is a min-heap of events, ordered by time and then by sequence.
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

// recentLineLimit is the number of the latest log lines that are kept for the report of
// a violation.
const recentLineLimit = 40

// loop is the event loop with its clock, random source and event log.
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

// epoch is the virtual time at which every simulation starts.
var epoch = time.Unix(1_800_000_000, 0)

func newLoop(seed uint64) *loop {
	return &loop{
		now:     epoch,
		started: epoch,
		random:  rand.New(rand.NewPCG(seed, 0x68617272696572)),
		digest:  xxhash.New(),
	}
}

// after schedules run after a delay; a negative delay counts as none.
func (l *loop) after(wait time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, event{at: l.now.Add(max(0, wait)), sequence: l.sequence, run: run})
}

// every schedules run periodically: first after the delay first, then once per period.
func (l *loop) every(first, period time.Duration, run func()) {
	l.after(first, func() {
		run()
		l.every(period, period, run)
	})
}

// runUntil runs the events up to end, or until stop returns true, and leaves the clock
// at end in both cases.
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

// log adds a line to the event log and to its digest, by which two runs can be compared,
// and keeps the latest lines.
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

// exponential returns a random duration from the exponential distribution with the mean.
func (l *loop) exponential(mean time.Duration) time.Duration {
	return time.Duration(l.random.ExpFloat64() * float64(mean))
}

// between returns a uniformly distributed random duration from low to high.
func (l *loop) between(low, high time.Duration) time.Duration {
	return low + time.Duration(l.random.Float64()*float64(high-low))
}
