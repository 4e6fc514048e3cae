package soak

import (
	"maps"
	"slices"

	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// objects holds the store's objects of one kind that operators or back ends write.
type objects[T any] struct {
	history []wire.StoreEntry[T]
	// lastWritten is the last entry that the writer of each name wrote, even if the store has
	// lost it since.
	lastWritten map[string]wire.StoreEntry[T]
}

func newObjects[T any]() objects[T] {
	return objects[T]{lastWritten: map[string]wire.StoreEntry[T]{}}
}

// put stores an entry from its writer.
func (o *objects[T]) put(entry wire.StoreEntry[T]) {
	o.history = append(o.history, entry)
	o.lastWritten[entry.Name] = entry
}

// lostRevision replaces the revision of an entry that the store has lost.
const lostRevision = 0

// truncate drops the entries after the revision.
func (o *objects[T]) truncate(revision uint64) {
	o.history = changesUpTo(o.history, revision)
	for name, entry := range o.lastWritten {
		if entry.Revision > revision {
			entry.Revision = lostRevision
			o.lastWritten[name] = entry
		}
	}
}

// rewriteLost makes each writer write its last entry again if the store has lost it.
func (o *objects[T]) rewriteLost(next func() uint64) {
	for _, name := range slices.Sorted(maps.Keys(o.lastWritten)) {
		if entry := o.lastWritten[name]; entry.Revision == lostRevision {
			entry.Revision = next()
			o.put(entry)
		}
	}
}

// changesUpTo returns the entries up to a revision.
func changesUpTo[T any](history []wire.StoreEntry[T], revision uint64) []wire.StoreEntry[T] {
	return slices.DeleteFunc(slices.Clone(history), func(entry wire.StoreEntry[T]) bool { return entry.Revision > revision })
}

// latestByName returns the last entry of each name.
func latestByName[T any](history []wire.StoreEntry[T]) map[string]wire.StoreEntry[T] {
	last := map[string]wire.StoreEntry[T]{}
	for _, entry := range history {
		last[entry.Name] = entry
	}
	return last
}
