// Package agent implements the role of the node in front of one back end. The
// agent decides which of the routers' requests the back end gets and when, runs
// keyed requests at most once, and announces the back end's load and state to
// the other nodes.
//
// Core combines the admission gate with the control plane. It is a state machine
// without I/O: callers pass in the time. The daemon and the simulation run the
// same code.
package agent

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/admission"
	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/membership"
)

// Config configures a Core.
type Config struct {
	// Identity identifies the node. Its ID is also the back end's ID.
	Identity coordination.Identity
	// Coordination configures the control plane.
	Coordination coordination.Config
	// IsolatedAfter is how long an agent continues to accept new work after its last
	// contact with a peer. A router's last contact with a peer, which it reports with its
	// requests, counts as the agent's own. IsolatedAfter bounds the time during which the
	// agent can miss an order to leave. Default 5s.
	IsolatedAfter time.Duration
	// OwnerWait is how long a keyed request may wait for room under the load
	// bound. Default 2s.
	OwnerWait time.Duration
	// LastAttemptWait is how long a request whose router might make no further attempt
	// may wait for room under the load bound. Default 4s, several default windows of
	// the mean load: when the load rises, the bound follows only over several windows.
	LastAttemptWait time.Duration
	// KeyCapacity is the number of stored idempotency keys above which the oldest
	// finished ones are removed. MaxReplyBytes bounds the memory of their stored
	// replies. Defaults 20000 and 8 MiB.
	KeyCapacity   int
	MaxReplyBytes int
	// Disable switches mechanisms off. It is set only to verify that the checkers
	// detect the consequences.
	Disable Disable
}

// Disable selects the mechanisms that a simulation switches off.
type Disable struct {
	// Bound admits requests over the load bound.
	Bound bool
	// Keys stores no idempotency keys.
	Keys bool
	// KeyAge accepts keys issued before the agent's start.
	KeyAge bool
	// Lease runs keyed requests without a lease, that is, without a recent
	// confirmation that the bundle is the newest.
	Lease bool
	// Leave accepts new work while leaving, and while isolated.
	Leave bool
}

// DefaultConfig returns the default configuration of the node.
func DefaultConfig(identity coordination.Identity) Config {
	return Config{
		Identity:        identity,
		Coordination:    coordination.DefaultConfig(),
		IsolatedAfter:   5 * time.Second,
		OwnerWait:       2 * time.Second,
		LastAttemptWait: 4 * time.Second,
		KeyCapacity:     20_000,
		MaxReplyBytes:   8 << 20,
	}
}

// defaultClockError is the largest difference between two machines' clocks that
// the key table assumes. The bundle's own control.clock_error, which has the same
// default, isn't applied to the key table.
const defaultClockError = 2 * time.Second

// maxPiggybackedRecords bounds the membership records sent with one answer.
const maxPiggybackedRecords = 4

// Core makes the decisions of one agent. It is not safe for concurrent use.
type Core struct {
	config      Config
	node        *coordination.Node
	gate        *admission.Gate
	incarnation membership.Incarnation
	// tableVersion is the version of the membership table when the gate last got
	// the pool's loads.
	tableVersion uint64
}

// Effects are the actions that result from an event, to be executed in order.
type Effects struct {
	// Control holds the actions on links and on the platform.
	Control []coordination.Action
	// Requests holds the actions on the requests at this agent.
	Requests []admission.Action
}

// New returns the core of an agent that starts at now.
func New(config Config, open coordination.Opener, acceptor *bundle.Acceptor, now time.Time) *Core {
	keyTable := admission.KeyTableConfig{
		StartedAt:     now,
		ClockError:    defaultClockError,
		Retention:     bundle.KeyRetention,
		Capacity:      config.KeyCapacity,
		MaxReplyBytes: config.MaxReplyBytes,
		Disabled:      config.Disable.Keys,
	}
	if config.Disable.KeyAge {
		keyTable.StartedAt = time.Time{}
	}
	return &Core{
		config:      config,
		node:        coordination.NewNode(config.Coordination, config.Identity, open, acceptor, now),
		gate:        admission.NewGate(admission.Config{}, keyTable),
		incarnation: membership.IncarnationAt(now),
	}
}

// Node returns the control plane. Callers may only read it.
func (c *Core) Node() *coordination.Node { return c.node }

// Gate returns the admission gate. Callers may only read it.
func (c *Core) Gate() *admission.Gate { return c.gate }

// Incarnation returns the agent's incarnation.
func (c *Core) Incarnation() membership.Incarnation { return c.incarnation }

// Pool returns the back end's pool, or nil if there is no bundle or the bundle
// doesn't list the back end.
func (c *Core) Pool() *bundle.Pool {
	current := c.node.Bundle()
	if current == nil {
		return nil
	}
	pool, _ := current.Content.PoolOf(c.config.Identity.ID)
	return pool
}

