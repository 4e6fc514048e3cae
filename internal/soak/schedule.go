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
	// KillGateway kills a gateway without a drain and restarts it.
	KillGateway Kind = "kill_gateway"
	// KillAllGateways kills all gateways at the same moment and restarts them.
	KillAllGateways Kind = "kill_all_gateways"
	// StopGateway stops a gateway gracefully, as for planned maintenance, and restarts it.
	StopGateway Kind = "stop_gateway"
	// ReloadGateway makes a gateway reload its settings.
	ReloadGateway Kind = "reload_gateway"
	// PauseGateway suspends a gateway's process. With gateways in one process it has no effect,
	// since they can't be suspended there.
	PauseGateway Kind = "pause_gateway"
	// CutStore blocks all bytes between a gateway and the store, ResetStore closes the
	// gateway's connections to the store and refuses new ones, and CutStoreAnswers blocks only
	// the bytes from the store to the gateway.
	CutStore        Kind = "cut_store"
	ResetStore      Kind = "reset_store"
	CutStoreAnswers Kind = "deaf_store"
	// StoreDown makes the store leave every call unanswered, StoreBusy refuse every call,
	// StoreSlow delay every answer, and StoreDropsHistory drop its history, so that watches can't
	// continue. StoreListsNone is an outage like StoreDown after which the store lists no back
	// ends for a short time.
	StoreDown         Kind = "store_down"
	StoreBusy         Kind = "store_busy"
	StoreSlow         Kind = "store_slow"
	StoreDropsHistory Kind = "store_forgets"
	StoreListsNone    Kind = "store_lapses"
	// RestoreStore restores the store from a backup that is seconds old. What the gateways wrote
	// since the backup is lost. Operators and back ends write their objects again within two
	// seconds.
	RestoreStore Kind = "restore_store"
	// SilentConnections permanently stops all bytes on the open connections to the store and to
	// all back ends, without a reset. New connections work.
	SilentConnections Kind = "silent_connections"
	// CrashBackEnd ends a back end and all its connections. Another one, with a new ID, starts
	// at the same address. CutBackEnd blocks all bytes to and from a back end.
	CrashBackEnd Kind = "crash_back_end"
	CutBackEnd   Kind = "dark_back_end"
	// LeaveBackEnd drains a back end as planned. Another one, with a new ID, replaces it.
	LeaveBackEnd Kind = "leave_back_end"
	// LoseAnswers, SpoilAnswers and FailAnswers make a back end run requests and then close the
	// connection without an answer, send a wrong or truncated answer, or answer with an error.
	// RefuseAll makes it refuse all requests.
	LoseAnswers  Kind = "lose_answers"
	SpoilAnswers Kind = "spoil_answers"
	FailAnswers  Kind = "fail_answers"
	RefuseAll    Kind = "refuse_all"
	// EvacuateZone orders that no new requests are sent to the back ends of a zone for a while.
	// The back ends are cold afterwards.
	EvacuateZone Kind = "evacuate_zone"
	// ChangeRoute removes a route and RevokeKey an API key from the configuration, and each adds
	// it again at the fault's end.
	ChangeRoute Kind = "change_route"
	RevokeKey   Kind = "revoke_key"
	// CrashingRequest adds a caller that repeats a request that crashes every back end that runs
	// it.
	CrashingRequest Kind = "crashing_request"
	// RestartBackEnd ends a back end that restarts under the same ID while the store still lists
	// it.
	RestartBackEnd Kind = "restart_back_end"
	// UnreadableEntries makes another writer list a back end with an unusable address and replace
	// the entry of another one by an entry that no gateway can read.
	UnreadableEntries Kind = "strange_entries"
	// MoveService orders a move of the service to back ends of another version, which may be
	// defective. Only one such order is in force at a time.
	MoveService Kind = "move_service"
	// MoveUnattended orders a move of the service to a defective version, whose back ends stay until the
	// order's deadline, also after the gateways have abandoned it. It is drawn only if it is named.
	MoveUnattended Kind = "move_unattended"
	// LeaveUnannounced drains a back end that at first announces it only in its answers, not in
	// the store. RefuseWithRetryAfter makes a back end refuse requests with a Retry-After.
	LeaveUnannounced     Kind = "leave_untold"
	RefuseWithRetryAfter Kind = "ask_for_rest"
	// StallStreams makes a back end send no events of its streams, with connections that stay open.
	// It is drawn only if it is named, because a seed gives the same schedule only for the same kinds.
	StallStreams Kind = "stall_streams"
	// SilentBackEnd makes a back end neither answer nor send events for 0.5 to 3 s, with connections that stay
	// open, and then go on. SilentBackEnds does so with all back ends but one. They are drawn only if they are
	// named. Callers then leave streams after their patience.
	SilentBackEnd  Kind = "silent_back_end"
	SilentBackEnds Kind = "silent_back_ends"
	// CrashingPart adds a caller whose requests share one part of their prompts, which crashes every back end
	// that begins to answer them, and are otherwise all different. It is drawn only if it is named.
	CrashingPart Kind = "crashing_part"
	// UnframedAnswers makes a back end send answers with neither a length nor chunks, which end with their
	// connection: whole, or broken off by a reset, or by an end within an event. It is drawn only if it is
	// named. Links then pass resets on.
	UnframedAnswers Kind = "unframed_answers"
	// EndlessAnswers makes a back end run requests and send answers that never end: a head, a body or an event. It
	// is drawn only if it is named.
	EndlessAnswers Kind = "endless_answers"
	// OddAnswers makes a back end run requests and send bytes that are no valid answer. It is drawn only if it is named.
	OddAnswers Kind = "odd_answers"
	// FocusConnections makes most new connections go to one gateway, and to another once that one is out, while
	// callers open new ones more often. It is drawn only if it is named.
	FocusConnections Kind = "focus_connections"
	// RevokeAllKeys removes all API keys from the configuration, with or without their tenant, and adds them
	// again at the fault's end. It is drawn only if it is named.
	RevokeAllKeys Kind = "revoke_all_keys"
	// ReloadRestart kills or stops a gateway and starts it again, while it is told to reload its settings every
	// millisecond. LoseLogReader closes the reading end of a gateway's log. They are drawn only if they are named.
	ReloadRestart Kind = "reload_restart"
	LoseLogReader Kind = "lose_log_reader"
	// Crowd makes many clients that don't behave open connections to a gateway and stop half-way: without a
	// request, in a head, in a body, or without reading answers. It is drawn only if it is named.
	Crowd Kind = "crowd"
)

