package dispatch

// Mechanism names a mechanism of a gateway that can be switched off, to show that a
// check notices its absence. Nothing else may use it.
type Mechanism string

// The closed list of mechanisms.
const (
	// AtMostOnce keeps what may have run from being sent again, and attempts within
	// the route.
	AtMostOnce Mechanism = "at-most-once"
	// RespectLeaving keeps new work from back ends that leave.
	RespectLeaving Mechanism = "leaving"
	// OwnAnswers drops answers to other requests and those without a back end's mark.
	OwnAnswers Mechanism = "own-answers"
	// FollowConfiguration adopts versions after the first.
	FollowConfiguration Mechanism = "configuration"
	// RetryBudget bounds further attempts.
	RetryBudget Mechanism = "retry-budget"
)

// Mechanisms lists all of them.
func Mechanisms() []Mechanism {
	return []Mechanism{AtMostOnce, RespectLeaving, OwnAnswers, FollowConfiguration, RetryBudget}
}

// Disabled is the set of mechanisms that are switched off.
type Disabled map[Mechanism]bool
