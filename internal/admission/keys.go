package admission

import (
	"container/list"
	"time"
)

// Key is a caller's idempotency key on a non-repeatable request.
type Key struct {
	// Value identifies the key and includes the tenant.
	Value string
	// Issued is the time of issue that the key itself carries.
	Issued time.Time
	// Digest is a hash of the request. It detects a key that is reused for another one.
	Digest uint64
}

// Outcome is the result of the first run under a key.
type Outcome struct {
	// Known is false if no complete answer was received, so the request may have run, in
	// whole or in part.
	Known bool
	// Reply is the stored reply of the gate's owner, opaque to the gate. It is nil if the
	// reply was too large to store, or was dropped to limit the memory of all replies.
	Reply any
	// Size is the memory used by Reply, in bytes.
	Size int
}

// verdict says how to handle a request with a key.
type verdict uint8

const (
	verdictRun verdict = iota
	verdictReplay
	verdictInProgress
	verdictReused
	verdictUnknown
	verdictFuture
)

// KeyTableConfig configures the table of idempotency keys.
type KeyTableConfig struct {
	// StartedAt is when this agent started with an empty table.
	StartedAt time.Time
	// ClockError is the largest difference between two machines' clocks.
	ClockError time.Duration
	// Retention is how long an outcome is kept.
	Retention time.Duration
	// Capacity is the number of keys above which the oldest finished ones are removed.
	Capacity int
	// MaxReplyBytes bounds the memory of all stored replies. The oldest replies are
	// dropped first; the table still records that their keys ran.
	MaxReplyBytes int
	// Disabled stores nothing. It is set only by tests that verify that the checkers
	// detect repeated runs.
	Disabled bool
}

// keyTable makes every key run at most once on this agent.
//
// The table is not persistent, so it can't know what ran before the agent started.
// Instead it relies on the time of issue: it accepts a key only if that was issued
// more than two clock errors after the start. An earlier incarnation accepted keys
// only before this start, and refused those issued more than one clock error after
// its own time as dated in the future. So every key that it accepted was issued at
// most one clock error after this start. The second clock error covers a machine whose
// clock was changed in between. No key can be accepted by both incarnations.
type keyTable struct {
	config  KeyTableConfig
	entries map[string]*keyEntry
	// order holds the entries in the order in which they were added.
	order *list.List
	// forgottenUpTo is the latest time of issue of which the table doesn't know whether
	// the key ran: only keys issued later are accepted.
	forgottenUpTo time.Time
	// replyBytes is the memory of the stored replies.
	replyBytes int
}

type keyEntry struct {
	key     Key
	done    bool
	outcome Outcome
	element *list.Element
}

func newKeyTable(config KeyTableConfig) *keyTable {
	return &keyTable{
		config:        config,
		entries:       map[string]*keyEntry{},
		order:         list.New(),
		forgottenUpTo: config.StartedAt.Add(2 * config.ClockError),
	}
}

// begin returns the verdict on a request with a key. On verdictRun it records the key.
func (t *keyTable) begin(now time.Time, key Key) (verdict, Outcome) {
	if t.config.Disabled {
		return verdictRun, Outcome{}
	}
	t.expire(now)
	if entry, known := t.entries[key.Value]; known {
		return entry.verdict(key), entry.outcome
	}
	if key.Issued.After(now.Add(t.config.ClockError)) {
		return verdictFuture, Outcome{}
	}
	if !key.Issued.After(t.forgottenUpTo) {
		return verdictUnknown, Outcome{}
	}
	entry := &keyEntry{key: key}
	entry.element = t.order.PushBack(entry)
	t.entries[key.Value] = entry
	return verdictRun, Outcome{}
}

func (e *keyEntry) verdict(key Key) verdict {
	switch {
	case e.key.Digest != key.Digest:
		return verdictReused
	case !e.done:
		return verdictInProgress
	case !e.outcome.Known:
		return verdictUnknown
	default:
		return verdictReplay
	}
}

// finish records the outcome of the run under the key.
func (t *keyTable) finish(key Key, outcome Outcome) {
	if entry, known := t.entries[key.Value]; known {
		entry.done = true
		entry.outcome = outcome
		t.replyBytes += outcome.Size
		t.dropReplies()
	}
}

// dropReplies drops the oldest replies until the rest fit.
func (t *keyTable) dropReplies() {
	for element := t.order.Front(); element != nil && t.replyBytes > t.config.MaxReplyBytes; element = element.Next() {
		if entry, ok := element.Value.(*keyEntry); ok {
			entry.dropReply(t)
		}
	}
}

func (e *keyEntry) dropReply(t *keyTable) {
	t.replyBytes -= e.outcome.Size
	e.outcome.Reply = nil
	e.outcome.Size = 0
}

// release removes the key of a request that was certainly not run.
func (t *keyTable) release(key Key) {
	if entry, known := t.entries[key.Value]; known {
		t.order.Remove(entry.element)
		delete(t.entries, key.Value)
	}
}

// expire removes keys, in the order in which they were added, while they are older than
// the retention or the table exceeds its capacity. The key of a request that has not
// finished is never removed. forgottenUpTo then covers every removed key: keys issued
// up to that time are no longer accepted.
func (t *keyTable) expire(now time.Time) {
	for element := t.order.Front(); element != nil; {
		entry, ok := element.Value.(*keyEntry)
		next := element.Next()
		expired := now.Sub(entry.key.Issued) > t.config.Retention
		overCapacity := t.order.Len() > t.config.Capacity
		if !ok || !expired && !overCapacity {
			break
		}
		if entry.done {
			t.forget(entry)
		}
		element = next
	}
	if horizon := now.Add(-t.config.Retention); horizon.After(t.forgottenUpTo) {
		t.forgottenUpTo = horizon
	}
}

func (t *keyTable) forget(entry *keyEntry) {
	entry.dropReply(t)
	t.order.Remove(entry.element)
	delete(t.entries, entry.key.Value)
	if entry.key.Issued.After(t.forgottenUpTo) {
		t.forgottenUpTo = entry.key.Issued
	}
}
