package soak

import (
	"testing"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// After several restores that lost different writes, each writer writes its last entry again exactly
// once, and no entry that it had replaced before.
func TestRewriteLostRestoresLatestWritesOnce(t *testing.T) {
	is := is.New(t)
	revision := uint64(0)
	next := func() uint64 { revision++; return revision }
	kept := newObjects[string]()
	put := func(name, value string, gone bool) {
		kept.put(wire.StoreEntry[string]{Name: name, Revision: next(), Gone: gone, Value: value})
	}
	put("a", "first", false)
	put("b", "stays", false)
	copied := revision
	put("a", "", true)
	kept.truncate(copied) // the removal is lost
	revision = copied
	put("a", "second", false) // at the revision that the removal had
	kept.truncate(copied)
	revision = copied
	kept.rewriteLost(next)
	kept.rewriteLost(next)
	is.Equal(revision, copied+1)
	is.Equal(liveEntries(kept.history), []wire.StoreEntry[string]{
		{Name: "a", Revision: copied + 1, Value: "second"}, {Name: "b", Revision: copied, Value: "stays"},
	})
}
