package simulation

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/agent"
	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/routing"
)

// Mechanism is a mechanism of the system that a simulation can disable, to verify that
// the checks detect the resulting faults.
type Mechanism string

// The mechanisms that can be disabled. MechanismNone disables none.
const (
	MechanismNone         Mechanism = ""
	MechanismBound        Mechanism = "bound"
	MechanismKeys         Mechanism = "keys"
	MechanismKeyAge       Mechanism = "key-age"
	MechanismLease        Mechanism = "lease"
	MechanismLeaving      Mechanism = "leaving"
	MechanismDrain        Mechanism = "drain"
	MechanismBundleOrder  Mechanism = "bundle-order"
	MechanismRetryUnknown Mechanism = "retry-unknown"
	MechanismThaw         Mechanism = "thaw"
)

// Mechanisms returns the mechanisms that can be disabled.
func Mechanisms() []Mechanism {
	return []Mechanism{MechanismBound, MechanismKeys, MechanismKeyAge, MechanismLease, MechanismLeaving, MechanismDrain, MechanismBundleOrder, MechanismRetryUnknown, MechanismThaw}
}

// Policy is a policy for choosing back ends; a simulation compares several.
type Policy struct {
	// Name is the policy's name on the command line.
	Name string

	policy    routing.Policy
	unbounded bool
	noWait    bool
}

// Policies returns the system's own policy first, then the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "token-hash-bounded", policy: routing.PolicyTokenThenHash},
		{Name: "token-hash-bounded-no-wait", policy: routing.PolicyTokenThenHash, noWait: true},
		{Name: "token-hash", policy: routing.PolicyTokenThenHash, unbounded: true},
		{Name: "hash-bounded", policy: routing.PolicyHash},
		{Name: "hash", policy: routing.PolicyHash, unbounded: true},
		{Name: "two-choices", policy: routing.PolicyTwoChoices, unbounded: true},
		{Name: "random", policy: routing.PolicyRandom, unbounded: true},
	}
}

// PolicyByName returns the policy with the name, and whether there is one.
func PolicyByName(name string) (Policy, bool) {
	for _, policy := range Policies() {
		if policy.Name == name {
			return policy, true
		}
	}
	return Policy{}, false
}

// Options configures a simulation.
type Options struct {
	// Seed determines every random choice of the run.
	Seed uint64
	// Size describes the fleet and its traffic.
	Size Size
	// Policy is the policy for choosing back ends.
	Policy Policy
	// Warmup is the time during which the caches fill and nothing is measured. The
	// promises are checked all the time.
	Warmup time.Duration
	// Duration is the measured time after the warm-up.
	Duration time.Duration
	// Faults are injected at times that count from the end of the warm-up.
	Faults []Fault
	// ClockError is the largest difference between two machines' clocks.
	ClockError time.Duration
	// Duplicate is the share of control messages that are delivered twice, Reorder the
	// share that may overtake earlier ones.
	Duplicate float64
	Reorder   float64
	// Disabled is the mechanism that is disabled, if any.
	Disabled Mechanism
	// Log, if set, receives every line of the event log.
	Log func(line string)
}

// coordination returns the configuration of the nodes' control plane.
func (o Options) coordination() coordination.Config {
	config := coordination.DefaultConfig()
	config.AcceptAnyOrder = o.Disabled == MechanismBundleOrder
	config.IgnorePauses = o.Disabled == MechanismThaw
	return config
}

// agentDisable returns the mechanisms that the agents disable.
func (o Options) agentDisable() agent.Disable {
	return agent.Disable{
		Bound:  o.Disabled == MechanismBound || o.Policy.unbounded,
		Keys:   o.Disabled == MechanismKeys,
		KeyAge: o.Disabled == MechanismKeyAge,
		Lease:  o.Disabled == MechanismLease,
		Leave:  o.Disabled == MechanismLeaving,
	}
}