// Kinds lists every kind that is drawn if none is named.
func Kinds() []Kind {
	return []Kind{
		KillGateway, KillAllGateways, StopGateway, ReloadGateway, PauseGateway, CutStore, ResetStore, CutStoreAnswers,
		StoreDown, StoreBusy, StoreSlow, StoreDropsHistory, StoreListsNone, RestoreStore, SilentConnections, CrashBackEnd, CutBackEnd, LeaveBackEnd,
		LoseAnswers, SpoilAnswers, FailAnswers, RefuseAll, EvacuateZone, ChangeRoute, RevokeKey,
		CrashingRequest, RestartBackEnd, UnreadableEntries, MoveService, LeaveUnannounced, RefuseWithRetryAfter,
	}
}

// NamedKinds lists the kinds that are drawn only if they are named.
func NamedKinds() []Kind {
	return []Kind{StallStreams, MoveUnattended, SilentBackEnd, SilentBackEnds, CrashingPart, UnframedAnswers, FocusConnections, RevokeAllKeys, EndlessAnswers,
		ReloadRestart, LoseLogReader, Crowd, OddAnswers}
}

// Fault is one entry of a schedule.
type Fault struct {
	// Kind is the kind of fault, At its start from the start of the schedule, and For its
	// duration.
	Kind Kind
	At   time.Duration
	For  time.Duration
	// Target selects the gateway, back end or variant of the fault, by a number.
	Target int
}

// String returns the fault's kind and target.
func (f Fault) String() string { return fmt.Sprintf("%s %d", f.Kind, f.Target) }

const (
	// faultGap is the mean time between two faults that don't start together.
	faultGap = 1500 * time.Millisecond
	// burstShare is the share of faults that start at the same moment as the previous one.
	burstShare = 0.3
	// shortestFault and longestFault bound a fault's duration.
	shortestFault = 500 * time.Millisecond
	longestFault  = 6 * time.Second
	// allGatewaysShare is the share of the drawn KillAllGateways faults that is kept, since each
	// one ends every request in flight.
	allGatewaysShare = 0.3
)

// Schedule draws the faults of the options' seed. Each starts, and its own duration ends, within the
// options' Duration. The effects of some kinds last longer.
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
