package dispatch

import (
	"math"
	"slices"
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
	// acquitRefreshTime is how long after the last crash under a part the times of further answers are sent to peers, at
	// most once in half of acquitWindow.
	acquitRefreshTime = 5 * time.Second
	// trialSlot is the time between two draws of the gateways that may try a withheld content or part. They send in the first half
	// of the slot; in the second half, the record of a trial reaches the others.
	trialSlot = 2 * time.Second
)

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

// acquit clears all known crashes under the part, because an answer began at the time. Those that aren't published yet are
// removed instead: others that know them have the time or learn it.
func (m *crashMemory) acquit(now time.Time, record *crashRecord, begunAt time.Time, isFromPeer bool) {
	record.crashes = slices.DeleteFunc(record.crashes, func(each crash) bool { return !each.isPublished })
	raised := record.clear()
	isDue := len(record.crashes) > 0 && now.Sub(record.lastAt) < acquitRefreshTime && begunAt.Sub(record.begunAt) >= acquitWindow/2
	if raised || isDue {
		record.begunAt = later(record.begunAt, begunAt)
		m.markChanged(record)
	}
	m.classify(record, isFromPeer)
	if len(record.crashes) == 0 {
		m.parts.suspected.Remove(record.fingerprint)
	}
}

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

// withheldParts returns the records of the request's withheld parts.
func (c *Core) withheldParts(now time.Time, x *Exchange) []*crashRecord {
	if c.crashes.parts.withheld.Len() == 0 {
		return nil
	}
	var records []*crashRecord
	for _, part := range x.sharedParts() {
		if c.crashes.withholds(now, part) {
			records = append(records, c.crashes.parts.get(part))
		}
	}
	return records
}

// withholdsPart reports whether the request has a withheld part and isn't a trial of it. Only a first attempt is a trial.
func (c *Core) withholdsPart(now time.Time, x *Exchange) bool {
	records := c.withheldParts(now, x)
	if len(records) > 0 && x.attempts > 0 {
		return true
	}
	for i, record := range records {
		if !explainedWithin(records, i) && !c.mayTry(now, x, record) {
			return true
		}
	}
	return false
}

// explainedWithin reports whether another part of a request explains the crashes under the part at the index: it was there
// each time, and at further crashes or further on in the prompt. The parts are in the order of the prompt.
func explainedWithin(records []*crashRecord, index int) bool {
	record := records[index]
	for i, other := range records {
		if i != index && other.covers(record) && (i > index || !record.covers(other)) {
			return true
		}
	}
	return false
}

// isCompanion reports whether a withheld part that the request doesn't have explains the crashes under the content or part.
func (c *Core) isCompanion(x *Exchange, record *crashRecord) bool {
	return slices.ContainsFunc(c.crashes.parts.withheld.Values(), func(other *crashRecord) bool {
		return !slices.Contains(x.sharedParts(), other.fingerprint) && other.covers(record)
	})
}

// covers reports whether the crashes under the other part that count are all known under this one as well.
func (r *crashRecord) covers(other *crashRecord) bool {
	return !slices.ContainsFunc(other.crashes, func(each crash) bool { return each.evidence.countsAsCrash() && r.index(each.incarnation) < 0 })
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
