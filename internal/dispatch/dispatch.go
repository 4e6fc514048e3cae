// Package dispatch decides, for one gateway, which back end gets a request, what
// follows from each outcome of an attempt, and what the gateway believes of each
// back end. A gateway sends straight to back ends: no agent stands between, so
// the bound on load, at-most-once and drain are all decided here.
//
// Core is a state machine without I/O: callers pass in the time.
package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/limits"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// Config tunes a Core.
type Config struct {
	// Zone is the gateway's own zone.
	Zone string
	// LoadMultiple and LoadSlack are the operators' bound on the load of a back
	// end that caches prefixes: LoadMultiple times its pool's mean plus LoadSlack,
	// in requests. The core aims lower, since it sees loads late; see bound. Higher
	// values keep more chats at the back end that caches them, and leave the pool
	// less even.
	LoadMultiple float64
	LoadSlack    float64
	// QueueFactor is how many requests per slot a plain back end is given before
	// the gateway refuses instead; CachingFactor is the same for back ends that
	// cache prompts, and for the most urgent requests.
	QueueFactor   float64
	CachingFactor float64
	// RetryRatio and RetryExtra bound the further attempts of all gateways
	// together in any window; see limits.ShareOfBudget.
	RetryRatio float64
	RetryExtra float64
	// LapseTime is how long a back end that vanished from the list without having
	// said that it leaves may still get requests while its pool is short; see
	// lapse.go. It must be shorter than the time within which a back end that has
	// gone may get no new request.
	LapseTime time.Duration
	// WarmUpOverage and WarmUpExtra are the operators' limit on a back end that warms
	// up: WarmUpOverage times its service's rate plus WarmUpExtra, in requests within
	// any second, from all gateways together.
	WarmUpOverage float64
	WarmUpExtra   float64
	// Rollout bounds the exposure to a bad version while a service is moved to it; none where
	// operators don't move services.
	Rollout rollout.Limits
	// Disabled switches mechanisms off to show that checks notice.
	Disabled Disabled
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		LoadMultiple: 2,
		LoadSlack:    3,
		QueueFactor:  3,

		CachingFactor: 1.4,
		RetryRatio:    0.2,
		RetryExtra:    20,
		LapseTime:     1400 * time.Millisecond,
		WarmUpOverage: 1,
	}
}

// Core decides for one gateway. It is not safe for concurrent use.
type Core struct {
	config   Config
	pools    map[string]*pool
	services map[string]catalog.Service
	members  map[string]*member
	lapsed   map[string]lapsedMember
	// listedAt is when the first list of back ends came.
	listedAt time.Time
	peers    peerLoads
	// totalsAt is when the last totals came, and totalsInterval the mean time between
	// two.
	totalsAt       time.Time
	totalsInterval time.Duration
	// usable, order and shares are reused by each decision.
	usable []*member
	// unspent is usable without members that may get nothing; see withoutSpent.
	withQuota []*member
	order     preference
	shares    []share
	// paces are those of the services.
	localResidences map[string]*localResidence
	holders         *holderMemory
	paths           *pathMemory
	crashes         *crashMemory
	budgets         map[string]*limits.ShareOfBudget
	gateways        int
	healthChanges   []HealthChange
	lag             time.Duration
	// evacuated are the zones whose back ends get nothing new, and restored those whose
	// order was taken back, until the next one.
	evacuated []string
	restored  map[string]restoration
	selection gatewaySelection
	rollouts  rollouts
	// displaced are lives that have ended though they are listed, and leaving those whose
	// answers have said that they leave.
	displaced incarnationLog
	leaving   incarnationLog
}

// HealthChange is a changed belief on a back end.
type HealthChange struct {
	BackEnd string
	From    Health
	To      Health
	// Failures is the number of breaks in a row, and ErrorRate the recent share
	// of failed answers: what the change was decided by.
	Failures  int
	ErrorRate float64
}

// TakeHealthChanges returns the changed beliefs since the last call.
func (c *Core) TakeHealthChanges() []HealthChange {
	changes := c.healthChanges
	c.healthChanges = nil
	return changes
}

// noteHealth records a change of the member's health since it was last noted.
func (c *Core) recordHealthChange(now time.Time, m *member) {
	status := m.health.status(now)
	if status == m.loggedHealth {
		return
	}
	c.healthChanges = append(c.healthChanges, HealthChange{
		BackEnd: m.backEnd.ID, From: m.loggedHealth, To: status, Failures: m.health.consecutiveFailures, ErrorRate: m.health.errorRate,
	})
	m.loggedHealth = status
}

// pool is the back ends of one service, by ID.
type pool struct {
	members []*member
}

// New returns a core that knows no back end.
func New(config Config) *Core {
	return &Core{
		config:  config,
		pools:   map[string]*pool{},
		members: map[string]*member{},
		lapsed:  map[string]lapsedMember{},
		peers:   newPeerLoads(),

		restored:        map[string]restoration{},
		totalsInterval:  initialInterval,
		localResidences: map[string]*localResidence{},
		holders:         newHolderMemory(),
		paths:           newPathMemory(),
		crashes:         newCrashMemory(),
		budgets:         map[string]*limits.ShareOfBudget{},
		gateways:        1,
		rollouts:        newRollouts(config.Rollout),
		displaced:       newIncarnationLog(),
		leaving:         newIncarnationLog(),
	}
}

