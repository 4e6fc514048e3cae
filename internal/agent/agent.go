// Package agent is the role that stands before one back end and keeps the
// system's promises there. Core joins the gate and the control plane; it is a
// state machine without I/O, run alike by the daemon and the simulation.
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

// Config sets up a Core.
type Config struct {
	// Identity is the node; its ID is the back end's.
	Identity coordination.Identity
	// Coordination tunes the control plane.
	Coordination coordination.Config
	// IsolatedAfter is how long an agent that has lost all contact goes on
	// taking new work. It bounds how long it can miss that it must leave.
	// Default 5s.
	IsolatedAfter time.Duration
	// OwnerWait is how long a keyed request may wait for the load bound.
	// Default 2s.
	OwnerWait time.Duration
	// LastWait is how long a request may wait for it whose router makes no further
	// attempt. Default 4s, two windows of the mean.
	LastAttemptWait time.Duration
	// KeyCapacity is the number of keys remembered, ReplyBytes the memory of
	// their kept answers. Defaults 20000 and 8 MiB.
	KeyCapacity   int
	MaxReplyBytes int
	// Disable switches mechanisms off to show that the checkers notice.
	Disable Disable
}

// Disable names the mechanisms that a simulation may switch off.
type Disable struct {
	// Bound admits over the load bound.
	Bound bool
	// Keys forgets idempotency keys.
	Keys bool
	// KeyAge takes keys issued before the agent's start.
	KeyAge bool
	// Lease runs keyed requests without a confirmed bundle.
	Lease bool
	// Leave goes on taking work while leaving.
	Leave bool
}

// DefaultConfig returns the defaults for the node.
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

// defaultClockError bounds clock differences until a bundle states its own.
const defaultClockError = 2 * time.Second

// newsRecords is the number of records that ride on one answer.
const maxPiggybackedRecords = 4

// Core decides for one agent. It is not safe for concurrent use.
type Core struct {
	config      Config
	node        *coordination.Node
	gate        *admission.Gate
	incarnation membership.Incarnation
	// tableVersion is the version of the table last shown to the gate.
	tableVersion uint64
}

// Effects are the actions that an event caused, to be carried out in order.
type Effects struct {
	// Control are for the links and the platform.
	Control []coordination.Action
	// Requests are for the requests at this agent.
	Requests []admission.Action
}

// New returns the core of an agent that starts at the time.
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

// Node returns the control plane, to be read only.
func (c *Core) Node() *coordination.Node { return c.node }

// Gate returns the gate, to be read only.
func (c *Core) Gate() *admission.Gate { return c.gate }

// Incarnation returns the agent's incarnation.
func (c *Core) Incarnation() membership.Incarnation { return c.incarnation }

// Pool returns the pool of the back end, or nil.
func (c *Core) Pool() *bundle.Pool {
	current := c.node.Bundle()
	if current == nil {
		return nil
	}
	pool, _ := current.Content.PoolOf(c.config.Identity.ID)
	return pool
}

// Control passes an event to the control plane.
func (c *Core) Control(now time.Time, event coordination.Event) Effects {
	effects := Effects{Control: c.node.Step(now, event)}
	for _, action := range effects.Control {
		if adopted, ok := action.(coordination.BundleAdopted); ok {
			effects.Requests = append(effects.Requests, c.adopt(now, adopted.Bundle)...)
		}
	}
	return c.synchronize(now, effects)
}

// Tick lets time-based decisions take place. It comes once a tick period.
func (c *Core) Tick(now time.Time) Effects {
	effects := c.Control(now, coordination.Tick{})
	effects.Requests = append(effects.Requests, c.gate.Step(now, admission.Tick{})...)
	return c.synchronize(now, effects)
}

// Arrive takes a request from a router under the identifier that the owner
// chose.
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

// Finished ends a request that was started.
func (c *Core) Finished(now time.Time, event admission.Finished) Effects {
	return c.synchronize(now, Effects{Requests: c.gate.Step(now, event)})
}

// Noticed takes what an answer of the back end says of the back end itself: that it leaves, and
// for how long it wants nothing; 0 when it doesn't say. A back end that leaves gets nothing that
// waits at the gate either: that could reach it long after it has gone.
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

// forGood is longer than any agent runs beside a back end that leaves.
const leavingBackOff = 24 * time.Hour

// Cancelled says that the caller left before the request was started.
func (c *Core) Cancelled(now time.Time, id admission.RequestID) Effects {
	return c.synchronize(now, Effects{Requests: c.gate.Step(now, admission.Cancelled{ID: id})})
}

// refusal tells whether the request must not reach the gate, and why.
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

// isIsolated tells whether the agent has heard from nobody for so long that it
// may have missed an order to leave.
func (c *Core) isIsolated(now time.Time) bool {
	return !c.config.Disable.Leave && c.node.ContactAge(now) > c.config.IsolatedAfter
}

// isJustAwake tells whether the process was paused and has heard from no peer
// since: what it knows of the pool's loads and of its own standing is old.
func (c *Core) lacksFreshContact() bool {
	return !c.node.HasFreshContact()
}

// keyRefusal refuses a keyed request that this agent may not own. Ownership
// depends on the key and the bundle alone; the lease makes sure that the bundle
// is not an old one. That this process wasn't replaced while it was paused is
// seen to by isJustAwake.
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

// adopt puts a new bundle's settings into force at the gate.
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

// leave closes the gate first and spreads the word second.
func (c *Core) leave(now time.Time) []admission.Action {
	if c.config.Disable.Leave {
		return nil
	}
	return c.gate.Step(now, admission.Leave{})
}

// settle carries changes of one part to the other: what the table heard reaches
// the gate, and the gate's load and state reach the next record.
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

// Reply returns what goes back to the router beside the answer. refused is nil
// when the answer is the back end's.
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
	// The record of the node itself shows the load of this very moment.
	if len(piggyback.Records) > 0 && piggyback.Records[0].ID == c.config.Identity.ID {
		piggyback.Records[0].Load = uint32(c.gate.Load())
	}
	return piggyback
}
