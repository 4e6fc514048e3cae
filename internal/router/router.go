// Package router is the role that takes callers' requests and finds a back end
// for each. Core joins the choice of a back end, the limits and the control
// plane; it is a state machine without I/O, run alike by the daemon and the
// simulation.
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

// Config sets up a Core.
type Config struct {
	// Identity is the node.
	Identity coordination.Identity
	// Coordination tunes the control plane.
	Coordination coordination.Config
	// Policy is the order in which back ends are tried.
	Policy routing.Policy
	// MaxAttempts bounds the attempts of one request. Default 8.
	MaxAttempts int
	// RetryRatio is the number of further attempts that a request earns on
	// average; RetryCapacity is how many may be saved up. Defaults 0.5 and 50.
	RetryRatio    float64
	RetryCapacity float64
	// RetryUnknown also retries requests that may have run; only checks of the
	// checkers set it.
	RetryUnknown bool
	// IgnoreLeaving sends work to members that are leaving; only checks of the
	// checkers set it.
	IgnoreLeaving bool
	// Random is used by the random policies alone.
	Random routing.RandomSource
}

// DefaultConfig returns the defaults for the node.
func DefaultConfig(identity coordination.Identity) Config {
	return Config{
		Identity:      identity,
		Coordination:  coordination.DefaultConfig(),
		MaxAttempts:   8,
		RetryRatio:    0.5,
		RetryCapacity: 50,
	}
}

// sharePeriod is the time between two counts of the routers that share the
// tenants' limits.
const routerCountPeriod = time.Second

// Request is what the core needs to know of a caller's request.
type Request struct {
	// ID names the request in logs.
	ID string
	// Tenant is the authenticated tenant.
	Tenant string
	// Pool is the pool's name.
	Pool string
	// Priority is the request's class.
	Priority admission.Priority
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// ChatKey spreads chats over the pool.
	ChatKey string
	// Token is the caller's chat token, or nil.
	Token *routing.ChatToken
	// Key is the idempotency key of an unrepeatable request, or "".
	Key string
	// KeyIssued is the key's time of issue.
	KeyIssued time.Time
	// KeyDigest is a hash of the request.
	KeyDigest uint64
}

// Exchange is one request on its way. Next drives it.
type Exchange struct {
	request Request
	route   *routing.Route
	target  string
}

// Attempts returns how many attempts were made.
func (e *Exchange) Attempts() int { return e.route.Attempts() }

// Decision is what to do next with a request: send it, or give up.
type Decision struct {
	// Send is set when the request is to be sent.
	Send *Send
	// GiveUp is set when the caller is to be answered.
	GiveUp *failure.Error
}

// Send says where a request goes.
type Send struct {
	// BackEnd is the target.
	BackEnd string
	// Address is its agent's.
	Address string
	// Head goes with the request.
	Head hop.Head
}

// Core decides for one router. It is not safe for concurrent use.
type Core struct {
	config  Config
	node    *coordination.Node
	budget  *limits.RetryBudget
	tenants *limits.TenantLimiter
	// sharedAt is when the shares of the limits were last reckoned.
	routersCountedAt time.Time
	// draining is set once the router is about to stop.
	draining bool
}

// New returns the core of a router that starts at the time.
func New(config Config, open coordination.Opener, acceptor *bundle.Acceptor, now time.Time) *Core {
	return &Core{
		config:  config,
		node:    coordination.NewNode(config.Coordination, config.Identity, open, acceptor, now),
		budget:  limits.NewRetryBudget(config.RetryRatio, config.RetryCapacity),
		tenants: limits.NewTenantLimiter(),
	}
}

// Node returns the control plane, to be read only.
func (c *Core) Node() *coordination.Node { return c.node }

// Control passes an event to the control plane.
func (c *Core) Control(now time.Time, event coordination.Event) []coordination.Action {
	actions := c.node.Step(now, event)
	for _, action := range actions {
		if adopted, ok := action.(coordination.BundleAdopted); ok {
			c.adopt(now, adopted.Bundle)
		}
	}
	return actions
}

// Tick lets time-based decisions take place. It comes once a tick period.
func (c *Core) Tick(now time.Time) []coordination.Action {
	if now.Sub(c.routersCountedAt) >= routerCountPeriod {
		c.routersCountedAt = now
		c.tenants.SetRouters(now, c.aliveRouters(now))
	}
	return c.Control(now, coordination.Tick{})
}

// Drain fails readiness and tells the peers that the router is leaving.
func (c *Core) Drain(now time.Time) []coordination.Action {
	c.draining = true
	return c.Control(now, coordination.LocalState{State: membership.StateLeaving})
}

