package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// Guards against gateways that each fill all the places that they see free: when nearly all back ends
// were full, one got 256 requests where the mean was 120.
func TestGatewaysTogetherDontOverfillTheLastBackEndWithRoom(t *testing.T) {
	const gateways, backEndCount, rounds = 8, 4, 12
	for _, load := range []struct{ full, last uint32 }{{90, 30}, {90, 70}, {200, 50}} {
		for _, perRound := range []int{1, 5, 20} {
			t.Run(fmt.Sprint(load.full, " and ", load.last, " requests, ", perRound, " more each"), func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(5, 5))
				list := backEnds(backEndCount, modelSlots)
				totals := Totals{Counted: gateways, Expected: gateways}
				for i, each := range list {
					count := Count{Key: CountKey(each.ID), Requests: load.full}
					if i == 0 {
						count.Requests = load.last
					}
					totals.Counts = append(totals.Counts, count)
				}
				var cores []*Core
				for range gateways {
					core := newCore(list)
					core.SetServices([]catalog.Service{{Name: "s", CachesPrefixes: true, CacheTokens: modelMemory}})
					core.SetGateways(gateways)
					cores = append(cores, core)
				}
				room := 0
				now, sent, taken, most := start, 0, 0, 0
				var ends []func()
				for round := range rounds {
					if round == rounds/2 {
						most = 0 // until then, the gateways don't know the demand
					}
					reports := make([][]Count, gateways)
					for i := range totals.Counts {
						totals.Counts[i].Demand = 0
					}
					for i, core := range cores {
						reports[i] = core.Counts(now)
						for j := range reports[i] {
							reports[i][j].Requests, reports[i][j].Ended = 0, 0
						}
						for key, report := range byKey[uint32](reports[i]) {
							at := slices.IndexFunc(totals.Counts, func(each Count) bool { return each.Key == key })
							totals.Counts[at].Demand += report.Demand
						}
					}
					for i, core := range cores {
						core.ApplyTotals(now, reports[i], totals)
					}
					for range perRound * gateways {
						sent++
						r := request(nonRepeatable(), fmt.Sprint(sent), Part{ID: fmt.Sprint("part", random.IntN(50)), Tokens: 3000}, Part{ID: fmt.Sprint("own", sent), Tokens: 500})
						r.PromptTokens, r.OutputTokens, r.Deadline = 3500, 100, now.Add(time.Minute)
						now = now.Add(exchangeInterval / time.Duration(perRound*gateways))
						core := cores[random.IntN(gateways)]
						x, decision := core.Begin(now, r)
						room = max(0, int(core.capacity(core.members[list[0].ID], x))-int(load.last))
						if decision.Send == nil {
							continue
						}
						core.Answered(now, x, -1)
						ends = append(ends, func() { core.Done(now, x) })
						if decision.Send.BackEnd.ID == list[0].ID {
							taken++
						}
					}
					most = max(most, taken)
					if round%2 == 0 {
						continue // totals contain only requests that are up to two rounds old
					}
					for _, end := range ends {
						end()
					}
					ends, taken = nil, 0
				}
				t.Logf("at most %d requests for %d places until the totals contain them", most, room)
				is.True(most <= room)
			})
		}
	}
}

// Guards against requests that are refused late: a request that has won a place and couldn't connect must
// not take part in the draw again, and lose it while another back end has room.
func TestFurtherAttemptsAreNotDrawnAgain(t *testing.T) {
	const gateways, requests = 22, 200
	is := is.New(t)
	core := newCore(backEnds(2, modelSlots))
	core.SetServices([]catalog.Service{{Name: "s", CachesPrefixes: true, CacheTokens: modelMemory}})
	core.SetGateways(gateways)
	begin := func(i int) (*Exchange, Decision) {
		r := request(repeatable(2), fmt.Sprint(i), Part{ID: "shared", Tokens: 700}, Part{ID: fmt.Sprint("own", i), Tokens: 100})
		r.PromptTokens = 800
		return core.Begin(start.Add(time.Duration(i)*time.Millisecond), r)
	}
	first, decision := begin(0)
	is.True(decision.Send != nil)
	refused := 0
	for i := 1; i < requests; i++ {
		if _, decision := begin(i); decision.Send == nil {
			refused++
		}
	}
	is.True(refused > requests/2) // hardly any request still wins
	decision = core.NotConnected(start.Add(requests*time.Millisecond), first)
	is.True(decision.Send != nil)
}

// Guards against bursts of prompts that together take engines far longer to prefill than their
// objectives allow, because all free places are given away at once.
func TestBurstGetsNoMorePlacesThanCanBePrefilled(t *testing.T) {
	const gateways, engines, ownTokens = 22, 41, 20000
	// The demand is known after the first part of the burst.
	const unknownFor, measuredFor, gap = 100 * time.Millisecond, 200 * time.Millisecond, 250 * time.Microsecond
	is := is.New(t)
	core := newCore(backEnds(engines, modelSlots))
	core.SetServices([]catalog.Service{{Name: "s", CachesPrefixes: true, CacheTokens: modelMemory}})
	core.SetGateways(gateways)
	won := 0
	for at := time.Duration(0); at < unknownFor+measuredFor; at += gap {
		r := request(nonRepeatable(), fmt.Sprint(at), Part{ID: fmt.Sprint("shared", at), Tokens: 700}, Part{ID: fmt.Sprint("own", at), Tokens: ownTokens})
		r.PromptTokens = 700 + ownTokens
		x := &Exchange{request: r, service: "s"}
		if core.winsPlace(start.Add(at), x, core.poolMembers(start, "s")) && at >= unknownFor {
			won++
		}
	}
	prefilled := prefillPerMilli * engines * int(measuredFor.Milliseconds())
	t.Logf("%d requests of %d tokens win at each of %d gateways; the engines prefill %d tokens", won, ownTokens, gateways, prefilled)
	is.True(won*gateways*ownTokens <= prefilled)
}

// Guards against a request that counts twice towards the demand, which lowers the chances of all, when it
// goes back to the standing version of a rollout.
func TestRequestCountsOnceTowardsDemand(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(2, modelSlots))
	core.SetServices([]catalog.Service{{Name: "s", CachesPrefixes: true, CacheTokens: modelMemory}})
	r := request(repeatable(2), "a", Part{ID: "shared", Tokens: 700}, Part{ID: "own", Tokens: 100})
	r.PromptTokens = 800
	x := &Exchange{request: r, service: "s"}
	for range 2 {
		core.winsPlace(start, x, core.poolMembers(start, "s"))
	}
	is.Equal(core.serviceDemandOf("s").requests, 1)
}
