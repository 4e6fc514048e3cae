package admission

import (
	"container/list"
	"time"
)

// Key is a caller's idempotency key on an unrepeatable request.
type Key struct {
	// Value identifies the key; it includes the tenant.
	Value string
	// Issued is the time of issue that the key itself carries.
	Issued time.Time
	// Digest is a hash of the request, to notice a key used for another one.
	Digest uint64
}

// Outcome is how the first run under a key ended.
type Outcome struct {
	// Known is false when it can't be told whether the run took place.
	Known bool
	// Reply is the shell's handle on the stored answer, opaque to the core;
	// nil when the answer was too large to keep.
	Reply any
	// Size is the memory that Reply takes, in bytes.
	Size int
}

// verdict says what to do with a keyed request.
type verdict uint8

const (
	verdictRun verdict = iota
	verdictReplay
	verdictInProgress
	verdictReused
	verdictUnknown
	verdictFuture
)

// OnceConfig sets up the memory of keys.
type KeyTableConfig struct {
	// StartedAt is when this agent's memory began.
	StartedAt time.Time
	// ClockError bounds the difference between two clocks.
	ClockError time.Duration
	// Memory is how long an outcome is remembered.
	Retention time.Duration
	// Capacity is the largest number of remembered keys.
	Capacity int
	// ReplyBytes bounds the memory of all kept answers. The oldest are dropped
	// first; that their keys ran is remembered all the same.
	MaxReplyBytes int
	// Disabled forgets everything; only checks of the checkers set it.
	Disabled bool
}

// onceTable lets every key run at most once on this agent.
//
// It has no disk, so it can't know what ran before it started. It relies on the
// time of issue instead: a key is taken only if it was issued after the start,
// by more than the clocks can differ. A key that an earlier incarnation took at
// a moment A was issued no later than A plus the clock error (later ones are
// refused as dated in the future), and A is before the start; so with a second
// clock error for a machine whose clock changed in between, no key can be taken
// by both.
type keyTable struct {
	config        KeyTableConfig
	entries       map[string]*keyEntry
	order         *list.List
	forgottenUpTo time.Time
	// replyBytes is the memory of the kept answers.
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

// begin decides about a keyed request and, on verdictRun, remembers the key.
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

// finish records how the run under the key ended.
func (t *keyTable) finish(key Key, outcome Outcome) {
	if entry, known := t.entries[key.Value]; known {
		entry.done = true
		entry.outcome = outcome
		t.replyBytes += outcome.Size
		t.dropReplies()
	}
}

// dropReplies drops the oldest answers until the rest fit.
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

// release forgets a key whose request was certainly not run.
func (t *keyTable) release(key Key) {
	if entry, known := t.entries[key.Value]; known {
		t.order.Remove(entry.element)
		delete(t.entries, key.Value)
	}
}

// expire forgets old outcomes, and remembers up to which time of issue keys may
// have been forgotten. A run in progress is never forgotten.
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
