package membership

import (
	"cmp"
	"slices"
	"time"
)

// position is the place of a record in its node's own order.
type position struct {
	incarnation Incarnation
	state       State
	beat        uint32
}

// Link is the gossip state towards one peer. It remembers which record of each
// node the peer has, so that every record crosses a link at most once in either
// direction.
type Link struct {
	has map[string]position
}

// NewLink returns the state of a fresh connection.
func NewLink() *Link { return &Link{has: map[string]position{}} }

// Received notes the records that came from the peer.
func (l *Link) Received(records []Record) {
	for _, record := range records {
		l.note(record)
	}
}

func (l *Link) note(record Record) {
	if l.lacks(record) {
		l.has[record.ID] = position{record.Incarnation, record.State, record.Beat}
	}
}

func (l *Link) lacks(record Record) bool {
	have := l.has[record.ID]
	return newer(record, Record{Incarnation: have.incarnation, State: have.state, Beat: have.beat})
}

// Filter tells whether a record should cross a link. changed says that the peer
// has not heard of this incarnation, or that the node no longer serves.
type Filter func(record Record, changed bool) bool

// Pending returns up to limit records that the peer lacks and accept takes, and
// counts them as sent. The node's own record goes first, then nodes that the
// peer has never heard of or that changed state or incarnation, agents before
// routers, then the latest loads.
func (l *Link) Pending(now time.Time, table *Table, limit int, accept Filter) []Record {
	var records []Record
	if self := table.Self(); l.lacks(self) {
		records = append(records, self)
	}
	var candidates []pendingRecord
	table.Entries(func(entry *Entry) {
		if !l.lacks(entry.Record) {
			return
		}
		changed := l.has[entry.ID].incarnation != entry.Incarnation || entry.State != StateServing
		if !accept(entry.Record, changed) {
			return
		}
		candidates = append(candidates, pendingRecord{entry: entry, changed: changed})
	})
	slices.SortStableFunc(candidates, comparePending)
	for _, candidate := range candidates {
		if len(records) >= limit {
			break
		}
		records = append(records, aged(now, candidate.entry))
	}
	l.Received(records)
	return records
}

type pendingRecord struct {
	entry   *Entry
	changed bool
}

func comparePending(a, b pendingRecord) int {
	if a.changed != b.changed {
		if a.changed {
			return -1
		}
		return 1
	}
	if a.changed && a.entry.Role != b.entry.Role {
		return cmp.Compare(a.entry.Role, b.entry.Role)
	}
	return cmp.Compare(b.entry.At.UnixNano(), a.entry.At.UnixNano())
}
