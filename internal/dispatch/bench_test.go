package dispatch

import (
	"fmt"
	"testing"
)

// BenchmarkBegin measures one decision in pools of several sizes, with the fleet's totals known.
func BenchmarkBegin(b *testing.B) {
	for _, members := range []int{6, 180, 660} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			core := newCore(backEnds(members, 12))
			core.SetGateways(103)
			counts := make([]Count, members)
			for i := range counts {
				counts[i] = Count{Key: CountKey(core.pools["s"].members[i].backEnd.ID), Requests: 4, Demand: 60}
			}
			core.ApplyTotals(start, nil, Totals{Counts: counts, Counted: 103, Expected: 103})
			requests := make([]Request, 512)
			for i := range requests {
				requests[i] = request(repeatable(1), fmt.Sprint("r", i), Part{ID: fmt.Sprint("p", i%200), Tokens: 9000}, Part{ID: "own"})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				x, _ := core.Begin(start, requests[i%len(requests)])
				core.Done(start, x)
			}
		})
	}
}
