package membership

import (
	"slices"
	"strings"
	"time"
)

// Config holds the parameters of a table.
type Config struct {
	// SilentAfter is the age of a node's latest record above which the node is doubtful. It must
	// cover a few heartbeats and the time that gossip takes. Default 4s.
	SilentAfter time.Duration
	// ForgetAfter is the age of a node's latest record above which the node is removed. Default
	// 10m.
	ForgetAfter time.Duration
	// UnreachableFor is how long a node stays doubtful after a failed connection. Default 2s.
	UnreachableFor time.Duration
	// NoDamping disables flap damping, for measurements: a flapping node is trusted each time it
	// returns.
	NoDamping bool
}

// DefaultConfig returns the default parameters.
func DefaultConfig() Config {
	return Config{SilentAfter: 4 * time.Second, ForgetAfter: 10 * time.Minute, UnreachableFor: 2 * time.Second}
}

// Entry is the state of one other node in the table.
type Entry struct {
	Record
	// RecordedAt is when the record was created, by the local clock.
	RecordedAt time.Time

	damper           damper
	unreachableUntil time.Time
	// lossCounted is set by the first sign of a loss and cleared by the next newer record, so
	// that several signs of one loss add only one penalty.
	lossCounted bool
}

// noteLoss adds a penalty for a loss, once until the next newer record.
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
	// ordered holds the entries sorted by ID, so that no decision depends on the iteration order
	// of a map.
	ordered    []*Entry
	superseded bool
	version    uint64
}

// NewTable returns a table that has only the node's own record.
func NewTable(config Config, self Record) *Table {
	self.Beat = 1
	return &Table{config: config, self: self, entries: map[string]*Entry{}}
}

// Self returns the node's own record.
func (t *Table) Self() Record { return t.self }

// Version returns a number that changes with every change of the table's content. Superseded is not
// part of that content.
func (t *Table) Version() uint64 { return t.version }

// Superseded reports whether a record of another process with this node's ID and a higher
// incarnation was received. If so, this process must accept no new work.
func (t *Table) Superseded() bool { return t.superseded }

// UpdateSelf updates the node's own record and increments its beat. number is that of the node's
// bundle. The state never goes back.
func (t *Table) UpdateSelf(state State, load uint32, number uint64) {
	t.self.State = max(t.self.State, state)
	t.self.Load = load
	t.self.Number = number
	t.self.Beat++
	t.version++
}

// Entry returns the entry of another node, or nil if the node is unknown.
func (t *Table) Entry(id string) *Entry { return t.entries[id] }

// Entries calls visit for each of the other nodes, in the order of their IDs.
func (t *Table) Entries(visit func(*Entry)) {
	for _, entry := range t.ordered {
		visit(entry)
	}
}

// Len returns the number of other nodes in the table.
func (t *Table) Len() int { return len(t.ordered) }

// Merge merges records whose ages are relative to now, and returns the entries that were added or
// updated.
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
		entry.noteLoss(now) // count a restart that was too quick for the loss to be noticed
	}
	entry.Record = record
	entry.RecordedAt = at
	entry.lossCounted = false
	t.version++
	return entry
}

// mergeSelf merges a record of this node that others sent. A higher incarnation means that another
// process has taken its place. A later state of this incarnation means that it must leave.
func (t *Table) mergeSelf(record Record) {
	if record.Incarnation > t.self.Incarnation {
		t.superseded = true
	}
	if record.Incarnation == t.self.Incarnation && record.State > t.self.State {
		t.self.State = record.State
		t.version++
	}
}

// insert adds an entry and keeps ordered sorted.
func (t *Table) insert(entry *Entry) {
	t.entries[entry.ID] = entry
	at, _ := slices.BinarySearchFunc(t.ordered, entry.ID, func(e *Entry, id string) int { return strings.Compare(e.ID, id) })
	t.ordered = slices.Insert(t.ordered, at, entry)
}

// MarkUnreachable records that a connection to the node failed. It adds an entry if the node was
// never heard of.
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

// IsUnreachable reports whether a connection to the node failed within Config.UnreachableFor.
func (t *Table) IsUnreachable(now time.Time, entry *Entry) bool {
	return now.Before(entry.unreachableUntil)
}

// MarkLeaving records that the node accepts no new work, because it refused a request as leaving or
// the machine list shows it as leaving. The state spreads with the node's record.
func (t *Table) MarkLeaving(id string) {
	if entry, known := t.entries[id]; known && entry.State < StateLeaving {
		entry.State = StateLeaving
		t.version++
	}
}

// Expire counts the loss of nodes that have become silent, and removes those silent for longer than
// Config.ForgetAfter.
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

// Liveness is the assessment of a node at one moment.
type Liveness uint8

// The values of Liveness.
const (
	// Alive nodes are serving and were heard from recently.
	Alive Liveness = iota
	// Flapping nodes are serving and were heard from recently, but were lost several times within
	// a short time.
	Flapping
	// Doubtful nodes are silent or unreachable.
	Doubtful
	// Leaving nodes are leaving or have left.
	Leaving
)

// Liveness returns the assessment of the entry's node.
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

// Freshest returns up to limit records of the nodes with the given IDs, the latest first. If this
// node's own ID is among them, its record comes before all others.
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

// insertLatest inserts entry into latest, a list of at most limit entries with the latest first.
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

// withAge returns the entry's record with its age at now, the time of sending.
func withAge(now time.Time, entry *Entry) Record {
	record := entry.Record
	record.AgeMillis = uint32(max(0, now.Sub(entry.RecordedAt).Milliseconds()))
	return record
}
