package limits

import (
	"time"

	"golang.org/x/time/rate"
)

// minShareBurst lets a router with a tiny share still take a few requests that
// the balancer happens to send it together.
const minShareBurst = 4

// Limit is a tenant's limit across the fleet.
type Limit struct {
	// PerSecond is the rate in requests a second; 0 sets no limit.
	PerSecond float64
	// Burst is how many requests may come at once above the rate.
	Burst float64
}

// TenantLimiter holds a router's shares of the tenants' limits. The share is
// the limit divided by the number of live routers: the balancer spreads callers
// evenly, so no message is needed. The fair queue at the gates guards the other
// tenants where the balancer is uneven.
type TenantLimiter struct {
	routers  int
	limits   map[string]Limit
	limiters map[string]*rate.Limiter
}

// NewTenantLimiter returns a limiter for one router without any limit.
func NewTenantLimiter() *TenantLimiter {
	return &TenantLimiter{routers: 1, limits: map[string]Limit{}, limiters: map[string]*rate.Limiter{}}
}

// Configure replaces the limits. A tenant whose share didn't change keeps the
// tokens it has.
func (l *TenantLimiter) Configure(now time.Time, limits map[string]Limit) {
	l.limits = limits
	for tenant := range l.limiters {
		if _, kept := limits[tenant]; !kept {
			delete(l.limiters, tenant)
		}
	}
	l.applyShares(now)
}

// SetRouters notes the number of live routers, this one included.
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

// Allow takes one request from the tenant's share. When the share is spent, it
// returns false and the time until one more is there.
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
