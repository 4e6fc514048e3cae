package dispatch

import (
	"slices"
	"time"
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

// withheldParts returns the records of the request's withheld parts.
func (c *Core) withheldParts(now time.Time, x *Exchange) []*crashRecord {
	return c.crashes.withheldAmong(now, &c.crashes.parts, x.sharedParts)
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
