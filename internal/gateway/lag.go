package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/harriernotch/harriernotch/internal/clock"
)

// LagMeter tells how late this process runs what is due. A gateway that has less
// processor time than it needs reads answers late, and would take its own slowness
// for the silence of back ends. Its methods are safe for concurrent use.
type LagMeter struct {
	// clock shows a suspension of the machine as time that passed.
	clock *clock.Clock

	mutex sync.Mutex
	// worst holds the largest delay of each of the last slots, the newest last.
	worst [lagSlots]time.Duration
	// latest are the last delays, in no order.
	samples     [sustainedSamples]time.Duration
	sampleCount int
	// lookedAt is the last moment at which the process is known to have run, and settledAt
	// when it knows again what happened while it stood still.
	lastRanAt time.Time
	settledAt time.Time
}

const (
	// lagPeriod is the time between two looks at the clock.
	samplePeriod = 20 * time.Millisecond
	// lagSlots times lagSlot is how long a delay counts.
	lagSlots = 5
	lagSlot  = 200 * time.Millisecond
	// lastingLooks is the number of looks in a row that a lasting delay shows in.
	sustainedSamples = 4
	// ordinaryLag is the delay that timers have anyway.
	normalLag = 10 * time.Millisecond
	// standstill is how long a process must not have run to count as one that stood still:
	// meanwhile zones may have been evacuated and restored, and back ends have turned cold.
	// settleAfter is the time in which it then reads what its peers and the store have
	// told. A process sent to cold back ends for 7 ms after it woke.
	pauseThreshold = time.Second
	settleTime     = 100 * time.Millisecond
)

// NewLagMeter returns a meter that has seen no delay.
func NewLagMeter(clock *clock.Clock) *LagMeter { return &LagMeter{clock: clock} }

// Run measures until done is closed. It tells the observer of each change.
func (m *LagMeter) Run(done <-chan struct{}, observe func(lag, sustained time.Duration)) {
	timer := time.NewTimer(samplePeriod)
	defer timer.Stop()
	due := time.Now().Add(samplePeriod)
	slotEnds := due.Add(lagSlot)
	for {
		select {
		case <-timer.C:
		case <-done:
			return
		}
		now := time.Now()
		m.SettleWait(m.clock.Now())
		lag, sustained := m.Lag(), m.SustainedLag()
		m.record(now.Sub(due), now.After(slotEnds))
		if now.After(slotEnds) {
			slotEnds = now.Add(lagSlot)
		}
		if m.Lag() != lag || m.SustainedLag() != sustained {
			observe(m.Lag(), m.SustainedLag())
		}
		due = now.Add(samplePeriod)
		timer.Reset(samplePeriod)
	}
}

// Unsettled returns how long a decision must wait, since the process has stood still until a
// moment ago; 0 as a rule.
func (m *LagMeter) SettleWait(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.lastRanAt.IsZero() && now.Sub(m.lastRanAt) >= pauseThreshold {
		m.settledAt = now.Add(settleTime)
	}
	m.lastRanAt = now
	return max(0, m.settledAt.Sub(now))
}

// note takes a delay, into a new slot where the last one has ended.
func (m *LagMeter) record(late time.Duration, newSlot bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if newSlot {
		copy(m.worst[:], m.worst[1:])
		m.worst[lagSlots-1] = 0
	}
	if late < normalLag {
		late = 0
	}
	m.worst[lagSlots-1] = max(m.worst[lagSlots-1], late)
	m.samples[m.sampleCount%sustainedSamples] = late
	m.sampleCount++
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

// Lasting returns the smallest of the last few delays: it is 0 for a process that
// was late once, after a pause for example, and high for one that has less
// processor time than it needs.
func (m *LagMeter) SustainedLag() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Min(m.samples[:])
}
