package origins

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// fleetOf returns count gateways.
func fleetOf(count int) []Gateway {
	list := make([]Gateway, count)
	for i := range list {
		list[i] = Gateway{ID: fmt.Sprint("g", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)}
	}
	return list
}

// Guards against records that nobody finds: the gateway that asks knows other gateways than the one that
// began the stream, which was lost together with another one.
func TestRecordsAreFoundWhereListsDiffer(t *testing.T) {
	for _, size := range []int{3, 5, 22, 33, 340} {
		t.Run(fmt.Sprint(size, " gateways"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				fleet := fleetOf(size + 1)
				newcomer, live := fleet[size], fleet[:size]
				key := dispatch.OriginKey(rapid.Uint64().Draw(t, "key"))
				owner := live[rapid.IntRange(0, size-1).Draw(t, "owner")]
				kept := holders(key, owner.ID, live)
				if len(kept) != replicas || slices.Contains(kept, owner) {
					t.Fatalf("kept at %v", kept)
				}
				lost := kept[rapid.IntRange(0, replicas-1).Draw(t, "lost")]
				asking := live[rapid.IntRange(0, size-1).Draw(t, "asking")]
				known := slices.Clone(live)
				if rapid.Bool().Draw(t, "losses are known") {
					known = slices.DeleteFunc(known, func(g Gateway) bool { return g == owner || g == lost })
				}
				if rapid.Bool().Draw(t, "newcomer") {
					known = append(known, newcomer)
				}
				found := candidates(key, asking.ID, known)
				left := slices.DeleteFunc(slices.Clone(kept), func(g Gateway) bool { return g == lost })
				if asking != left[0] && !slices.Contains(found, left[0]) {
					t.Fatalf("%v isn't asked, only %v", left[0], found)
				}
			})
		})
	}
}

func TestRecordsAreSpreadOverTheGroup(t *testing.T) {
	is := is.New(t)
	live := fleetOf(340)
	const records = 10_000
	counts := map[string]int{}
	for key := range records {
		for _, each := range holders(dispatch.OriginKey(key), "g0", live) {
			counts[each.ID]++
		}
	}
	is.True(len(counts) <= 2*maxGroupSize) // so many connections of a gateway
	for _, count := range counts {
		is.True(count <= 2*replicas*records/len(counts))
	}
}

func TestGroupsAreDividedOnlyInTwo(t *testing.T) {
	is := is.New(t)
	is.Equal(groupCount(1), uint64(1))
	is.Equal(groupCount(maxGroupSize), uint64(1))
	is.Equal(groupCount(maxGroupSize+1), uint64(2))
	is.Equal(groupCount(340), uint64(16))
}
