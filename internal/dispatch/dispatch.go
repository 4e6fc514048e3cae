// Package dispatch decides, for one gateway, which back end serves each request,
// how to proceed after each outcome of an attempt, and in which state each back
// end is assumed to be. Gateways send to back ends directly, without an agent in
// between, so this package also enforces the bound on load, at-most-once
// execution, and draining.
//
// Core is a state machine without I/O: callers pass in the time.
package dispatch

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/fairshare"
	"github.com/harriernotch/harriernotch/internal/limits"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// Config holds the parameters of a Core.
type Config struct {
	// Zone is the gateway's own zone.
	Zone string
	// LoadMultiple and LoadSlack are the operators' bound on the load of a back
	// end that caches prefixes: LoadMultiple times the mean load of its pool plus
	// LoadSlack, in requests. The core aims lower, because the loads that it knows
	// are out of date; see bound. Higher values keep more chats on the back end
	// that caches them and balance the pool less evenly.
	LoadMultiple float64
	LoadSlack    float64
	// QueueFactor is the load, in requests per slot, up to which a back end is given
	// requests without a prompt, and CachingFactor the same for the most urgent
	// requests with a prompt whose work isn't known in tokens; engineFactor applies to the
	// others. If no back end has room, the request is refused.
	QueueFactor   float64
	CachingFactor float64
	// RetryRatio and RetryExtra bound the retries of all gateways together in any
	// time window; see limits.RetryBudgetShare.
	RetryRatio float64
	RetryExtra float64
	// LapseTime is how long a back end that disappeared from the list without
	// having announced that it leaves may still get requests while its pool is
	// short of members; see lapse.go. It must be shorter than the time after which
	// a back end that is gone must not get new requests.
	LapseTime time.Duration
	// WarmUpOverage and WarmUpExtra are the operators' limit for a back end that is
	// warming up: WarmUpOverage times its service's warm-up rate plus WarmUpExtra, in
	// requests within any second, from all gateways together.
	WarmUpOverage float64
	WarmUpExtra   float64
	// BackupShare is the fraction of all long streams that may not be repeated whose runs are backed
	// up although their engine isn't suspect. It is for measuring; the default is 0.
	BackupShare float64
	// Rollout bounds the exposure to a bad version during a rollout. The zero value
	// disables rollouts.
	Rollout rollout.Limits
	// Disabled is the set of mechanisms that are switched off; see Mechanism.
	Disabled Disabled
}

// DefaultConfig returns the default configuration.
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

// Core makes the dispatch decisions of one gateway. It is not safe for concurrent use.
type Core struct {
	config   Config
	pools    map[string]*pool
	services map[string]catalog.Service
	members  map[string]*member
	lapsed   map[string]lapsedMember
	// listedAt is when the first list of back ends arrived.
	listedAt time.Time
	peers    peerLoads
	// totalsAt is when the last totals arrived, and totalsInterval the mean time
	// between two totals.
	totalsAt       time.Time
	totalsInterval time.Duration
	// usable, order and shares are buffers that each decision reuses.
	usable []*member
	// withQuota is usable without the members whose warm-up quota is used up; see
	// withWarmUpQuota.
	withQuota []*member
	order     preference
	shares    []share
	// localResidences holds the residence times of this gateway's own requests, by service.
	localResidences map[string]*localResidence
	holders         *holderMemory
	paths           *pathMemory
	crashes         *crashMemory
	budgets         map[string]*limits.RetryBudgetShare
	// serviceDemands holds the rates of this gateway's requests, by service.
	serviceDemands map[string]*serviceDemand
	// backlogs holds the backlogs of refused callers, by service.
	backlogs map[string]*backlog
	// refusals holds the refusals that operators see, by service. No decision depends on them.
	refusals map[string]*refusalRecord
	// runMemory is the mean memory of a run, in tokens, by service.
	runMemory map[string]float64
	// backedUpRuns counts this gateway's runs under way that have a backup, by service.
	backedUpRuns  map[string]int
	gateways      int
	healthChanges []HealthChange
	lag           time.Duration
	// evacuated lists the zones whose back ends get no new requests, and restored holds, by
	// zone, the last withdrawal of an evacuation.
	evacuated []string
	restored  map[string]restoration
	selection gatewaySelection
	rollouts  rollouts
	// displaced holds incarnations that have ended although they may still be listed, and
	// leaving those whose answers announced that they are leaving.
	displaced incarnationLog
	leaving   incarnationLog
	// fairShares holds the fair shares of tenants by service, and peerDemands the demands of
	// tenants by peer, in a small fleet.
	fairShares  map[string]*fairshare.Share
	peerDemands map[string]peerDemands
	// demandsCounted is the number of gateways whose demands the last sums include.
	demandsCounted int
	// work is what the engines of a service have in common, by service.
	work map[string]*serviceWork
	// origins holds where streams began, and streams are this gateway's resumable streams in flight.
	origins *originMemory
	streams map[*Exchange]bool
	// versionHistories and streamLives are by service, and routeHistories by route; see uniform.go.
	versionHistories map[string]versionHistory
	routeHistories   map[string]routeHistory
	streamLives      map[string]time.Duration
	// configuredSince is since when this gateway knows the timeouts of all configurations.
	configuredSince time.Time
	// isFirstStart is set if the fleet starts for the first time.
	isFirstStart bool
}