// Control processes an event of the control plane.
func (c *Core) Control(now time.Time, event coordination.Event) Effects {
	effects := Effects{Control: c.node.Step(now, event)}
	for _, action := range effects.Control {
		if adopted, ok := action.(coordination.BundleAdopted); ok {
			effects.Requests = append(effects.Requests, c.adopt(now, adopted.Bundle)...)
		}
	}
	return c.synchronize(now, effects)
}

// Tick triggers decisions that depend on the passing of time. It must be called
// once per tick period.
func (c *Core) Tick(now time.Time) Effects {
	effects := c.Control(now, coordination.Tick{})
	effects.Requests = append(effects.Requests, c.gate.Step(now, admission.Tick{})...)
	return c.synchronize(now, effects)
}

// Arrive processes a new request from a router. The caller chooses the ID.
func (c *Core) Arrive(now time.Time, id admission.RequestID, head hop.Head) Effects {
	for _, member := range head.Unreachable {
		c.node.Step(now, coordination.NodeUnreachable{ID: member})
	}
	effects := c.Control(now, coordination.PiggybackedRecords{
		Records:    head.Piggyback.Records,
		Number:     head.Piggyback.Number,
		ContactAge: time.Duration(head.Piggyback.ContactAgeMillis) * time.Millisecond,
	})
	if kind, refused := c.refusal(now, head); refused {
		refuse := admission.Refuse{ID: id, Kind: kind, Load: c.gate.Load()}
		effects.Requests = append(effects.Requests, refuse)
		return effects
	}
	request := c.request(now, id, head)
	effects.Requests = append(effects.Requests, c.gate.Step(now, admission.Arrive{Request: request})...)
	return c.synchronize(now, effects)
}

// Finished records that a started request has ended.
func (c *Core) Finished(now time.Time, event admission.Finished) Effects {
	return c.synchronize(now, Effects{Requests: c.gate.Step(now, event)})
}

// ApplyNotice applies what an answer of the back end says about the back end itself: whether it
// is leaving, and for how long it wants no requests (retryAfter; 0 if it doesn't say). Requests
// that wait at the gate aren't sent to a leaving back end either: they could reach it long after
// it has stopped.
func (c *Core) ApplyNotice(now time.Time, leaving bool, retryAfter time.Duration) Effects {
	var effects Effects
	if leaving && !c.gate.IsLeaving() {
		effects = c.Control(now, coordination.LocalState{State: membership.StateLeaving})
		retryAfter = leavingBackOff
	}
	if retryAfter > 0 {
		effects.Requests = append(effects.Requests, c.gate.Step(now, admission.BackOff{For: retryAfter})...)
	}
	return effects
}

// leavingBackOff is how long the gate backs off for a leaving back end. It is longer than any agent
// continues to run next to one, so the back-off never ends.
const leavingBackOff = 24 * time.Hour

// Cancelled records that the caller left before the request was started.
func (c *Core) Cancelled(now time.Time, id admission.RequestID) Effects {
	return c.synchronize(now, Effects{Requests: c.gate.Step(now, admission.Cancelled{ID: id})})
}

// refusal reports whether the request must be refused before it reaches the
// gate, and why.
func (c *Core) refusal(now time.Time, head hop.Head) (failure.Kind, bool) {
	switch {
	case head.BackEnd != c.config.Identity.ID:
		return failure.WrongOwner, true
	case !c.node.Ready(now) || c.Pool() == nil:
		return failure.NotReady, true
	case c.isIsolated(now), c.lacksFreshContact():
		return failure.NotReady, true
	case head.Key != "":
		return c.keyRefusal(now, head)
	default:
		return 0, false
	}
}

// isIsolated reports whether the agent has had no contact with a peer, neither its own
// nor one that a router reported, for so long that it may have missed an order to
// leave.
func (c *Core) isIsolated(now time.Time) bool {
	return !c.config.Disable.Leave && c.node.ContactAge(now) > c.config.IsolatedAfter
}

// lacksFreshContact reports whether the process was paused and isn't known to have
// received a message that a peer sent since. If so, its view of the pool's loads, and
// of whether another process has replaced it, may be out of date.
func (c *Core) lacksFreshContact() bool {
	return !c.node.HasFreshContact()
}

// keyRefusal reports whether a keyed request must be refused because this agent
// may not be the owner of its key, and why. Ownership depends only on the key, its
// time of issue and the bundle; the lease ensures that the bundle is not out of
// date. lacksFreshContact covers the case that another process replaced this one
// while it was paused.
func (c *Core) keyRefusal(now time.Time, head hop.Head) (failure.Kind, bool) {
	owner := c.node.Bundle().OwnerOf(c.Pool(), head.Key, head.KeyIssued())
	if owner != c.config.Identity.ID {
		return failure.WrongOwner, true
	}
	if c.config.Disable.Lease {
		return 0, false
	}
	if !c.node.HoldsLease(now) {
		return failure.LeaseLapsed, true
	}
	return 0, false
}

