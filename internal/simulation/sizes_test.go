package simulation

import (
	"fmt"
	"testing"
	"time"
)

// TestNothingIsHeldBackAtTheUsersSizes guards against requests that are given up only after
// 12 to 16 s, at beridze's size in a fleet without faults. This happens if each attempt
// waits its full time for the load bound, one after the other.
func TestNothingIsHeldBackAtTheUsersSizes(t *testing.T) {
	const duration = 90 * time.Second
	for _, name := range []string{"swan-coast", "beridze"} {
		for _, scenario := range []string{"steady", "churn"} {
			for _, seed := range []uint64{5150, 5153} {
				t.Run(fmt.Sprint(scenario, " of ", name, " seed ", seed), func(t *testing.T) {
					t.Parallel()
					chosen, _ := ScenarioByName(scenario)
					size, _ := SizeByName(name)
					result := runSimulation(t, chosen.Options(seed, size, Policies()[0], duration))
					if result.Broken() {
						t.Fatalf("broken promises:\n%s", formatReport(result))
					}
				})
			}
		}
	}
}
