package collect

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// While an operator's order evacuates one zone of four, the other back ends keep the load bound,
// which is relative to the mean over all. If half of a pool were evacuated they couldn't, since
// random variation alone makes loads exceed twice the mean.
func TestLoadBoundIsKeptWhileZonesAreEvacuated(t *testing.T) {
	for _, evacuated := range []int{0, 11} {
		t.Run(fmt.Sprint(evacuated, " of 42 back ends evacuated"), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(23, 42, 64)
			s.runTime = func(_, _ string) time.Duration { return 350 * time.Millisecond }
			var zones []string
			for i := range evacuated {
				zones = append(zones, backEndID(i))
			}
			const perSecond = 550
			for range 3 * time.Second / timeStep {
				s.step(perSecond, 0)
			}
			for _, each := range s.gateways {
				each.core.SetEvacuated(s.now, zones, nil)
			}
			s.sent, s.overBound = 0, 0
			for range window / timeStep {
				s.step(perSecond, 0)
			}
			t.Logf("%d of %d over the bound, %d refused, %d extra prefills of %d parts", s.overBound, s.sent, s.refused, s.extraPrefills, len(s.prefilledAt))
			is.True(float64(s.overBound) <= 0.03*float64(s.sent)) // up to 3% are allowed
		})
	}
}
