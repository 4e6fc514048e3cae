package limits

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

// However requests are distributed over the gateways, their retries together stay
// within the budget.
func TestRetriesOfAllGatewaysStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, extra = 0.2, 56
		gateways := rapid.IntRange(1, 9).Draw(t, "gateways")
		budgets := make([]*RetryBudgetShare, gateways)
		for i := range budgets {
			budgets[i] = NewRetryBudgetShare(ratio, extra, gateways)
		}
		requests, retries := 0, 0
		for range rapid.IntRange(0, 400).Draw(t, "requests") {
			budget := budgets[rapid.IntRange(0, gateways-1).Draw(t, "gateway")]
			budget.Earn()
			requests++
			for rapid.Bool().Draw(t, "fails") && budget.Spend() {
				retries++
			}
		}
		if float64(retries) > ratio*float64(requests)+extra {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

func TestBudgetShareShrinksWithMoreGateways(t *testing.T) {
	is := is.New(t)
	budget := NewRetryBudgetShare(0.2, 50, 1)
	is.True(budget.Tokens() > 20)
	budget.SetGateways(10)
	is.True(budget.Tokens() <= 5) // tokens accumulated as the only gateway are lost
}
