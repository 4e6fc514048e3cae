package workload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// If requests are refused whose predicted time to the first token is too long, the number served in
// time doesn't fall beyond its peak. It would if predictions stayed too low under overload, so that
// requests were sent only to wait, or grew with each late answer until nearly all were refused.
func TestRefusalByPredictionKeepsGoodput(t *testing.T) {
	for _, gateways := range []int{1, 22, 340} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			is := is.New(t)
			highest, last := 0, 0
			for _, load := range []float64{0.5, 1, 2, 4, 8} {
				served, refused, errors := servedInTime(gateways, load)
				t.Logf("load %v: %d served in time, %d refused, errors %+v", load, served, refused, errors)
				highest, last = max(highest, served), served
			}
			is.True(float64(last) >= 0.9*float64(highest))
		})
	}
}

// servedInTime returns how many requests are served within the objective, in 30 s at a multiple of
// the engine's capacity.
func servedInTime(gateways int, load float64) (served, refused int, errors ErrorSummary) {
	const (
		objective = 1200 * time.Millisecond
		// admitted leaves room for what the gateways don't know of each other yet.
		admitted = objective * 7 / 10
		// capacity is in requests per second: 4,100 tokens each at 57 per millisecond, 1.15 times
		// slower, and decode steps.
		capacity = 10
	)
	random := rand.New(rand.NewPCG(1, 2))
	fleet := newSimulatedFleet(gateways, constant(1.15))
	sizes := []int{130, 1200, 4000, 11_800, 600, 7000}
	end := start.Add(30 * time.Second)
	for at := start; at.Before(end); at = at.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / (capacity * load))) {
		fleet.advance(at)
		i := random.IntN(gateways)
		size := Size{Unread: sizes[random.IntN(len(sizes))], Memory: 300, Output: 80}
		if fleet.gateways[i].Predict(fleet.engine.now, fleet.others[i], size).FirstToken > admitted {
			refused++
			continue
		}
		began := fleet.engine.now
		fleet.send(i, size, func(now time.Time) {
			if now.Sub(began) <= objective {
				served++
			}
		})
	}
	fleet.advance(end)
	return served, refused, fleet.errors.Summary(end)
}
