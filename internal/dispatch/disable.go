package dispatch

// Mechanism names a mechanism of a gateway that can be switched off, to show that a
// check notices its absence or what it is worth. Nothing else may use it.
type Mechanism string

// The mechanisms that keep a promise to callers.
const (
	// AtMostOnce keeps what may have run from being sent again, and attempts within
	// the route.
	AtMostOnce Mechanism = "at-most-once"
	// RespectLeaving keeps new work from back ends that leave.
	RespectLeaving Mechanism = "leaving"
	// HeedNotices keeps requests from back ends whose answers say that they leave, or that they
	// want to be left alone.
	RespectNotices Mechanism = "notices"
	// RespectEvacuations keeps new work from the zones that operators evacuate.
	RespectEvacuations Mechanism = "evacuations"
	// WarmUpLimit keeps back ends that warm up within the rate that they bear.
	WarmUpLimit Mechanism = "warm-up-limit"
	// OwnAnswers drops answers to other requests and those without a back end's mark.
	VerifyAnswers Mechanism = "own-answers"
	// FollowConfiguration adopts versions after the first.
	FollowConfiguration Mechanism = "configuration"
	// FollowEras orders what the platform's store says by its era before its revision.
	FollowEras Mechanism = "eras"
	// Withholding keeps requests that crash back ends from the others.
	Withholding Mechanism = "withholding"
	// RetryBudget bounds further attempts.
	RetryBudget Mechanism = "retry-budget"
	// Exposure keeps most requests from a version that isn't known to be good.
	Exposure Mechanism = "exposure"
)

// The mechanisms that make a better choice. Without one of them every promise but the
// bound on load is kept, and callers are served worse.
const (
	// Affinity sends a prompt's shared parts to the same back ends.
	Affinity Mechanism = "affinity"
	// HoldersFirst prefers back ends that are believed to hold the parts.
	HoldersFirst Mechanism = "holders-first"
	// HoldersTold passes on to peers, and takes from them, who holds what.
	ShareHoldings Mechanism = "holders-told"
	// EvenMemory gives new homes where less is held once memory is scarce.
	BalanceMemory Mechanism = "even-memory"
	// Copying names a back end to copy a prompt's parts from.
	Copying Mechanism = "copying"
	// PrefixCopies copies the beginning of a prompt where nobody holds the rest.
	PrefixCopies Mechanism = "prefix-copies"
	// LoadBound keeps a caching back end's load within the bound.
	LoadBound Mechanism = "load-bound"
	// Lots shares the room near the bound among gateways.
	AdmissionLottery Mechanism = "lots"
	// PeersSince takes peers to have sent as much as this gateway since their word.
	ExtrapolatePeers Mechanism = "peers-since"
	// Spread draws among members by lot where loads are known late.
	Spread Mechanism = "spread"
	// UrgencySteps refuses the least urgent requests first.
	UrgencySteps Mechanism = "urgency-steps"
	// EngineRank tells back ends the urgency of a request.
	EnginePriority Mechanism = "engine-rank"
	// Ejection leaves failing back ends alone for a while.
	Ejection Mechanism = "ejection"
	// Silence takes back ends that let requests wait for silent.
	SilenceDetection Mechanism = "silence"
	// Trials tries back ends one request at a time after an ejection.
	Trials Mechanism = "trials"
	// WholePool uses all of a pool when most of it is in trouble.
	WholePool Mechanism = "whole-pool"
	// Lapse uses back ends that vanished from the list together.
	Lapse Mechanism = "lapse"
	// FailingPaths doesn't try again what fails on every back end.
	FailingPaths Mechanism = "failing-paths"
	// OwnZone prefers the own zone among equally loaded back ends.
	OwnZone Mechanism = "own-zone"
	// LateRefusal refuses some requests at once while the process runs late.
	LoadShedding Mechanism = "late-refusal"
	// FurtherAttempts tries another back end after one failed.
	Retries Mechanism = "further-attempts"
	// Resumption continues broken streams at another back end.
	Resumption Mechanism = "resumption"
)

// Promises lists the mechanisms without which a promise is broken.
func Promises() []Mechanism {
	return []Mechanism{AtMostOnce, RespectLeaving, RespectNotices, RespectEvacuations, WarmUpLimit, VerifyAnswers, FollowConfiguration, RetryBudget, Withholding, FollowEras, Exposure}
}

// Choices lists the mechanisms without which callers are served worse.
func Optimizations() []Mechanism {
	return []Mechanism{
		Affinity, HoldersFirst, ShareHoldings, BalanceMemory, Copying, PrefixCopies, LoadBound, AdmissionLottery, ExtrapolatePeers, Spread, UrgencySteps,
		EnginePriority, Ejection, SilenceDetection, Trials, WholePool, Lapse, FailingPaths, OwnZone, LoadShedding, Retries, Resumption,
	}
}

// Mechanisms lists all of them.
func Mechanisms() []Mechanism { return append(Promises(), Optimizations()...) }

// Disabled is the set of mechanisms that are switched off.
type Disabled map[Mechanism]bool
