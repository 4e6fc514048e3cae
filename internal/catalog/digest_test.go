package catalog

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func listed(count int, revision uint64) []Entry {
	entries := make([]Entry, count)
	for i := range entries {
		entries[i] = Entry{BackEnd: BackEnd{ID: fmt.Sprint("b", i), Service: "s"}, Revision: revision}
	}
	return entries
}

func TestGatewaysThatKnowTheSameTellEachOtherNothing(t *testing.T) {
	is := is.New(t)
	first, second := NewView(), NewView()
	first.OfferList(listed(3000, 7), 7)
	second.OfferList(listed(3000, 7), 9)
	entries, change := first.Differing(second.Digest())
	is.Equal(len(entries), 0)
	is.Equal(change, uint64(3000))
}

func TestOneDifferenceCostsOneBucket(t *testing.T) {
	is := is.New(t)
	first, second := NewView(), NewView()
	first.OfferList(listed(3000, 7), 7)
	second.OfferList(listed(3000, 7), 7)
	first.OfferEntries([]Entry{{BackEnd: BackEnd{ID: "b12"}, Gone: true, Revision: 7}})
	entries, _ := first.Differing(second.Digest())
	is.True(len(entries) > 0)
	is.True(len(entries) < 100)
	second.OfferEntries(entries)
	is.Equal(second.BackEnds(), first.BackEnds())
}

func TestGatewayThatKnowsNothingGetsAll(t *testing.T) {
	is := is.New(t)
	view := NewView()
	view.OfferList(listed(30, 7), 7)
	for _, other := range []Digest{nil, NewView().Digest()} {
		entries, _ := view.Differing(other)
		is.Equal(len(entries), 30)
	}
}

// Whatever two gateways have heard, after each told the other what differs they know
// the same.
func TestDifferencesMakeViewsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := NewView(), NewView()
		for range rapid.IntRange(0, 40).Draw(t, "news") {
			entry := Entry{
				BackEnd:  BackEnd{ID: fmt.Sprint("b", rapid.IntRange(0, 9).Draw(t, "id"))},
				Gone:     rapid.Bool().Draw(t, "gone"),
				Revision: rapid.Uint64Range(1, 5).Draw(t, "revision"),
			}
			entry.BackEnd.Leaving = entry.Revision > 3 // a revision says one thing
			if rapid.Bool().Draw(t, "first") {
				first.OfferEntries([]Entry{entry})
			}
			if rapid.Bool().Draw(t, "second") {
				second.OfferEntries([]Entry{entry})
			}
		}
		fromFirst, _ := first.Differing(second.Digest())
		fromSecond, _ := second.Differing(first.Digest())
		second.OfferEntries(fromFirst)
		first.OfferEntries(fromSecond)
		if fmt.Sprint(first.BackEnds()) != fmt.Sprint(second.BackEnds()) {
			t.Fatalf("%v and %v", first.BackEnds(), second.BackEnds())
		}
	})
}
