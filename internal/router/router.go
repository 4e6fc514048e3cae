// Package router implements the role of the node that accepts callers' requests
// and chooses a back end for each.
//
// Core combines routing, the limits on tenants and retries, and the control plane.
// It is a state machine without I/O: callers pass in the time. The daemon and the
// simulation run the same code.
package router

import (
	"fmt"
	"time"

	"github.com/harriernotch/harriernotch/internal/admission"
	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/limits"
	"github.com/harriernotch/harriernotch/internal/membership"
	"github.com/harriernotch/harriernotch/internal/routing"
)

// Config configures a Core.
type Config struct {
	// Identity identifies the node.
	Identity coordination.Identity
	// Coordination configures the control plane.
	Coordination coordination.Config
	// Policy determines the order in which back ends are tried.
	Policy routing.Policy
	// MaxAttempts bounds the attempts of one request. Default 8.
	MaxAttempts int
	// WaitBudget is how long a request may wait for room under the load bound, counted
	// from its arrival at the router, over all attempts. Default 6s: one wait of a last
	// attempt, and the waits before it.
	WaitBudget time.Duration
	// RetryRatio is the number of retries that each request adds to the retry
	// budget; RetryCapacity bounds the budget. Defaults 0.5 and 50.
	RetryRatio    float64
	RetryCapacity float64
	// RetryUnknown also retries requests that may have run. It is set only to verify
	// that the checkers detect repeated runs.
	RetryUnknown bool
	// IgnoreLeaving treats members whose records say that they are leaving as alive.
	// It is set only to verify that the checkers detect this.
	IgnoreLeaving bool
	// Random is used only by the random policies.
	Random routing.RandomSource
}

// DefaultConfig returns the default configuration of the node.
func DefaultConfig(identity coordination.Identity) Config {
	return Config{
		Identity:      identity,
		Coordination:  coordination.DefaultConfig(),
		MaxAttempts:   8,
		WaitBudget:    6 * time.Second,
		RetryRatio:    0.5,
		RetryCapacity: 50,
	}
}

// routerCountPeriod is the time between two counts of the live routers. Each of them
// grants a tenant its limit divided by that number.
const routerCountPeriod = time.Second

// Request holds what the core needs to know about a caller's request.
type Request struct {
	// ID names the request in logs.
	ID string
	// Tenant is the authenticated tenant.
	Tenant string
	// Pool is the pool's name.
	Pool string
	// Priority is the request's priority class.
	Priority admission.Priority
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// ChatKey determines the rendezvous order of the back ends. For a chat it is constant,
	// so the chat's turns get the same order, and chats spread over the pool. For a request
	// to a service it is the request's ID, so requests spread over the pool.
	ChatKey string
	// Token is the caller's chat token, or nil.
	Token *routing.ChatToken
	// Key is the idempotency key of a non-repeatable request, or "".
	Key string
	// KeyIssued is when the key was issued.
	KeyIssued time.Time
	// KeyDigest is a hash of the request's path and body.
	KeyDigest uint64
}

// Exchange is the state of one request from Begin to its final answer. Each attempt
// without a valid answer of the back end is reported with Refused, NotConnected or
// ConnectionLost.
type Exchange struct {
	request Request
	route   *routing.Route
	target  string
	// waitUntil is when the request's wait budget ends.
	waitUntil time.Time
	// foundNoRoom is set once a back end has refused the request for lack of room.
	foundNoRoom bool
}

// Attempts returns the number of attempts so far.
func (e *Exchange) Attempts() int { return e.route.Attempts() }

// Decision says what to do next with a request: send it, or give up.
type Decision struct {
	// Send is set when the request is to be sent.
	Send *Send
	// GiveUp is set when the caller is to be answered with this error.
	GiveUp *failure.Error
}

// Send says where to send a request.
type Send struct {
	// BackEnd is the target.
	BackEnd string
	// Address is the address of the target's agent.
	Address string
	// Head is sent with the request.
	Head hop.Head
}

// Core makes the decisions of one router. It is not safe for concurrent use.
type Core struct {
	config  Config
	node    *coordination.Node
	budget  *limits.RetryBudget
	tenants *limits.TenantLimiter
	// routersCountedAt is when the live routers were last counted.
	routersCountedAt time.Time
	// refusals holds the shares of refused requests by the pool's name.
	refusals map[string]*poolRefusals
	// draining is set once Drain has been called.
	draining bool
}

// New returns the core of a router that starts at now.
func New(config Config, open coordination.Opener, acceptor *bundle.Acceptor, now time.Time) *Core {
	return &Core{
		config:   config,
		node:     coordination.NewNode(config.Coordination, config.Identity, open, acceptor, now),
		budget:   limits.NewRetryBudget(config.RetryRatio, config.RetryCapacity),
		tenants:  limits.NewTenantLimiter(),
		refusals: map[string]*poolRefusals{},
	}
}

// Node returns the control plane. Callers may only read it.
func (c *Core) Node() *coordination.Node { return c.node }

