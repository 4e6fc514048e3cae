package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

func TestLimitFor(t *testing.T) {
	up := BoundPolicy{Multiple: 1.25, Window: time.Second}
	down := BoundPolicy{Multiple: 1.25, Window: time.Second, RoundDown: true}
	stale := []ObservedLoad{{Load: 50, At: start.Add(-2 * time.Second)}}
	cases := map[string]struct {
		policy   BoundPolicy
		own      int
		others   []ObservedLoad
		evidence []ObservedLoad
		want     int
	}{
		"alone, idle":                       {up, 0, nil, nil, 2},
		"alone, busy":                       {up, 9, nil, nil, 13},
		"alone, rounded down":               {down, 9, nil, nil, 12},
		"empty pool":                        {up, 0, observed(0, 0, 0), nil, 1},
		"empty pool, rounded down":          {down, 0, observed(0, 0, 0), nil, 1},
		"mean 8":                            {up, 7, observed(8, 8, 8), nil, 10},
		"mean 8.25 up":                      {up, 8, observed(8, 8, 8), nil, 11},
		"mean 8.25 down":                    {down, 8, observed(8, 8, 8), nil, 10},
		"down never below the rounded mean": {down, 1, observed(1, 1, 2), nil, 2},
		"stale high load doesn't raise the bound": {up, 1, append(observed(1), stale...), nil, 2},
		"stale high load and high own load":       {up, 11, append(observed(3), stale...), nil, 8},
		"only a stale load":                       {up, 1, stale, nil, 33},
		"evidence replaces observed loads":        {up, 1, observed(1, 1), newerObserved(6, 6), 6},
		"evidence from one member":                {up, 1, observed(1, 1), newerObserved(6), 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(c.policy.LimitFor(start, c.own, c.others, c.evidence, 24*time.Hour).Max, c.want)
		})
	}
}

// For any loads, the least loaded member admits a request if it knows all loads, so a
// pool whose members know all loads never refuses a request on all of them.
func TestLeastLoadedMemberAlwaysAdmits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.IntRange(0, 60), 1, 30).Draw(t, "loads")
		policy := BoundPolicy{Multiple: rapid.Float64Range(1.05, 3).Draw(t, "c"), RoundDown: rapid.Bool().Draw(t, "down"), Window: time.Second}
		least := 0
		for i, load := range loads {
			if load < loads[least] {
				least = i
			}
		}
		var others []ObservedLoad
		for i, load := range loads {
			if i != least {
				others = append(others, ObservedLoad{Load: load, At: start})
			}
		}
		if limit := policy.LimitFor(start, loads[least], others, nil, time.Second); loads[least]+1 > limit.Max {
			t.Fatalf("loads %v: the least loaded member refuses at %d", loads, limit.Max)
		}
	})
}

// The test guards against an evenly loaded pool in which every member refuses: the pool
// would keep that load however many requests arrive, because hardly any of them has
// sufficientEvidence.
func TestEvenlyLoadedPoolAdmitsWhenRoundingDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := BoundPolicy{Multiple: rapid.Float64Range(1.05, 3).Draw(t, "c"), RoundDown: true, Window: 2 * time.Second}
		load := rapid.IntRange(0, 60).Draw(t, "load")
		service := time.Duration(rapid.IntRange(100, 20_000).Draw(t, "service ms")) * time.Millisecond
		var others []ObservedLoad
		for range rapid.IntRange(0, 40).Draw(t, "others") {
			age := time.Duration(rapid.IntRange(0, 2000).Draw(t, "age ms")) * time.Millisecond
			others = append(others, ObservedLoad{Load: load, At: start.Add(-age)})
		}
		if limit := policy.LimitFor(start, load, others, nil, service); limit.Max <= load {
			t.Fatalf("all %d members with a load of %d refuse", len(others)+1, load)
		}
	})
}
