package soak

import (
	"maps"
	"slices"

	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// objects are those of one kind that operators or back ends write.
type objects[T any] struct {
	history []wire.StoreEntry[T]
	// written is what its writer last wrote of each name, whatever the store has kept.
	lastWritten map[string]wire.StoreEntry[T]
}

func newObjects[T any]() objects[T] {
	return objects[T]{lastWritten: map[string]wire.StoreEntry[T]{}}
}

// put takes what a writer wrote.
func (o *objects[T]) put(entry wire.StoreEntry[T]) {
	o.history = append(o.history, entry)
	o.lastWritten[entry.Name] = entry
}

// lost stands for the revision of what the store has lost.
const lostRevision = 0

// cutBack drops the entries after the revision.
func (o *objects[T]) truncate(revision uint64) {
	o.history = changesUpTo(o.history, revision)
	for name, entry := range o.lastWritten {
		if entry.Revision > revision {
			entry.Revision = lostRevision
			o.lastWritten[name] = entry
		}
	}
}

// rewrite lets each writer write its last word again, where the store has lost it.
func (o *objects[T]) rewriteLost(next func() uint64) {
	for _, name := range slices.Sorted(maps.Keys(o.lastWritten)) {
		if entry := o.lastWritten[name]; entry.Revision == lostRevision {
			entry.Revision = next()
			o.put(entry)
		}
	}
}

// upTo returns the entries up to a revision.
func changesUpTo[T any](history []wire.StoreEntry[T], revision uint64) []wire.StoreEntry[T] {
	return slices.DeleteFunc(slices.Clone(history), func(entry wire.StoreEntry[T]) bool { return entry.Revision > revision })
}

// newest returns the last entry of each name.
func latestByName[T any](history []wire.StoreEntry[T]) map[string]wire.StoreEntry[T] {
	last := map[string]wire.StoreEntry[T]{}
	for _, entry := range history {
		last[entry.Name] = entry
	}
	return last
}
