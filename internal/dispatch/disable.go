package dispatch

// Mechanism names a mechanism of a gateway that can be switched off, to show that a check
// detects its absence or to measure what it contributes. It has no other use.
type Mechanism string

// The mechanisms that keep the promises made to callers.
const (
	// AtMostOnce keeps a request that may have run from being sent again, unless its route
	// allows that, and limits the number of attempts to the route's.
	AtMostOnce Mechanism = "at-most-once"
	// RespectLeaving keeps new requests from back ends that are leaving.
	RespectLeaving Mechanism = "leaving"
	// RespectNotices keeps requests from back ends whose answers announce that they are leaving,
	// or that ask for a pause with Retry-After.
	RespectNotices Mechanism = "notices"
	// RespectEvacuations keeps new requests from zones that operators evacuate.
	RespectEvacuations Mechanism = "evacuations"
	// WarmUpLimit limits the request rate of back ends that are warming up.
	WarmUpLimit Mechanism = "warm-up-limit"
	// SameVersion resumes a stream only at the software version that began it.
	SameVersion Mechanism = "same-version"
	// VerifyAnswers rejects answers that belong to other requests or lack a back end's stamp.
	VerifyAnswers Mechanism = "own-answers"
	// FollowConfiguration adopts new versions of the configuration after the first.
	FollowConfiguration Mechanism = "configuration"
	// FollowEras orders the store's records by era before revision.
	FollowEras Mechanism = "eras"
	// Withholding stops requests whose content crashes back ends.
	Withholding Mechanism = "withholding"
	// RetryBudget bounds the number of retries.
	RetryBudget Mechanism = "retry-budget"
	// Exposure limits the requests sent to a version that isn't known to be good.
	Exposure Mechanism = "exposure"
)

// The mechanisms that make a better choice. Without one of them every promise except the
// bound on load is still kept, but callers are served worse.
const (
	// Affinity sends requests with the same shared prompt parts to the same back ends.
	Affinity Mechanism = "affinity"
	// HoldersFirst prefers back ends that are assumed to hold the parts in their cache.
	HoldersFirst Mechanism = "holders-first"
	// ShareHoldings exchanges with peers which back ends hold which parts.
	ShareHoldings Mechanism = "holders-told"
	// BalanceMemory places new parts on back ends that hold less, once memory is scarce.
	BalanceMemory Mechanism = "even-memory"
	// PredictedTime chooses, among the back ends that may take a request, by the predicted time to its
	// first token; see cost.go.
	PredictedTime Mechanism = "predicted-time"
	// Copying names a back end from which a prompt's parts can be copied.
	Copying Mechanism = "copying"
	// PrefixCopies names a holder of a prefix of the prompt if no back end is known to hold more.
	PrefixCopies Mechanism = "prefix-copies"
	// LoadBound keeps the load of a caching back end within the bound.
	LoadBound Mechanism = "load-bound"
	// KeepParts reserves a part of a back end's places for the prompts that it is a home of.
	KeepParts Mechanism = "keep-parts"
	// Backlog gives refused callers a Retry-After by which the backlog ahead of them has drained.
	Backlog Mechanism = "backlog"
	// AdmissionLottery divides the room near the bound, and the free places of a service whose work is
	// counted in tokens, among gateways at random.
	AdmissionLottery Mechanism = "lots"
	// ExtrapolatePeers assumes that peers have sent as much as this gateway since their last
	// report, limited by the demand for the member.
	ExtrapolatePeers Mechanism = "peers-since"
	// Spread chooses members at random, by free capacity, while loads are known from totals.
	Spread Mechanism = "spread"
	// UrgencySteps refuses the least urgent requests first.
	UrgencySteps Mechanism = "urgency-steps"
	// FairShare marks requests beyond their tenant's fair share, which get only the room that no
	// other request needs.
	FairShare Mechanism = "fair-share"
	// UnevenCallers divides the free places of a service by the gateways' parts of the demand.
	UnevenCallers Mechanism = "uneven-callers"
	// EnginePriority sends the urgency of a request to the back end.
	EnginePriority Mechanism = "engine-rank"
	// Ejection stops sending to failing back ends for a while.
	Ejection Mechanism = "ejection"
	// SilenceDetection avoids back ends that leave requests without any answer.
	SilenceDetection Mechanism = "silence"
	// Trials sends one request at a time to a back end after its ejection or Retry-After.
	Trials Mechanism = "trials"
	// WholePool uses all reachable members of a pool if fewer than half of it are usable.
	WholePool Mechanism = "whole-pool"
	// Lapse keeps using back ends that disappeared from the list together.
	Lapse Mechanism = "lapse"
	// FailingPaths doesn't retry requests whose path recently failed on more than one back end.
	FailingPaths Mechanism = "failing-paths"
	// OwnZone prefers the gateway's own zone among equally loaded back ends.
	OwnZone Mechanism = "own-zone"
	// LoadShedding refuses some requests at once while the process lags.
	LoadShedding Mechanism = "late-refusal"
	// Retries tries another back end after an attempt that was sent and failed.
	Retries Mechanism = "further-attempts"
	// Resumption continues interrupted streams at another back end.
	Resumption Mechanism = "resumption"
	// Backups backs up the memory of running requests at a second engine, continues interrupted
	// streams from there, and recognises stalled streams by the pace of their engine.
	Backups Mechanism = "backups"
	// PersistentConnections sends requests that may not be repeated on persistent connections while
	// the back end certainly keeps them open.
	PersistentConnections Mechanism = "persistent-connections"
	// Workload counts the work of engines in tokens and predicts waits from it, for operators. It
	// doesn't switch off the rules that apply to requests which state their tokens; see room.go.
	Workload Mechanism = "token-work"
)

// Promises returns the mechanisms without which a promise to callers is broken.
func Promises() []Mechanism {
	return []Mechanism{AtMostOnce, RespectLeaving, RespectNotices, RespectEvacuations, WarmUpLimit, SameVersion, VerifyAnswers, FollowConfiguration, RetryBudget, Withholding, FollowEras, Exposure}
}

// Optimizations returns the mechanisms without which callers are served worse.
func Optimizations() []Mechanism {
	return []Mechanism{
		Affinity, HoldersFirst, ShareHoldings, BalanceMemory, PredictedTime, Copying, PrefixCopies, LoadBound, KeepParts, Backlog, AdmissionLottery,
		ExtrapolatePeers, Spread, UrgencySteps, FairShare, UnevenCallers, EnginePriority, Ejection, SilenceDetection, Trials, WholePool, Lapse,
		FailingPaths, OwnZone, LoadShedding, Retries, Resumption, Backups, PersistentConnections, Workload,
	}
}

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism { return append(Promises(), Optimizations()...) }

// Disabled is the set of mechanisms that are switched off.
type Disabled map[Mechanism]bool
