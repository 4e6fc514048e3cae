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
	untold []untoldCrash
	// brokeAt is when requests last broke off at incarnations that weren't heard of since.
	brokeAt map[incarnationKey]time.Time
	// changes numbers the changes that peers are told of.
	changes uint64
	// changed are the contents that became withheld, or are no longer, since they were taken.
	changed []WithheldChange
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
	acquitted
)

// counts tells whether the evidence speaks against the content.
func (e evidence) counts() bool { return e == presumed || e == confirmed }

const (
	// crashesToWithhold is the number of back ends that must have crashed under a content
	// until it is withheld. Fewer would withhold more requests that were merely there: of
	// 16 back ends that crashed in ten seconds, 20 other requests met two and 5 met three.
	crashesToWithhold = 3
	// crashesPerRecord bounds those remembered of a content.
	crashesPerRecord = 8
	// rememberedSuspects and rememberedWithheld bound the contents.
	rememberedSuspects = 1024
	rememberedWithheld = 4096
	// crashSettles is how long a presumed crash isn't told: a back end that only dropped
	// connections answers something meanwhile, and hundreds of records needn't be told.
	crashSettles = 500 * time.Millisecond
	// mostBroken bounds the incarnations that are waited for.
	mostBroken = 4096
	// withheldTime is how long a content is withheld after the last crash under it.
	withheldTime = 24 * time.Hour
)

