// Package limits keeps what a router may spend: its share of every tenant's
// limit, and the budget for further attempts.
//
// The package does no I/O and reads no clock.
package limits

// RetryBudget bounds the attempts that a router makes beyond the first, so that
// an overloaded pool isn't loaded further by retries. Every request adds a
// fraction of an attempt; every further attempt takes a whole one.
type RetryBudget struct {
	ratio    float64
	capacity float64
	tokens   float64
}

// NewRetryBudget returns a full budget. ratio is the number of further attempts
// that a request earns on average; capacity is how many may be saved up.
func NewRetryBudget(ratio, capacity float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, capacity: capacity, tokens: capacity}
}

// Earn notes a new request.
func (b *RetryBudget) Earn() {
	b.tokens = min(b.tokens+b.ratio, b.capacity)
}

// CanSpend tells whether the budget affords a further attempt.
func (b *RetryBudget) CanSpend() bool { return b.tokens >= 1 }

// Spend takes a further attempt from the budget, or returns false.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
