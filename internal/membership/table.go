package membership

import (
	"slices"
	"strings"
	"time"
)

// Config tunes a table.
type Config struct {
	// SilentAfter is how long a node may be silent before it is doubtful. It
	// must cover a few beats and the time that gossip takes. Default 4s.
	SilentAfter time.Duration
	// ForgetAfter is how long a silent node is kept. Default 10m.
	ForgetAfter time.Duration
	// UnreachableFor is how long a node stays doubtful after a failed
	// connection. Default 2s.
	UnreachableFor time.Duration
	// NoDamping trusts a flapping node at every return; for measurement.
	NoDamping bool
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{SilentAfter: 4 * time.Second, ForgetAfter: 10 * time.Minute, UnreachableFor: 2 * time.Second}
}

// Entry is the table's knowledge of one node.
type Entry struct {
	Record
	// At is the local time at which the record was made.
	RecordedAt time.Time

	damper           damper
	unreachableUntil time.Time
	// lost is set by the first sign of a loss and reset by the next sign of
	// life, so that one loss with many signs is one penalty.
	lossCounted bool
}

// noteLoss counts a loss once.
func (e *Entry) noteLoss(now time.Time) {
	if !e.lossCounted {
		e.lossCounted = true
		e.damper.addPenalty(now)
	}
}

// Table is one node's view of the fleet. It is not safe for concurrent use.
type Table struct {
	config  Config
	self    Record
	entries map[string]*Entry
	// ordered holds the entries in the order of their IDs, so that no decision
	// depends on the order of a map.
	ordered    []*Entry
	superseded bool
	version    uint64
}

// NewTable returns a table that knows the node itself.
func NewTable(config Config, self Record) *Table {
	self.Beat = 1
	return &Table{config: config, self: self, entries: map[string]*Entry{}}
}

// Self returns the node's own record.
func (t *Table) Self() Record { return t.self }

// Version changes whenever the table's content does.
func (t *Table) Version() uint64 { return t.version }

// Superseded tells whether another process with this node's ID and a higher
// incarnation was heard of: this one must take no new work.
func (t *Table) Superseded() bool { return t.superseded }

// Beat makes a new record of the node itself. number is its bundle's.
func (t *Table) UpdateSelf(state State, load uint32, number uint64) {
	t.self.State = max(t.self.State, state)
	t.self.Load = load
	t.self.Number = number
	t.self.Beat++
	t.version++
}

// Entry returns what is known of a node, or nil.
func (t *Table) Entry(id string) *Entry { return t.entries[id] }

// Entries calls visit for every known node in the order of their IDs.
func (t *Table) Entries(visit func(*Entry)) {
	for _, entry := range t.ordered {
		visit(entry)
	}
}

// Len returns the number of other nodes known.
func (t *Table) Len() int { return len(t.ordered) }

// Merge takes records that were received at the time. It returns the entries
// that are news.
func (t *Table) Merge(now time.Time, records []Record) []*Entry {
	var updated []*Entry
	for _, record := range records {
		if entry := t.mergeOne(now, record); entry != nil {
			updated = append(updated, entry)
		}
	}
	return updated
}

func (t *Table) mergeOne(now time.Time, record Record) *Entry {
	if record.ID == t.self.ID {
		t.mergeSelf(record)
		return nil
	}
	at := now.Add(-time.Duration(record.AgeMillis) * time.Millisecond)
	entry, known := t.entries[record.ID]
	if !known {
		entry = &Entry{Record: record}
		t.insert(entry)
	} else if !newer(record, entry.Record) {
		return nil
	}
	if known && record.Incarnation > entry.Incarnation && entry.Incarnation != 0 {
		entry.noteLoss(now) // a restart that was too quick to be noticed
	}
	entry.Record = record
	entry.RecordedAt = at
	entry.lossCounted = false
	t.version++
	return entry
}

// hearOfSelf takes what others say about this node: a higher incarnation means
// that another process took its place, a later state that it must leave.
func (t *Table) mergeSelf(record Record) {
	if record.Incarnation > t.self.Incarnation {
		t.superseded = true
	}
	if record.Incarnation == t.self.Incarnation && record.State > t.self.State {
		t.self.State = record.State
		t.version++
	}
}

