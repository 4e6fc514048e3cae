package collect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/fairshare"
	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

// With any sequence of reports, also repeated or replaced ones, the totals are the sums of the
// latest report of each source that hasn't timed out.
func TestTotalsUseTheLatestReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		aggregator := NewAggregator()
		now := start
		last := map[string]source[dispatch.Count]{}
		for range rapid.IntRange(1, 60).Draw(t, "words") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			id := fmt.Sprint("g", rapid.IntRange(0, 5).Draw(t, "gateway"))
			var counts []dispatch.Count
			for key := range uint32(4) {
				if requests := rapid.Uint32Range(0, 3).Draw(t, "requests"); requests > 0 {
					counts = append(counts, dispatch.Count{Key: key, Requests: requests, Demand: 2 * requests})
				}
			}
			last[id] = source[dispatch.Count]{receivedAt: now, values: counts}
			aggregator.SetMember(now, id, counts, nil, nil)
			if rapid.Bool().Draw(t, "doubled") {
				aggregator.SetMember(now, id, counts, nil, nil)
			}
			want, counted := map[uint32]uint32{}, 0
			for _, each := range last {
				if now.Sub(each.receivedAt) <= sourceTimeout {
					counted++
					for _, count := range each.values {
						want[count.Key] += count.Requests
					}
				}
			}
			got := aggregator.Totals(now, nil)
			if got.Counted != counted || len(got.Counts) != len(want) {
				t.Fatalf("%d gateways and %d keys, want %d and %d", got.Counted, len(got.Counts), counted, len(want))
			}
			for _, each := range got.Counts {
				if each.Requests != want[each.Key] || each.Demand != 2*want[each.Key] {
					t.Fatalf("%v, want %d requests", each, want[each.Key])
				}
			}
		}
	})
}

func TestUnknownGroupsCountAsExpected(t *testing.T) {
	is := is.New(t)
	aggregator := NewAggregator()
	others := []Group{{Zone: "a", Members: make([]Gateway, 17)}, {Zone: "b", Members: make([]Gateway, 16)}}
	aggregator.SetMember(start, "g0", []dispatch.Count{{Key: 1, Requests: 2}}, nil, nil)
	aggregator.SetGroup(start, others[0].key(), dispatch.Totals{Counts: []dispatch.Count{{Key: 1, Requests: 5}, {Key: 2, Requests: 1}}, Counted: 15})
	totals := aggregator.Totals(start, others)
	is.Equal(totals.Counted, 16)
	is.Equal(totals.Expected, 32) // the second group has 16
	is.Equal(len(totals.Counts), 2)
	is.Equal(aggregator.GroupTotals(start).Counted, 1)
}

// All gateways agree on the collectors, which are the gateways with the largest capacity. Each
// gateway is in exactly one group.
func TestGatewaysAgreeOnThePlan(t *testing.T) {
	for _, gateways := range []int{1, 11, 33, 103, 340} {
		is := is.New(t)
		var live []Gateway
		for i := range gateways {
			each := Gateway{ID: fmt.Sprint("g", i), Zone: fmt.Sprint("z", i%3), Capacity: 14}
			if i%12 < 3 { // a quarter of each zone
				each.Capacity = 80
			}
			live = append(live, each)
		}
		collectors := map[string]string{}
		for _, each := range live {
			plan := NewPlan(each.ID, live)
			is.True(plan.Own.has(each.ID))
			is.True(len(plan.Own.Members) <= maxGroupSize)
			is.Equal(plan.Own.Zone, each.Zone)
			members := len(plan.Own.Members)
			for _, group := range append(plan.Others, plan.Own) {
				first := group.Members[0]
				is.Equal(first.Capacity, 80)
				if known := collectors[group.key()]; known != "" {
					is.Equal(known, first.ID)
				}
				collectors[group.key()] = first.ID
			}
			for _, group := range plan.Others {
				is.True(!group.has(each.ID))
				members += len(group.Members)
			}
			is.Equal(members, gateways)
		}
	}
}

func TestPackedCountsAreRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var counts []dispatch.Count
		for range rapid.IntRange(0, 20).Draw(t, "count") {
			counts = append(counts, dispatch.Count{
				Key: rapid.Uint32Range(0, 1<<dispatch.CountKeyBits-1).Draw(t, "key"), Requests: rapid.Uint32Range(0, maxCount/2-1).Draw(t, "requests"),
				Demand: rapid.Uint32Range(0, maxCount).Draw(t, "wanted"),
			})
			if rapid.Bool().Draw(t, "some ended") {
				counts[len(counts)-1].Ended = rapid.Uint32Range(1, maxCount).Draw(t, "ended")
				counts[len(counts)-1].ResidenceMillis = rapid.Uint32Range(0, maxCount).Draw(t, "took")
			}
		}
		read, err := pack(counts).unpack()
		if err != nil || fmt.Sprint(read) != fmt.Sprint(counts) {
			t.Fatalf("%v: %v, want %v", err, read, counts)
		}
	})
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte(pack([]dispatch.Count{{Key: 1, Requests: 2, Demand: 300}})))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, raw []byte) {
		counts, err := packedCounts(raw).unpack()
		if err != nil {
			return
		}
		for _, each := range counts {
			if each.Requests > maxCount || each.Demand > maxCount {
				t.Fatalf("%v is out of range", each)
			}
		}
	})
}

// The answers to a member stay within their limit at the target size, in front of 660 back ends,
// with 520 tenants that each use all of 5 services, one of them thirty times as much as the others.
// The log also shows the traffic that the collector of a full group sends.
func TestTrafficAtTargetFleetSize(t *testing.T) {
	is := is.New(t)
	const backEnds, gateways, tenants, services = 660, 340, 520, 5
	totals := dispatch.Totals{Counted: gateways, Expected: gateways}
	for key := range uint32(backEnds) {
		totals.Counts = append(totals.Counts, dispatch.Count{Key: 1<<23 + key, Requests: 8, Demand: 104, Ended: 3})
	}
	withoutTenants, err := encodeAnswer(totals)
	is.NoErr(err)
	const work = 8000 // mean of a request, in tokens
	for i := range services {
		share := fairshare.New(fmt.Sprint("service-", i))
		for j := range tenants {
			share.Begin(start, fmt.Sprint("tenant-", j), "", 4300*work/tenants/services)
		}
		share.Begin(start, "tenant-0", "", 29*4300*work/tenants/services)
		totals.Tenants = append(totals.Tenants, share.Demands(start)...)
	}
	totals.Tenants = fairshare.Relevant(totals.Tenants)
	is.Equal(len(totals.Tenants), services+fairshare.MaxTenants)
	raw, err := encodeAnswer(totals)
	is.NoErr(err)
	t.Logf("%d bytes per answer are the demands of tenants", len(raw)-len(withoutTenants))
	is.True(len(raw)-len(withoutTenants) < 6*fairshare.MaxTenants+16*services)
	for _, unread := range []struct {
		name string
		// fraction is the share of the back ends that have unread tokens, and tokens how many each has.
		fraction float64
		tokens   int
	}{
		{"no engines", 0, 0},
		// Each back end gets 6.5 requests per second, whose first token comes after about 30 ms: a request is
		// unread at 0.2 of them.
		{"usual load", 0.2, work / 4},
		{"overload of every second engine", 0.5, 5 * work},
		{"overload", 1, 5 * work},
		{"a prompt of 11,800 tokens from every gateway", 1, gateways * 11_800},
	} {
		t.Run(unread.name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			for i := range totals.Counts {
				totals.Counts[i].Unread = 0
				if random.Float64() < unread.fraction {
					totals.Counts[i].Unread = uint32(unread.tokens / dispatch.UnreadUnit)
				}
			}
			raw, err := encodeAnswer(totals)
			is.NoErr(err)
			period := periodFor(entriesOf(totals))
			groups := (gateways + maxGroupSize - 1) / maxGroupSize
			member := float64(len(raw)) / period.Seconds()
			collector := member * float64(maxGroupSize+groups-1)
			t.Logf("%d bytes per answer, every %v, %.1f KB/s to a member, %.0f KB/s from a collector", len(raw), period, member/1000, collector/1000)
			is.True(member < 14_500)
		})
	}
}
