package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/harriernotch/harriernotch/internal/clock"
)

// LagMeter measures how late this process runs due work. A gateway with too little CPU time
// reads answers late and would mistake its own delay for silence of the back ends. Its methods
// are safe for concurrent use.
type LagMeter struct {
	// clock counts the time during which the machine was suspended.
	clock *clock.Clock

	mutex sync.Mutex
	// worst holds the largest delay in each of the last slots, the newest last.
	worst [lagSlots]time.Duration
	// samples are the most recent delays, in no particular order.
	samples     [sustainedSamples]time.Duration
	sampleCount int
	// lastRanAt is the last time at which the process is known to have run. settledAt is when it
	// has caught up with what happened during a pause.
	lastRanAt time.Time
	settledAt time.Time
}

const (
	// samplePeriod is the time between two measurements.
	samplePeriod = 20 * time.Millisecond
	// lagSlots * lagSlot is how long a delay counts for Lag.
	lagSlots = 5
	lagSlot  = 200 * time.Millisecond
	// sustainedSamples is the number of consecutive samples that a sustained delay must show in.
	sustainedSamples = 4
	// normalLag is the usual delay of timers; shorter delays count as 0.
	normalLag = 10 * time.Millisecond
	// pauseThreshold is the shortest gap in running that counts as a pause of the process.
	// During a pause, zones may have been evacuated and restored, and back ends may have lost
	// their warm state. settleTime is the time after a pause in which the process reads what
	// peers and the store have sent. Without it, a resumed process sends requests to cold back
	// ends until it has read that they are cold, for example for 7 ms.
	pauseThreshold = time.Second
	settleTime     = 100 * time.Millisecond
)

// NewLagMeter returns a meter without any delay recorded.
func NewLagMeter(clock *clock.Clock) *LagMeter { return &LagMeter{clock: clock} }

// Run measures until done is closed, and calls observe after each change.
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

// SettleWait returns how long a decision must wait because the process was paused until a
// moment ago. It is usually 0. A gap between two calls shows a pause, so Run calls it too.
func (m *LagMeter) SettleWait(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.lastRanAt.IsZero() && now.Sub(m.lastRanAt) >= pauseThreshold {
		m.settledAt = now.Add(settleTime)
	}
	m.lastRanAt = now
	return max(0, m.settledAt.Sub(now))
}

// record adds a delay to the current slot, or to a new one if newSlot is set.
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

// Lag returns the largest delay of the last second; 0 if the process runs on time.
func (m *LagMeter) Lag() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	worst := time.Duration(0)
	for _, each := range m.worst {
		worst = max(worst, each)
	}
	return worst
}

// SustainedLag returns the smallest of the last few delays. It is 0 for a process that was
// late once, for example after a pause, and high for one that permanently has too little CPU
// time.
func (m *LagMeter) SustainedLag() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Min(m.samples[:])
}
