package catalog

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

func entry(id string, revision uint64) Entry {
	return Entry{BackEnd: BackEnd{ID: id, Service: "s", Address: "10.0.0.1:1"}, Revision: revision}
}

func ids(view *View) []string {
	var list []string
	for _, backEnd := range view.BackEnds() {
		list = append(list, backEnd.ID)
	}
	return list
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	view := NewView()
	is.True(view.OfferConfiguration(&Configuration{Version: 7}))
	is.True(!view.OfferConfiguration(&Configuration{Version: 5})) // a lagging peer
	is.True(!view.OfferConfiguration(&Configuration{Version: 7}))
	is.Equal(view.Version(), uint64(7))
}

// Guards against a document that doesn't state the key policy: it gives way to one of the same version that does, and
// never replaces one.
func TestConfigurationWithoutKeyPolicyIsCompleted(t *testing.T) {
	is := is.New(t)
	view := NewView()
	is.True(!view.KnowsKeyPolicy())
	is.True(view.OfferConfiguration(&Configuration{Version: 7}))
	is.True(!view.KnowsKeyPolicy())
	is.True(!view.OfferConfiguration(&Configuration{Version: 5, StatedKeyPolicy: KeysNotRequired}))
	is.True(view.OfferConfiguration(&Configuration{Version: 7, StatedKeyPolicy: KeysRequired}))
	is.True(view.KnowsKeyPolicy())
	is.True(!view.OfferConfiguration(&Configuration{Version: 7, StatedKeyPolicy: KeysNotRequired}))
	is.True(!view.OfferConfiguration(&Configuration{Version: 7}))
	is.Equal(view.Index().KeyPolicy(), KeysRequired)
}

// Guards against the defaults staying in force after the operators' limits were read: a document without the limits on
// heads gives way to one of the same version that has them, and never replaces one.
func TestConfigurationWithoutLimitsIsCompleted(t *testing.T) {
	is := is.New(t)
	view := NewView()
	complete := Limits{MaxBodyBytes: 10, MaxHeaderBytes: 20, HeaderTimeout: 3, IdleTimeout: 4}
	is.True(view.OfferConfiguration(&Configuration{Version: 7, StatedKeyPolicy: KeysRequired, Limits: Limits{MaxBodyBytes: 10}}))
	is.True(!view.OfferConfiguration(&Configuration{Version: 5, StatedKeyPolicy: KeysRequired, Limits: complete}))
	is.True(!view.OfferConfiguration(&Configuration{Version: 7, Limits: complete})) // has no key policy
	is.True(view.OfferConfiguration(&Configuration{Version: 7, StatedKeyPolicy: KeysRequired, Limits: complete}))
	is.True(!view.OfferConfiguration(&Configuration{Version: 7, StatedKeyPolicy: KeysRequired}))
	is.Equal(view.Index().Configuration().Limits, complete)
}

// Guards against a configuration that counts as open because of what it states: tenants, and a policy of a later
// build, close it.
func TestKeyPolicy(t *testing.T) {
	is := is.New(t)
	for stated, want := range map[KeyPolicy]KeyPolicy{
		KeyPolicyUnknown: KeyPolicyUnknown, KeysRequired: KeysRequired, KeysNotRequired: KeysNotRequired, 3: KeyPolicyUnknown, 255: KeyPolicyUnknown,
	} {
		is.Equal((&Configuration{StatedKeyPolicy: stated}).KeyPolicy(), want)
		is.Equal((&Configuration{StatedKeyPolicy: stated, Tenants: []Tenant{{Name: "t"}}}).KeyPolicy(), KeysRequired)
	}
}

// Guards against gateways that attribute the requests of a key to different tenants, and against an empty key that
// requests without one would have.
func TestKeysOfTenants(t *testing.T) {
	is := is.New(t)
	index := NewIndex(&Configuration{Version: 1, Tenants: []Tenant{{Name: "a", Keys: []string{"k", ""}}, {Name: "b", Keys: []string{"k"}}}})
	is.Equal(index.Tenant("k").Name, "b")
	is.Equal(index.Tenant(""), nil)
}

func TestStaleListNeitherRemovesNorRevives(t *testing.T) {
	is := is.New(t)
	view := NewView()
	view.OfferList([]Entry{entry("a", 1), entry("b", 2)}, Position{Revision: 2})
	view.OfferEntries([]Entry{entry("c", 9), {BackEnd: BackEnd{ID: "a"}, Gone: true, Revision: 8}})
	view.OfferList([]Entry{entry("a", 1), entry("b", 2)}, Position{Revision: 5}) // older than c and than the removal of a
	is.Equal(ids(view), []string{"b", "c"})
	view.OfferList([]Entry{entry("b", 2)}, Position{Revision: 12})
	is.Equal(ids(view), []string{"b"}) // a newer list removes c
	view.OfferEntries([]Entry{entry("c", 13)})
	is.Equal(ids(view), []string{"b", "c"}) // listed again after its removal
}

func TestRemovalWinsAtTheSameRevision(t *testing.T) {
	is := is.New(t)
	view := NewView()
	view.OfferEntries([]Entry{entry("a", 4)})
	view.OfferEntries([]Entry{{BackEnd: BackEnd{ID: "a"}, Gone: true, Revision: 4}})
	is.Equal(len(ids(view)), 0)
	is.Equal(len(view.OfferEntries([]Entry{entry("a", 4)})), 0) // an outdated update of a peer
}

