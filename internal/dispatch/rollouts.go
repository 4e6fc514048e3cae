package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// versionHold is how long the back ends of a version that is new to a service get nothing
// where operators move services to other versions: they start with the order, and a gateway may
// hear of them before it hears of that.
const newVersionHold = 2 * time.Second

// rollouts are the orders to move services to other versions.
type rollouts struct {
	limits rollout.Limits
	// byService holds the orders that bind: also one that was withdrawn before a verdict, whose
	// candidate gets nothing while it is there.
	byService map[string]*rollout.Judge
	// withdrawn are the services of which the latter is true.
	withdrawn map[string]bool
	// endedAt is when an order was last withdrawn, by its ID: what peers say of it from before
	// doesn't speak of one that is given anew.
	withdrawnAt map[uint32]time.Time
	// familiar are the versions of each service that may serve without an order.
	established map[string]map[string]bool
	// changes are what is to be logged.
	changes []RolloutChange
}

// RolloutChange is a step of a roll-out, for logs.
type RolloutChange struct {
	// Order is what is moved, and Kind what happened.
	Order rollout.Order
	Step  RolloutStep
	// Finding is why the candidate was given up, where this gateway found so.
	Finding *rollout.Finding
}

// RolloutStep is what may happen to a roll-out.
type RolloutStep uint8

// The steps.
const (
	// RolloutBegan: the order was heard of.
	RolloutBegan RolloutStep = iota
	// RolloutAbandoned: the candidate was found bad, here or by a peer.
	RolloutAbandoned
	// RolloutEnded: a verdict was heard of, or the order was withdrawn.
	RolloutEnded
)

func newRollouts(limits rollout.Limits) rollouts {
	return rollouts{
		limits: limits, byService: map[string]*rollout.Judge{}, withdrawn: map[string]bool{}, withdrawnAt: map[uint32]time.Time{},
		established: map[string]map[string]bool{},
	}
}

// enabled tells whether operators may move services at all.
func (r *rollouts) enabled() bool { return r.limits.Share > 0 || r.limits.Extra > 0 }

// SetRollouts replaces the list of orders. ages are how long ago those were given whose
// beginning stands in the store.
func (c *Core) SetRollouts(now time.Time, list []catalog.Rollout, ages map[string]time.Duration) {
	current := map[string]bool{}
	for _, each := range list {
		current[each.Service] = true
		c.setRollout(now, each, ages[each.Service])
	}
	for _, service := range slices.Sorted(maps.Keys(c.rollouts.byService)) {
		if !current[service] {
			c.withdrawRollout(now, service)
		}
	}
	c.refreshRollouts(now)
}

func (c *Core) setRollout(now time.Time, record catalog.Rollout, age time.Duration) {
	judge := c.rollouts.byService[record.Service]
	if judge == nil || judge.Order() != record.Order() {
		judge = rollout.NewJudge(now, record.Order(), c.rollouts.limits)
		judge.SetGateways(c.gateways)
		c.rollouts.byService[record.Service] = judge
		c.recordRolloutChange(record.Order(), RolloutBegan, nil)
	}
	delete(c.rollouts.withdrawn, record.Service)
	before := judge.State()
	judge.SetState(record.State)
	if record.State.IsVerdict() && !before.IsVerdict() {
		c.recordRolloutChange(record.Order(), RolloutEnded, nil)
	}
	if age > 0 {
		judge.Hear(now, rollout.Mark{Order: record.Order().ID(), AgeMillis: age.Milliseconds()})
	}
}

// withdrawRollout ends an order that is gone. Without a verdict its candidate was never found
// good, and counts as reverted for as long as it stands beside others.
func (c *Core) withdrawRollout(now time.Time, service string) {
	if c.rollouts.withdrawn[service] {
		return
	}
	judge := c.rollouts.byService[service]
	c.rollouts.withdrawn[service] = true
	if judge.State() == rollout.Completed {
		c.addEstablished(service, judge.Order().Target)
		delete(c.rollouts.byService, service)
	} else if !judge.State().IsVerdict() {
		judge.SetState(rollout.Reverted)
		c.recordRolloutChange(judge.Order(), RolloutEnded, nil)
	}
	c.rollouts.withdrawnAt[judge.Order().ID()] = now
}

