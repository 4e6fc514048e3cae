package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

var start = time.Unix(1_800_000_000, 0)

// totalsOf returns sums of one service: what each tenant asks for, what is admitted, and what was
// refused recently.
func totalsOf(admitted float64, demands map[string]float64) []Demand {
	all := Demand{Service: Key("s"), Admitted: units(admitted)}
	var list []Demand
	for name, demand := range demands {
		list = append(list, Demand{Service: Key("s"), Tenant: Key(name), Demand: units(demand)})
		all.Demand += units(demand)
	}
	all.Refused = max(all.Demand, all.Admitted) - all.Admitted // in excess, all of it
	return append(list, all)
}

// excessPart returns the part of the tenant's requests that are marked.
func excessPart(s *Share, now time.Time, name string) float64 {
	const requests = 4000
	marked := 0
	for i := range requests {
		if s.Excess(now, name, fmt.Sprint("request-", i)) {
			marked++
		}
	}
	return float64(marked) / requests
}

func isNear(a, b float64) bool { return math.Abs(a-b) < 0.03 }

// The shares use up exactly the capacity and give nobody more than it asks for, with any
// demands and weights. Otherwise tenants would be marked for work that nobody else gets.
func TestSharesAddUpToTheCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		claims := make([]claim, rapid.IntRange(1, 30).Draw(t, "claims"))
		sum := 0.0
		for i := range claims {
			claims[i] = claim{demand: rapid.Float64Range(0, 1000).Draw(t, "demand"), weight: rapid.Float64Range(0.1, 10).Draw(t, "weight")}
			sum += claims[i].demand
		}
		capacity := rapid.Float64Range(0, 1.2).Draw(t, "capacity") * sum
		level, _ := fairLevel(claims, capacity)
		used := 0.0
		for _, each := range claims {
			used += min(each.demand, each.weight*level)
		}
		if math.Abs(used-min(capacity, sum)) > 1e-6*(1+sum) {
			t.Fatalf("%v of %v used at level %v", used, min(capacity, sum), level)
		}
	})
}

// Refusals of work within shares lower the shares of tenants that ask for more, but not below what
// the others ask for: those would be marked for the surge of one tenant.
func TestRefusalsWithinSharesDoNotAffectSmallTenants(t *testing.T) {
	is := is.New(t)
	claims := func() []claim {
		return []claim{{demand: 1000, weight: 1}, {demand: 40, weight: 1}, {demand: 60, weight: 2}, {demand: 20, weight: 1}}
	}
	const admitted = 400 / (1 + growth)
	is.True(isNear(levelOf(claims(), admitted, 0), 280))
	is.True(isNear(levelOf(claims(), admitted, 1), 280-correction))
	is.True(levelOf(claims(), admitted, 5) > 200) // maxCorrection
	is.True(isNear(levelOf(claims(), 160/(1+growth), 20), 40))
	is.True(levelOf(claims()[:1], admitted, 20) < 400) // all ask for more
}

// Only the tenants beyond their share are marked, and each down to its share. Marking others would
// make them pay for the one that asks for more.
func TestOnlyTenantsBeyondTheirShareAreMarked(t *testing.T) {
	is := is.New(t)
	share := New("s")
	share.SetTotals(start, totalsOf(100_000/(1+growth), map[string]float64{"a": 10_000, "b": 30_000, "c": 90_000, "d": 120_000}))
	is.Equal(excessPart(share, start, "a"), 0.0)
	is.Equal(excessPart(share, start, "b"), 0.0)
	is.True(isNear(excessPart(share, start, "c"), 1-30.0/90))
	is.True(isNear(excessPart(share, start, "d"), 1-30.0/120))
	is.Equal(excessPart(share, start, "unknown"), 0.0)
	for i := range 1000 {
		key := fmt.Sprint(i)
		is.True(!share.Excess(start, "c", key) || share.Excess(start, "d", key)) // the same ones are drawn
	}
}

// A tenant of twice the weight gets twice the share.
func TestWeightsScaleShares(t *testing.T) {
	is := is.New(t)
	share := New("s")
	share.SetWeights(map[string]float64{"b": 2, "c": -1})
	share.SetTotals(start, totalsOf(80_000/(1+growth), map[string]float64{"a": 100_000, "b": 100_000, "c": 100_000}))
	is.True(isNear(excessPart(share, start, "a"), 0.8))
	is.True(isNear(excessPart(share, start, "b"), 0.6))
	is.True(isNear(excessPart(share, start, "c"), 0.8)) // an invalid weight counts as 1
}

