package membership

import (
	"cmp"
	"slices"
	"time"
)

// recordVersion is the part of a record that orders the records of one node; see newer.
type recordVersion struct {
	incarnation Incarnation
	state       State
	beat        uint32
}

// Link is the gossip state of a connection to one peer. It tracks which record of each node the
// peer has, so that a record that crossed the link in either direction is not sent again.
type Link struct {
	known map[string]recordVersion
}

// NewLink returns the state of a new connection.
func NewLink() *Link { return &Link{known: map[string]recordVersion{}} }

// Received marks records that came from the peer as known to it.
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

// Filter reports whether a record should be sent on a link. changed is true if the peer does not
// know this incarnation of the node, or if the node no longer serves.
type Filter func(record Record, changed bool) bool

// Pending returns up to limit records that the peer lacks and the filter accepts, and marks them as
// sent. The node's own record comes first and is not filtered. The others are divided between
// agents and routers: a quarter of the slots is reserved for routers, so that neither many new
// routers delay the loads of agents, nor the loads of many agents delay the records of routers.
// Within each group, changed records (see Filter) come first, then the latest.
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

// routerShare reserves one slot in this many for routers.
const routerShare = 4

// allocateSlots divides the slots between agents and routers. Slots that one group does not need
// go to the other.
func allocateSlots(agents, routers []pendingRecord, slots int) []pendingRecord {
	slices.SortStableFunc(agents, comparePending)
	slices.SortStableFunc(routers, comparePending)
	reserved := min(len(routers), (slots+routerShare-1)/routerShare)
	taken := agents[:min(len(agents), max(0, slots-reserved))]
	left := max(0, slots-len(taken))
	return append(taken, routers[:min(len(routers), left)]...)
}

// comparePending orders changed records before others, and later ones before earlier ones.
func comparePending(a, b pendingRecord) int {
	if a.changed != b.changed {
		if a.changed {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.entry.RecordedAt.UnixNano(), a.entry.RecordedAt.UnixNano())
}
