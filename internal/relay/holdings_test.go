package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// sendAll sends as many holdings as the budget allows in each message until the time is over, and
// returns their number.
func sendAll(budget *holdingsBudget, from time.Time, gateways int, during time.Duration) int {
	sent := 0
	for at := from; at.Before(from.Add(during)); at = at.Add(periodFor(gateways)) {
		available := budget.available(at, gateways)
		budget.spend(at, available)
		sent += available
	}
	return sent
}

// Updates on holdings come in bursts, which are sent at once. What is sent over a long time stays
// within the bytes that control traffic may cost.
func TestHoldingsBurstsAreSentAtOnce(t *testing.T) {
	is := is.New(t)
	for _, gateways := range []int{3, 23, 340} {
		budget := &holdingsBudget{}
		perSecond := holdingsPerLink(gateways)
		sendAll(budget, start, gateways, time.Minute)
		idle := start.Add(2 * time.Minute)
		burst := 5 * periodFor(gateways)
		is.True(float64(sendAll(budget, idle, gateways, burst)) > min(0.9*perSecond*holdingsBurstTime.Seconds(), 4*maxHoldingsPerMessage))
		idle = idle.Add(time.Minute)
		least := minHoldingsPerMessage / periodFor(gateways).Seconds()
		sent := float64(sendAll(budget, idle, gateways, time.Minute))
		is.True(sent <= 60*max(perSecond, least)+perSecond*holdingsBurstTime.Seconds()+minHoldingsPerMessage)
		is.True(sent > 0.9*60*min(perSecond, maxHoldingsPerMessage/periodFor(gateways).Seconds()))
	}
}