// Control processes an event of the control plane.
func (c *Core) Control(now time.Time, event coordination.Event) []coordination.Action {
	actions := c.node.Step(now, event)
	for _, action := range actions {
		if adopted, ok := action.(coordination.BundleAdopted); ok {
			c.adopt(now, adopted.Bundle)
		}
	}
	return actions
}

// Tick triggers decisions that depend on the passing of time. It must be called once
// per tick period.
func (c *Core) Tick(now time.Time) []coordination.Action {
	if now.Sub(c.routersCountedAt) >= routerCountPeriod {
		c.routersCountedAt = now
		c.tenants.SetRouters(now, c.countLiveRouters(now))
	}
	return c.Control(now, coordination.Tick{})
}

// Drain makes the router not ready and announces to the peers that it is leaving.
func (c *Core) Drain(now time.Time) []coordination.Action {
	c.draining = true
	return c.Control(now, coordination.LocalState{State: membership.StateLeaving})
}

// Ready reports whether the load balancer in front of the routers should send
// requests to this one.
func (c *Core) Ready(now time.Time) bool { return !c.draining && c.node.Ready(now) }

func (c *Core) adopt(now time.Time, adopted *bundle.Bundle) {
	tenantLimits := make(map[string]limits.Limit, len(adopted.Content.Tenants))
	for _, tenant := range adopted.Content.Tenants {
		tenantLimits[tenant.Name] = limits.Limit{PerSecond: tenant.RequestsPerSecond, Burst: tenant.Burst}
	}
	c.tenants.Configure(now, tenantLimits)
	for pool := range c.refusals {
		if adopted.Content.Pool(pool) == nil {
			delete(c.refusals, pool)
		}
	}
}

// Begin processes a new request and returns its exchange and the first decision.
func (c *Core) Begin(now time.Time, request Request) (*Exchange, Decision) {
	exchange := &Exchange{request: request, route: &routing.Route{}, waitUntil: now.Add(c.config.WaitBudget)}
	if err := c.admit(now, request); err != nil {
		return exchange, Decision{GiveUp: err}
	}
	current := c.node.Bundle()
	pool := current.Content.Pool(request.Pool)
	if pool == nil {
		return exchange, Decision{GiveUp: failure.New(failure.UnknownRoute, "the bundle in force has no pool "+request.Pool)}
	}
	c.budget.Earn()
	c.refusalsOf(request.Pool).addRequest(now)
	routed := routing.Request{
		ChatKey: request.ChatKey,
		Token:   request.Token,
	}
	if request.Key != "" {
		routed.Owner = current.OwnerOf(pool, request.Key, request.KeyIssued)
	}
	exchange.route = routing.NewRoute(routed, c.members(now, pool), c.config.Policy, c.config.Random)
	return exchange, c.next(now, exchange, false)
}

func (c *Core) admit(now time.Time, request Request) *failure.Error {
	// A draining router still serves the requests that the load balancer sends it.
	if !c.node.Ready(now) {
		return failure.New(failure.NotReady, "this router takes no requests now; ask another")
	}
	if !now.Before(request.Deadline) {
		return failure.New(failure.DeadlineUnmeetable, "the deadline has passed")
	}
	if ok, wait := c.tenants.Allow(now, request.Tenant); !ok {
		return &failure.Error{
			Kind:       failure.RateLimited,
			Message:    fmt.Sprintf("tenant %s is over its limit", request.Tenant),
			RetryAfter: wait,
		}
	}
	return nil
}

// next returns the next attempt, or the final answer if the deadline has passed, no
// back end is left, or, for a retry, the attempts or the retry budget are used up.
func (c *Core) next(now time.Time, exchange *Exchange, isRetry bool) Decision {
	if !now.Before(exchange.request.Deadline) {
		late := failure.New(failure.DeadlineUnmeetable, "the deadline passed before a back end took the request; it was not run")
		if !exchange.foundNoRoom {
			return Decision{GiveUp: late} // says nothing about the pool
		}
		return c.giveUp(now, exchange, late)
	}
	if isRetry && (exchange.route.Attempts() >= c.config.MaxAttempts || !c.budget.Spend()) {
		return c.giveUp(now, exchange, exchange.route.GiveUp())
	}
	attempt, ok := exchange.route.Next(now)
	if !ok {
		return c.giveUp(now, exchange, exchange.route.GiveUp())
	}
	exchange.target = attempt.BackEnd
	_, backEnd := c.node.Bundle().Content.PoolOf(attempt.BackEnd)
	if backEnd == nil {
		// A newer bundle has removed the back end since the exchange began.
		return c.next(now, exchange, true)
	}
	return Decision{Send: &Send{
		BackEnd: attempt.BackEnd,
		Address: backEnd.Agent,
		Head:    c.head(now, exchange, attempt),
	}}
}