func (c *Core) request(now time.Time, id admission.RequestID, head hop.Head) admission.Request {
	request := admission.Request{
		ID:          id,
		Tenant:      head.Tenant,
		Priority:    head.Priority,
		Deadline:    now.Add(head.Remaining()),
		Affine:      head.Affine,
		LastAttempt: head.LastAttempt,
	}
	if left, limited := head.WaitLeft(); limited {
		request.WaitUntil = now.Add(left)
	}
	for _, reported := range head.ReportedLoads {
		request.Evidence = append(request.Evidence, admission.ObservedLoad{Member: reported.BackEnd, Load: reported.Load, At: now.Add(-time.Duration(reported.AgeMillis) * time.Millisecond)})
	}
	if head.Key != "" {
		request.Key = &admission.Key{
			Value:  head.Tenant + "/" + head.Key,
			Issued: head.KeyIssued(),
			Digest: head.KeyDigest,
		}
	}
	return request
}

// adopt applies the settings of a new bundle to the gate. If the bundle doesn't
// list the back end, or lists it as leaving, adopt closes the gate instead.
func (c *Core) adopt(now time.Time, adopted *bundle.Bundle) []admission.Action {
	pool, backEnd := adopted.Content.PoolOf(c.config.Identity.ID)
	if pool == nil || backEnd.Leaving {
		return c.leave(now)
	}
	weights := make(map[string]float64, len(adopted.Content.Tenants))
	for _, tenant := range adopted.Content.Tenants {
		weights[tenant.Name] = tenant.Weight
	}
	return c.gate.Step(now, admission.Configured{Config: admission.Config{
		Bound: admission.BoundPolicy{
			Multiple:  pool.LoadMultiple,
			RoundDown: pool.Rounding == bundle.RoundDown,
			Window:    pool.MeanWindow.Std(),
			Disabled:  c.config.Disable.Bound,
		},
		AffinityWait:    pool.AffinityWait.Std(),
		OwnerWait:       c.config.OwnerWait,
		LastAttemptWait: c.config.LastAttemptWait,
		MaxRunning:      pool.MaxRunning,
		MaxQueued:       pool.MaxQueued,
		Weights:         weights,
	}})
}

// leave closes the gate. The actions that announce the state to peers are part of the
// same Effects, and are executed only after the core has returned them. The gate is
// closed by then, so the agent accepts no new request after it has announced that it
// is leaving.
func (c *Core) leave(now time.Time) []admission.Action {
	if c.config.Disable.Leave {
		return nil
	}
	return c.gate.Step(now, admission.Leave{})
}

// synchronize passes changes between the control plane and the gate: the gate gets
// the state and the loads from the membership table, and the node's next record gets
// the gate's state and load.
func (c *Core) synchronize(now time.Time, effects Effects) Effects {
	mustLeave := c.node.Table().Self().State != membership.StateServing || c.node.Table().Superseded()
	if mustLeave && !c.gate.IsLeaving() {
		effects.Requests = append(effects.Requests, c.leave(now)...)
	}
	if c.gate.IsLeaving() && c.node.Table().Self().State == membership.StateServing {
		effects.Control = append(effects.Control, c.node.Step(now, coordination.LocalState{State: membership.StateLeaving})...)
	}
	if version := c.node.Table().Version(); version != c.tableVersion {
		c.tableVersion = version
		effects.Requests = append(effects.Requests, c.gate.Step(now, c.observePool(now))...)
	}
	c.node.Step(now, coordination.LocalLoad{Load: uint32(c.gate.Load())})
	return effects
}

// Reply returns the agent's metadata for an answer to a router. refused is nil if
// the answer is the back end's.
func (c *Core) Reply(now time.Time, refused *admission.Refuse) hop.Reply {
	reply := hop.Reply{Load: c.gate.Load(), Incarnation: c.incarnation, Piggyback: c.piggyback(now)}
	if refused != nil {
		reply.Refused = true
		reply.Kind = refused.Kind.String()
		reply.RetryAfterMillis = refused.RetryAfter.Milliseconds()
		reply.Load = refused.Load
	}
	return reply
}

func (c *Core) piggyback(now time.Time) hop.Piggyback {
	piggyback := hop.Piggyback{ContactAgeMillis: c.node.ContactAge(now).Milliseconds()}
	current := c.node.Bundle()
	if current == nil {
		return piggyback
	}
	piggyback.Number = current.Number
	if pool := c.Pool(); pool != nil {
		piggyback.Records = c.node.Table().Freshest(now, maxPiggybackedRecords, pool.MemberIDs())
	}
	// The node's own record may lag behind; send the current load.
	if len(piggyback.Records) > 0 && piggyback.Records[0].ID == c.config.Identity.ID {
		piggyback.Records[0].Load = uint32(c.gate.Load())
	}
	return piggyback
}
