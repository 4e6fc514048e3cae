package catalog

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

// The entries of a list that is read at the start aren't numbered as changes, because each change
// is sent over every connection. They show in the digest and in Unannounced.
func TestManyNewBackEndsAreNotAnnounced(t *testing.T) {
	is := is.New(t)
	view := NewView()
	empty := view.Digest()
	is.Equal(len(view.OfferList(makeEntries(3000, 7), Position{Revision: 7})), 3000)
	is.Equal(view.Unannounced(), uint64(3000))
	changes, at := view.Since(0)
	is.Equal(len(changes), 0)
	is.Equal(at, view.Changes())
	is.True(view.Digest().Differing(empty) != 0)
}

// A few new back ends are numbered as changes. Changes of known back ends always are, in any
// number.
func TestChangesAreAnnounced(t *testing.T) {
	is := is.New(t)
	view := NewView()
	view.OfferEntries(makeEntries(alwaysAnnounced, 7))
	changes, at := view.Since(0)
	is.Equal(len(changes), alwaysAnnounced)
	view.OfferList(makeEntries(3000, 7), Position{Revision: 7})
	leaving := makeEntries(3000, 8)
	for i := range leaving {
		leaving[i].BackEnd.Leaving = true
	}
	view.OfferEntries(leaving)
	changes, at = view.Since(at)
	is.Equal(len(changes), 3000)
	view.OfferList(nil, Position{Revision: 9})
	changes, _ = view.Since(at)
	is.Equal(len(changes), 3000)
}

// Evacuations aren't covered by a digest, so all of them are numbered as changes.
func TestAllEvacuationsAreAnnounced(t *testing.T) {
	is := is.New(t)
	view := NewView()
	var orders []Evacuation
	for _, zone := range "abcdefghijklmnopqrstuvwxyz" {
		orders = append(orders, Evacuation{Zone: string(zone), Revision: 3})
	}
	view.OfferEvacuations(orders)
	changes, _ := view.EvacuationsSince(0)
	is.Equal(len(changes), len(orders))
}

// Guards against a back end that an older list, or a peer that was cut off, brings back: a later list doesn't have it.
func TestRecordThatALaterListLacksIsNotAdded(t *testing.T) {
	is := is.New(t)
	view := NewView()
	view.OfferList([]Entry{entry("a", 1)}, Position{Revision: 9})
	view.OfferList([]Entry{entry("a", 1), entry("gone", 5)}, Position{Revision: 7})
	view.OfferEntries([]Entry{entry("gone", 5), entry("added", 10)})
	is.Equal(idsOf(view), []string{"a", "added"})
	is.True(!view.AddsBackEnds([]Entry{entry("gone", 5)}, AllBuckets))
	is.True(view.AddsBackEnds([]Entry{entry("later", 11)}, AllBuckets))
}

// Guards against a store without eras that was restored, and whose new back ends are never added because their revisions
// are lower than before. Without eras, a fresh list reveals the restore.
func TestListsOfARestoredStoreAreMerged(t *testing.T) {
	is := is.New(t)
	view := NewView()
	view.OfferList([]Entry{entry("a", 1)}, Position{Revision: 900})
	view.OfferEntries([]Entry{entry("b", 60)})
	is.Equal(idsOf(view), []string{"a"})
	before := view.LatestList()
	view.ObserveFreshList(before, Position{Revision: 50})
	view.OfferList([]Entry{entry("a", 1), entry("c", 40)}, Position{Revision: 50})
	view.OfferEntries([]Entry{entry("b", 60)})
	is.Equal(idsOf(view), []string{"a", "b", "c"})

	view = NewView()
	view.ObserveEra(1)
	view.OfferList([]Entry{entry("a", 1).withEra(1)}, Position{Era: 1, Revision: 900})
	view.ObserveEra(2)
	view.OfferEntries([]Entry{entry("b", 60).withEra(2)})
	is.Equal(idsOf(view), []string{"a", "b"})
}

// Guards against an answer that was overtaken by a later one and is taken for that of a store that was restored.
func TestOvertakenListIsNoRestoredStore(t *testing.T) {
	is := is.New(t)
	view := NewView()
	before := view.LatestList()
	view.OfferList([]Entry{entry("a", 1)}, Position{Revision: 9})
	view.ObserveFreshList(before, Position{Revision: 7})
	view.OfferList([]Entry{entry("a", 1), entry("gone", 5)}, Position{Revision: 7})
	is.Equal(idsOf(view), []string{"a"})
}

// Guards against a view that depends on the order in which lists of copies and updates of peers arrive: in any order, it has
// what the latest list has.
func TestViewsConvergeWhateverCopiesAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		latest := len(history) - 1
		view := NewView()
		offered := rapid.SliceOfN(rapid.IntRange(0, latest), 1, 12).Draw(t, "copies")
		newest := -1 // the latest list that was merged
		for _, at := range offered {
			if at < newest && rapid.Bool().Draw(t, "from a peer") {
				view.OfferEntries(history[at])
				continue
			}
			newest = max(newest, at)
			view.OfferList(history[at], Position{Revision: uint64(at)})
		}
		if got, want := idsOf(view), idsOfEntries(history[newest]); !slices.Equal(got, want) {
			t.Fatalf("after copies %v the view has %v, the list %v", offered, got, want)
		}
	})
}

// drawHistory returns the lists of a store at each of its revisions, of which each adds or removes one object.
func drawHistory(t *rapid.T) [][]Entry {
	history := [][]Entry{nil}
	for revision := 1; revision <= 10; revision++ {
		list := slices.Clone(history[revision-1])
		id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "object")
		at := slices.IndexFunc(list, func(each Entry) bool { return each.BackEnd.ID == id })
		if at >= 0 {
			list = slices.Delete(list, at, at+1)
		} else {
			list = append(list, entry(id, uint64(revision)))
		}
		history = append(history, list)
	}
	return history
}

func idsOfEntries(list []Entry) []string {
	var ids []string
	for _, each := range list {
		ids = append(ids, each.BackEnd.ID)
	}
	slices.Sort(ids)
	return ids
}

func idsOf(view *View) []string {
	var ids []string
	for _, each := range view.BackEnds() {
		ids = append(ids, each.ID)
	}
	return ids
}
