package catalog

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// withEra returns the entry with the era.
func (e Entry) withEra(era uint64) Entry {
	e.Era = era
	return e
}

// viewInEra returns a view with back ends a and b at revisions 100 and 101 of the first era,
// which has settled.
func viewInEra() *View {
	view := NewView()
	view.ObserveEra(1)
	view.SettleEra(1)
	view.OfferList([]Entry{entry("a", 100).withEra(1), entry("b", 101).withEra(1)}, Position{Era: 1, Revision: 101})
	return view
}

// A restored store assigns revisions again, so a record of the new era is new even if its
// revision is lower than a known one.
func TestWritesAfterARestoreAreAdopted(t *testing.T) {
	is := is.New(t)
	view := viewInEra()
	view.ObserveEra(2)
	leaving := entry("a", 51).withEra(2)
	leaving.BackEnd.Leaving = true
	is.Equal(len(view.OfferEntries([]Entry{leaving, entry("c", 52).withEra(2)})), 2)
	is.True(view.BackEnds()[0].Leaving)
	is.Equal(ids(view), []string{"a", "b", "c"})
}

// A stale read, a late answer or a peer that still reports the previous era must not undo what
// is known from the new one.
func TestRecordsOfAnEndedEraAreIgnored(t *testing.T) {
	is := is.New(t)
	view := viewInEra()
	view.ObserveEra(2)
	view.OfferEntries([]Entry{entry("a", 51).withEra(2)})
	view.SettleEra(2)
	view.OfferList([]Entry{entry("b", 52).withEra(2)}, Position{Era: 2, Revision: 53})
	is.Equal(ids(view), []string{"b"})
	is.Equal(len(view.OfferEntries([]Entry{entry("a", 900).withEra(1)})), 0)
	is.Equal(len(view.OfferEntries([]Entry{entry("lost", 900).withEra(1)})), 0)
	is.Equal(len(view.OfferList([]Entry{entry("a", 900).withEra(1)}, Position{Era: 1, Revision: 950})), 0)
	is.Equal(ids(view), []string{"b"})
}

// Until the era has settled, back ends that a restored store lacks are kept, because they may
// write their entries again, and a removed back end isn't added again because of the backup.
func TestRestoredListAppliesOnceTheEraHasSettled(t *testing.T) {
	is := is.New(t)
	view := viewInEra()
	view.OfferEntries([]Entry{{BackEnd: BackEnd{ID: "b"}, Gone: true, Revision: 102, Era: 1}})
	view.ObserveEra(2)
	restored := []Entry{entry("b", 40).withEra(2)}
	view.OfferList(restored, Position{Era: 2, Revision: 60})
	is.Equal(ids(view), []string{"a"})
	view.SettleEra(2)
	view.OfferList(restored, Position{Era: 2, Revision: 60})
	is.Equal(ids(view), []string{"b"})
}

// A back end that was leaving is still leaving after a restore, even if the backup is older than
// its announcement.
func TestLeavingSurvivesARestore(t *testing.T) {
	is := is.New(t)
	view := viewInEra()
	leaving := entry("a", 105).withEra(1)
	leaving.BackEnd.Leaving = true
	view.OfferEntries([]Entry{leaving})
	view.ObserveEra(2)
	view.OfferList([]Entry{entry("a", 40).withEra(2), entry("b", 41).withEra(2)}, Position{Era: 2, Revision: 60})
	is.True(view.BackEnds()[0].Leaving)
	is.True(!view.BackEnds()[1].Leaving)
}

// Evacuations that were ordered or withdrawn in the seconds that the backup lacks stay in effect
// until operators have written them again.
func TestEvacuationsSurviveARestore(t *testing.T) {
	is := is.New(t)
	view := viewInEra()
	view.OfferEvacuations([]Evacuation{{Zone: "z", Revision: 104, Era: 1}, {Zone: "y", Withdrawn: true, Revision: 105, Era: 1}})
	view.ObserveEra(2)
	view.OfferEvacuationList([]Evacuation{{Zone: "y", Revision: 30, Era: 2}}, Position{Era: 2, Revision: 60})
	is.Equal(view.EvacuatedZones(), []string{"z"})
	view.OfferEvacuations([]Evacuation{{Zone: "z", Revision: 61, Era: 2}, {Zone: "y", Withdrawn: true, Revision: 62, Era: 2}})
	view.SettleEra(2)
	view.OfferEvacuationList([]Evacuation{{Zone: "z", Revision: 61, Era: 2}}, Position{Era: 2, Revision: 62})
	is.Equal(view.EvacuatedZones(), []string{"z"})
}

