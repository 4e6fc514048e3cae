package catalog

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

func makeEntries(count int, revision uint64) []Entry {
	entries := make([]Entry, count)
	for i := range entries {
		entries[i] = Entry{BackEnd: BackEnd{ID: fmt.Sprint("b", i), Service: "s"}, Revision: revision}
	}
	return entries
}

func TestEqualViewsHaveEqualDigests(t *testing.T) {
	is := is.New(t)
	first, second := NewView(), NewView()
	first.OfferList(makeEntries(3000, 7), Position{Revision: 7})
	second.OfferList(makeEntries(3000, 7), Position{Revision: 9})
	is.Equal(first.Digest().Differing(second.Digest()), Buckets(0))
}

// missingEntries returns the entries that the responder sends to a requester that has compared
// its digest with that of the responder.
func missingEntries(requester, responder *View) []Entry {
	differing := requester.Digest().Differing(responder.Digest())
	return responder.MissingEntries(differing, requester.ChecksumsOf(differing))
}

func TestOneDifferenceSendsOneEntry(t *testing.T) {
	is := is.New(t)
	first, second := NewView(), NewView()
	first.OfferList(makeEntries(3000, 7), Position{Revision: 7})
	second.OfferList(makeEntries(3000, 7), Position{Revision: 7})
	first.OfferEntries([]Entry{{BackEnd: BackEnd{ID: "b12"}, Gone: true, Revision: 7}})
	entries := missingEntries(second, first)
	is.Equal(len(entries), 1)
	second.OfferEntries(entries)
	is.Equal(second.BackEnds(), first.BackEnds())
}

func TestEmptyViewIsMissingAllEntries(t *testing.T) {
	is := is.New(t)
	view := NewView()
	view.OfferList(makeEntries(30, 7), Position{Revision: 7})
	for _, other := range []Digest{nil, NewView().Digest()} {
		is.Equal(len(view.MissingEntries(other.Differing(view.Digest()), nil)), 30)
	}
}

// Two back ends of one bucket must not cancel each other out in the checksum: a view in which one
// of them is leaving differs from a view in which the other one is.
func TestDigestDistinguishesWhichBackEndIsLeaving(t *testing.T) {
	is := is.New(t)
	ids := idsOfBucket(0, 2)
	first, second := NewView(), NewView()
	first.OfferEntries([]Entry{{BackEnd: BackEnd{ID: ids[0], Leaving: true}}, {BackEnd: BackEnd{ID: ids[1]}}})
	second.OfferEntries([]Entry{{BackEnd: BackEnd{ID: ids[0]}}, {BackEnd: BackEnd{ID: ids[1], Leaving: true}}})
	is.Equal(len(missingEntries(second, first)), 2)
}

// idsOfBucket returns count IDs that hash to the bucket.
func idsOfBucket(bucket, count int) []string {
	var ids []string
	for i := 0; len(ids) < count; i++ {
		if id := fmt.Sprint("b", i); bucketOf(id) == bucket {
			ids = append(ids, id)
		}
	}
	return ids
}

// After two gateways have sent each other the entries that the other is missing, their views are
// equal, whatever updates each had received before.
func TestExchangeOfMissingEntriesMakesViewsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := NewView(), NewView()
		for range rapid.IntRange(0, 40).Draw(t, "news") {
			entry := Entry{
				BackEnd:  BackEnd{ID: fmt.Sprint("b", rapid.IntRange(0, 9).Draw(t, "id"))},
				Gone:     rapid.Bool().Draw(t, "gone"),
				Revision: rapid.Uint64Range(1, 5).Draw(t, "revision"),
			}
			entry.BackEnd.Leaving = entry.Revision > 3 // a revision has only one content
			if rapid.Bool().Draw(t, "first") {
				first.OfferEntries([]Entry{entry})
			}
			if rapid.Bool().Draw(t, "second") {
				second.OfferEntries([]Entry{entry})
			}
		}
		fromFirst, fromSecond := missingEntries(second, first), missingEntries(first, second)
		second.OfferEntries(fromFirst)
		first.OfferEntries(fromSecond)
		if fmt.Sprint(first.BackEnds()) != fmt.Sprint(second.BackEnds()) {
			t.Fatalf("%v and %v", first.BackEnds(), second.BackEnds())
		}
	})
}