// crash is one back end's end under requests of a content.
type crash struct {
	incarnation incarnationKey
	evidence    evidence
	// isTold is false while it may yet turn out to be none, and isOwn is true where this
	// gateway observed it itself.
	isTold bool
	isOwn  bool
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
type untoldCrash struct {
	fingerprint Fingerprint
	incarnation incarnationKey
	until       time.Time
}

func newCrashMemory() *crashMemory {
	suspected, err := lru.New[Fingerprint, *crashRecord](rememberedSuspects)
	if err != nil {
		panic(err) // the size is fixed and above 0
	}
	withheld, err := lru.New[Fingerprint, *crashRecord](rememberedWithheld)
	if err != nil {
		panic(err) // the size is fixed and above 0
	}
	return &crashMemory{suspected: suspected, withheld: withheld, brokeAt: map[incarnationKey]time.Time{}}
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
func (m *crashMemory) obtain(fingerprint Fingerprint) *crashRecord {
	record := m.get(fingerprint)
	if record == nil {
		record = &crashRecord{fingerprint: fingerprint}
		m.suspected.Add(fingerprint, record)
	}
	return record
}

// broke notes that a request of the content broke off at the incarnation.
func (m *crashMemory) broke(now time.Time, fingerprint Fingerprint, at incarnationKey) {
	record := m.obtain(fingerprint)
	record.lastAt = now
	if len(m.brokeAt) >= mostBroken {
		clear(m.brokeAt)
	}
	m.brokeAt[at] = now
	if record.raise(crash{incarnation: at, evidence: presumed, isOwn: true}) {
		m.untold = append(m.untold, untoldCrash{fingerprint: fingerprint, incarnation: at, until: now.Add(crashSettles)})
	}
	m.classify(record, false)
}

// isBroken tells whether requests broke off at the incarnation, and nothing was heard of it since.
func (m *crashMemory) isBroken(at incarnationKey) bool {
	_, broken := m.brokeAt[at]
	return broken
}

// answered notes that the incarnation answered a request that was sent at the time, and tells
// whether requests had broken off there and nothing was heard of it for crashSettles since.
func (m *crashMemory) answered(now time.Time, by incarnationKey, sentAt time.Time) (wasAway bool) {
	brokeAt, waited := m.brokeAt[by]
	if !waited || !sentAt.After(brokeAt) {
		return false
	}
	delete(m.brokeAt, by)
	m.judge(by, survived)
	return now.Sub(brokeAt) >= crashSettles
}

// confirm notes that the incarnation is no longer there, and tells whether requests broke off
// at it before.
func (m *crashMemory) confirm(of incarnationKey) bool {
	if _, waited := m.brokeAt[of]; !waited {
		return false
	}
	delete(m.brokeAt, of)
	m.judge(of, confirmed)
	return true
}

// judge raises the evidence of all crashes of the incarnation.
func (m *crashMemory) judge(of incarnationKey, found evidence) {
	for _, record := range m.records() {
		at := record.index(of)
		if at < 0 {
			continue
		}
		if found == survived && !record.crashes[at].isTold {
			record.crashes = slices.Delete(record.crashes, at, at+1)
			m.classify(record, false)
			continue
		}
		if record.crashes[at].evidence == presumed {
			record.raise(crash{incarnation: of, evidence: found, isTold: true})
			m.note(record)
			m.classify(record, false)
		}
	}
}

// acquit notes that a request of the content was answered whole.
func (m *crashMemory) acquit(fingerprint Fingerprint) {
	record := m.get(fingerprint)
	if record == nil {
		return
	}
	raised := false
	for _, each := range record.crashes {
		raised = record.raise(crash{incarnation: each.incarnation, evidence: acquitted, isTold: true}) || raised
	}
	if raised {
		m.note(record)
		m.classify(record, false)
	}
}

// settle lets peers be told of the crashes whose time to turn out to be none has passed.
func (m *crashMemory) settle(now time.Time) {
	for len(m.untold) > 0 && !now.Before(m.untold[0].until) {
		due := m.untold[0]
		m.untold = m.untold[1:]
		record := m.get(due.fingerprint)
		if record == nil {
			continue
		}
		if at := record.index(due.incarnation); at >= 0 && !record.crashes[at].isTold {
			record.crashes[at].isTold = true
			m.note(record)
		}
	}
}

// merge takes what a peer told of a content.
func (m *crashMemory) merge(now time.Time, told CrashRecord) {
	record := m.obtain(told.Fingerprint)
	raised := false
	for i, each := range told.Incarnations[:min(len(told.Incarnations), len(told.Evidence))] {
		found := evidence(told.Evidence[i])
		if found < presumed || found > acquitted {
			continue
		}
		raised = record.raise(crash{incarnation: incarnationKey(each), evidence: found, isTold: true}) || raised
	}
	if at := time.Unix(min(told.LastAt, now.Unix()), 0); at.After(record.lastAt) {
		record.lastAt = at
	}
	if raised {
		m.note(record)
		m.classify(record, true)
	}
}

// note numbers a change of the record.
func (m *crashMemory) note(record *crashRecord) {
	m.changes++
	record.change = m.changes
}

// classify keeps the record among the withheld ones or the others; isTold is true after a peer's
// word.
func (m *crashMemory) classify(record *crashRecord, isTold bool) {
	fingerprint, crashes := record.fingerprint, record.counted()
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
	isOwn := isWithheld && record.hasOwn() || !isWithheld && !isTold
	m.changed = append(m.changed, WithheldChange{Record: record.whole(), Withheld: isWithheld, Own: isOwn})
}

// withholds tells whether requests of the content are withheld.
func (m *crashMemory) withholds(now time.Time, fingerprint Fingerprint) bool {
	record, withheld := m.withheld.Get(fingerprint)
	if !withheld {
		return false
	}
	if now.Sub(record.lastAt) > withheldTime {
		m.withheld.Remove(fingerprint)
		m.changed = append(m.changed, WithheldChange{Record: record.whole(), Own: true})
		return false
	}
	return true
}

func (m *crashMemory) records() []*crashRecord {
	return append(m.suspected.Values(), m.withheld.Values()...)
}

// since returns at most so many records that changed after the number, in the order of their
// change, and the number to go on from.
func (m *crashMemory) since(number uint64, most int) ([]CrashRecord, uint64) {
	if number >= m.changes {
		return nil, m.changes
	}
	var changed []*crashRecord
	for _, record := range m.records() {
		if record.change > number {
			changed = append(changed, record)
		}
	}
	slices.SortFunc(changed, func(a, b *crashRecord) int { return cmp.Compare(a.change, b.change) })
	reached := m.changes
	if len(changed) > most {
		changed = changed[:most]
		reached = changed[most-1].change
	}
	list := make([]CrashRecord, len(changed))
	for i, record := range changed {
		list[i] = record.told()
	}
	return list, reached
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
		found.isOwn = found.isOwn || r.crashes[at].isOwn
		r.crashes[at] = found
		return true
	}
	if len(r.crashes) < crashesPerRecord {
		r.crashes = append(r.crashes, found)
		return true
	}
	spare := slices.IndexFunc(r.crashes, func(each crash) bool { return !each.evidence.counts() })
	if spare < 0 || !found.evidence.counts() {
		return false
	}
	r.crashes[spare] = found
	return true
}

// hasOwn tells whether this gateway observed any of the crashes.
func (r *crashRecord) hasOwn() bool {
	return slices.ContainsFunc(r.crashes, func(each crash) bool { return each.isOwn })
}

// counted returns the number of crashes that speak against the content.
func (r *crashRecord) counted() int {
	count := 0
	for _, each := range r.crashes {
		if each.evidence.counts() {
			count++
		}
	}
	return count
}

// told returns what peers are told: all but the crashes that may yet turn out to be none.
func (r *crashRecord) told() CrashRecord {
	return r.with(func(each crash) bool { return each.isTold })
}

// whole returns all that is known.
func (r *crashRecord) whole() CrashRecord { return r.with(func(crash) bool { return true }) }

func (r *crashRecord) with(includes func(crash) bool) CrashRecord {
	told := CrashRecord{Fingerprint: r.fingerprint, LastAt: r.lastAt.Unix()}
	for _, each := range r.crashes {
		if includes(each) {
			told.Incarnations = append(told.Incarnations, uint32(each.incarnation))
			told.Evidence = append(told.Evidence, uint8(each.evidence))
		}
	}
	return told
}
