package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// BenchmarkBegin measures one decision in pools of several sizes, with the fleet's totals known.
func BenchmarkBegin(b *testing.B) {
	benchmarkBegin(b, nil, 0, 0)
}

// BenchmarkBeginWithEngines measures the same with the work counted in tokens.
func BenchmarkBeginWithEngines(b *testing.B) {
	benchmarkBegin(b, []catalog.Service{workService()}, 0, 0)
}

// BenchmarkBeginColdPrompt measures the same with requests that state their tokens and take idle
// engines more than half of their objective, so that the homes are compared.
func BenchmarkBeginColdPrompt(b *testing.B) {
	benchmarkBegin(b, []catalog.Service{workService()}, 9500, 0)
}

// BenchmarkBeginLate measures the same with engines that would all serve the request late, so that
// the homes and other members are compared.
func BenchmarkBeginLate(b *testing.B) {
	benchmarkBegin(b, []catalog.Service{workService()}, 9500, 40_000/UnreadUnit)
}

// benchmarkBegin sends requests of the given prompt length, in tokens, or of none that is stated. All
// engines have the given unread tokens of other gateways, in units of UnreadUnit.
func benchmarkBegin(b *testing.B, services []catalog.Service, promptTokens int, unread uint32) {
	for _, members := range []int{6, 180, 660} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			core := newCore(backEnds(members, 12))
			core.SetServices(services)
			core.SetGateways(103)
			if promptTokens > 0 {
				// At a constant time nearly all requests would lose the draws.
				core.config.Disabled = Disabled{LoadBound: true}
			}
			counts := make([]Count, members)
			for i := range counts {
				counts[i] = Count{Key: CountKey(core.pools["s"].members[i].backEnd.ID), Requests: 4, Demand: 60, Unread: unread}
			}
			core.ApplyTotals(start, nil, Totals{Counts: counts, Counted: 103, Expected: 103})
			requests := make([]Request, 512)
			for i := range requests {
				requests[i] = request(repeatable(1), fmt.Sprint("r", i), Part{ID: fmt.Sprint("p", i%200), Tokens: 9000}, Part{ID: "own"})
				requests[i].PromptTokens = promptTokens
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				x, _ := core.Begin(start, requests[i%len(requests)])
				core.Done(start, x)
			}
		})
	}
}

// BenchmarkRefreshWork measures the update of all engines of a service, every 250 ms at most.
func BenchmarkRefreshWork(b *testing.B) {
	core := newCore(backEnds(660, 12))
	core.SetServices([]catalog.Service{workService()})
	now := start
	for b.Loop() {
		now = now.Add(workInterval)
		core.refreshWork(now, "s", core.serviceWorkOf("s"))
	}
}

// BenchmarkProgressed measures one event of a stream.
func BenchmarkProgressed(b *testing.B) {
	core := newWorkCore(6)
	x, _ := core.Begin(start, streamRequest("a"))
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(30 * time.Millisecond)
		core.Progressed(now, x, testEventTokens)
	}
}

// BenchmarkEventPassed measures what a gateway does in the core for each event of a stream.
func BenchmarkEventPassed(b *testing.B) {
	core := newBackupCore(46, 1)
	x, _ := core.Begin(start, longRequest(singleStream(), "a"))
	core.Answered(start, x, -1)
	for i := range b.N {
		core.EventPassed(start.Add(time.Duration(i)), x, 30*time.Millisecond, true)
	}
}

// BenchmarkBeginWithBackup measures a decision that includes the choice of the backup's target.
func BenchmarkBeginWithBackup(b *testing.B) {
	core := newBackupCore(46, 1)
	for range b.N {
		x, _ := core.Begin(start, longRequest(singleStream(), "a"))
		core.Done(start, x)
	}
}
