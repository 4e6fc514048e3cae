package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against the starvation of a class or a size under overload: none may be served less than a
// quarter as often as all.
func TestNoClassOrSizeIsStarvedUnderOverload(t *testing.T) {
	const warmUp, measured = 3 * time.Second, 5 * time.Second
	filters := map[string]func(c *caller) bool{
		"own part up to 100 tokens":       func(c *caller) bool { return c.own <= 100 },
		"own part from 100 to 500 tokens": func(c *caller) bool { return c.own > 100 && c.own <= 500 },
		"own part over 500 tokens":        func(c *caller) bool { return c.own > 500 },
		"output up to 30 tokens":          func(c *caller) bool { return c.output <= 30 },
		"output from 30 to 200 tokens":    func(c *caller) bool { return c.output > 30 && c.output <= 200 },
		"output over 200 tokens":          func(c *caller) bool { return c.output > 200 },
	}
	for i := range requestClasses {
		filters["class "+requestClasses[i].name] = func(c *caller) bool { return c.class == &requestClasses[i] }
	}
	for _, size := range fleetSizes {
		for _, multiple := range []float64{2, 4} {
			t.Run(fmt.Sprint(size.gateways, " gateways, ", multiple, " times capacity"), func(t *testing.T) {
				t.Parallel()
				is := is.NewRelaxed(t)
				f := newOverloadFleet(6, size.gateways, size.engines)
				f.simulate(warmUp+measured, f.multipleOfCapacity(multiple))
				f.simulate(15*time.Second, loadShape{}) // until the last deadline
				all := f.outcomesOf(warmUp, warmUp+measured, everyCaller)
				t.Logf("%-31s %.3f served", "all", all.servedShare())
				for _, name := range slices.Sorted(maps.Keys(filters)) {
					share := f.outcomesOf(warmUp, warmUp+measured, filters[name]).servedShare()
					t.Logf("%-31s %.3f served", name, share)
					is.True(share >= 0.25*all.servedShare())
				}
			})
		}
	}
}

// Guards against one tenant that takes the capacity of all others.
func TestOneTenantAtThirtyTimesItsLoadHarmsNoOther(t *testing.T) {
	// Without the tenant's load, all are served; with it, capacity is short.
	const usual, warmUp, measured = 0.6, 4 * time.Second, 8 * time.Second
	for _, size := range fleetSizes {
		t.Run(fmt.Sprint(size.gateways, " gateways"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			run := func(largeTenant float64) *overloadFleet {
				f := newOverloadFleet(7, size.gateways, size.engines)
				f.simulate(warmUp, f.multipleOfCapacity(usual))
				load := f.multipleOfCapacity(usual * (overloadTenants - 1 + largeTenant) / overloadTenants)
				load.largeTenant = largeTenant
				f.simulate(measured, load)
				f.simulate(15*time.Second, loadShape{}) // until the last deadline
				return f
			}
			without, with := run(1), run(30)
			lowest := 1.0
			for tenant := range overloadTenants {
				share := func(f *overloadFleet) float64 {
					return f.outcomesOf(warmUp, warmUp+measured, func(c *caller) bool { return c.tenant == tenant }).servedShare()
				}
				if tenant == 0 {
					t.Logf("tenant 0: %.3f served, %.3f at 30 times its load", share(without), share(with))
					continue
				}
				lowest = min(lowest, share(with)-share(without))
			}
			t.Logf("largest change of another tenant's served share: %.3f", lowest)
			is.True(lowest >= -0.05)
		})
	}
}
