package membership

import (
	"cmp"
	"slices"
	"time"
)

// position is the place of a record in its node's own order.
type recordVersion struct {
	incarnation Incarnation
	state       State
	beat        uint32
}

// Link is the gossip state towards one peer. It remembers which record of each
// node the peer has, so that every record crosses a link at most once in either
// direction.
type Link struct {
	known map[string]recordVersion
}

// NewLink returns the state of a fresh connection.
func NewLink() *Link { return &Link{known: map[string]recordVersion{}} }

// Received notes the records that came from the peer.
func (l *Link) Received(records []Record) {
	for _, record := range records {
		l.markKnown(record)
	}
}

func (l *Link) markKnown(record Record) {
	if l.peerLacks(record) {
		l.known[record.ID] = recordVersion{record.Incarnation, record.State, record.Beat}
	}
}

func (l *Link) peerLacks(record Record) bool {
	known := l.known[record.ID]
	return newer(record, Record{Incarnation: known.incarnation, State: known.state, Beat: known.beat})
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
func (l *Link) Pending(now time.Time, table *Table, limit int, filter Filter) []Record {
	var records []Record
	if self := table.Self(); l.peerLacks(self) {
		records = append(records, self)
	}
	var agents, routers []pendingRecord
	table.Entries(func(entry *Entry) {
		if !l.peerLacks(entry.Record) {
			return
		}
		changed := l.known[entry.ID].incarnation != entry.Incarnation || entry.State != StateServing
		if !filter(entry.Record, changed) {
			return
		}
		candidate := pendingRecord{entry: entry, changed: changed}
		if entry.Role == RoleRouter {
			routers = append(routers, candidate)
		} else {
			agents = append(agents, candidate)
		}
	})
	for _, candidate := range allocateSlots(agents, routers, limit-len(records)) {
		records = append(records, withAge(now, candidate.entry))
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
func allocateSlots(agents, routers []pendingRecord, slots int) []pendingRecord {
	slices.SortStableFunc(agents, comparePending)
	slices.SortStableFunc(routers, comparePending)
	reserved := min(len(routers), (slots+routerShare-1)/routerShare)
	taken := agents[:min(len(agents), max(0, slots-reserved))]
	left := max(0, slots-len(taken))
	return append(taken, routers[:min(len(routers), left)]...)
}

func comparePending(a, b pendingRecord) int {
	if a.changed != b.changed {
		if a.changed {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.entry.RecordedAt.UnixNano(), a.entry.RecordedAt.UnixNano())
}
