package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/fairshare"
)

// newFairShareCore returns a core with one engine that has room for 11 requests.
func newFairShareCore(disabled ...Mechanism) *Core {
	config := DefaultConfig()
	config.Disabled = Disabled{}
	for _, each := range disabled {
		config.Disabled[each] = true
	}
	core := New(config)
	core.SetServices([]catalog.Service{{Name: "s", CachesPrefixes: true, CacheTokens: 400_000}, {Name: "plain"}})
	core.SetBackEnds(start, backEnds(1, 8))
	return core
}

func tenantRequest(tenant, id string) Request {
	request := request(repeatable(1), id, Part{ID: "system", Tokens: 900}, Part{ID: "own-" + id, Tokens: 100})
	request.Tenant = tenant
	return request
}

// surge sends 40 requests of tenant "hot" and 4 of "other" to the core, which has room for a
// quarter of them, and returns when it ended.
func surge(core *Core) time.Time {
	now := start
	for i := range 44 {
		now = now.Add(10 * time.Millisecond)
		tenant := "hot"
		if i%11 == 0 {
			tenant = "other"
		}
		core.Begin(now, tenantRequest(tenant, fmt.Sprint(i)))
	}
	return now
}

// marked returns how many of 100 further requests of the tenant would be in excess.
func marked(core *Core, now time.Time, tenant string) int {
	count := 0
	for i := range 100 {
		if share := core.fairShares["s"]; share != nil && share.Excess(now, tenant, fmt.Sprint("later-", i)) {
			count++
		}
	}
	return count
}

// Requests of the tenant that asks for too much are marked, and only those.
func TestRequestsBeyondTheTenantsShareAreExcess(t *testing.T) {
	is := is.New(t)
	core := newFairShareCore()
	now := surge(core)
	is.True(marked(core, now, "hot") > 50)
	is.Equal(marked(core, now, "other"), 0)
	statuses := core.ServiceStatuses(now)[0].Tenants
	is.Equal(len(statuses), 2)
	is.Equal(statuses[0].Name, "hot")
	is.True(statuses[0].Demand > statuses[0].Share && statuses[1].Demand <= statuses[1].Share)
	excess := 0
	for i := range 20 {
		x, decision := core.Begin(now, tenantRequest("hot", fmt.Sprint("again-", i)))
		is.True(decision.GiveUp != nil)
		if x.Excess() {
			excess++
		}
	}
	is.True(excess > 10)
}

// Requests of services without engines whose memory is known, requests whose tokens are unknown,
// and all requests without the mechanism are served as before.
func TestFairSharesApplyOnlyWhereTokensAreKnown(t *testing.T) {
	is := is.New(t)
	core := newFairShareCore(FairShare)
	is.Equal(marked(core, surge(core), "hot"), 0)
	core = newFairShareCore()
	now := surge(core)
	unknown, _ := core.Begin(now, Request{ID: "x", Route: repeatable(1), Tenant: "hot", Deadline: now.Add(time.Minute)})
	is.True(!unknown.Excess())
	core.SetServices([]catalog.Service{{Name: "s"}})
	is.Equal(marked(core, now, "hot"), 0)
	is.Equal(len(core.Demands(now)), 0)
}

// Guards against requests that are counted with too little work because they don't state their tokens,
// and against chats each of whose requests is drawn by itself.
func TestWorkOfARequest(t *testing.T) {
	is := is.New(t)
	parts := []Part{{ID: "a", Tokens: 900}, {ID: "b", Tokens: 100}}
	is.Equal((&Request{Parts: parts}).work(), 1000.0)
	is.Equal((&Request{Parts: parts, PromptTokens: 1200, OutputTokens: 50}).work(), 1700.0)
	is.Equal((&Request{ID: "r", Parts: parts}).shareKey(), "b")
	is.Equal((&Request{ID: "r", Parts: parts[:1]}).shareKey(), "r") // a sole part is shared
}

// A gateway that sees nothing of a surge itself marks the tenant's requests by what the others
// report, in a small fleet by peers and in a large one by totals, until that is outdated.
func TestDemandsOfOtherGatewaysCount(t *testing.T) {
	for _, large := range []bool{false, true} {
		t.Run(fmt.Sprint("large ", large), func(t *testing.T) {
			is := is.New(t)
			busy, idle := newFairShareCore(), newFairShareCore()
			now := surge(busy)
			if large {
				idle.ApplyTotals(now, nil, Totals{Counted: 1, Expected: 1, Tenants: busy.Demands(now)})
				idle.SetPeerDemands(now, "g2", []fairshare.Demand{{Service: fairshare.Key("s")}}) // totals go first
			} else {
				idle.SetPeerDemands(now, "g2", busy.Demands(now))
			}
			is.True(marked(idle, now, "hot") > 50)
			is.Equal(marked(idle, now, "other"), 0)
			is.Equal(marked(idle, now.Add(2*time.Second), "hot"), 0)
		})
	}
}

// A request that no back end took doesn't count as admitted.
func TestRefusedAttemptsAreNotAdmitted(t *testing.T) {
	is := is.New(t)
	core := newFairShareCore()
	x, decision := core.Begin(start, tenantRequest("a", "1"))
	is.True(decision.Send != nil)
	is.Equal(core.Demands(start)[0].Refused, fairshare.Rate(0))
	is.True(core.Refused(start, x).GiveUp != nil)
	is.Equal(core.Demands(start)[0].Admitted, fairshare.Rate(0))
	is.True(core.Demands(start)[0].Refused > 0)
}
