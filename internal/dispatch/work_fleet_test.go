package dispatch

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// prediction is the predicted and the actual time to the first token of an attempt.
type prediction struct {
	at                time.Time // of the first token
	predicted, actual time.Duration
}

// tokensOfEvent returns the tokens in the event after which the given number is generated: the first
// event has one token, and each further one ends at a multiple of tokensPerEvent.
func tokensOfEvent(generated int) int {
	if generated == tokensPerEvent {
		return tokensPerEvent - 1
	}
	return min(generated, tokensPerEvent)
}

// predictionErrors returns the errors of the predictions since the time, regardless of their sign, in
// ascending order.
func (f *overloadFleet) predictionErrors(since time.Time) []time.Duration {
	var errors []time.Duration
	for _, each := range f.predictions {
		if !each.at.Before(since) {
			errors = append(errors, (each.actual - each.predicted).Abs())
		}
	}
	slices.Sort(errors)
	return errors
}

func quantile(sorted []time.Duration, fraction float64) time.Duration {
	return sorted[int(fraction*float64(len(sorted)-1))]
}

// Guards against predictions that are off by as much as the shortest objective and so say nothing of
// whether a request is in time. The log shows the errors of the predicted times to the first token, in
// the first three seconds with empty caches and later.
func TestPredictionErrorsOfFleets(t *testing.T) {
	for _, size := range fleetSizes {
		for _, multiple := range []float64{usualShare, 2 * usualShare, 2} {
			t.Run(fmt.Sprint(size.gateways, " gateways, ", multiple, " times capacity"), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newOverloadFleet(1, size.gateways, size.engines)
				f.simulate(3*time.Second, f.multipleOfCapacity(usualShare))
				cold := f.predictionErrors(start)
				f.simulate(3*time.Second, f.multipleOfCapacity(multiple))
				f.simulate(5*time.Second, f.multipleOfCapacity(multiple))
				later := f.predictionErrors(start.Add(6 * time.Second))
				t.Logf("median and 95th percentile: cold %v and %v, later %v and %v",
					quantile(cold, 0.5), quantile(cold, 0.95), quantile(later, 0.5), quantile(later, 0.95))
				is.True(quantile(later, 0.5) < requestClasses[1].route.Objective)
			})
		}
	}
}

// Guards against exchanged unread tokens that say less of the other gateways than the number of their
// streams does, for example because they are counted twice or fall too fast.
func TestExchangedUnreadTokensAreCloserThanAssumedOnes(t *testing.T) {
	for _, size := range fleetSizes[1:] {
		for _, multiple := range []float64{usualShare, 2} {
			t.Run(fmt.Sprint(size.gateways, " gateways, ", multiple, " times capacity"), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newOverloadFleet(3, size.gateways, size.engines)
				f.simulate(3*time.Second, f.multipleOfCapacity(usualShare))
				var exchanged, assumed, actual float64
				for range 40 {
					f.simulate(50*time.Millisecond, f.multipleOfCapacity(multiple))
					for _, engine := range f.engines {
						unread := 0
						for _, core := range f.cores {
							unread += core.members[engine.id].engine.Own().Unread
						}
						for _, core := range f.cores[:10] {
							m := core.members[engine.id]
							others := float64(unread - m.engine.Own().Unread)
							actual += others
							exchanged += math.Abs(core.othersUnread(f.now, m) - others)
							assumed += math.Abs(float64(core.assumedOthersWork(m, core.estimate(f.now, m)).Unread) - others)
						}
					}
				}
				t.Logf("mean error of what others have, relative to its mean: %.2f exchanged, %.2f assumed", exchanged/actual, assumed/actual)
				is.True(exchanged < assumed)
			})
		}
	}
}
