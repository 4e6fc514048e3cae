package router

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/failure"
)

const (
	// refusalMemory is the time in which a request's weight in the share of refused
	// requests falls to 1/e. It is longer than a request may wait, so that a refusal and
	// the request that it belongs to count together.
	refusalMemory = 10 * time.Second
	// fewRequests is the number of requests that are added to the recent ones, as not
	// refused: the share of a few requests says little about the pool.
	fewRequests = 5
	// maxGrownDelay bounds the mean of a grown retry delay: after a longer one, callers
	// would stay away from a pool that has room again.
	maxGrownDelay = 10 * time.Second
)

// poolRefusals measures the share of a pool's recent requests at this router that was refused
// for lack of room. Callers are spread over the routers, so other routers refuse about the
// same share. Both counts decay with refusalMemory.
type poolRefusals struct {
	requests  float64
	refused   float64
	updatedAt time.Time
}

// decay reduces the weight of what was counted before now.
func (p *poolRefusals) decay(now time.Time) {
	if elapsed := now.Sub(p.updatedAt); elapsed > 0 {
		kept := math.Exp(-elapsed.Seconds() / refusalMemory.Seconds())
		p.requests *= kept
		p.refused *= kept
		p.updatedAt = now
	}
}

func (p *poolRefusals) addRequest(now time.Time) {
	p.decay(now)
	p.requests++
}

func (p *poolRefusals) addRefusal(now time.Time) {
	p.decay(now)
	p.refused++
}

// share returns the share of refused requests, from 0 to 1.
func (p *poolRefusals) share(now time.Time) float64 {
	p.decay(now)
	return min(1, p.refused/(p.requests+fewRequests))
}

// retryDelay returns the retry delay for a refusal that states the time until there may
// be room, when the given share of the pool's requests is refused. A caller sends
// 1/(1-share) requests on average until one is served, so the delay grows by that factor,
// up to maxGrownDelay. What is added is spread from half to one and a half times its mean,
// by a hash of the request's ID: callers that are refused together don't retry together.
func retryDelay(stated time.Duration, share float64, requestID string) time.Duration {
	grown := maxGrownDelay
	if served := 1 - share; stated.Seconds() < served*maxGrownDelay.Seconds() {
		grown = time.Duration(float64(stated) / served)
	}
	added := max(0, grown-stated)
	return stated + time.Duration(float64(added)*(0.5+hashFraction(requestID)))
}

// hashFraction returns a number from 0 to 1 that depends only on the request's ID.
func hashFraction(requestID string) float64 {
	return float64(xxhash.Sum64String("retry delay "+requestID)) / math.MaxUint64
}

// meansNoRoom reports whether a request that ends with the kind found no room in the pool.
func meansNoRoom(kind failure.Kind) bool {
	switch kind {
	case failure.OverBound, failure.QueueFull, failure.PoolExhausted, failure.DeadlineUnmeetable:
		return true
	default:
		return false
	}
}

// giveUp ends a request that was not run with the error. If the pool had no room, the
// retry delay grows with the share of the pool's requests that is refused.
func (c *Core) giveUp(now time.Time, exchange *Exchange, err *failure.Error) Decision {
	if meansNoRoom(err.Kind) {
		refusals := c.refusalsOf(exchange.request.Pool)
		err.RetryAfter = retryDelay(err.RetryDelay(), refusals.share(now), exchange.request.ID)
		refusals.addRefusal(now)
	}
	return Decision{GiveUp: err}
}

// refusalsOf returns the refusals of the pool, which it starts to record if there are none.
func (c *Core) refusalsOf(pool string) *poolRefusals {
	known := c.refusals[pool]
	if known == nil {
		known = &poolRefusals{}
		c.refusals[pool] = known
	}
	return known
}
