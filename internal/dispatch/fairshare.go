package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/fairshare"
)

// The fair shares of tenants are kept for services of engines whose memory is known, and for
// requests whose tokens are known. The demands of tenants are exchanged like the loads of back
// ends: in a large fleet as totals, in a small one directly.

// outputCost is the work of one output token, in prompt tokens. An engine prefills 57 tokens per
// millisecond, and with 40 streams it decodes 5.
const outputCost = 10

// work returns the request's work in prompt tokens, or 0 if it is unknown.
func (r *Request) work() float64 {
	if r.PromptTokens > 0 || r.OutputTokens > 0 {
		return float64(r.PromptTokens + outputCost*r.OutputTokens)
	}
	return float64(r.partTokens())
}

// shareKey returns the key by which requests are drawn as excess: the part of the prompt that
// belongs to the request or its chat, or the request's ID. A chat that is served thus goes on to
// be served.
func (r *Request) shareKey() string {
	if len(r.Parts) > 1 {
		return r.Parts[len(r.Parts)-1].ID
	}
	return r.ID
}

// updateFairShares creates and removes the fair shares according to the settings of the services.
func (c *Core) updateFairShares() {
	maps.DeleteFunc(c.fairShares, func(name string, _ *fairshare.Share) bool { return c.services[name].CacheTokens <= 0 })
	for name, service := range c.services {
		if service.CacheTokens > 0 && c.fairShares[name] == nil && !c.config.Disabled[FairShare] {
			c.fairShares[name] = fairshare.New(name)
		}
	}
}

// noteDemand counts the request's work as asked for, and determines whether the request is beyond
// its tenant's fair share.
func (c *Core) noteDemand(now time.Time, x *Exchange) {
	share, work := c.fairShares[x.service], x.request.work()
	if share != nil && work > 0 {
		x.counted = share.Begin(now, x.request.Tenant, x.request.shareKey(), work)
		x.share = share
	}
}

// noteAdmitted counts the request's work as admitted, at the first of its attempts.
func (c *Core) noteAdmitted(now time.Time, x *Exchange) {
	if x.share != nil {
		x.share.Admit(now, &x.counted)
	}
}

// noteGivenUp records that the request is given up. Work that no back end took no longer counts as
// admitted.
func (c *Core) noteGivenUp(now time.Time, x *Exchange) {
	if x.share != nil && x.ran == failure.RanNo {
		x.share.Withdraw(now, &x.counted)
	}
}

// Demands returns the demands of the largest tenants at this gateway, to be summed up over all
// gateways.
func (c *Core) Demands(now time.Time) []fairshare.Demand {
	var list []fairshare.Demand
	for _, name := range slices.Sorted(maps.Keys(c.fairShares)) {
		list = append(list, c.fairShares[name].Demands(now)...)
	}
	return fairshare.Largest(list)
}

// setTenantTotals sets the demands of tenants, summed up over the given number of gateways.
func (c *Core) setTenantTotals(now time.Time, totals []fairshare.Demand, counted int) {
	c.demandsCounted = counted
	for _, share := range c.fairShares {
		share.SetTotals(now, totals)
	}
}

// partOfDemand returns the part of the requests to the service that reaches this gateway: an equal one,
// unless the gateways' demands show that callers prefer this gateway; see fairshare.Share.Part.
func (c *Core) partOfDemand(now time.Time, service string) float64 {
	share := c.fairShares[service]
	if share == nil || c.config.Disabled[UnevenCallers] {
		return 1 / float64(c.gateways)
	}
	return share.Part(now, c.gateways, c.demandsCounted)
}

// peerDemands are the demands of tenants that a peer reported.
type peerDemands struct {
	at      time.Time
	demands []fairshare.Demand
}

// SetPeerDemands replaces the demands of tenants that a peer reported before. In a large fleet
// peers report none, and totals are used instead.
func (c *Core) SetPeerDemands(now time.Time, peer string, demands []fairshare.Demand) {
	if len(demands) == 0 || len(c.fairShares) == 0 || c.totalsAreFresh(now) {
		delete(c.peerDemands, peer)
		return
	}
	c.peerDemands[peer] = peerDemands{at: now, demands: demands}
	maps.DeleteFunc(c.peerDemands, func(_ string, each peerDemands) bool { return now.Sub(each.at) > maxPeerLoadAge })
	lists := [][]fairshare.Demand{c.Demands(now)}
	for _, each := range c.peerDemands {
		lists = append(lists, each.demands)
	}
	c.setTenantTotals(now, fairshare.Sum(lists...), len(lists))
}