func TestSinceReturnsChanges(t *testing.T) {
	is := is.New(t)
	view := NewView()
	view.OfferEntries([]Entry{entry("a", 1), entry("b", 2)})
	entries, change := view.Since(0)
	is.Equal(len(entries), 2)
	view.OfferEntries([]Entry{{BackEnd: BackEnd{ID: "a"}, Gone: true, Revision: 3}})
	entries, _ = view.Since(change)
	is.Equal(len(entries), 1)
	is.True(entries[0].Gone)
}

// Two views that receive the same entries in different orders agree. This allows peers to relay
// entries without coordination.
func TestViewsConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		revision := uint64(0)
		var changes []Entry
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			revision++
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			next := entry(id, revision)
			next.BackEnd.Leaving = rapid.Bool().Draw(t, "leaving")
			next.Gone = rapid.Bool().Draw(t, "gone")
			changes = append(changes, next)
		}
		shuffled := rapid.Permutation(changes).Draw(t, "order")
		first, second := NewView(), NewView()
		first.OfferEntries(changes)
		for _, each := range shuffled {
			second.OfferEntries([]Entry{each})
		}
		if !slices.Equal(first.BackEnds(), second.BackEnds()) {
			t.Fatalf("%v in order, %v shuffled", first.BackEnds(), second.BackEnds())
		}
	})
}

func TestRouteWithTheLongestPrefix(t *testing.T) {
	is := is.New(t)
	index := NewIndex(&Configuration{
		Version: 1,
		Routes: []Route{
			{Name: "short", Host: "A.example", Prefix: "/x/"},
			{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		},
		Tenants: []Tenant{{Name: "t", Keys: []string{"k"}}},
	})
	is.Equal(index.Route("a.example:80", "/x/y/z").Name, "long")
	is.Equal(index.Route("a.EXAMPLE", "/x/yy").Name, "short")
	is.True(index.Route("a.example", "/x") == nil) // prefixes end with a slash
	is.True(index.Route("b.example", "/x/y/z") == nil)
	is.Equal(index.Tenant("k").Name, "t")
	is.True(index.Tenant("") == nil)
}

func TestTargetFollowsWeights(t *testing.T) {
	is := is.New(t)
	route := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := map[string]int{}
	for i := range 10000 {
		counts[route.Target(string(rune(i)))]++
	}
	is.True(counts["a"] > 8700 && counts["a"] < 9300)
	is.Equal(counts["c"], 0) // a weight of 0 gets nothing
}

func TestCheckRejectsInvalidConfigurations(t *testing.T) {
	is := is.New(t)
	valid := Route{Name: "r", Prefix: "/x/", Targets: []Target{{Service: "s", Weight: 1}}, Timeout: time.Second}
	for _, invalidate := range []func(*Route){
		func(r *Route) { r.Prefix = "x/" },
		func(r *Route) { r.Targets = nil },
		func(r *Route) { r.Targets[0].Service = "" },
		func(r *Route) { r.Timeout = 0 },
	} {
		route := valid
		route.Targets = slices.Clone(valid.Targets)
		invalidate(&route)
		is.True((&Configuration{Version: 1, Routes: []Route{route}}).Check() != nil)
	}
	is.NoErr((&Configuration{Version: 1, Routes: []Route{valid}}).Check())
	is.True((&Configuration{}).Check() != nil)
}

// Peers get no updates about the countdown of a warm-up, because they know when it ends. They do
// get an update if it begins again.
func TestWarmUpCountdownIsNotAnnounced(t *testing.T) {
	is := is.New(t)
	view := NewView()
	cold := func(left time.Duration, revision uint64) []Entry {
		each := entry("a", revision)
		each.BackEnd.WarmUp = left
		return []Entry{each}
	}
	announcedAfter := func(entries []Entry) int {
		_, change := view.Since(0)
		view.OfferEntries(entries)
		changes, _ := view.Since(change)
		return len(changes)
	}
	is.Equal(announcedAfter(cold(3*time.Second, 1)), 1)
	is.Equal(announcedAfter(cold(1800*time.Millisecond, 2)), 0)
	is.Equal(view.BackEnds()[0].WarmUp, 1800*time.Millisecond) // known to the view itself
	is.Equal(announcedAfter(cold(0, 3)), 0)
	is.Equal(announcedAfter(cold(2*time.Second, 4)), 1)
	is.Equal(announcedAfter(cold(2*time.Second, 5)), 1) // written again with the same time left
	leaving := cold(0, 6)
	leaving[0].BackEnd.Leaving = true
	is.Equal(announcedAfter(leaving), 1)
}

// A warm-up that begins again with the same time left is a change for a view that has seen no
// countdown in between.
func TestRestartedWarmUpIsAChange(t *testing.T) {
	is := is.New(t)
	view := NewView()
	cold := entry("a", 1)
	cold.BackEnd.WarmUp = 3 * time.Second
	view.OfferEntries([]Entry{cold})
	first := view.BackEnds()[0]
	cold.Revision = 7
	is.Equal(len(view.OfferEntries([]Entry{cold})), 1)
	is.True(view.BackEnds()[0] != first)
}
