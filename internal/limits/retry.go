// Package limits implements limits that a router or gateway enforces without exchanging
// messages per request: its share of the tenants' rate limits, and its retry budget.
//
// The package does no I/O and reads no clock.
package limits

// RetryBudget bounds the retries that a router makes, so that retries don't add
// load to a pool that is already overloaded. Every request adds a fraction of a
// retry to the budget; every retry takes a whole one.
type RetryBudget struct {
	ratio    float64
	capacity float64
	tokens   float64
}

// NewRetryBudget returns a full budget. ratio is the number of retries that each
// request earns, and capacity the number of retries that may accumulate.
func NewRetryBudget(ratio, capacity float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, capacity: capacity, tokens: capacity}
}

// Earn credits the budget for a new request.
func (b *RetryBudget) Earn() {
	b.tokens = min(b.tokens+b.ratio, b.capacity)
}

// lowShare is the share of the capacity below which a budget counts as low. It is left for the
// retries of requests in flight.
const lowShare = 0.1

// IsLow reports whether the budget is empty or close to it. Spend still allows what is left, so a
// retry after the refusal of an attempt that was sent while the budget wasn't low is most probably
// allowed.
func (b *RetryBudget) IsLow() bool { return b.tokens < 1+lowShare*b.capacity }

// Spend takes one retry from the budget. It returns false if none is left.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