func (c *Core) recordRolloutChange(order rollout.Order, step RolloutStep, finding *rollout.Finding) {
	c.rollouts.changes = append(c.rollouts.changes, RolloutChange{Order: order, Step: step, Finding: finding})
}

// TakeRolloutChanges returns the steps since the last call.
func (c *Core) TakeRolloutChanges() []RolloutChange {
	changes := c.rollouts.changes
	c.rollouts.changes = nil
	return changes
}

// noteCandidates tells the judges whether their candidates are in service, and learns the
// versions that need no order.
func (c *Core) refreshRollouts(now time.Time) {
	if !c.rollouts.enabled() {
		return
	}
	for service, judge := range c.rollouts.byService {
		target := judge.Order().Target
		candidates, standing := c.versionsInService(service, target)
		judge.SetCandidates(now, candidates)
		if c.rollouts.withdrawn[service] && !(candidates && standing) {
			delete(c.rollouts.byService, service)
			delete(c.rollouts.withdrawn, service)
		}
	}
	for service, pool := range c.pools {
		isFirst := c.rollouts.established[service] == nil
		for _, m := range pool.members {
			if c.rollouts.byService[service] == nil && (isFirst || now.Sub(m.firstSeen) >= newVersionHold) {
				c.addEstablished(service, m.backEnd.Version)
			}
		}
	}
}

func (c *Core) addEstablished(service, version string) {
	if c.rollouts.established[service] == nil {
		c.rollouts.established[service] = map[string]bool{}
	}
	c.rollouts.established[service][version] = true
}

// inService tells whether back ends of the target version, and of others, are in service.
func (c *Core) versionsInService(service, target string) (candidates, standing bool) {
	pool := c.pools[service]
	if pool == nil {
		return false, false
	}
	for _, m := range pool.members {
		if m.backEnd.Leaving {
			continue
		}
		if m.backEnd.Version == target {
			candidates = true
		} else {
			standing = true
		}
	}
	return candidates, standing
}

// pickSide decides which of two versions may take the exchange's next attempt.
func (c *Core) pickSide(now time.Time, x *Exchange) {
	judge := c.rollouts.byService[x.service]
	if judge == nil {
		return
	}
	if x.attempts+x.failedConnects == 0 {
		x.side = judge.Side(now, x.request.Route.Name, x.request.ID)
		return
	}
	x.side = judge.FurtherSide(now, x.request.Route.Name)
}

// yieldSide lets a request for which the candidate has no room go to the standing version,
// and tells whether it may.
func (c *Core) fallBackToStanding(x *Exchange) bool {
	judge := c.rollouts.byService[x.service]
	if judge == nil || x.side != rollout.Candidate || !judge.Allows(rollout.Standing) {
		return false
	}
	x.side = rollout.Standing
	return true
}

// isOnSide tells whether a move to another version lets the exchange go to the member.
func (c *Core) allowedByRollout(now time.Time, x *Exchange, m *member) bool {
	if !c.rollouts.enabled() || c.config.Disabled[Exposure] {
		return true
	}
	judge := c.rollouts.byService[m.backEnd.Service]
	if judge == nil {
		versions := c.rollouts.established[m.backEnd.Service]
		return versions == nil || versions[m.backEnd.Version] || now.Sub(m.firstSeen) >= newVersionHold
	}
	side := sideOf(judge, m)
	if !judge.Allows(side) {
		// Whatever is left of the standing version serves until the candidate's back ends are
		// heard of.
		return side == rollout.Standing && !judge.HasCandidates()
	}
	return judge.State().IsVerdict() || side == x.side
}

func sideOf(judge *rollout.Judge, m *member) rollout.Side {
	if m.backEnd.Version == judge.Order().Target {
		return rollout.Candidate
	}
	return rollout.Standing
}

