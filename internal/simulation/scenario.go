package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Scenario is a kind of run: it draws the faults and sets the default times.
type Scenario struct {
	// Name is the scenario's name on the command line.
	Name string
	// About describes the scenario in the command's help.
	About string
	// Warmup is the time of the warm-up, Duration the default measured time.
	Warmup   time.Duration
	Duration time.Duration

	draw func(random *rand.Rand, size Size, duration time.Duration) []Fault
	// unreliableControl duplicates and reorders a share of the control messages.
	unreliableControl bool
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", About: "no faults", Warmup: 3 * time.Minute, Duration: 5 * time.Minute, draw: drawNothing},
		{Name: "churn", About: "every engine goes away for half a minute about every ten minutes; some flap", Warmup: 3 * time.Minute, Duration: 10 * time.Minute, draw: drawChurn},
		{Name: "surge", About: "the traffic triples for a minute in five, then one tenant sends ten times its share", Warmup: 3 * time.Minute, Duration: 10 * time.Minute, draw: drawSurge},
		{Name: "partition", About: "nodes, zones or regions lose each other", Warmup: time.Minute, Duration: 5 * time.Minute, draw: drawPartition, unreliableControl: true},
		{Name: "platform-outage", About: "the platform is away or slow, with bundles and restarts around it", Warmup: time.Minute, Duration: 8 * time.Minute, draw: drawOutage},
		{Name: "operator-race", About: "operators publish at once, answers are lost, members change", Warmup: time.Minute, Duration: 5 * time.Minute, draw: drawRace},
		{Name: "ownership", About: "a back end leaves the bundle while one part of the fleet is cut off with it for long", Warmup: 20 * time.Second, Duration: 10 * time.Minute, draw: drawOwnership},
		{Name: "freeze", About: "processes are paused, also across their lease, and wake", Warmup: time.Minute, Duration: 5 * time.Minute, draw: drawFreeze},
		{Name: "everything", About: "any fault at any moment, together or twice", Warmup: time.Minute, Duration: 5 * time.Minute, draw: drawEverything, unreliableControl: true},
	}
}

// ScenarioByName returns the scenario with the name, and whether there is one.
func ScenarioByName(name string) (Scenario, bool) {
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return scenario, true
		}
	}
	return Scenario{}, false
}

// Options returns the options of a run of the scenario. A duration of 0 means the
// scenario's own.
func (c Scenario) Options(seed uint64, size Size, policy Policy, duration time.Duration) Options {
	if duration == 0 {
		duration = c.Duration
	}
	options := Options{
		Seed: seed, Size: size, Policy: policy, Warmup: c.Warmup, Duration: duration, ClockError: time.Second,
		// The faults have a separate random source, so that they are the same for every
		// policy.
		Faults: c.draw(rand.New(rand.NewPCG(seed, 2)), size, duration),
	}
	if policy.noWait {
		options.Size.affinityWait = 0
	}
	if c.unreliableControl {
		options.Duplicate, options.Reorder = 0.01, 0.01
	}
	return options
}

func (z Size) nodeCount() int { return z.Routers + z.Models*z.Engines + z.Services }

// anyNode returns the index of a random node. Routers have the lowest indexes.
func anyNode(random *rand.Rand, size Size) int { return random.IntN(size.nodeCount()) }

// anyAgent returns the index of a random agent.
func anyAgent(random *rand.Rand, size Size) int {
	return size.Routers + random.IntN(size.nodeCount()-size.Routers)
}

func randomTime(random *rand.Rand, duration time.Duration) time.Duration {
	return time.Duration(random.Float64() * float64(duration))
}

func randomSeconds(random *rand.Rand, low, high int) time.Duration {
	return time.Duration(low)*time.Second + randomTime(random, time.Duration(high-low)*time.Second)
}

func drawNothing(*rand.Rand, Size, time.Duration) []Fault { return nil }

