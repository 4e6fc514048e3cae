package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// tellAll tells as many holdings as the budget leaves in each message until the time is
// over, and returns their sum.
func tellAll(budget *holdingsBudget, from time.Time, gateways int, during time.Duration) int {
	told := 0
	for at := from; at.Before(from.Add(during)); at = at.Add(periodFor(gateways)) {
		left := budget.left(at, gateways)
		budget.spend(at, left)
		told += left
	}
	return told
}

// News of holders comes in waves, which are told at once; what is told over a long time
// stays within the bytes that control may cost.
func TestWavesOfHoldingsAreToldAtOnce(t *testing.T) {
	is := is.New(t)
	for _, gateways := range []int{3, 23, 340} {
		budget := &holdingsBudget{}
		perSecond := holdingsPerLink(gateways)
		tellAll(budget, start, gateways, time.Minute)
		rested := start.Add(2 * time.Minute)
		wave := 5 * periodFor(gateways)
		is.True(float64(tellAll(budget, rested, gateways, wave)) > min(0.9*perSecond*holdingsSaved.Seconds(), 4*mostHoldings))
		rested = rested.Add(time.Minute)
		least := leastHoldings / periodFor(gateways).Seconds()
		told := float64(tellAll(budget, rested, gateways, time.Minute))
		is.True(told <= 60*max(perSecond, least)+perSecond*holdingsSaved.Seconds()+leastHoldings)
		is.True(told > 0.9*60*min(perSecond, mostHoldings/periodFor(gateways).Seconds()))
	}
}
