package simulation

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

// testFailer is the common interface of *testing.T and *rapid.T.
type testFailer interface {
	Helper()
	Fatal(arguments ...any)
}

func init() {
	// A run takes half a second, and several under the race detector.
	if err := flag.Set("rapid.checks", "30"); err != nil {
		panic(err)
	}
}

func runSimulation(t testFailer, options Options) Result {
	t.Helper()
	s, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	return s.Run()
}

func scenarioOptions(t testing.TB, scenario string, seed uint64) Options {
	t.Helper()
	chosen, ok := ScenarioByName(scenario)
	if !ok {
		t.Fatalf("no scenario %s", scenario)
	}
	size, _ := SizeByName("small")
	duration := 2 * time.Minute
	if scenario == "ownership" {
		duration = chosen.Duration // an ownership handover takes minutes
	}
	return chosen.Options(seed, size, Policies()[0], duration)
}

func formatReport(result Result) string {
	var text strings.Builder
	for _, violation := range result.Violations {
		fmt.Fprintf(&text, "%s at %v: %s\n", violation.Promise, violation.At, violation.Detail)
	}
	return text.String() + strings.Join(result.LastEvents, "\n")
}

// seedsPerScenario is the number of seeds that every scenario is run with, from 1 up.
const seedsPerScenario = 3

func TestPromisesHoldInEveryScenario(t *testing.T) {
	for _, scenario := range Scenarios() {
		for seed := range uint64(seedsPerScenario) {
			t.Run(fmt.Sprint(scenario.Name, " seed ", seed+1), func(t *testing.T) {
				t.Parallel()
				result := runSimulation(t, scenarioOptions(t, scenario.Name, seed+1))
				if result.Broken() {
					t.Fatalf("broken promises:\n%s", formatReport(result))
				}
				if result.Served == 0 {
					t.Fatal("nothing was served")
				}
			})
		}
	}
}

// drawFault generates any fault at any time.
func drawFault(size Size, duration time.Duration) *rapid.Generator[Fault] {
	return rapid.Custom(func(t *rapid.T) Fault {
		return Fault{
			At:     time.Duration(rapid.IntRange(0, int(duration.Milliseconds())).Draw(t, "at")) * time.Millisecond,
			Kind:   FaultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind")),
			Target: rapid.IntRange(0, size.nodeCount()-1).Draw(t, "target"),
			Span:   time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second,
		}
	})
}

// TestPromisesHoldUnderRandomFaults lets rapid generate fault schedules, and shrink one
// that breaks a promise.
func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	const duration = 90 * time.Second
	size, _ := SizeByName("small")
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(drawFault(size, duration), 1, 8).Draw(t, "faults")
		result := runSimulation(t, Options{
			Seed: uint64(rapid.IntRange(1, 1000).Draw(t, "seed")), Size: size, Policy: Policies()[0],
			Warmup: 20 * time.Second, Duration: duration, Faults: faults, ClockError: time.Second,
			Duplicate: 0.01, Reorder: 0.01,
		})
		if result.Broken() {
			t.Fatalf("broken promises:\n%s", formatReport(result))
		}
	})
}

func TestSameSeedGivesTheSameLog(t *testing.T) {
	is := is.New(t)
	var logs [2][]string
	var results [2]Result
	for i := range logs {
		o := scenarioOptions(t, "everything", 7)
		o.Log = func(line string) { logs[i] = append(logs[i], line) }
		results[i] = runSimulation(t, o)
	}
	is.True(len(logs[0]) > 1000)
	is.True(slices.Equal(logs[0], logs[1]))
	is.Equal(results[0].Digest, results[1].Digest)
	is.True(runSimulation(t, scenarioOptions(t, "everything", 8)).Digest != results[0].Digest)
}

// mechanismCase names the scenario in which a disabled mechanism must break the promise.
type mechanismCase struct {
	scenario string
	promise  string
}

var mechanismCases = map[Mechanism]mechanismCase{
	MechanismBound:        {"steady", PromiseBound},
	MechanismKeys:         {"steady", PromiseOnce},
	MechanismKeyAge:       {"churn", PromiseOnce},
	MechanismLease:        {"ownership", PromiseOnce},
	MechanismLeaving:      {"platform-outage", PromiseLeaving},
	MechanismDrain:        {"churn", PromiseStop},
	MechanismBundleOrder:  {"partition", PromiseBundle},
	MechanismRetryUnknown: {"churn", PromiseOnce},
	MechanismThaw:         {"freeze", PromiseBound},
}

// TestDisabledMechanismBreaksItsPromise disables one mechanism at a time: the check of the
// promise that the mechanism keeps must then find a violation.
func TestDisabledMechanismBreaksItsPromise(t *testing.T) {
	for _, name := range Mechanisms() {
		t.Run(string(name), func(t *testing.T) {
			t.Parallel()
			c, known := mechanismCases[name]
			if !known {
				t.Fatal("no case for this mechanism")
			}
			const tries = 12
			for seed := range uint64(tries) {
				o := scenarioOptions(t, c.scenario, seed+1)
				o.Disabled = name
				if runSimulation(t, o).Counts[c.promise] > 0 {
					return
				}
			}
			t.Fatalf("%s disabled, but %q was never broken in %d seeds of %s", name, c.promise, tries, c.scenario)
		})
	}
}

// TestColdFleetServesRequestsWhilePoolsHaveRoom sends the full traffic to a fleet that has
// just started. The pools fill from zero load, and must not refuse requests for which
// they have room.
func TestColdFleetServesRequestsWhilePoolsHaveRoom(t *testing.T) {
	const allowed = 0.01
	if refused := runColdFleet(t, 1).RefusedWithRoom; refused > allowed {
		t.Fatalf("%.1f%% of the requests were refused although their pool had room", 100*refused)
	}
}

// TestColdFleetsServeRequestsWhilePoolsHaveRoomOnAverage checks the same over more seeds.
// None of them may break a promise, such as the load bound, to serve more requests.
func TestColdFleetsServeRequestsWhilePoolsHaveRoomOnAverage(t *testing.T) {
	const seeds, allowed = 12, 0.015
	total := 0.0
	for seed := range uint64(seeds) {
		result := runColdFleet(t, seed+1)
		total += result.RefusedWithRoom
		if len(result.Violations) > 0 {
			t.Fatalf("seed %d: %v", seed+1, result.Violations)
		}
	}
	if refused := total / seeds; refused > allowed {
		t.Fatalf("%.1f%% of the requests were refused although their pool had room", 100*refused)
	}
}

// runColdFleet runs a fleet for the first ten seconds of its traffic.
func runColdFleet(t *testing.T, seed uint64) Result {
	t.Helper()
	chosen, _ := ScenarioByName("steady")
	size, _ := SizeByName("swan-coast")
	o := chosen.Options(seed, size, Policies()[0], 10*time.Second)
	o.Warmup = 100 * time.Millisecond
	return runSimulation(t, o)
}
