package dispatch

import (
	"math"
	"time"

	"github.com/harriernotch/harriernotch/internal/routing"
)

// A part of prompts may crash each back end that begins to write an answer on it, in requests that are otherwise all
// different. The suspects of a crash are the shared parts of the requests that had brought no event there; an answer
// that begins anywhere acquits the parts of its prompt. See docs/design/withheld-requests.md.

const (
	// partCrashesToWithhold is the number of back ends that must have crashed under a part before it is withheld. It is
	// one below the number that operators allow, because evidence needs time to reach all gateways.
	partCrashesToWithhold = 4
	// maxSuspectedParts, maxWithheldParts and maxBegunParts bound the parts remembered.
	maxSuspectedParts = 4096
	maxWithheldParts  = 1024
	maxBegunParts     = 8192
	// acquitWindow is how long after the beginning of an answer a crash doesn't count against the answer's parts. It
	// exceeds the time that a crash, and the acquittal from it, take to reach all gateways of a large fleet.
	acquitWindow = 2 * time.Second
	// acquitRefreshTime is how long after the last crash under a part peers are told of further answers, at most once in
	// half of acquitWindow.
	acquitRefreshTime = 5 * time.Second
	// trialSlot is the time between two draws of the gateways that may try a withheld part. They send in the first half
	// of the slot; in the second half, the news of a trial reaches the others.
	trialSlot = 2 * time.Second
	// trialGrowth is the factor by which the number of drawn gateways grows with each slot without a trial.
	trialGrowth = 1.25
)

// trialDelays are the times from the last crash or trial to the next trial. There are so few because operators allow
// only three more requests to reach back ends.
var trialDelays = []time.Duration{15 * time.Second, 2 * time.Minute}

// sharedParts returns the fingerprints of the parts that the request shares with others.
func (x *Exchange) sharedParts() []Fingerprint {
	if x.partFingerprints == nil {
		x.partFingerprints = PartFingerprints(x.service, x.request.Parts)
	}
	return x.partFingerprints
}

// AnswerBegan records that the current attempt has brought an event of its stream, or a complete answer. So the parts of
// the request don't crash back ends.
func (c *Core) AnswerBegan(now time.Time, x *Exchange) {
	if x.began || c.config.Disabled[Withholding] {
		return
	}
	x.began = true
	for _, part := range x.sharedParts() {
		c.crashes.partBegan(now, part)
	}
}

// partBegan records that an answer to a prompt with the part began.
func (m *crashMemory) partBegan(now time.Time, part Fingerprint) {
	m.begun.Add(part, now)
	if record := m.parts.get(part); record != nil {
		m.acquit(now, record, now, false)
	}
}

// lastBegun returns when an answer last began under the part, as far as is known.
func (m *crashMemory) lastBegun(part Fingerprint) time.Time {
	own, _ := m.begun.Peek(part)
	if record := m.parts.get(part); record != nil {
		return later(own, record.begunAt)
	}
	return own
}

// acquit clears all known crashes under the part, because an answer began at the time.
func (m *crashMemory) acquit(now time.Time, record *crashRecord, begunAt time.Time, isFromPeer bool) {
	raised := record.clear()
	isDue := now.Sub(record.lastAt) < acquitRefreshTime && begunAt.Sub(record.begunAt) >= acquitWindow/2
	if !raised && !isDue {
		return
	}
	record.begunAt = later(record.begunAt, begunAt)
	m.markChanged(record)
	m.classify(record, isFromPeer)
}

// noteTrial records that a request with withheld parts is sent.
func (c *Core) noteTrial(now time.Time, x *Exchange) {
	if c.crashes.parts.withheld.Len() == 0 {
		return
	}
	for _, part := range x.sharedParts() {
		if record, isWithheld := c.crashes.parts.withheld.Peek(part); isWithheld {
			record.trials++
			record.lastAt = now
			c.crashes.markChanged(record)
		}
	}
}

// withholdsPart reports whether the request has a withheld part and isn't a trial of it. Only a first attempt is a trial.
func (c *Core) withholdsPart(now time.Time, x *Exchange) bool {
	if c.crashes.parts.withheld.Len() == 0 {
		return false
	}
	for _, part := range x.sharedParts() {
		if c.crashes.withholds(now, part) && (x.attempts > 0 || !c.mayTry(now, c.crashes.parts.get(part))) {
			return true
		}
	}
	return false
}

// mayTry reports whether this gateway may send a request with the withheld part, to learn whether it still crashes back
// ends.
func (c *Core) mayTry(now time.Time, record *crashRecord) bool {
	if record.trials >= len(trialDelays) {
		return false
	}
	waited := now.Sub(record.lastAt) - trialDelays[record.trials]
	if waited < 0 || now.UnixNano()%int64(trialSlot) >= int64(trialSlot/2) {
		return false
	}
	drawn := int(min(math.Pow(trialGrowth, float64(waited/trialSlot)), float64(len(c.selection.others)+1)))
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
