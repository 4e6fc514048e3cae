package limits

import (
	"time"

	"golang.org/x/time/rate"
)

// minShareBurst lets a router with a tiny share still accept a few requests that
// the load balancer happens to send it at once.
const minShareBurst = 4

// Limit is a tenant's rate limit across the fleet.
type Limit struct {
	// PerSecond is the rate in requests per second; 0 means no limit.
	PerSecond float64
	// Burst is the number of requests above the rate that may arrive at once.
	Burst float64
}

// TenantLimiter enforces one router's share of each tenant's limit. The share is
// the limit divided by the number of live routers: the load balancer spreads
// callers evenly, so routers need not exchange messages. Where the balancer is
// uneven, the fair queue at the agents' gates protects the other tenants.
type TenantLimiter struct {
	routers  int
	limits   map[string]Limit
	limiters map[string]*rate.Limiter
}

// NewTenantLimiter returns a limiter for a fleet of one router, with no limits.
func NewTenantLimiter() *TenantLimiter {
	return &TenantLimiter{routers: 1, limits: map[string]Limit{}, limiters: map[string]*rate.Limiter{}}
}

// Configure replaces the limits. A tenant that still has a limit keeps its remaining
// tokens, up to its new burst.
func (l *TenantLimiter) Configure(now time.Time, limits map[string]Limit) {
	l.limits = limits
	for tenant := range l.limiters {
		if _, kept := limits[tenant]; !kept {
			delete(l.limiters, tenant)
		}
	}
	l.applyShares(now)
}

// SetRouters sets the number of live routers, including this one. It ignores a number
// below 1.
func (l *TenantLimiter) SetRouters(now time.Time, routers int) {
	if routers < 1 || routers == l.routers {
		return
	}
	l.routers = routers
	l.applyShares(now)
}

func (l *TenantLimiter) applyShares(now time.Time) {
	for tenant, limiter := range l.limiters {
		perSecond, burst := l.share(tenant)
		limiter.SetLimitAt(now, perSecond)
		limiter.SetBurstAt(now, burst)
	}
}

func (l *TenantLimiter) share(tenant string) (rate.Limit, int) {
	limit := l.limits[tenant]
	burst := max(minShareBurst, int(limit.Burst/float64(l.routers)))
	return rate.Limit(limit.PerSecond / float64(l.routers)), burst
}

// Allow takes one request from the tenant's share. If the share is used up, it
// returns false and the time until the next request is allowed.
func (l *TenantLimiter) Allow(now time.Time, tenant string) (ok bool, wait time.Duration) {
	if l.limits[tenant].PerSecond <= 0 {
		return true, 0
	}
	limiter, known := l.limiters[tenant]
	if !known {
		limiter = rate.NewLimiter(l.share(tenant))
		l.limiters[tenant] = limiter
	}
	reservation := limiter.ReserveN(now, 1)
	wait = reservation.DelayFrom(now)
	if wait == 0 {
		return true, 0
	}
	reservation.CancelAt(now)
	return false, wait
}
