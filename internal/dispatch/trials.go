package dispatch

import (
	"math"
	"time"

	"github.com/harriernotch/harriernotch/internal/routing"
)

// A withheld content or part gets no answer that could acquit it, and may only have been there as back ends crashed. So
// one request with it is sent after a wait, and one more after a longer wait if it fails. See
// docs/design/withheld-requests.md.

// trialSlot is the time between two draws of the gateways that may try a withheld content or part. They send in the first
// half of the slot; in the second half, the record of a trial reaches the others.
const trialSlot = 2 * time.Second

// trialSchedule says when a withheld content or part is tried.
type trialSchedule struct {
	// delays are the times from the last crash or trial to the next trial. There are so few because operators allow only
	// three more requests to reach back ends.
	delays []time.Duration
	// growth is the factor by which the number of drawn gateways grows with each slot without a trial.
	growth float64
}

var (
	// suspectTrials is the schedule of a content or part that may be the cause.
	suspectTrials = trialSchedule{delays: []time.Duration{15 * time.Second, 2 * time.Minute}, growth: 1.25}
	// companionTrials is the schedule of one all of whose crashes another withheld part explains, in requests without
	// that other one. They are probably sound, and wait for the trial.
	companionTrials = trialSchedule{delays: []time.Duration{2 * time.Second, 15 * time.Second}, growth: 4}
)

// noteTrial records that a request with withheld contents or parts is sent. It is a trial of the contents, and of those
// parts whose crashes no other part of the request explains.
func (c *Core) noteTrial(now time.Time, x *Exchange) {
	for _, record := range c.withheldContents(now, x) {
		c.crashes.tried(now, record)
	}
	records := c.withheldParts(now, x)
	for i, record := range records {
		if !explainedWithin(records, i) {
			c.crashes.tried(now, record)
		}
	}
}

// tried records a trial of a content or part.
func (m *crashMemory) tried(now time.Time, record *crashRecord) {
	record.trials++
	record.lastAt = now
	m.markChanged(record)
}

// mayTry reports whether this gateway may send the request with the withheld content or part, to learn whether that still
// crashes back ends.
func (c *Core) mayTry(now time.Time, x *Exchange, record *crashRecord) bool {
	schedule := suspectTrials
	if c.isCompanion(x, record) {
		schedule = companionTrials
	}
	if record.trials >= len(schedule.delays) {
		return false
	}
	waited := now.Sub(record.lastAt) - schedule.delays[record.trials]
	if waited < 0 || now.UnixNano()%int64(trialSlot) >= int64(trialSlot/2) {
		return false
	}
	drawn := int(min(math.Pow(schedule.growth, float64(waited/trialSlot)), float64(len(c.selection.others)+1)))
	return c.selection.draws(now, uint64(record.fingerprint)^uint64(now.UnixNano()/int64(trialSlot)), drawn)
}

// draws reports whether this gateway is one of the count gateways that are drawn for the key.
func (s *gatewaySelection) draws(now time.Time, key uint64, count int) bool {
	if !s.isSettled(now) || s.mayBePartitioned(now) {
		return false
	}
	own := routing.Weight(s.self, key)
	before := 0
	for _, other := range s.others {
		if routing.Weight(other, key) > own {
			before++
		}
	}
	return before < count
}
