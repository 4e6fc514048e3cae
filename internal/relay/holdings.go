package relay

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// holdingsPerSecond limits the holdings that a gateway sends to all of its neighbours together.
	// At about 12 bytes each, they are a part of the 16 KB/s that control traffic may cost. Beyond
	// fullRateGateways gateways, where more links share the bytes, the limit falls in inverse
	// proportion to the number of gateways; minHoldingsPerMessage may be sent in each message
	// regardless.
	holdingsPerSecond     = 500
	minHoldingsPerMessage = 4
	// maxHoldingsPerMessage limits the holdings of one message, so that it stays shorter than
	// compressionThreshold: a compressor takes a megabyte of memory.
	maxHoldingsPerMessage = 40
	// holdingsBurstTime is the time over which unused budget accumulates. Holdings change in
	// bursts: while caches fill, or prompt parts move to other back ends, the rate is ten times the
	// usual. A gateway that learns of a holder seconds late has the part prefilled again elsewhere.
	// With 4 s instead of none, 23 gateways in front of 42 engines had a quarter fewer shared
	// tokens prefilled again.
	holdingsBurstTime = 4 * time.Second
)

// holdingsBudget limits the holdings that are sent on one connection. It starts full, since a peer
// that has just started knows of no holdings.
type holdingsBudget struct {
	limiter *rate.Limiter
}

// available returns how many holdings may be sent now, in a fleet of the given number of gateways.
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

// spend deducts holdings that were sent.
func (b *holdingsBudget) spend(now time.Time, count int) {
	b.limiter.ReserveN(now, min(count, b.limiter.Burst()))
}

// holdingsPerLink returns how many holdings per second may be sent on one connection, in a fleet of
// the given number of gateways.
func holdingsPerLink(gateways int) float64 {
	perSecond := holdingsPerSecond * min(1, fullRateGateways/float64(gateways))
	return perSecond / float64(max(1, linkCount(gateways)))
}