// The verdict on a rollout that the backup lacks stays in effect, and is marked to be written
// again.
func TestRolloutStateSurvivesARestore(t *testing.T) {
	is := is.New(t)
	view := viewInEra()
	order := Rollout{Service: "s", Target: "v2", Duration: 12 * time.Second, State: rollout.Completed, Revision: 104, Era: 1}
	view.OfferRollouts([]Rollout{order})
	view.ObserveEra(2)
	view.OfferRollouts([]Rollout{{Service: "s", Target: "v2", Duration: 12 * time.Second, State: rollout.InProgress, Revision: 50, Era: 2}})
	is.Equal(view.Rollouts()[0].State, rollout.Completed)
	is.True(view.Rollouts()[0].Unwritten)
	view.OfferRollouts([]Rollout{{Service: "s", Target: "v3", Duration: 12 * time.Second, Revision: 51, Era: 2}})
	is.Equal(view.Rollouts()[0].State, rollout.Ordered) // another order
}

// Software that doesn't know eras sends records without an era. They are compared by revision
// until a restore of the store is observed, and are ignored afterwards.
func TestRecordsWithoutAnEra(t *testing.T) {
	is := is.New(t)
	view := viewInEra()
	leaving := entry("a", 110)
	leaving.BackEnd.Leaving = true
	is.Equal(len(view.OfferEntries([]Entry{leaving})), 1)
	is.Equal(len(view.OfferEntries([]Entry{entry("a", 105).withEra(1)})), 0)
	is.Equal(len(view.OfferEntries([]Entry{entry("a", 105)})), 0)
	is.True(view.BackEnds()[0].Leaving)
	view.ObserveEra(2)
	is.Equal(len(view.OfferEntries([]Entry{entry("d", 900), entry("b", 901)})), 0)
}

// A list without an era doesn't remove objects that are known from an era.
func TestListWithoutAnEraRemovesNothing(t *testing.T) {
	is := is.New(t)
	view := viewInEra()
	view.OfferList(nil, Position{Revision: 999})
	is.Equal(ids(view), []string{"a", "b"})
}

// Records that differ only in their era are no changes; otherwise all gateways of a fleet would
// send each other all of their records after a restore.
func TestNewEraAloneIsNotAnnounced(t *testing.T) {
	is := is.New(t)
	view := viewInEra()
	before := view.Changes()
	view.ObserveEra(2)
	is.Equal(len(view.OfferList([]Entry{entry("a", 10).withEra(2), entry("b", 11).withEra(2)}, Position{Era: 2, Revision: 12})), 0)
	is.Equal(view.Changes(), before)
}

// modelStore models a store that is written, restored, and written again. It keeps all answers
// that it ever gave.
type modelStore struct {
	era, revision uint64
	entries       map[string]Entry
	snapshots     []modelSnapshot
	events        []Entry
	// truth is the state that the back ends want to be in the store.
	truth map[string]BackEnd
}

type modelSnapshot struct {
	at      Position
	entries []Entry
}

func (m *modelStore) put(id string, leaving bool) {
	m.revision++
	backEnd := BackEnd{ID: id, Leaving: leaving}
	m.truth[id] = backEnd
	m.entries[id] = Entry{BackEnd: backEnd, Revision: m.revision, Era: m.era}
	m.events = append(m.events, m.entries[id])
	m.takeSnapshot()
}

func (m *modelStore) remove(id string) {
	if _, exists := m.entries[id]; !exists {
		return
	}
	m.revision++
	delete(m.truth, id)
	delete(m.entries, id)
	m.events = append(m.events, Entry{BackEnd: BackEnd{ID: id}, Gone: true, Revision: m.revision, Era: m.era})
	m.takeSnapshot()
}

