package simulation

import "testing"

// runFullLength runs a scenario for its own duration.
func runFullLength(t *testing.T, scenario string, seed uint64) {
	t.Helper()
	chosen, ok := ScenarioByName(scenario)
	if !ok {
		t.Fatalf("no scenario %s", scenario)
	}
	size, _ := SizeByName("small")
	result := runSimulation(t, chosen.Options(seed, size, Policies()[0], chosen.Duration))
	if result.Broken() {
		t.Fatalf("broken promises:\n%s", formatReport(result))
	}
}

// TestLoadBoundHoldsInFreezeSeed770431 runs a seed beyond those of
// TestPromisesHoldInEveryScenario. The failure that it guards against: s-001 takes load 5
// over the bound 4 at 285.832 s.
func TestLoadBoundHoldsInFreezeSeed770431(t *testing.T) { runFullLength(t, "freeze", 770431) }

// TestLoadBoundHoldsInPartitionSeed424201 runs a seed beyond those of
// TestPromisesHoldInEveryScenario. The failure that it guards against: e0-004 takes load 9
// over the bound 8 at 203.806 s.
func TestLoadBoundHoldsInPartitionSeed424201(t *testing.T) { runFullLength(t, "partition", 424201) }