// noteRun lets the judge of a move follow the attempt.
func (c *Core) startRolloutAttempt(now time.Time, x *Exchange, m *member) {
	x.rolloutAttempt = nil
	judge := c.rollouts.byService[x.service]
	if judge == nil || judge.State().IsVerdict() {
		return
	}
	x.rolloutAttempt = judge.Send(now, sideOf(judge, m), rollout.Facts{
		Route: x.request.Route.Name, BackEnd: m.backEnd.ID, First: len(x.tried) == 1,
		Stream: x.request.Route.Stream, Cold: now.Before(m.coldUntil) || m.mayHaveRestarted,
	})
}

// activeJudges returns those without a verdict, by service.
func (c *Core) activeJudges() []*rollout.Judge {
	var active []*rollout.Judge
	for _, service := range slices.Sorted(maps.Keys(c.rollouts.byService)) {
		if judge := c.rollouts.byService[service]; !judge.State().IsVerdict() {
			active = append(active, judge)
		}
	}
	return active
}

// Tallies returns what this gateway has seen of moves that aren't decided.
func (c *Core) Tallies(now time.Time) []rollout.Tally {
	var tallies []rollout.Tally
	for _, judge := range c.activeJudges() {
		tallies = append(tallies, judge.Tallies(now)...)
	}
	return tallies
}

// TakeTallies takes the tallies of all gateways of a large fleet, so many of those expected, in
// which those that this one told are counted in.
func (c *Core) SetTallyTotals(now time.Time, reported []rollout.Tally, totals Totals) {
	if totals.Counted < 1 {
		return
	}
	own := byKey[rollout.Key](reported)
	others := make([]rollout.Tally, 0, len(totals.Tallies))
	for _, each := range totals.Tallies {
		others = append(others, each.Minus(own[each.Key]))
	}
	for _, judge := range c.activeJudges() {
		judge.TakeTotals(now, others, totals.Counted, totals.Expected)
	}
}

// PeerTallies takes one gateway's tallies in a small fleet.
func (c *Core) SetPeerTallies(now time.Time, peer string, tallies []rollout.Tally) {
	for _, judge := range c.activeJudges() {
		judge.TakePeer(now, peer, tallies)
	}
}

// Marks returns what peers are told of moves that aren't decided.
func (c *Core) Marks(now time.Time) []rollout.Mark {
	var marks []rollout.Mark
	for _, judge := range c.activeJudges() {
		marks = append(marks, judge.Mark(now))
	}
	return marks
}

// HearMarks takes a peer's marks, and tells whether a candidate was given up by them.
func (c *Core) MergeMarks(now time.Time, marks []rollout.Mark) (abandoned bool) {
	for _, mark := range marks {
		age := time.Duration(mark.AgeMillis) * time.Millisecond
		if withdrawnAt, withdrawn := c.rollouts.withdrawnAt[mark.Order]; withdrawn && now.Add(-age).Before(withdrawnAt) {
			continue
		}
		for _, judge := range c.activeJudges() {
			if judge.Hear(now, mark) {
				c.recordRolloutChange(judge.Order(), RolloutAbandoned, nil)
				abandoned = true
			}
		}
	}
	return abandoned
}

// LookAtRollouts weighs the evidence, and tells whether a candidate is given up by it.
func (c *Core) EvaluateRollouts(now time.Time) (abandoned bool) {
	for _, judge := range c.activeJudges() {
		if judge.Look(now) {
			c.recordRolloutChange(judge.Order(), RolloutAbandoned, judge.Finding())
			abandoned = true
		}
	}
	return abandoned
}

// RolloutsDue returns the states that the store should show by now, by service.
func (c *Core) DueRolloutStates(now time.Time) map[string]DueRolloutState {
	due := map[string]DueRolloutState{}
	for service, judge := range c.rollouts.byService {
		due[service] = DueRolloutState{State: judge.Due(now), Age: judge.Age(now)}
	}
	return due
}

// RolloutDue is the state that the store should show of an order of that age.
type DueRolloutState struct {
	State rollout.State
	Age   time.Duration
}

// Rollouts returns what is known of each move, by service.
func (c *Core) Rollouts(now time.Time) []rollout.Report {
	var reports []rollout.Report
	for _, service := range slices.Sorted(maps.Keys(c.rollouts.byService)) {
		reports = append(reports, c.rollouts.byService[service].Report(now))
	}
	return reports
}
