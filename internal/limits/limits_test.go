package limits

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRetryBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	budget := NewRetryBudget(0.25, 10)
	retries := 0
	for range 1000 {
		budget.Earn()
		for budget.Spend() {
			retries++
		}
	}
	is.Equal(retries, 10+249) // the initial budget, and one retry for every four requests
}

// Guards against a budget that counts as low only when it is empty: requests in
// flight would then count on a retry that another one takes.
func TestLowRetryBudgetStillAllowsRetries(t *testing.T) {
	is := is.New(t)
	budget := NewRetryBudget(0.5, 50)
	is.True(!budget.IsLow())
	for !budget.IsLow() {
		is.True(budget.Spend())
	}
	left := 0
	for budget.Spend() {
		left++
	}
	is.True(left >= 5)
	is.True(NewRetryBudget(0, 0).IsLow())
}

func TestRouterEnforcesItsShareOfTenantLimit(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_800_000_000, 0)
	limiter := NewTenantLimiter()
	limiter.SetRouters(start, 4)
	limiter.Configure(start, map[string]Limit{"t": {PerSecond: 40, Burst: 40}})
	allowed := 0
	for i := range 1000 { // 100 requests/s for 10 s at one of four routers
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		ok, wait := limiter.Allow(now, "t")
		if ok {
			allowed++
		} else {
			is.True(wait > 0 && wait <= 100*time.Millisecond) // until the next token
		}
		unlimited, _ := limiter.Allow(now, "unlimited")
		is.True(unlimited)
	}
	is.True(allowed >= 109 && allowed <= 111) // 10 requests/s and a burst of 10
}
