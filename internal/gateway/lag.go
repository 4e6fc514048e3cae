package gateway

import (
	"sync"
	"time"
)

// LagMeter tells how late this process runs what is due. A gateway that has less
// processor time than it needs reads answers late, and would take its own slowness
// for the silence of back ends. Its methods are safe for concurrent use.
type LagMeter struct {
	mutex sync.Mutex
	// worst holds the largest delay of each of the last slots, the newest last.
	worst [lagSlots]time.Duration
}

const (
	// lagPeriod is the time between two looks at the clock.
	lagPeriod = 20 * time.Millisecond
	// lagSlots times lagSlot is how long a delay counts.
	lagSlots = 5
	lagSlot  = 200 * time.Millisecond
	// ordinaryLag is the delay that timers have anyway.
	ordinaryLag = 10 * time.Millisecond
)

// NewLagMeter returns a meter that has seen no delay.
func NewLagMeter() *LagMeter { return &LagMeter{} }

// Run measures until done is closed. It tells each new value to the observer.
func (m *LagMeter) Run(done <-chan struct{}, observe func(lag time.Duration)) {
	timer := time.NewTimer(lagPeriod)
	defer timer.Stop()
	due := time.Now().Add(lagPeriod)
	slotEnds := due.Add(lagSlot)
	for {
		select {
		case <-timer.C:
		case <-done:
			return
		}
		now := time.Now()
		before := m.Lag()
		m.note(now.Sub(due), now.After(slotEnds))
		if now.After(slotEnds) {
			slotEnds = now.Add(lagSlot)
		}
		if after := m.Lag(); after != before {
			observe(after)
		}
		due = now.Add(lagPeriod)
		timer.Reset(lagPeriod)
	}
}

// note takes a delay, into a new slot where the last one has ended.
func (m *LagMeter) note(late time.Duration, newSlot bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if newSlot {
		copy(m.worst[:], m.worst[1:])
		m.worst[lagSlots-1] = 0
	}
	if late < ordinaryLag {
		late = 0
	}
	m.worst[lagSlots-1] = max(m.worst[lagSlots-1], late)
}

// Lag returns the largest delay of the last second; 0 on a process that keeps time.
func (m *LagMeter) Lag() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	worst := time.Duration(0)
	for _, each := range m.worst {
		worst = max(worst, each)
	}
	return worst
}
