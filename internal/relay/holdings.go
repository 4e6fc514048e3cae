package relay

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// holdingsPerSecond bounds the holdings that a gateway tells all of its neighbours
	// together, at about 12 bytes each: a part of the 16 KB a second that control may
	// cost. Beyond quickGateways, where more links share the bytes, it falls with their
	// number; leastHoldings may be told in each message all the same.
	holdingsPerSecond     = 500
	minHoldingsPerMessage = 4
	// mostHoldings bounds those of one message, which stays shorter than those that are
	// compressed: a compressor takes a megabyte.
	maxHoldingsPerMessage = 40
	// holdingsSaved is the time for which what wasn't told is saved up. News comes in
	// waves: while caches fill, or homes move, it is ten times the usual, and a gateway
	// that hears of a holder seconds late has the part read again elsewhere. With 4 s in
	// place of none, 23 gateways before 42 engines had a quarter of the shared tokens
	// read again less.
	holdingsBurstTime = 4 * time.Second
)

// holdingsBudget bounds the holdings that are told on one connection. It begins full: who
// has just started knows of none.
type holdingsBudget struct {
	limiter *rate.Limiter
}

// left returns how many holdings may be told now, in a fleet of so many gateways.
func (b *holdingsBudget) available(now time.Time, gateways int) int {
	perSecond := holdingsPerLink(gateways)
	limit, burst := rate.Limit(perSecond), max(minHoldingsPerMessage, int(perSecond*holdingsBurstTime.Seconds()))
	switch {
	case b.limiter == nil:
		b.limiter = rate.NewLimiter(limit, burst)
	case b.limiter.Limit() != limit:
		b.limiter.SetLimitAt(now, limit)
		b.limiter.SetBurstAt(now, burst)
	}
	return min(max(minHoldingsPerMessage, int(b.limiter.TokensAt(now))), maxHoldingsPerMessage)
}

// spend takes holdings that were told off the budget.
func (b *holdingsBudget) spend(now time.Time, count int) {
	b.limiter.ReserveN(now, min(count, b.limiter.Burst()))
}

// holdingsPerLink returns how many holdings a second may be told on one connection in a
// fleet of so many gateways.
func holdingsPerLink(gateways int) float64 {
	perSecond := holdingsPerSecond * min(1, fullRateGateways/float64(gateways))
	return perSecond / float64(max(1, linkCount(gateways)))
}