// A few refusals for other reasons than capacity, and a tenant without competitors, lead to no
// marks: these would keep room free that nobody else needs.
func TestNothingIsMarkedWithoutNeed(t *testing.T) {
	is := is.New(t)
	share := New("s")
	share.SetTotals(start, totalsOf(99_000, map[string]float64{"a": 90_000, "b": 10_000}))
	is.Equal(excessPart(share, start, "a"), 0.0)
	share.SetTotals(start, totalsOf(50_000, map[string]float64{"a": 100_000}))
	is.Equal(excessPart(share, start, "a"), 0.0)
	share.SetTotals(start, totalsOf(50_000/(1+growth), map[string]float64{"": 90_000, "a": 10_000}))
	is.True(isNear(excessPart(share, start, ""), 1-40.0/90)) // requests without a tenant count as one
}

// Without recent totals, this gateway's own figures decide. Totals that no longer arrive would
// otherwise mark requests long after a surge, or leave one at a lone gateway unnoticed.
func TestOutdatedTotalsAreReplacedByOwnFigures(t *testing.T) {
	is := is.New(t)
	share := New("s")
	now := start
	for i := range 500 {
		now = now.Add(2 * time.Millisecond)
		tenant := "a"
		if i%10 == 0 {
			tenant = "b"
		}
		request := share.Begin(now, tenant, "", 1000)
		if tenant == "b" || i%9 < 4 {
			share.Admit(now, &request)
		}
	}
	is.True(excessPart(share, now, "a") > 0.4)
	is.Equal(excessPart(share, now, "b"), 0.0)
	share.SetTotals(now, totalsOf(5_000_000/(1+growth), map[string]float64{"a": 500_000, "b": 8_000_000}))
	is.Equal(excessPart(share, now, "a"), 0.0)
	is.True(isNear(excessPart(share, now, "b"), 1-4.5/8))
	is.True(isNear(excessPart(share, now.Add(maxTotalsAge), "b"), 1-4.5/8))
	is.Equal(excessPart(share, now.Add(maxTotalsAge+1), "b"), 0.0)
}

// Of 520 tenants that ask for the same, of which 64 are listed, none is marked: the others would
// get more than the listed ones. A much larger one among them is.
func TestListedTenantsAreNotWorseOffThanOthers(t *testing.T) {
	is := is.New(t)
	share := New("s")
	demands := map[string]float64{"hot": 300_000}
	for i := range 519 {
		demands[fmt.Sprint("tenant-", i)] = 10_000
	}
	share.SetTotals(start, Largest(totalsOf(2_000_000, demands)))
	is.True(excessPart(share, start, "hot") > 0.9)
	for i := range 519 {
		is.Equal(excessPart(share, start, fmt.Sprint("tenant-", i)), 0.0)
	}
}

// A tenant that is gone is forgotten, so that neither the memory nor the messages grow with all
// tenants that ever sent a request.
func TestTenantsThatAreGoneAreForgotten(t *testing.T) {
	is := is.New(t)
	share := New("s")
	for i := range 2000 {
		share.Begin(start.Add(time.Duration(i)*100*time.Millisecond), fmt.Sprint("tenant-", i), "", 1000)
		share.Demands(start.Add(time.Duration(i) * 100 * time.Millisecond))
	}
	is.True(len(share.tenants) < 100)
	now := start.Add(time.Hour)
	is.Equal(share.Demands(now), []Demand{{Service: Key("s")}})
	is.Equal(len(share.tenants), 0)
	is.Equal(len(share.Statuses(now)), 0)
}

// Work that a back end refused counts as refused, not as admitted, also if the refusal comes later.
// Otherwise engines that refuse would seem to have room, and nothing would be marked.
func TestWithdrawnWorkIsNotAdmitted(t *testing.T) {
	is := is.New(t)
	share := New("s")
	request := share.Begin(start, "a", "", 5000)
	share.Admit(start, &request)
	share.Admit(start, &request) // a second attempt
	admitted := share.Demands(start)[0]
	is.Equal(admitted.Admitted, admitted.Demand)
	is.Equal(admitted.Refused, Rate(0))
	later := start.Add(300 * time.Millisecond)
	share.Withdraw(later, &request)
	withdrawn := share.Demands(later)[0]
	is.Equal(withdrawn.Admitted, Rate(0))
	is.True(withdrawn.Refused > 0)
	is.Equal(withdrawn.Unserved, withdrawn.Refused)
}

// Guards against a status page, or a report of metrics, that panics once a tenant has sent nothing for a
// while at a gateway without peers: the assessment that the status rests on forgets the tenant.
func TestStatusesAfterTenantIsForgotten(t *testing.T) {
	is := is.New(t)
	share := New("s")
	share.Begin(start, "gone", "a", 9000)
	is.Equal(len(share.Statuses(start)), 1)
	is.Equal(len(share.Statuses(start.Add(time.Minute))), 0)
}
