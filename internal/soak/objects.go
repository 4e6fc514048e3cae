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
	written map[string]wire.StoreEntry[T]
}

func newObjects[T any]() objects[T] {
	return objects[T]{written: map[string]wire.StoreEntry[T]{}}
}

// put takes what a writer wrote.
func (o *objects[T]) put(entry wire.StoreEntry[T]) {
	o.history = append(o.history, entry)
	o.written[entry.Name] = entry
}

// lost stands for the revision of what the store has lost.
const lost = 0

// cutBack drops the entries after the revision.
func (o *objects[T]) cutBack(revision uint64) {
	o.history = upTo(o.history, revision)
	for name, entry := range o.written {
		if entry.Revision > revision {
			entry.Revision = lost
			o.written[name] = entry
		}
	}
}

// rewrite lets each writer write its last word again, where the store has lost it.
func (o *objects[T]) rewrite(next func() uint64) {
	for _, name := range slices.Sorted(maps.Keys(o.written)) {
		if entry := o.written[name]; entry.Revision == lost {
			entry.Revision = next()
			o.put(entry)
		}
	}
}

// upTo returns the entries up to a revision.
func upTo[T any](history []wire.StoreEntry[T], revision uint64) []wire.StoreEntry[T] {
	return slices.DeleteFunc(slices.Clone(history), func(entry wire.StoreEntry[T]) bool { return entry.Revision > revision })
}

// newest returns the last entry of each name.
func newest[T any](history []wire.StoreEntry[T]) map[string]wire.StoreEntry[T] {
	last := map[string]wire.StoreEntry[T]{}
	for _, entry := range history {
		last[entry.Name] = entry
	}
	return last
}
