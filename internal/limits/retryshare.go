package limits

// RetryBudgetShare is one gateway's share of the retry budget of a service. All
// gateways together stay within ratio * requests + extra retries in any window
// without exchanging a message per request: each gateway gets an equal share of
// extra.
type RetryBudgetShare struct {
	ratio    float64
	extra    float64
	gateways int
	tokens   float64
}

// safetyFactor is the fraction of the budget that is used. The rest covers gateways
// that restart with a full share, and a gateway count that is out of date.
const safetyFactor = 0.6

// NewRetryBudgetShare returns the full share of one of the given number of
// gateways. ratio is the number of retries that each request earns, and extra the
// number of retries beyond those that all gateways together may make in any window.
func NewRetryBudgetShare(ratio, extra float64, gateways int) *RetryBudgetShare {
	budget := &RetryBudgetShare{ratio: ratio * safetyFactor, extra: extra * safetyFactor}
	budget.SetGateways(gateways)
	budget.tokens = budget.capacity()
	return budget
}

// SetGateways sets the number of gateways that share the budget.
func (b *RetryBudgetShare) SetGateways(count int) {
	b.gateways = max(count, 1)
	b.tokens = min(b.tokens, b.capacity())
}

func (b *RetryBudgetShare) capacity() float64 { return b.extra / float64(b.gateways) }

// Earn credits the budget for a new request.
func (b *RetryBudgetShare) Earn() { b.tokens = min(b.tokens+b.ratio, b.capacity()) }

// Tokens returns the number of retries that may be made now.
func (b *RetryBudgetShare) Tokens() float64 { return b.tokens }

// TokensAbove returns the number of retries that may be made now if the given fraction of the budget's
// capacity, this gateway's share of the extra retries, is reserved. It may be negative.
func (b *RetryBudgetShare) TokensAbove(reserved float64) float64 {
	return b.tokens - reserved*b.capacity()
}

// Spend takes one retry from the budget. It returns false if none is left.
func (b *RetryBudgetShare) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
