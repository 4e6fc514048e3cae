package limits

// ShareOfBudget bounds the further attempts of one gateway for one service, so
// that all gateways together stay within ratio x requests + extra in any window,
// without a message per request: each keeps a like share of extra.
type ShareOfBudget struct {
	ratio    float64
	extra    float64
	gateways int
	tokens   float64
}

// safeShare is the part of the allowance that is used; the rest covers gateways
// that start anew with a full share, and a count of gateways that lags.
const safeShare = 0.6

// NewShareOfBudget returns the budget for one of the gateways. ratio is the
// number of further attempts per request and extra the number beyond that in a
// window.
func NewShareOfBudget(ratio, extra float64, gateways int) *ShareOfBudget {
	budget := &ShareOfBudget{ratio: ratio * safeShare, extra: extra * safeShare}
	budget.SetGateways(gateways)
	budget.tokens = budget.capacity()
	return budget
}

// SetGateways notes how many gateways share the budget.
func (b *ShareOfBudget) SetGateways(count int) {
	b.gateways = max(count, 1)
	b.tokens = min(b.tokens, b.capacity())
}

func (b *ShareOfBudget) capacity() float64 { return b.extra / float64(b.gateways) }

// Earn notes a new request.
func (b *ShareOfBudget) Earn() { b.tokens = min(b.tokens+b.ratio, b.capacity()) }

// Tokens returns how many further attempts may be made at once.
func (b *ShareOfBudget) Tokens() float64 { return b.tokens }

// Spend takes one further attempt, or returns false.
func (b *ShareOfBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
