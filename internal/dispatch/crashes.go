package dispatch

import (
	"cmp"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// crashMemory remembers which requests were in flight at back ends when these crashed, by the
// content of the request and by the parts of its prompt: a caller sends a request that crashes back ends
// again under another ID, at any gateway. Each crash also ends all other requests running on that back end, so most
// of the remembered contents and parts are harmless.
//
// The evidence for a published crash only ever rises (see evidence), and records are merged by
// taking the higher evidence of each crash. So gateways that received the same reports agree,
// regardless of the order, and a report stops spreading where it is already known.
type crashMemory struct {
	// contents and parts hold the records of contents and of parts of prompts.
	contents, parts crashRecordSet
	// begun is when answers last began under the parts that this gateway has sent.
	begun *lru.Cache[Fingerprint, time.Time]
	// unpublished holds crashes that may still turn out not to be any, oldest first.
	unpublished []unpublishedCrash
	// lostAt is when a connection was last lost at each incarnation that hasn't answered since.
	lostAt map[incarnationKey]time.Time
	// ends holds the incarnations that have presumably ended: requests sent there later are no suspects.
	ends presumedEnds
	// changes is the sequence number of the last change that is published to peers.
	changes uint64
	// withheldChanges are the contents and parts that became withheld or were released since
	// TakeWithheldChanges was last called.
	withheldChanges []WithheldChange
}

// incarnationKey identifies an incarnation of a back end among gateways, by its ID and start
// time.
type incarnationKey uint32

// evidence is what is known of one presumed crash. Higher values replace lower ones.
type evidence uint8

const (
	// presumed: a connection was lost, and the back end hasn't answered since.
	presumed evidence = iota + 1
	// survived: the back end has answered a request that was sent since, so it hadn't crashed.
	survived
	// confirmed: a connection attempt has failed since, or another back end was found at the
	// address.
	confirmed
	// cleared: a request with the same content has been answered completely since, or an
	// operator has released the content.
	cleared
)

// countsAsCrash reports whether the evidence counts against the content.
func (e evidence) countsAsCrash() bool { return e == presumed || e == confirmed }

const (
	// crashesToWithhold is the number of back ends that must have crashed under a content
	// before it is withheld. Fewer would withhold unrelated requests: when 16 back ends crashed
	// within ten seconds, 20 other requests were in flight at two of them, and 5 at three.
	crashesToWithhold = 3
	// crashesPerRecord bounds the crashes remembered per content.
	crashesPerRecord = 8
	// maxSuspected and maxWithheld bound the contents remembered.
	maxSuspected = 1024
	maxWithheld  = 4096
	// crashPublishDelay is how long a presumed crash isn't published to peers. A back end that
	// only dropped connections answers a request in that time, which saves publishing hundreds
	// of records.
	crashPublishDelay = 500 * time.Millisecond
	// maxAwaited bounds the incarnations whose next answer is awaited. If there are more, all
	// earlier ones are forgotten.
	maxAwaited = 4096
	// withholdTime is how long a content is withheld after the last crash under it.
	withholdTime = 24 * time.Hour
)

// unpublishedCrash identifies a crash that isn't published yet.
type unpublishedCrash struct {
	fingerprint Fingerprint
	incarnation incarnationKey
	publishAt   time.Time
}

func newCrashMemory() *crashMemory {
	return &crashMemory{
		contents: newCrashRecordSet(maxSuspected, maxWithheld, crashesToWithhold),
		parts:    newCrashRecordSet(maxSuspectedParts, maxWithheldParts, partCrashesToWithhold),
		begun:    newCache[time.Time](maxBegunParts),
		lostAt:   map[incarnationKey]time.Time{},
		ends:     newPresumedEnds(),
	}
}

// isEmpty reports whether there is no record of any content or part.
func (m *crashMemory) isEmpty() bool { return m.contents.isEmpty() && m.parts.isEmpty() }

// recordsOf returns the records of parts or of contents.
func (m *crashMemory) recordsOf(isPart bool) *crashRecordSet {
	if isPart {
		return &m.parts
	}
	return &m.contents
}

// get returns the record of a content or part, or nil.
func (m *crashMemory) get(fingerprint Fingerprint) *crashRecord {
	if record := m.contents.get(fingerprint); record != nil {
		return record
	}
	return m.parts.get(fingerprint)
}

// getOrCreate returns the record of a content or part, which it creates if there is none.
func (m *crashMemory) getOrCreate(fingerprint Fingerprint, isPart bool) *crashRecord {
	records := m.recordsOf(isPart)
	record := records.get(fingerprint)
	if record == nil {
		record = &crashRecord{fingerprint: fingerprint, isPart: isPart}
		records.suspected.Add(fingerprint, record)
	}
	return record
}

// lost records that a connection was lost at the incarnation, and reports whether its request, sent at sentAt, may have
// crashed it: not if the incarnation had presumably ended before.
func (m *crashMemory) lost(now time.Time, of incarnationKey, sentAt time.Time) (mayHaveCrashed bool) {
	m.await(now, of)
	mayHaveCrashed = !m.ends.precedes(now, of, sentAt)
	m.ends.note(now, of)
	return mayHaveCrashed
}

// connectionLost records that the connection of a request with the content was lost at the
// incarnation.
func (m *crashMemory) connectionLost(now time.Time, content Fingerprint, of incarnationKey) {
	m.recordLoss(now, m.getOrCreate(content, false), of)
}

// partConnectionLost records that the connection of a request with the part was lost at the incarnation before it
// brought an event. It doesn't count if an answer to a prompt with the part has just begun.
func (m *crashMemory) partConnectionLost(now time.Time, part Fingerprint, of incarnationKey) {
	if now.Sub(m.lastBegun(part)) >= acquitWindow {
		m.recordLoss(now, m.getOrCreate(part, true), of)
	}
}

func (m *crashMemory) recordLoss(now time.Time, record *crashRecord, of incarnationKey) {
	record.lastAt = now
	m.await(now, of)
	if record.raise(crash{incarnation: of, evidence: presumed, isLocal: true}) {
		m.unpublished = append(m.unpublished, unpublishedCrash{fingerprint: record.fingerprint, incarnation: of, publishAt: now.Add(crashPublishDelay)})
	}
	m.classify(record, false)
}

// await records that the incarnation's next answer is awaited, because a connection was lost there.
func (m *crashMemory) await(now time.Time, of incarnationKey) {
	if len(m.lostAt) >= maxAwaited {
		clear(m.lostAt)
	}
	m.lostAt[of] = now
}

// awaitsAnswers reports whether an answer of any incarnation tells something about a lost connection.
func (m *crashMemory) awaitsAnswers() bool { return len(m.lostAt) > 0 || !m.ends.isEmpty() }

// isAwaited reports whether connections were lost at the incarnation and it hasn't answered since.
func (m *crashMemory) isAwaited(of incarnationKey) bool {
	_, awaited := m.lostAt[of]
	return awaited
}

// answered records that the incarnation answered a request sent at sentAt. It reports whether
// connections had been lost there and no answer had come for at least crashPublishDelay.
func (m *crashMemory) answered(now time.Time, of incarnationKey, sentAt time.Time) (wasAway bool) {
	m.ends.answered(of, sentAt)
	lostAt, awaited := m.lostAt[of]
	if !awaited || !sentAt.After(lostAt) {
		return false
	}
	delete(m.lostAt, of)
	m.raiseEvidence(of, survived)
	return now.Sub(lostAt) >= crashPublishDelay
}

// confirmGone records that the incarnation has ended, as far as is known, and reports whether
// connections had been lost at it before.
func (m *crashMemory) confirmGone(of incarnationKey) bool {
	if _, awaited := m.lostAt[of]; !awaited {
		return false
	}
	delete(m.lostAt, of)
	m.raiseEvidence(of, confirmed)
	return true
}

// raiseEvidence raises the evidence of all presumed crashes of the incarnation. Those that it
// survived and that aren't published yet are removed instead.
func (m *crashMemory) raiseEvidence(of incarnationKey, found evidence) {
	for _, record := range m.records() {
		at := record.index(of)
		if at < 0 {
			continue
		}
		if found == survived && !record.crashes[at].isPublished {
			record.crashes = slices.Delete(record.crashes, at, at+1)
			m.classify(record, false)
			continue
		}
		if record.crashes[at].evidence == presumed {
			record.raise(crash{incarnation: of, evidence: found, isPublished: true})
			m.markChanged(record)
			m.classify(record, false)
		}
	}
}

// clearContent records that a request with the content was answered completely, or that an
// operator released the content: its crashes so far no longer count.
func (m *crashMemory) clearContent(fingerprint Fingerprint) {
	record := m.get(fingerprint)
	if record == nil {
		return
	}
	if record.clear() {
		m.markChanged(record)
		m.classify(record, false)
	}
}

// publishDue publishes the crashes whose crashPublishDelay has passed.
func (m *crashMemory) publishDue(now time.Time) {
	for len(m.unpublished) > 0 && !now.Before(m.unpublished[0].publishAt) {
		due := m.unpublished[0]
		m.unpublished = m.unpublished[1:]
		record := m.get(due.fingerprint)
		if record == nil {
			continue
		}
		if at := record.index(due.incarnation); at >= 0 && !record.crashes[at].isPublished {
			record.crashes[at].isPublished = true
			m.markChanged(record)
		}
	}
}

// merge merges a record of a content from a peer or the store.
func (m *crashMemory) merge(now time.Time, received CrashRecord) {
	record := m.getOrCreate(received.Fingerprint, received.Part)
	raised := record.mergeTrials(now, received)
	for i, each := range received.Incarnations[:min(len(received.Incarnations), len(received.Evidence))] {
		found := evidence(received.Evidence[i])
		if found < presumed || found > cleared {
			continue
		}
		if record.raise(crash{incarnation: incarnationKey(each), evidence: found, isPublished: true}) {
			raised = true
			m.noteEvidence(now, incarnationKey(each), found)
		}
	}
	if at := time.Unix(min(received.LastAt, now.Unix()), 0); at.After(record.lastAt) {
		record.lastAt = at
	}
	if raised {
		m.markChanged(record)
		m.classify(record, true)
	}
	if begunAt := m.lastBegun(record.fingerprint); record.isPart && now.Sub(begunAt) < acquitWindow {
		m.acquit(now, record, begunAt, true)
	}
}

// noteEvidence records what a peer knows of the end of the incarnation.
func (m *crashMemory) noteEvidence(now time.Time, of incarnationKey, found evidence) {
	switch {
	case found.countsAsCrash():
		m.ends.note(now, of)
	case found == survived:
		m.ends.answered(of, now)
	}
}

// markChanged gives the record the next sequence number.
func (m *crashMemory) markChanged(record *crashRecord) {
	m.changes++
	record.change = m.changes
}

// classify moves the record between the suspected and the withheld ones as needed; isFromPeer
// is true after a record was merged.
func (m *crashMemory) classify(record *crashRecord, isFromPeer bool) {
	fingerprint, records := record.fingerprint, m.recordsOf(record.isPart)
	isWithheld, wasWithheld := record.crashCount() >= records.threshold, records.withheld.Contains(fingerprint)
	if isWithheld == wasWithheld {
		return
	}
	if isWithheld {
		records.suspected.Remove(fingerprint)
		records.withheld.Add(fingerprint, record)
	} else {
		records.withheld.Remove(fingerprint)
		records.suspected.Add(fingerprint, record)
	}
	// Several gateways acquit a part at the same moment; those that may have recorded it remove the record.
	isOwn := record.hasLocal() && (isWithheld || record.isPart) || !isWithheld && !isFromPeer
	m.withheldChanges = append(m.withheldChanges, WithheldChange{Record: record.export(), Withheld: isWithheld, Own: isOwn})
}

// withholds reports whether requests with the content or part are withheld. It releases one whose
// withholdTime has passed.
func (m *crashMemory) withholds(now time.Time, fingerprint Fingerprint) bool {
	record := m.get(fingerprint)
	if record == nil || !m.recordsOf(record.isPart).withheld.Contains(fingerprint) {
		return false
	}
	if now.Sub(record.lastAt) > withholdTime {
		m.recordsOf(record.isPart).withheld.Remove(fingerprint)
		m.withheldChanges = append(m.withheldChanges, WithheldChange{Record: record.export(), Own: true})
		return false
	}
	return true
}

// withheldAmong returns the records of the set that withhold one of the fingerprints. The fingerprints are computed
// only if the set withholds any.
func (m *crashMemory) withheldAmong(now time.Time, set *crashRecordSet, fingerprints func() []Fingerprint) []*crashRecord {
	if set.withheld.Len() == 0 {
		return nil
	}
	var records []*crashRecord
	for _, fingerprint := range fingerprints() {
		if m.withholds(now, fingerprint) {
			records = append(records, set.get(fingerprint))
		}
	}
	return records
}

func (m *crashMemory) records() []*crashRecord { return append(m.contents.list(), m.parts.list()...) }

// withheldKeys returns the fingerprints of the withheld contents and parts.
func (m *crashMemory) withheldKeys() []Fingerprint {
	return append(m.contents.withheld.Keys(), m.parts.withheld.Keys()...)
}

// isWithheld reports whether the content or part is withheld.
func (m *crashMemory) isWithheld(fingerprint Fingerprint) bool {
	return m.contents.withheld.Contains(fingerprint) || m.parts.withheld.Contains(fingerprint)
}

// changedSince returns at most limit records that changed after the cursor, in the order of
// their change, and the next cursor.
func (m *crashMemory) changedSince(cursor uint64, limit int) ([]CrashRecord, uint64) {
	if cursor >= m.changes {
		return nil, m.changes
	}
	var changed []*crashRecord
	for _, record := range m.records() {
		if record.change > cursor {
			changed = append(changed, record)
		}
	}
	slices.SortFunc(changed, func(a, b *crashRecord) int { return cmp.Compare(a.change, b.change) })
	next := m.changes
	if len(changed) > limit {
		changed = changed[:limit]
		next = changed[limit-1].change
	}
	list := make([]CrashRecord, len(changed))
	for i, record := range changed {
		list[i] = record.published()
	}
	return list, next
}
