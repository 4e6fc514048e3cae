package catalog

import (
	"testing"

	"github.com/matryer/is"
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