func drawChurn(random *rand.Rand, size Size, duration time.Duration) []Fault {
	var faults []Fault
	const awayEvery = 10 * time.Minute
	agents := size.nodeCount() - size.Routers
	for range int(float64(agents) * duration.Seconds() / awayEvery.Seconds()) {
		kind := FaultMachine
		if random.IntN(3) == 0 {
			kind = FaultStop
		}
		faults = append(faults, Fault{At: randomTime(random, duration), Kind: kind, Target: anyAgent(random, size), Span: 30 * time.Second})
	}
	flapping := anyAgent(random, size)
	for i := range 6 {
		at := duration/4 + time.Duration(i)*8*time.Second
		faults = append(faults, Fault{At: at, Kind: FaultKill, Target: flapping, Span: 2 * time.Second})
	}
	return faults
}

func drawSurge(_ *rand.Rand, _ Size, duration time.Duration) []Fault {
	var faults []Fault
	for at := duration / 10; at < duration/2; at += 5 * time.Minute {
		faults = append(faults, Fault{At: at, Kind: FaultSurge, Span: time.Minute})
	}
	return append(faults, Fault{At: duration * 6 / 10, Kind: FaultTenantSurge, Span: time.Minute})
}

func drawPartition(random *rand.Rand, size Size, duration time.Duration) []Fault {
	kinds := []FaultKind{FaultCut, FaultCutOneWay, FaultRegions, FaultCut, FaultPublish, FaultMembers}
	return drawFaults(random, size, duration, kinds, 8, 40)
}

func drawOutage(random *rand.Rand, size Size, duration time.Duration) []Fault {
	faults := []Fault{
		{At: duration / 8, Kind: FaultPublish},
		{At: duration/8 + time.Second, Kind: FaultPlatformDown, Span: duration / 2},
		{At: duration * 3 / 4, Kind: FaultPlatformSlow, Span: 30 * time.Second},
	}
	return append(faults, drawFaults(random, size, duration, []FaultKind{FaultKill, FaultStop, FaultPublish, FaultLoseAnswer, FaultWithdraw}, 8, 20)...)
}

func drawRace(random *rand.Rand, size Size, duration time.Duration) []Fault {
	kinds := []FaultKind{FaultRace, FaultRace, FaultLoseAnswer, FaultMembers, FaultPublish, FaultKill}
	return drawFaults(random, size, duration, kinds, 12, 20)
}

// drawOwnership removes one service back end from the bundle, so that its keys get another
// owner. Meanwhile its zone is cut off for longer than a handover takes, so that the
// nodes in it still use the old bundle.
func drawOwnership(_ *rand.Rand, size Size, duration time.Duration) []Fault {
	firstService := size.Routers + size.Models*size.Engines
	return []Fault{
		{At: 10 * time.Second, Kind: FaultRegions, Span: duration - time.Minute},
		{At: 15 * time.Second, Kind: FaultMembers, Target: firstService, Span: duration},
	}
}

func drawFreeze(random *rand.Rand, size Size, duration time.Duration) []Fault {
	kinds := []FaultKind{FaultFreeze, FaultFreeze, FaultFreeze, FaultMembers, FaultPublish}
	return drawFaults(random, size, duration, kinds, 10, 60)
}

func drawEverything(random *rand.Rand, size Size, duration time.Duration) []Fault {
	kinds := make([]FaultKind, faultKinds)
	for i := range kinds {
		kinds[i] = FaultKind(i)
	}
	return drawFaults(random, size, duration, kinds, 16, 40)
}

// drawFaults draws count faults of the kinds. Each is injected a second time with a
// probability of one in four.
func drawFaults(random *rand.Rand, size Size, duration time.Duration, kinds []FaultKind, count, longest int) []Fault {
	var faults []Fault
	for range count {
		fault := Fault{
			At: randomTime(random, duration*9/10), Kind: kinds[random.IntN(len(kinds))],
			Target: anyNode(random, size), Span: randomSeconds(random, 1, longest),
		}
		faults = append(faults, fault)
		if random.IntN(4) == 0 {
			fault.At += randomSeconds(random, 0, 5)
			faults = append(faults, fault)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	return faults
}