// SetBackEnds replaces the list of back ends, which is ordered by ID. What is
// believed of those that stay is kept.
func (c *Core) SetBackEnds(now time.Time, list []catalog.BackEnd) {
	if c.listedAt.IsZero() {
		c.listedAt = now
	}
	members := make(map[string]*member, len(list))
	pools := map[string]*pool{}
	for _, backEnd := range list {
		known := c.knownMember(backEnd.Incarnation())
		if known == nil {
			known = newMember(now, backEnd.ID)
			known.health.allowance = c.lag
			known.health.disabled = c.config.Disabled
		}
		if known.backEnd.Address != backEnd.Address {
			known.health.displaced = false
		}
		c.updateWarmUp(now, known, backEnd)
		known.backEnd = backEnd
		known.listed = true
		c.noteDisplaced(known)
		c.noteLeaving(known)
		known.evacuated = slices.Contains(c.evacuated, backEnd.Zone)
		members[backEnd.ID] = known
		if pools[backEnd.Service] == nil {
			pools[backEnd.Service] = &pool{}
		}
		pools[backEnd.Service].members = append(pools[backEnd.Service].members, known)
	}
	c.lapse(now, members)
	c.members = members
	c.pools = pools
	c.refreshRollouts(now)
}

// SetServices replaces what is known of the services as a whole.
func (c *Core) SetServices(list []catalog.Service) {
	c.services = make(map[string]catalog.Service, len(list))
	for _, each := range list {
		c.services[each.Name] = each
	}
}

// SetLag notes how late this process runs what is due: back ends are not taken for
// silent for what it has not yet read.
func (c *Core) SetLag(lag time.Duration) {
	c.lag = lag
	for _, m := range c.members {
		m.health.allowance = lag
	}
}

// SetGateways notes how many gateways share the work, this one included.
func (c *Core) SetGateways(count int) {
	c.gateways = max(count, 1)
	for _, budget := range c.budgets {
		budget.SetGateways(c.gateways)
	}
	for _, judge := range c.rollouts.byService {
		judge.SetGateways(c.gateways)
	}
}

// unbounded is a budget that never ends.
const unlimitedBudget = 1e9

// budget returns the service's budget for further attempts.
func (c *Core) budget(service string) *limits.ShareOfBudget {
	budget := c.budgets[service]
	if budget == nil {
		extra := c.config.RetryExtra
		if c.config.Disabled[RetryBudget] {
			extra = unlimitedBudget
		}
		budget = limits.NewShareOfBudget(c.config.RetryRatio, extra, c.gateways)
		c.budgets[service] = budget
	}
	return budget
}

// Load is the number of requests that a gateway has under way at a back end.
type Load struct {
	// BackEnd is the back end's ID.
	BackEnd string `cbor:"1,keyasint"`
	// Requests counts requests sent and not finished.
	Requests int `cbor:"2,keyasint"`
}

// Loads returns this gateway's own loads for its peers, without zeros.
func (c *Core) Loads() []Load {
	var loads []Load
	c.forEachMember(func(m *member) {
		if m.own > 0 {
			loads = append(loads, Load{BackEnd: m.backEnd.ID, Requests: m.own})
		}
	})
	return loads
}

// PeerLoads takes a peer's loads, which replace what it told before.
func (c *Core) SetPeerLoads(now time.Time, peer string, loads []Load) {
	c.peers.set(now, peer, loads, c.Loads())
}

// Belief is what the gateway believes of one back end, for status and logs.
type BackEndStatus struct {
	BackEnd catalog.BackEnd
	Health  Health
	// Own is this gateway's load, and Estimate that of all gateways.
	Own      int
	Estimate float64
	// Evacuated is true while its zone gets nothing new, and WarmsUp while it bears few
	// requests.
	Evacuated bool
	WarmsUp   bool
}

// Beliefs returns the beliefs on all back ends by service and ID.
func (c *Core) BackEndStatuses(now time.Time) []BackEndStatus {
	var statuses []BackEndStatus
	for _, service := range slices.Sorted(maps.Keys(c.pools)) {
		for _, m := range c.pools[service].members {
			statuses = append(statuses, BackEndStatus{
				BackEnd:  m.backEnd,
				Health:   m.health.status(now),
				Own:      m.own,
				Estimate: c.estimate(now, m),

				Evacuated: m.evacuated,
				WarmsUp:   c.isWarmingUp(now, m),
			})
		}
	}
	return statuses
}

// ServiceBelief is what the gateway believes of one service.
type ServiceStatus struct {
	// Name is the service's.
	Name string
	// RetryBudget is the number of further attempts left, UnderWay the number of
	// this gateway's requests at back ends.
	RetryBudget float64
	UnderWay    int
	// BackEnds counts those listed, and Unusable those believed not to work.
	BackEnds int
	Unusable int
}

// Services returns the beliefs on all services with back ends, by name.
func (c *Core) ServiceStatuses(now time.Time) []ServiceStatus {
	var statuses []ServiceStatus
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		status := ServiceStatus{Name: name, RetryBudget: c.budget(name).Tokens(), BackEnds: len(c.pools[name].members)}
		for _, m := range c.pools[name].members {
			status.UnderWay += m.own
			if m.health.status(now) != Healthy {
				status.Unusable++
			}
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// OldestPeer returns the age of the oldest loads of others that still count, or 0 without
// any: that of the last totals, or of the oldest among those that peers told.
func (c *Core) PeerLoadAge(now time.Time) time.Duration {
	if c.totalsAreFresh(now) {
		return now.Sub(c.totalsAt)
	}
	return c.peers.oldestAge(now)
}