func (m *modelStore) takeSnapshot() {
	m.snapshots = append(m.snapshots, modelSnapshot{at: Position{Era: m.era, Revision: m.revision}, entries: slices.Collect(maps.Values(m.entries))})
}

// restore begins a new era from an earlier snapshot.
func (m *modelStore) restore(snapshot modelSnapshot) {
	m.era++
	m.revision = snapshot.at.Revision
	m.entries = map[string]Entry{}
	for _, each := range snapshot.entries {
		m.entries[each.BackEnd.ID] = each.withEra(m.era)
	}
	m.takeSnapshot()
}

// rewrite makes all back ends write their entries again.
func (m *modelStore) rewrite() {
	for id, backEnd := range m.truth {
		if known, exists := m.entries[id]; !exists || known.BackEnd != backEnd {
			m.put(id, backEnd.Leaving)
		}
	}
	for _, id := range slices.Collect(maps.Keys(m.entries)) {
		if _, exists := m.truth[id]; !exists {
			m.remove(id)
		}
	}
}

// Views read, watch and gossip in any order, over any number of eras. Once the back ends have
// written to the restored store again, all views must agree with it.
func TestViewsAgreeWithARestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &modelStore{era: 1, entries: map[string]Entry{}, truth: map[string]BackEnd{}}
		store.takeSnapshot()
		views := []*View{NewView(), NewView(), NewView()}
		observe := func(view *View, era uint64) { view.ObserveEra(era) }
		names := []string{"a", "b", "c", "d"}
		left := map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			view := rapid.SampledFrom(views).Draw(t, "view")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				id := rapid.SampledFrom(names).Draw(t, "id")
				left[id] = left[id] || rapid.Bool().Draw(t, "leaving")
				store.put(id, left[id])
			case 1:
				store.remove(rapid.SampledFrom(names).Draw(t, "id"))
			case 2:
				ofCurrentEra := slices.DeleteFunc(slices.Clone(store.snapshots), func(c modelSnapshot) bool { return c.at.Era != store.era })
				store.restore(rapid.SampledFrom(ofCurrentEra).Draw(t, "copy"))
			case 3:
				snapshot := rapid.SampledFrom(store.snapshots).Draw(t, "list")
				observe(view, snapshot.at.Era)
				view.OfferList(snapshot.entries, snapshot.at)
			case 4:
				if len(store.events) > 0 {
					event := rapid.SampledFrom(store.events).Draw(t, "event")
					observe(view, event.Era)
					view.OfferEntries([]Entry{event})
				}
			case 5:
				peer := rapid.SampledFrom(views).Draw(t, "peer")
				observe(view, peer.Era())
				view.OfferEntries(slices.Collect(maps.Values(peer.entries.records)))
			case 6:
				view.SettleEra(view.Era())
			}
		}
		store.rewrite()
		for _, view := range views {
			observe(view, store.era)
			view.SettleEra(store.era)
			view.OfferList(slices.Collect(maps.Values(store.entries)), Position{Era: store.era, Revision: store.revision})
			want := fmt.Sprint(slices.Sorted(maps.Keys(store.entries)))
			if got := fmt.Sprint(ids(view)); got != want {
				t.Fatalf("a view holds %s, the store %s", got, want)
			}
			for _, each := range view.BackEnds() {
				if each.Leaving != store.entries[each.ID].BackEnd.Leaving {
					t.Fatalf("%s: leaving %v in a view", each.ID, each.Leaving)
				}
			}
		}
	})
}

// A view keeps its version of the configuration when the backup has an older one.
func TestConfigurationSurvivesARestore(t *testing.T) {
	is := is.New(t)
	view := viewInEra()
	is.True(view.OfferConfiguration(&Configuration{Version: 9}))
	view.ObserveEra(2)
	is.True(!view.OfferConfiguration(&Configuration{Version: 7}))
	is.Equal(view.Version(), uint64(9))
	is.True(view.OfferConfiguration(&Configuration{Version: math.MaxInt32}))
}
