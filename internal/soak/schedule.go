package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The closed list of kinds.
const (
	// KillGateway ends a gateway without warning; it starts again.
	KillGateway Kind = "kill_gateway"
	// KillAllGateways ends all at the same moment.
	KillAllGateways Kind = "kill_all_gateways"
	// StopGateway asks a gateway to stop, as before planned work; it starts again.
	StopGateway Kind = "stop_gateway"
	// ReloadGateway tells a gateway that its settings changed.
	ReloadGateway Kind = "reload_gateway"
	// PauseGateway freezes a gateway. Gateways in one process can't be frozen; there
	// it does nothing.
	PauseGateway Kind = "pause_gateway"
	// CutStore holds up all bytes between a gateway and the store, ResetStore resets
	// its connections, and DeafStore holds up only what the store says.
	CutStore        Kind = "cut_store"
	ResetStore      Kind = "reset_store"
	CutStoreAnswers Kind = "deaf_store"
	// StoreDown lets the store answer nobody, StoreBusy refuse everybody, StoreSlow
	// answer late, StoreForgets drop its history, and StoreLapses list no back end
	// for a moment after an outage.
	StoreDown         Kind = "store_down"
	StoreBusy         Kind = "store_busy"
	StoreSlow         Kind = "store_slow"
	StoreDropsHistory Kind = "store_forgets"
	StoreListsNone    Kind = "store_lapses"
	// RestoreStore brings the store back from a copy that is seconds old. What the gateways
	// wrote since is gone; operators and back ends write theirs again within two seconds.
	RestoreStore Kind = "restore_store"
	// SilentConnections lets the connections of the moment to the store and to all back
	// ends go silent for good, without a reset, while new ones work.
	SilentConnections Kind = "silent_connections"
	// CrashBackEnd ends a back end and all its connections; another incarnation
	// comes at the same address. DarkBackEnd holds up all its bytes.
	CrashBackEnd Kind = "crash_back_end"
	CutBackEnd   Kind = "dark_back_end"
	// LeaveBackEnd empties a back end as planned; another comes.
	LeaveBackEnd Kind = "leave_back_end"
	// LoseAnswers, SpoilAnswers, FailAnswers and RefuseAll are back ends that run
	// requests and lose, spoil or fail their answers, and ones that refuse.
	LoseAnswers  Kind = "lose_answers"
	SpoilAnswers Kind = "spoil_answers"
	FailAnswers  Kind = "fail_answers"
	RefuseAll    Kind = "refuse_all"
	// EvacuateZone lets nothing new go to the back ends of a zone for a while. They are
	// cold afterwards.
	EvacuateZone Kind = "evacuate_zone"
	// ChangeRoute takes a route away and brings it back, RevokeKey takes a key away
	// and brings it back.
	ChangeRoute Kind = "change_route"
	RevokeKey   Kind = "revoke_key"
	// CrashingRequest is a caller who repeats a request that crashes each back end which
	// runs it.
	CrashingRequest Kind = "crashing_request"
	// RestartBackEnd ends a back end, which starts again under its ID before the store has
	// noticed.
	RestartBackEnd Kind = "restart_back_end"
	// StrangeEntries lets another writer list what no gateway can read.
	UnreadableEntries Kind = "strange_entries"
	// MoveService orders that the service is moved to back ends of another version, which may
	// be bad. One order at a time stands.
	MoveService Kind = "move_service"
	// LeaveUntold empties a back end that says so in its answers alone at first. AskForRest is
	// a back end that refuses, and says for how long it wants nothing.
	LeaveUnannounced     Kind = "leave_untold"
	RefuseWithRetryAfter Kind = "ask_for_rest"
)

// Kinds lists every kind.
func Kinds() []Kind {
	return []Kind{
		KillGateway, KillAllGateways, StopGateway, ReloadGateway, PauseGateway, CutStore, ResetStore, CutStoreAnswers,
		StoreDown, StoreBusy, StoreSlow, StoreDropsHistory, StoreListsNone, RestoreStore, SilentConnections, CrashBackEnd, CutBackEnd, LeaveBackEnd,
		LoseAnswers, SpoilAnswers, FailAnswers, RefuseAll, EvacuateZone, ChangeRoute, RevokeKey,
		CrashingRequest, RestartBackEnd, UnreadableEntries, MoveService, LeaveUnannounced, RefuseWithRetryAfter,
	}
}

// Fault is one entry of a schedule.
type Fault struct {
	// Kind is what strikes, At when and For how long.
	Kind Kind
	At   time.Duration
	For  time.Duration
	// Target picks the gateway or back end, by number.
	Target int
}

// String returns the fault in a few words.
func (f Fault) String() string { return fmt.Sprintf("%s %d", f.Kind, f.Target) }

const (
	// faultGap is the mean time between two faults; now and then several come at
	// once.
	faultGap = 1500 * time.Millisecond
	// togetherShare is the part of the faults that come with the one before.
	burstShare = 0.3
	// shortestFault and longestFault bound how long one lasts.
	shortestFault = 500 * time.Millisecond
	longestFault  = 6 * time.Second
	// allGatewaysShare is the part of the drawn kills of all gateways that is kept:
	// each ends every request under way.
	allGatewaysShare = 0.3
)

// Schedule draws the faults of a seed. Each lies within the duration.
func Schedule(options Options) []Fault {
	random := rand.New(rand.NewPCG(options.Seed, 0))
	kinds := options.Kinds
	if len(kinds) == 0 {
		kinds = Kinds()
	}
	var faults []Fault
	at := time.Duration(0)
	for {
		if len(faults) == 0 || random.Float64() >= burstShare {
			at += time.Duration(random.ExpFloat64() * float64(faultGap))
		}
		fault := Fault{
			Kind:   kinds[random.IntN(len(kinds))],
			At:     at,
			For:    shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault))),
			Target: random.IntN(1 << 16),
		}
		if fault.At+fault.For > options.Duration {
			return faults
		}
		if fault.Kind == KillAllGateways && random.Float64() >= allGatewaysShare {
			continue
		}
		faults = append(faults, fault)
	}
}
