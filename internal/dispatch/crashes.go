package dispatch

import (
	"cmp"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// crashMemory remembers which requests were under way at back ends when these crashed, by the
// content of the request: one that crashes whatever runs it comes again under another ID, at
// any gateway, and each time takes with it all that runs beside it.
//
// What is known of a crash only rises (see evidence), and records are merged by the higher
// evidence of each crash. So gateways that were told the same in any order agree, and news
// that goes round ends where it is known.
type crashMemory struct {
	// suspected are contents under which fewer than crashesToWithhold back ends crashed, and
	// withheld the others: a zone that fails at once must not push out the few that matter.
	suspected *lru.Cache[Fingerprint, *crashRecord]
	withheld  *lru.Cache[Fingerprint, *crashRecord]
	// untold are crashes that may yet turn out to be none, the oldest first.
	unpublished []unpublishedCrash
	// brokeAt is when requests last broke off at incarnations that weren't heard of since.
	lostAt map[incarnationKey]time.Time
	// changes numbers the changes that peers are told of.
	changes uint64
	// changed are the contents that became withheld, or are no longer, since they were taken.
	withheldChanges []WithheldChange
}

// incarnationKey stands for one life of a back end among gateways: its ID and its start.
type incarnationKey uint32

// evidence is what is known of one crash. Higher values replace lower ones.
type evidence uint8

const (
	// presumed: the connection broke off, and nothing has been heard of the back end since.
	presumed evidence = iota + 1
	// survived: the back end has answered another request since, so it hadn't crashed.
	survived
	// confirmed: no connection could be made since, or another incarnation was met.
	confirmed
	// acquitted: the same content has been answered whole since.
	cleared
)

// counts tells whether the evidence speaks against the content.
func (e evidence) countsAsCrash() bool { return e == presumed || e == confirmed }

const (
	// crashesToWithhold is the number of back ends that must have crashed under a content
	// until it is withheld. Fewer would withhold more requests that were merely there: of
	// 16 back ends that crashed in ten seconds, 20 other requests met two and 5 met three.
	crashesToWithhold = 3
	// crashesPerRecord bounds those remembered of a content.
	crashesPerRecord = 8
	// rememberedSuspects and rememberedWithheld bound the contents.
	maxSuspected = 1024
	maxWithheld  = 4096
	// crashSettles is how long a presumed crash isn't told: a back end that only dropped
	// connections answers something meanwhile, and hundreds of records needn't be told.
	crashPublishDelay = 500 * time.Millisecond
	// mostBroken bounds the incarnations that are waited for.
	maxAwaited = 4096
	// withheldTime is how long a content is withheld after the last crash under it.
	withholdTime = 24 * time.Hour
)

// crash is one back end's end under requests of a content.
type crash struct {
	incarnation incarnationKey
	evidence    evidence
	// isTold is false while it may yet turn out to be none, and isOwn is true where this
	// gateway observed it itself.
	isPublished bool
	isLocal     bool
}

// crashRecord is what is known of one content.
type crashRecord struct {
	fingerprint Fingerprint
	crashes     []crash
	// lastAt is when the last crash was noted.
	lastAt time.Time
	// change is the number of the record's last change.
	change uint64
}

// untoldCrash names a crash that isn't told yet.
type unpublishedCrash struct {
	fingerprint Fingerprint
	incarnation incarnationKey
	publishAt   time.Time
}

func newCrashMemory() *crashMemory {
	suspected, err := lru.New[Fingerprint, *crashRecord](maxSuspected)
	if err != nil {
		panic(err) // the size is fixed and above 0
	}
	withheld, err := lru.New[Fingerprint, *crashRecord](maxWithheld)
	if err != nil {
		panic(err) // the size is fixed and above 0
	}
	return &crashMemory{suspected: suspected, withheld: withheld, lostAt: map[incarnationKey]time.Time{}}
}

// isEmpty tells whether nothing is known of any content.
func (m *crashMemory) isEmpty() bool { return m.suspected.Len() == 0 && m.withheld.Len() == 0 }

func (m *crashMemory) get(fingerprint Fingerprint) *crashRecord {
	if record, known := m.withheld.Get(fingerprint); known {
		return record
	}
	record, _ := m.suspected.Get(fingerprint)
	return record
}

// obtain returns the record of a content, a new one if need be.
func (m *crashMemory) getOrCreate(fingerprint Fingerprint) *crashRecord {
	record := m.get(fingerprint)
	if record == nil {
		record = &crashRecord{fingerprint: fingerprint}
		m.suspected.Add(fingerprint, record)
	}
	return record
}

// broke notes that a request of the content broke off at the incarnation.
func (m *crashMemory) connectionLost(now time.Time, fingerprint Fingerprint, of incarnationKey) {
	record := m.getOrCreate(fingerprint)
	record.lastAt = now
	if len(m.lostAt) >= maxAwaited {
		clear(m.lostAt)
	}
	m.lostAt[of] = now
	if record.raise(crash{incarnation: of, evidence: presumed, isLocal: true}) {
		m.unpublished = append(m.unpublished, unpublishedCrash{fingerprint: fingerprint, incarnation: of, publishAt: now.Add(crashPublishDelay)})
	}
	m.classify(record, false)
}

// isBroken tells whether requests broke off at the incarnation, and nothing was heard of it since.
func (m *crashMemory) isAwaited(of incarnationKey) bool {
	_, awaited := m.lostAt[of]
	return awaited
}

// answered notes that the incarnation answered a request that was sent at the time, and tells
// whether requests had broken off there and nothing was heard of it for crashSettles since.
func (m *crashMemory) answered(now time.Time, of incarnationKey, sentAt time.Time) (wasAway bool) {
	lostAt, awaited := m.lostAt[of]
	if !awaited || !sentAt.After(lostAt) {
		return false
	}
	delete(m.lostAt, of)
	m.raiseEvidence(of, survived)
	return now.Sub(lostAt) >= crashPublishDelay
}

// confirm notes that the incarnation is no longer there, and tells whether requests broke off
// at it before.
func (m *crashMemory) confirmGone(of incarnationKey) bool {
	if _, awaited := m.lostAt[of]; !awaited {
		return false
	}
	delete(m.lostAt, of)
	m.raiseEvidence(of, confirmed)
	return true
}

// judge raises the evidence of all crashes of the incarnation.
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

// acquit notes that a request of the content was answered whole.
func (m *crashMemory) clearContent(fingerprint Fingerprint) {
	record := m.get(fingerprint)
	if record == nil {
		return
	}
	raised := false
	for _, each := range record.crashes {
		raised = record.raise(crash{incarnation: each.incarnation, evidence: cleared, isPublished: true}) || raised
	}
	if raised {
		m.markChanged(record)
		m.classify(record, false)
	}
}

// settle lets peers be told of the crashes whose time to turn out to be none has passed.
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

// merge takes what a peer told of a content.
func (m *crashMemory) merge(now time.Time, received CrashRecord) {
	record := m.getOrCreate(received.Fingerprint)
	raised := false
	for i, each := range received.Incarnations[:min(len(received.Incarnations), len(received.Evidence))] {
		found := evidence(received.Evidence[i])
		if found < presumed || found > cleared {
			continue
		}
		raised = record.raise(crash{incarnation: incarnationKey(each), evidence: found, isPublished: true}) || raised
	}
	if at := time.Unix(min(received.LastAt, now.Unix()), 0); at.After(record.lastAt) {
		record.lastAt = at
	}
	if raised {
		m.markChanged(record)
		m.classify(record, true)
	}
}

// note numbers a change of the record.
func (m *crashMemory) markChanged(record *crashRecord) {
	m.changes++
	record.change = m.changes
}

// classify keeps the record among the withheld ones or the others; isTold is true after a peer's
// word.
func (m *crashMemory) classify(record *crashRecord, isFromPeer bool) {
	fingerprint, crashes := record.fingerprint, record.crashCount()
	isWithheld, wasWithheld := crashes >= crashesToWithhold, m.withheld.Contains(fingerprint)
	if isWithheld == wasWithheld {
		return
	}
	if isWithheld {
		m.suspected.Remove(fingerprint)
		m.withheld.Add(fingerprint, record)
	} else {
		m.withheld.Remove(fingerprint)
		m.suspected.Add(fingerprint, record)
	}
	isOwn := isWithheld && record.hasLocal() || !isWithheld && !isFromPeer
	m.withheldChanges = append(m.withheldChanges, WithheldChange{Record: record.export(), Withheld: isWithheld, Own: isOwn})
}

// withholds tells whether requests of the content are withheld.
func (m *crashMemory) withholds(now time.Time, fingerprint Fingerprint) bool {
	record, withheld := m.withheld.Get(fingerprint)
	if !withheld {
		return false
	}
	if now.Sub(record.lastAt) > withholdTime {
		m.withheld.Remove(fingerprint)
		m.withheldChanges = append(m.withheldChanges, WithheldChange{Record: record.export(), Own: true})
		return false
	}
	return true
}

func (m *crashMemory) records() []*crashRecord {
	return append(m.suspected.Values(), m.withheld.Values()...)
}

// since returns at most so many records that changed after the number, in the order of their
// change, and the number to go on from.
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

func (r *crashRecord) index(of incarnationKey) int {
	return slices.IndexFunc(r.crashes, func(each crash) bool { return each.incarnation == of })
}

// raise takes a crash whose evidence is higher than what is known of it, and tells whether
// anything changed. Where there are too many, one that speaks against the content takes the
// place of one that doesn't.
func (r *crashRecord) raise(found crash) bool {
	if at := r.index(found.incarnation); at >= 0 {
		if r.crashes[at].evidence >= found.evidence {
			return false
		}
		found.isLocal = found.isLocal || r.crashes[at].isLocal
		r.crashes[at] = found
		return true
	}
	if len(r.crashes) < crashesPerRecord {
		r.crashes = append(r.crashes, found)
		return true
	}
	spare := slices.IndexFunc(r.crashes, func(each crash) bool { return !each.evidence.countsAsCrash() })
	if spare < 0 || !found.evidence.countsAsCrash() {
		return false
	}
	r.crashes[spare] = found
	return true
}

// hasOwn tells whether this gateway observed any of the crashes.
func (r *crashRecord) hasLocal() bool {
	return slices.ContainsFunc(r.crashes, func(each crash) bool { return each.isLocal })
}

// counted returns the number of crashes that speak against the content.
func (r *crashRecord) crashCount() int {
	count := 0
	for _, each := range r.crashes {
		if each.evidence.countsAsCrash() {
			count++
		}
	}
	return count
}

// told returns what peers are told: all but the crashes that may yet turn out to be none.
func (r *crashRecord) published() CrashRecord {
	return r.filtered(func(each crash) bool { return each.isPublished })
}

// whole returns all that is known.
func (r *crashRecord) export() CrashRecord { return r.filtered(func(crash) bool { return true }) }

func (r *crashRecord) filtered(includes func(crash) bool) CrashRecord {
	exported := CrashRecord{Fingerprint: r.fingerprint, LastAt: r.lastAt.Unix()}
	for _, each := range r.crashes {
		if includes(each) {
			exported.Incarnations = append(exported.Incarnations, uint32(each.incarnation))
			exported.Evidence = append(exported.Evidence, uint8(each.evidence))
		}
	}
	return exported
}
