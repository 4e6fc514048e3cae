package limits

// ShareOfBudget bounds the further attempts of one gateway for one service, so
// that all gateways together stay within ratio x requests + extra in any window,
// without a message per request: each keeps a like share of extra.
type RetryBudgetShare struct {
	ratio    float64
	extra    float64
	gateways int
	tokens   float64
}

// safeShare is the part of the allowance that is used; the rest covers gateways
// that start anew with a full share, and a count of gateways that lags.
const safetyFactor = 0.6

// NewShareOfBudget returns the budget for one of the gateways. ratio is the
// number of further attempts per request and extra the number beyond that in a
// window.
func NewRetryBudgetShare(ratio, extra float64, gateways int) *RetryBudgetShare {
	budget := &RetryBudgetShare{ratio: ratio * safetyFactor, extra: extra * safetyFactor}
	budget.SetGateways(gateways)
	budget.tokens = budget.capacity()
	return budget
}

// SetGateways notes how many gateways share the budget.
func (b *RetryBudgetShare) SetGateways(count int) {
	b.gateways = max(count, 1)
	b.tokens = min(b.tokens, b.capacity())
}

func (b *RetryBudgetShare) capacity() float64 { return b.extra / float64(b.gateways) }

// Earn notes a new request.
func (b *RetryBudgetShare) Earn() { b.tokens = min(b.tokens+b.ratio, b.capacity()) }

// Tokens returns how many further attempts may be made at once.
func (b *RetryBudgetShare) Tokens() float64 { return b.tokens }

// Spend takes one further attempt, or returns false.
func (b *RetryBudgetShare) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
