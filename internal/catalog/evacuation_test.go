package catalog

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

func TestStaleReadNeitherRemovesNorRevivesAnEvacuation(t *testing.T) {
	is := is.New(t)
	view := NewView()
	view.OfferEvacuations([]Evacuation{{Zone: "a", Revision: 5}})
	view.OfferEvacuationList(nil, Position{Revision: 4}) // a stale read
	is.Equal(view.EvacuatedZones(), []string{"a"})
	view.OfferEvacuations([]Evacuation{{Zone: "a", Withdrawn: true, Revision: 5}})
	is.Equal(len(view.EvacuatedZones()), 0)
	view.OfferEvacuations([]Evacuation{{Zone: "a", Revision: 5}})                                                     // a peer that lags
	view.OfferEvacuationList([]Evacuation{{Zone: "a", Revision: 5}, {Zone: "b", Revision: 6}}, Position{Revision: 6}) // another stale read
	is.Equal(view.EvacuatedZones(), []string{"b"})
	view.OfferEvacuations([]Evacuation{{Zone: "a", Revision: 9}}) // ordered again
	view.OfferEvacuationList([]Evacuation{{Zone: "a", Revision: 9}}, Position{Revision: 11})
	is.Equal(view.EvacuatedZones(), []string{"a"})
}

func TestEvacuationsSinceReturnsChanges(t *testing.T) {
	is := is.New(t)
	view := NewView()
	is.Equal(len(view.OfferEvacuations([]Evacuation{{Zone: "a", Revision: 1}, {Zone: "a", Revision: 1}})), 1)
	_, change := view.EvacuationsSince(0)
	is.Equal(len(view.OfferEvacuations([]Evacuation{{Zone: "a", Withdrawn: true, Revision: 2}})), 1)
	changes, _ := view.EvacuationsSince(change)
	is.Equal(changes, []Evacuation{{Zone: "a", Withdrawn: true, Revision: 2}})
}

// Gateways that receive the same evacuation orders in different sequences end with the same
// evacuated zones.
func TestEvacuationsConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var changes []Evacuation
		for revision := range rapid.Uint64Range(1, 20).Draw(t, "changes") {
			changes = append(changes, Evacuation{
				Zone:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
				Withdrawn: rapid.Bool().Draw(t, "withdrawn"),
				Revision:  revision + 1,
			})
		}
		first, second := NewView(), NewView()
		first.OfferEvacuations(changes)
		for _, each := range rapid.Permutation(changes).Draw(t, "order") {
			second.OfferEvacuations([]Evacuation{each})
		}
		if !slices.Equal(first.EvacuatedZones(), second.EvacuatedZones()) {
			t.Fatalf("%v in order, %v shuffled", first.EvacuatedZones(), second.EvacuatedZones())
		}
	})
}
