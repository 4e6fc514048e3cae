package simulation

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/agent"
	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/routing"
)

// Break names a mechanism that a simulation can switch off, to show that the
// checkers notice.
type Mechanism string

// The mechanisms.
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

// Breaks lists the mechanisms that can be switched off.
func Mechanisms() []Mechanism {
	return []Mechanism{MechanismBound, MechanismKeys, MechanismKeyAge, MechanismLease, MechanismLeaving, MechanismDrain, MechanismBundleOrder, MechanismRetryUnknown, MechanismThaw}
}

// Policy is a way to choose back ends, for comparison.
type Policy struct {
	// Name is what the command line takes.
	Name string

	policy    routing.Policy
	unbounded bool
	noWait    bool
}

// Policies lists the product's own choice first, then the baselines.
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

// PolicyByName returns the policy with the name.
func PolicyByName(name string) (Policy, bool) {
	for _, policy := range Policies() {
		if policy.Name == name {
			return policy, true
		}
	}
	return Policy{}, false
}

// Options set up a simulation.
type Options struct {
	// Seed decides everything that is random.
	Seed uint64
	// Size is the fleet.
	Size Size
	// Policy is the choice of back ends.
	Policy Policy
	// Warmup is how long caches fill before anything is counted.
	Warmup time.Duration
	// Duration is how long is counted after that.
	Duration time.Duration
	// Faults strike at times from the end of the warm-up.
	Faults []Fault
	// ClockError is the largest difference between two machines' clocks.
	ClockError time.Duration
	// Duplicate and Reorder are shares of control messages.
	Duplicate float64
	Reorder   float64
	// Break switches a mechanism off.
	Disabled Mechanism
	// Log, if set, takes every line of the event log.
	Log func(line string)
}

// coordination returns the control plane's settings.
func (o Options) coordination() coordination.Config {
	config := coordination.DefaultConfig()
	config.AcceptAnyOrder = o.Disabled == MechanismBundleOrder
	config.IgnorePauses = o.Disabled == MechanismThaw
	return config
}

// disable returns what the agents leave out.
func (o Options) agentDisable() agent.Disable {
	return agent.Disable{
		Bound:  o.Disabled == MechanismBound || o.Policy.unbounded,
		Keys:   o.Disabled == MechanismKeys,
		KeyAge: o.Disabled == MechanismKeyAge,
		Lease:  o.Disabled == MechanismLease,
		Leave:  o.Disabled == MechanismLeaving,
	}
}