// HealthChange is a change in the assumed health of a back end.
type HealthChange struct {
	BackEnd string
	From    Health
	To      Health
	// Failures is the number of consecutive attempts that got no valid answer, and ErrorRate
	// the recent share of error answers: the figures behind the change.
	Failures  int
	ErrorRate float64
}

// TakeHealthChanges returns the health changes since the last call and clears them.
func (c *Core) TakeHealthChanges() []HealthChange {
	changes := c.healthChanges
	c.healthChanges = nil
	return changes
}

// recordHealthChange records the member's health if it differs from the last one recorded.
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

// pool holds the back ends of one service, ordered by ID.
type pool struct {
	members []*member
}

// New returns a Core that knows no back ends yet.
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
		budgets:         map[string]*limits.RetryBudgetShare{},
		serviceDemands:  map[string]*serviceDemand{},
		backlogs:        map[string]*backlog{},
		refusals:        map[string]*refusalRecord{},
		runMemory:       map[string]float64{},
		backedUpRuns:    map[string]int{},
		gateways:        1,
		rollouts:        newRollouts(config.Rollout),
		displaced:       newIncarnationLog(),
		leaving:         newIncarnationLog(),
		fairShares:      map[string]*fairshare.Share{},
		peerDemands:     map[string]peerDemands{},
		work:            map[string]*serviceWork{},
		origins:         newOriginMemory(),
		streams:         map[*Exchange]bool{},

		versionHistories: map[string]versionHistory{},
		streamLives:      map[string]time.Duration{},
	}
}

// SetBackEnds replaces the list of back ends, which is ordered by ID. The state
// of an incarnation that remains listed, or had lapsed and is listed again, is
// kept.
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
	c.updateEngines()
	c.refreshRollouts(now)
	c.observeVersions(now)
}

// SetServices replaces the settings of all services.
func (c *Core) SetServices(list []catalog.Service) {
	c.services = make(map[string]catalog.Service, len(list))
	for _, each := range list {
		c.services[each.Name] = each
	}
	c.applyRestorations()
	c.updateFairShares()
	c.updateEngines()
}

// SetLag sets how late this process currently runs its work. The lag is added to the silence
// limit, so that back ends aren't considered silent for answers that this process hasn't read yet.
func (c *Core) SetLag(lag time.Duration) {
	c.lag = lag
	for _, m := range c.members {
		m.health.allowance = lag
	}
}

// SetGateways sets the number of gateways that share the load, including this one.
func (c *Core) SetGateways(count int) {
	c.gateways = max(count, 1)
	for _, budget := range c.budgets {
		budget.SetGateways(c.gateways)
	}
	for _, judge := range c.rollouts.byService {
		judge.SetGateways(c.gateways)
	}
}

// unlimitedBudget is a retry budget that is never used up.
const unlimitedBudget = 1e9

// budget returns the retry budget of the service.
func (c *Core) budget(service string) *limits.RetryBudgetShare {
	budget := c.budgets[service]
	if budget == nil {
		extra := c.config.RetryExtra
		if c.config.Disabled[RetryBudget] {
			extra = unlimitedBudget
		}
		budget = limits.NewRetryBudgetShare(c.config.RetryRatio, extra, c.gateways)
		c.budgets[service] = budget
	}
	return budget
}

// Load is what a gateway has in flight at a back end.
type Load struct {
	// BackEnd is the back end's ID.
	BackEnd string `cbor:"1,keyasint"`
	// Requests counts the requests that were sent and haven't finished.
	Requests int `cbor:"2,keyasint"`
	// Unread is the number of unread tokens in units of UnreadUnit, as in Count.
	Unread uint32 `cbor:"3,keyasint,omitempty"`
}

// Loads returns this gateway's own loads, without zeros, to be sent to its peers.
func (c *Core) Loads() []Load {
	var loads []Load
	c.forEachMember(func(m *member) {
		if m.own > 0 {
			loads = append(loads, Load{BackEnd: m.backEnd.ID, Requests: m.own, Unread: m.unreadUnits()})
		}
	})
	return loads
}

// SetPeerLoads replaces the loads that a peer reported before.
func (c *Core) SetPeerLoads(now time.Time, peer string, loads []Load) {
	c.peers.set(now, peer, loads, c.Loads())
}

// PeerLoadAge returns the age of the other gateways' loads in use, or 0 without any: the age
// of the last totals, or of the oldest peer report that isn't outdated.
func (c *Core) PeerLoadAge(now time.Time) time.Duration {
	if c.totalsAreFresh(now) {
		return now.Sub(c.totalsAt)
	}
	return c.peers.oldestAge(now)
}
