package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// newVersionHold is how long back ends of a version that is new to a service get no requests,
// if rollouts are enabled. They start when the rollout is ordered, and a gateway may learn of
// them before it learns of the order.
const newVersionHold = 2 * time.Second

// rollouts holds the orders to roll services out to other versions. During a rollout, back ends of
// the target version are the candidate's, and all others of the service the standing version's.
type rollouts struct {
	limits rollout.Limits
	// byService holds the orders in force. It includes withdrawn orders that weren't completed:
	// their candidate version gets no requests for as long as it runs beside other versions.
	byService map[string]*rollout.Judge
	// withdrawn are the services whose order in byService was withdrawn.
	withdrawn map[string]bool
	// withdrawnAt is when an order was last withdrawn, by its ID. Peers' marks from before that
	// time don't apply if the same order is given again.
	withdrawnAt map[uint32]time.Time
	// established are the versions of each service that may serve without an order.
	established map[string]map[string]bool
	// changes are the steps that haven't been logged yet.
	changes []RolloutChange
}

// RolloutChange is a step of a rollout, for logs.
type RolloutChange struct {
	// Order is the rollout, and Step what happened to it.
	Order rollout.Order
	Step  RolloutStep
	// Finding is why the candidate was abandoned, if this gateway found the evidence.
	Finding *rollout.Finding
}

// RolloutStep is a kind of step of a rollout.
type RolloutStep uint8

// The steps of a rollout.
const (
	// RolloutBegan: this gateway learned of the order.
	RolloutBegan RolloutStep = iota
	// RolloutAbandoned: the candidate was found bad, by this gateway or a peer.
	RolloutAbandoned
	// RolloutEnded: this gateway learned of a verdict, or the order was withdrawn.
	RolloutEnded
)

func newRollouts(limits rollout.Limits) rollouts {
	return rollouts{
		limits: limits, byService: map[string]*rollout.Judge{}, withdrawn: map[string]bool{}, withdrawnAt: map[uint32]time.Time{},
		established: map[string]map[string]bool{},
	}
}

// enabled reports whether operators may roll out versions at all.
func (r *rollouts) enabled() bool { return r.limits.Share > 0 || r.limits.Extra > 0 }

// SetRollouts replaces the list of orders. ages holds, by service, how long ago an order was
// given, for orders whose start time the store has.
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
		judge.MergeMark(now, rollout.Mark{Order: record.Order().ID(), AgeMillis: age.Milliseconds()})
	}
}

// withdrawRollout ends an order that is no longer listed. Without a verdict its candidate was
// never found good, so the order counts as reverted for as long as the candidate runs beside
// other versions.
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

// TakeRolloutChanges returns the steps since the last call and clears them.
func (c *Core) TakeRolloutChanges() []RolloutChange {
	changes := c.rollouts.changes
	c.rollouts.changes = nil
	return changes
}

// refreshRollouts updates the judges on whether their candidates are in service, drops withdrawn
// orders whose service no longer runs both versions, and learns which versions need no order.
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

// versionsInService reports whether back ends of the target version, and of other versions, are
// in service.
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

// pickSide decides which of the two versions the exchange's next attempt may go to. A stream that has
// begun goes on at its own side.
func (c *Core) pickSide(now time.Time, x *Exchange) {
	judge := c.rollouts.byService[x.service]
	if judge == nil {
		return
	}
	if x.origin != nil && !c.config.Disabled[SameVersion] {
		x.side = sideOfVersion(judge, x.origin.Version)
		return
	}
	if x.attempts+x.failedConnects == 0 {
		x.side = judge.FirstSide(now, x.request.Route.Name, x.request.ID)
		return
	}
	x.side = judge.RetrySide(now, x.request.Route.Name)
}

// fallBackToStanding redirects a request for which the candidate has no room to the standing
// version, and reports whether that is allowed.
func (c *Core) fallBackToStanding(x *Exchange) bool {
	judge := c.rollouts.byService[x.service]
	if judge == nil || x.side != rollout.Candidate || !judge.Allows(rollout.Standing) {
		return false
	}
	x.side = rollout.Standing
	return true
}

// allowedByRollout reports whether the service's rollout, if any, allows the exchange to go to
// the member.
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
		// After the order is completed, back ends that remain of the standing version serve as long
		// as this gateway knows none of the candidate's.
		return side == rollout.Standing && !judge.HasCandidates()
	}
	return judge.State().IsVerdict() || side == x.side
}