// Ready tells whether the balancer should send requests.
func (c *Core) Ready(now time.Time) bool { return !c.draining && c.node.Ready(now) }

func (c *Core) adopt(now time.Time, adopted *bundle.Bundle) {
	tenantLimits := make(map[string]limits.Limit, len(adopted.Content.Tenants))
	for _, tenant := range adopted.Content.Tenants {
		tenantLimits[tenant.Name] = limits.Limit{PerSecond: tenant.RequestsPerSecond, Burst: tenant.Burst}
	}
	c.tenants.Configure(now, tenantLimits)
}

// Begin takes a new request.
func (c *Core) Begin(now time.Time, request Request) (*Exchange, Decision) {
	exchange := &Exchange{request: request, route: &routing.Route{}}
	if err := c.admit(now, request); err != nil {
		return exchange, Decision{GiveUp: err}
	}
	current := c.node.Bundle()
	pool := current.Content.Pool(request.Pool)
	if pool == nil {
		return exchange, Decision{GiveUp: failure.New(failure.UnknownRoute, "the bundle in force has no pool "+request.Pool)}
	}
	c.budget.Earn()
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
	// A draining router still serves what the balancer sends it.
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

// next gives the next attempt, or the final answer. It answers at once when the
// deadline has passed, the attempts or the retry budget are spent, or no back
// end is left.
func (c *Core) next(now time.Time, exchange *Exchange, isRetry bool) Decision {
	if !now.Before(exchange.request.Deadline) {
		return Decision{GiveUp: failure.New(failure.DeadlineUnmeetable, "the deadline passed before a back end took the request")}
	}
	if isRetry && (exchange.route.Attempts() >= c.config.MaxAttempts || !c.budget.Spend()) {
		return Decision{GiveUp: exchange.route.GiveUp()}
	}
	attempt, ok := exchange.route.Next(now)
	if !ok {
		return Decision{GiveUp: exchange.route.GiveUp()}
	}
	exchange.target = attempt.BackEnd
	_, backEnd := c.node.Bundle().Content.PoolOf(attempt.BackEnd)
	if backEnd == nil {
		// A newer bundle dropped the back end while the request was on its way.
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
	head := hop.Head{
		RequestID:       request.ID,
		BackEnd:         attempt.BackEnd,
		Tenant:          request.Tenant,
		Priority:        request.Priority,
		RemainingMillis: request.Deadline.Sub(now).Milliseconds(),
		Affine:          attempt.Affine,
		LastAttempt:     c.isLastAttempt(exchange),
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

// isLast tells whether no further attempt would follow a refusal.
func (c *Core) isLastAttempt(exchange *Exchange) bool {
	return exchange.route.IsExhausted() || exchange.route.Attempts() >= c.config.MaxAttempts || !c.budget.CanSpend()
}

// Refused takes an agent's "not run" and returns what to do next.
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

// finalMessage explains the refusals that no other back end can mend.
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

// NotSent notes that the target could not be reached, so that nothing was sent,
// and returns what to do next.
func (c *Core) NotConnected(now time.Time, exchange *Exchange) Decision {
	c.node.Step(now, coordination.NodeUnreachable{ID: exchange.target})
	return c.next(now, exchange, true)
}

// Lost notes that the target broke off before its answer began and returns the
// caller's final answer: the request may have run, so it is never sent again.
func (c *Core) ConnectionLost(now time.Time, exchange *Exchange) Decision {
	c.node.Step(now, coordination.NodeUnreachable{ID: exchange.target})
	if c.config.RetryUnknown {
		return c.next(now, exchange, true)
	}
	return Decision{GiveUp: failure.New(failure.BackendFailed, "the back end broke off before it answered; the request may have run")}
}

// Heard takes the news that came with an answer.
func (c *Core) ApplyPiggyback(now time.Time, reply hop.Reply) {
	c.node.Step(now, coordination.PiggybackedRecords{
		Records:    reply.Piggyback.Records,
		Number:     reply.Piggyback.Number,
		ContactAge: time.Duration(reply.Piggyback.ContactAgeMillis) * time.Millisecond,
	})
}

// Token returns the chat token for an answer from the exchange's target.
func (c *Core) Token(now time.Time, exchange *Exchange, chat string, incarnation membership.Incarnation) routing.ChatToken {
	return routing.ChatToken{
		Chat:        chat,
		Engine:      exchange.target,
		Incarnation: uint32(incarnation),
		IssuedAt:    now.Unix(),
	}
}