func (c *Core) head(now time.Time, exchange *Exchange, attempt routing.Attempt) hop.Head {
	request := exchange.request
	waitLeft := max(0, exchange.waitUntil.Sub(now).Milliseconds())
	head := hop.Head{
		RequestID:       request.ID,
		BackEnd:         attempt.BackEnd,
		Tenant:          request.Tenant,
		Priority:        request.Priority,
		RemainingMillis: request.Deadline.Sub(now).Milliseconds(),
		Affine:          attempt.Affine,
		LastAttempt:     waitLeft > 0 && c.isLastAttempt(exchange),
		WaitLeftMillis:  &waitLeft,
		ReportedLoads:   attempt.ReportedLoads,
		Unreachable:     c.unreachable(now, request.Pool),
		Piggyback:       c.piggyback(now, request.Pool),
	}
	if request.Key != "" {
		head.Key = request.Key
		head.KeyIssuedMillis = request.KeyIssued.UnixMilli()
		head.KeyDigest = request.KeyDigest
	}
	return head
}

// isLastAttempt reports whether a further attempt might not follow a refusal, because the
// route or the attempts are used up, or the retry budget is low. If it reported this only
// for an empty retry budget, requests in flight at the same time would all count on its
// last retry, and all but one would be refused without any wait. It doesn't consider that
// a keyed request has only one target, its owner; the wait of a keyed request doesn't
// depend on the result.
func (c *Core) isLastAttempt(exchange *Exchange) bool {
	return exchange.route.IsExhausted() || exchange.route.Attempts() >= c.config.MaxAttempts || c.budget.IsLow()
}

// Refused records that the target's agent refused the request, and returns what to do
// next. Another attempt, at the next target of the route, follows only if the refusal's
// kind says that the request did not run and that a repeat may succeed.
func (c *Core) Refused(now time.Time, exchange *Exchange, reply hop.Reply) Decision {
	c.ApplyPiggyback(now, reply)
	kind, known := reply.FailureKind()
	if !known || kind.Answer().Ran != failure.RanNo || !kind.Answer().Retry {
		return Decision{GiveUp: &failure.Error{
			Kind:       kind,
			Message:    finalMessage(kind),
			RetryAfter: time.Duration(reply.RetryAfterMillis) * time.Millisecond,
		}}
	}
	exchange.foundNoRoom = exchange.foundNoRoom || meansNoRoom(kind)
	if kind == failure.Leaving {
		c.node.Step(now, coordination.NodeLeaving{ID: exchange.target})
	}
	exchange.route.Refused(now, exchange.target, routing.Refusal{
		Kind:       kind,
		RetryAfter: time.Duration(reply.RetryAfterMillis) * time.Millisecond,
		Load:       reply.Load,
	})
	return c.next(now, exchange, true)
}

// finalMessage returns the message to the caller for a refusal that isn't retried at
// another back end.
func finalMessage(kind failure.Kind) string {
	switch kind {
	case failure.OutcomeUnknown:
		return "an earlier attempt with this key may have run; find out before you send the work under a new key"
	case failure.KeyInProgress:
		return "the first attempt with this key is still running; repeat the request later with the same key for its answer"
	case failure.KeyReused:
		return "the key was used for another request; send a new key"
	case failure.InvalidRequest:
		return "the key is dated in the future; set the caller's clock"
	default:
		return "the back end did not take the request"
	}
}

// NotConnected records that no connection to the target could be made, so nothing was
// sent, and returns what to do next.
func (c *Core) NotConnected(now time.Time, exchange *Exchange) Decision {
	c.node.Step(now, coordination.NodeUnreachable{ID: exchange.target})
	return c.next(now, exchange, true)
}

// ConnectionLost records that the request may have been sent, at least in part, and got no
// valid answer. It returns the caller's final answer: the request may have run, so it isn't
// sent again, unless RetryUnknown is set.
func (c *Core) ConnectionLost(now time.Time, exchange *Exchange) Decision {
	c.node.Step(now, coordination.NodeUnreachable{ID: exchange.target})
	if c.config.RetryUnknown {
		return c.next(now, exchange, true)
	}
	return Decision{GiveUp: failure.New(failure.BackendFailed, "the back end broke off before it answered; the request may have run")}
}

// ApplyPiggyback passes the control information that arrived with an answer to the
// control plane.
func (c *Core) ApplyPiggyback(now time.Time, reply hop.Reply) {
	c.node.Step(now, coordination.PiggybackedRecords{
		Records:    reply.Piggyback.Records,
		Number:     reply.Piggyback.Number,
		ContactAge: time.Duration(reply.Piggyback.ContactAgeMillis) * time.Millisecond,
	})
}

// Token returns the chat token for an answer of the exchange's target.
func (c *Core) Token(now time.Time, exchange *Exchange, chat string, incarnation membership.Incarnation) routing.ChatToken {
	return routing.ChatToken{
		Chat:        chat,
		Engine:      exchange.target,
		Incarnation: uint32(incarnation),
		IssuedAt:    now.Unix(),
	}
}