func (t *Table) insert(entry *Entry) {
	t.entries[entry.ID] = entry
	at, _ := slices.BinarySearchFunc(t.ordered, entry.ID, func(e *Entry, id string) int { return strings.Compare(e.ID, id) })
	t.ordered = slices.Insert(t.ordered, at, entry)
}

// NoteUnreachable records that a connection to the node failed, also when the
// node was never heard of.
func (t *Table) MarkUnreachable(now time.Time, id string) {
	entry, known := t.entries[id]
	if !known {
		entry = &Entry{Record: Record{ID: id}, RecordedAt: now}
		t.insert(entry)
	}
	entry.noteLoss(now)
	entry.unreachableUntil = now.Add(t.config.UnreachableFor)
	t.version++
}

// IsUnreachable tells whether a connection to the node failed a moment ago.
func (t *Table) IsUnreachable(now time.Time, entry *Entry) bool {
	return now.Before(entry.unreachableUntil)
}

// NoteLeaving records that the node takes no new work, as it answered itself or
// as the machine list says. The news spreads with the node's record.
func (t *Table) MarkLeaving(id string) {
	if entry, known := t.entries[id]; known && entry.State < StateLeaving {
		entry.State = StateLeaving
		t.version++
	}
}

// Expire notes nodes that have fallen silent and forgets those silent for long.
func (t *Table) Expire(now time.Time) {
	t.ordered = slices.DeleteFunc(t.ordered, func(entry *Entry) bool {
		age := now.Sub(entry.RecordedAt)
		if age > t.config.SilentAfter && !entry.lossCounted {
			entry.noteLoss(now)
			t.version++
		}
		if age <= t.config.ForgetAfter {
			return false
		}
		delete(t.entries, entry.ID)
		t.version++
		return true
	})
}

// Liveness is a judgement of a node at one moment.
type Liveness uint8

// The values of Liveness.
const (
	// Live is heard from and serving.
	Alive Liveness = iota
	// Flapping is heard from and serving, but was lost several times of late.
	Flapping
	// Doubtful is silent or unreachable.
	Doubtful
	// Gone is leaving or has left.
	Leaving
)

// Liveness judges the entry.
func (t *Table) Liveness(now time.Time, entry *Entry) Liveness {
	switch {
	case entry.State != StateServing:
		return Leaving
	case now.Sub(entry.RecordedAt) > t.config.SilentAfter,
		t.IsUnreachable(now, entry):
		return Doubtful
	case !t.config.NoDamping && entry.damper.isSuppressed(now):
		return Flapping
	default:
		return Alive
	}
}

// Freshest returns up to limit records of the named nodes, the latest measured
// first. The node's own record comes before all others if it is named.
func (t *Table) Freshest(now time.Time, limit int, ids []string) []Record {
	var latest []*Entry
	var chosen []Record
	for _, id := range ids {
		if id == t.self.ID {
			chosen = append(chosen, t.self)
			continue
		}
		if entry, known := t.entries[id]; known {
			latest = insertLatest(latest, entry, limit)
		}
	}
	for _, entry := range latest {
		if len(chosen) >= limit {
			break
		}
		chosen = append(chosen, withAge(now, entry))
	}
	return chosen
}

// insertLatest keeps the list of the limit latest entries in order.
func insertLatest(latest []*Entry, entry *Entry, limit int) []*Entry {
	at := len(latest)
	for at > 0 && entry.RecordedAt.After(latest[at-1].RecordedAt) {
		at--
	}
	if at >= limit {
		return latest
	}
	latest = slices.Insert(latest, at, entry)
	return latest[:min(len(latest), limit)]
}

// aged returns the entry's record with its age at the moment of sending.
func withAge(now time.Time, entry *Entry) Record {
	record := entry.Record
	record.AgeMillis = uint32(max(0, now.Sub(entry.RecordedAt).Milliseconds()))
	return record
}