func sideOf(judge *rollout.Judge, m *member) rollout.Side {
	return sideOfVersion(judge, m.backEnd.Version)
}

func sideOfVersion(judge *rollout.Judge, version string) rollout.Side {
	if version == judge.Order().Target {
		return rollout.Candidate
	}
	return rollout.Standing
}

// startRolloutAttempt makes the judge of the service's rollout track the attempt.
func (c *Core) startRolloutAttempt(now time.Time, x *Exchange, m *member) {
	x.rolloutAttempt = nil
	judge := c.rollouts.byService[x.service]
	if judge == nil || judge.State().IsVerdict() {
		return
	}
	x.rolloutAttempt = judge.StartAttempt(now, sideOf(judge, m), rollout.AttemptFacts{
		Route: x.request.Route.Name, BackEnd: m.backEnd.ID, First: len(x.tried) == 1,
		Stream: x.request.Route.Stream, Cold: now.Before(m.coldUntil) || m.mayHaveRestarted,
	})
}

// activeJudges returns the judges without a verdict, ordered by service.
func (c *Core) activeJudges() []*rollout.Judge {
	var active []*rollout.Judge
	for _, service := range slices.Sorted(maps.Keys(c.rollouts.byService)) {
		if judge := c.rollouts.byService[service]; !judge.State().IsVerdict() {
			active = append(active, judge)
		}
	}
	return active
}

// Tallies returns this gateway's observations of undecided rollouts.
func (c *Core) Tallies(now time.Time) []rollout.Tally {
	var tallies []rollout.Tally
	for _, judge := range c.activeJudges() {
		tallies = append(tallies, judge.Tallies(now)...)
	}
	return tallies
}

// SetTallyTotals sets the tallies of all gateways of a large fleet. They include those that this
// gateway reported, which are subtracted.
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
		judge.SetTallyTotals(now, others, totals.Counted, totals.Expected)
	}
}

// SetPeerTallies sets the tallies of one peer in a small fleet.
func (c *Core) SetPeerTallies(now time.Time, peer string, tallies []rollout.Tally) {
	for _, judge := range c.activeJudges() {
		judge.SetPeerTallies(now, peer, tallies)
	}
}

// Marks returns the marks of undecided rollouts, to be sent to peers.
func (c *Core) Marks(now time.Time) []rollout.Mark {
	var marks []rollout.Mark
	for _, judge := range c.activeJudges() {
		marks = append(marks, judge.Mark(now))
	}
	return marks
}

// MergeMarks merges a peer's marks, and reports whether they made this gateway abandon a
// candidate.
func (c *Core) MergeMarks(now time.Time, marks []rollout.Mark) (abandoned bool) {
	for _, mark := range marks {
		age := time.Duration(mark.AgeMillis) * time.Millisecond
		if withdrawnAt, withdrawn := c.rollouts.withdrawnAt[mark.Order]; withdrawn && now.Add(-age).Before(withdrawnAt) {
			continue
		}
		for _, judge := range c.activeJudges() {
			if judge.MergeMark(now, mark) {
				c.recordRolloutChange(judge.Order(), RolloutAbandoned, nil)
				abandoned = true
			}
		}
	}
	return abandoned
}

// EvaluateRollouts evaluates the evidence, and reports whether a candidate was abandoned for it.
func (c *Core) EvaluateRollouts(now time.Time) (abandoned bool) {
	for _, judge := range c.activeJudges() {
		if judge.Evaluate(now) {
			c.recordRolloutChange(judge.Order(), RolloutAbandoned, judge.Finding())
			abandoned = true
		}
	}
	return abandoned
}

// DueRolloutStates returns, by service, the states that the store should hold by now.
func (c *Core) DueRolloutStates(now time.Time) map[string]DueRolloutState {
	due := map[string]DueRolloutState{}
	for service, judge := range c.rollouts.byService {
		due[service] = DueRolloutState{State: judge.DueState(now), Age: judge.Age(now)}
	}
	return due
}

// DueRolloutState is the state that the store should hold for an order, and the order's age.
type DueRolloutState struct {
	State rollout.State
	Age   time.Duration
}

// Rollouts returns a report on each rollout, ordered by service.
func (c *Core) Rollouts(now time.Time) []rollout.Report {
	var reports []rollout.Report
	for _, service := range slices.Sorted(maps.Keys(c.rollouts.byService)) {
		reports = append(reports, c.rollouts.byService[service].Report(now))
	}
	return reports
}
