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
// counts them as sent. The node's own record goes first. Among the others those
// come first that the peer has never heard of or that changed state or
// incarnation, then the latest. Routers get a quarter of the places, so that
// neither a flood of new routers holds up the loads of agents, nor the loads of
// many agents the news of routers.
func (l *Link) Pending(now time.Time, table *Table, limit int, accept Filter) []Record {
	var records []Record
	if self := table.Self(); l.lacks(self) {
		records = append(records, self)
	}
	var agents, routers []pendingRecord
	table.Entries(func(entry *Entry) {
		if !l.lacks(entry.Record) {
			return
		}
		changed := l.has[entry.ID].incarnation != entry.Incarnation || entry.State != StateServing
		if !accept(entry.Record, changed) {
			return
		}
		candidate := pendingRecord{entry: entry, changed: changed}
		if entry.Role == RoleRouter {
			routers = append(routers, candidate)
		} else {
			agents = append(agents, candidate)
		}
	})
	for _, candidate := range share(agents, routers, limit-len(records)) {
		records = append(records, aged(now, candidate.entry))
	}
	l.Received(records)
	return records
}

type pendingRecord struct {
	entry   *Entry
	changed bool
}

// routerShare is the part of the places, one in so many, that routers get.
const routerShare = 4

// share divides the places between agents and routers. What one side doesn't
// need the other gets.
func share(agents, routers []pendingRecord, places int) []pendingRecord {
	slices.SortStableFunc(agents, comparePending)
	slices.SortStableFunc(routers, comparePending)
	reserved := min(len(routers), (places+routerShare-1)/routerShare)
	taken := agents[:min(len(agents), max(0, places-reserved))]
	left := max(0, places-len(taken))
	return append(taken, routers[:min(len(routers), left)]...)
}

func comparePending(a, b pendingRecord) int {
	if a.changed != b.changed {
		if a.changed {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.entry.At.UnixNano(), a.entry.At.UnixNano())
}
