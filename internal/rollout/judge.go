package rollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Judge tracks one order in one gateway. It is not safe for concurrent use.
type Judge struct {
	order  Order
	id     uint32
	limits Limits
	// beganAt is when the order was given: the earliest time that this gateway knows from itself,
	// its peers or the store.
	beganAt time.Time
	// candidateSince is the time since which this gateway has known of back ends of the target
	// version in service, or zero while there are none.
	candidateSince time.Time
	state          State
	// abandoned is true once any gateway has found the candidate bad. finding is the reason, if
	// this gateway found it.
	abandoned bool
	finding   *Finding
	// doubts holds the evidence against the candidate on each route, and on all routes together
	// under key 0, as log-likelihood ratios.
	doubts   map[uint32]float64
	own      map[Key]*Tally
	attempts map[*Attempt]struct{}
	remote   remoteTallies
	history  []snapshot
}

// snapshot holds the tallies of all gateways at one time.
type snapshot struct {
	at      time.Time
	tallies map[Key]Tally
}

const (
	// evaluationInterval is the minimum time between two evaluations of the evidence: one round
	// of tallies.
	evaluationInterval = 200 * time.Millisecond
	// shortestSpan is the shortest time span whose answers are evaluated by themselves: shorter
	// ones contain too few. spanGrowth is about the ratio of the lengths of successive spans, so
	// that a candidate that turned bad is evaluated over a span that is at most about spanGrowth
	// times as long as the time since then.
	shortestSpan = 2 * time.Second
	spanGrowth   = 1.5
)

// NewJudge returns a judge of an order that this gateway has just learned of.
func NewJudge(now time.Time, order Order, limits Limits) *Judge {
	return &Judge{
		order: order, id: order.ID(), limits: limits, beganAt: now,
		own: map[Key]*Tally{}, attempts: map[*Attempt]struct{}{}, remote: newRemoteTallies(),
	}
}

// Order returns the order that is judged.
func (j *Judge) Order() Order { return j.order }

// State returns the last known state in the store.
func (j *Judge) State() State { return j.state }

// SetState sets the state that was read from the store. An earlier state than the known one is
// ignored.
func (j *Judge) SetState(state State) { j.state = max(j.state, state) }

// SetCandidates sets whether back ends of the target version are in service.
func (j *Judge) SetCandidates(now time.Time, present bool) {
	switch {
	case !present:
		j.candidateSince = time.Time{}
	case j.candidateSince.IsZero():
		j.candidateSince = now
	}
}

// HasCandidates reports whether back ends of the target version are in service.
func (j *Judge) HasCandidates() bool { return !j.candidateSince.IsZero() }

// SetGateways sets the number of gateways in the fleet.
func (j *Judge) SetGateways(count int) { j.remote.gateways = count }

// Mark returns the mark to send to peers.
func (j *Judge) Mark(now time.Time) Mark {
	return Mark{Order: j.id, AgeMillis: now.Sub(j.beganAt).Milliseconds(), Abandoned: j.abandoned}
}

// MergeMark merges a peer's mark, and reports whether it made this gateway abandon the candidate.
func (j *Judge) MergeMark(now time.Time, mark Mark) (abandoned bool) {
	if mark.Order != j.id {
		return false
	}
	age := time.Duration(max(0, min(mark.AgeMillis, maxOrderAge.Milliseconds()))) * time.Millisecond
	if began := now.Add(-age); began.Before(j.beganAt.Add(-ageSlack)) {
		j.beganAt = began
	}
	abandoned = mark.Abandoned && !j.abandoned
	j.abandoned = j.abandoned || mark.Abandoned
	return abandoned
}

const (
	// maxOrderAge limits the age of an order that a peer may report.
	maxOrderAge = 24 * time.Hour
	// ageSlack is by how much a peer's age of the order must exceed this gateway's to replace it.
	// Each hop loses the time that the message was in transit, and two gateways must not keep
	// moving each other's start time back.
	ageSlack = 100 * time.Millisecond
)

// FirstSide returns the version for a request's first attempt.
func (j *Judge) FirstSide(now time.Time, route, request string) Side {
	share := j.share(now, RouteKey(route))
	if share >= 1 {
		return Candidate
	}
	draw := float64(xxhash.Sum64String(request+"\x00"+j.order.Target)) / math.MaxUint64
	if draw < share {
		return Candidate
	}
	return Standing
}

// RetrySide returns the version for a further attempt: the standing one, unless all of the
// route's requests go to the candidate already.
func (j *Judge) RetrySide(now time.Time, route string) Side {
	if j.share(now, RouteKey(route)) >= 1 {
		return Candidate
	}
	return Standing
}

// Allows reports whether requests may be sent to back ends of the side.
func (j *Judge) Allows(side Side) bool {
	if side == Candidate {
		return j.state != Reverted && !j.abandoned
	}
	return j.state != Completed
}

// tally returns this gateway's own tally of a key, and creates it if needed.
func (j *Judge) tally(key Key) *Tally {
	known := j.own[key]
	if known == nil {
		known = &Tally{Key: key}
		j.own[key] = known
	}
	return known
}

// Tallies returns this gateway's own tallies.
func (j *Judge) Tallies(now time.Time) []Tally {
	for attempt := range j.attempts {
		attempt.recordIfSlow(now)
	}
	list := make([]Tally, 0, len(j.own))
	for _, each := range j.own {
		list = append(list, *each)
	}
	slices.SortFunc(list, Tally.compare)
	return list
}

// SetTallyTotals sets the combined tallies of all other gateways of a large fleet. They cover
// counted of the expected gateways; both numbers include this gateway.
func (j *Judge) SetTallyTotals(now time.Time, tallies []Tally, counted, expected int) {
	j.remote.setTotals(now, j.ofThisOrder(tallies), counted, expected)
}

// SetPeerTallies sets the tallies of one peer in a small fleet.
func (j *Judge) SetPeerTallies(now time.Time, peer string, tallies []Tally) {
	j.remote.setPeer(now, peer, j.ofThisOrder(tallies))
}

// ofThisOrder returns the tallies that belong to this order and to an existing group: another
// build may have more groups.
func (j *Judge) ofThisOrder(tallies []Tally) []Tally {
	return slices.DeleteFunc(slices.Clone(tallies), func(t Tally) bool {
		return t.Key.Order != j.id || t.Key.Group >= standingGroups+candidateGroups
	})
}

// hasQuorum reports whether the tallies cover enough of the fleet to judge for all of it.
func (j *Judge) hasQuorum(now time.Time) bool { return j.remote.hasQuorum(now) }

// sum returns the sums of this gateway's tallies and the fresh ones of the others.
func (j *Judge) sum(now time.Time) map[Key]Tally {
	total := j.remote.sum(now)
	addTallies(total, j.Tallies(now))
	return total
}

// latestTallies returns the tallies of the last evaluation.
func (j *Judge) latestTallies() map[Key]Tally {
	if len(j.history) == 0 {
		return nil
	}
	return j.history[len(j.history)-1].tallies
}

// totalSent returns the number of attempts that all gateways sent.
func (j *Judge) totalSent() float64 {
	total := 0.0
	for _, each := range j.latestTallies() {
		total += float64(each.Sent)
	}
	return total
}

// standingTallies returns the sum of a route's tallies at the standing version, and the tally of
// the group with the longest mean processing time.
func (j *Judge) standingTallies(route uint32) (sum, slowest Tally) {
	for group := range uint8(standingGroups) {
		each := j.latestTallies()[Key{Order: j.id, Route: route, Group: group}]
		sum = sum.Plus(each)
		if each.meanProcessingTime() > slowest.meanProcessingTime() {
			slowest = each
		}
	}
	return sum, slowest
}

// requestTimeBound returns a time that hardly any request of the route exceeds at the standing
// version.
func (j *Judge) requestTimeBound(route uint32) (bound time.Duration, known bool) {
	each, _ := j.standingTallies(route)
	if each.Complete == 0 {
		return 0, false
	}
	mean := float64(each.CompleteMillis) / float64(each.Complete)
	variance := max(0, float64(each.CompleteSquares)/float64(each.Complete)-mean*mean)
	return time.Duration((mean + drainDeviations*math.Sqrt(variance)) * float64(time.Millisecond)), true
}

// meanProcessingTime returns the route's mean processing time at the standing version. It leaves
// out the slowest group if the others have enough timed answers: a slow machine must not hide a
// slow candidate.
func (j *Judge) meanProcessingTime(route uint32) (mean time.Duration, known bool) {
	sum, slowest := j.standingTallies(route)
	if others := sum.Minus(slowest); others.Timed >= minTimed {
		sum = others
	}
	return sum.meanProcessingTime(), sum.Timed >= minTimed
}

// minTimed is the number of timed answers of the standing version that make their mean usable for
// comparison.
const minTimed = 3

// Evaluate evaluates the evidence, and reports whether that made this gateway abandon the
// candidate. It does nothing within evaluationInterval of the last evaluation.
func (j *Judge) Evaluate(now time.Time) (abandoned bool) {
	if n := len(j.history); n > 0 && now.Sub(j.history[n-1].at) < evaluationInterval {
		return false
	}
	all := j.sum(now)
	j.history = thinHistory(append(j.history, snapshot{at: now, tallies: all}))
	if j.abandoned || j.state.IsVerdict() {
		return false
	}
	spans := []span{newSpan(sortedTallies(all))}
	for _, each := range j.history {
		if now.Sub(each.at) >= shortestSpan {
			spans = append(spans, newSpan(sortedTallies(increasesSince(all, each.tallies))))
		}
	}
	j.finding, j.doubts = evaluateSpans(spans)
	j.abandoned = j.finding != nil
	return j.abandoned
}

// thinHistory drops snapshots whose neighbours are nearly as old, since spans that begin there
// show the same. The number that remains grows with the logarithm of the time.
func thinHistory(history []snapshot) []snapshot {
	now := history[len(history)-1].at
	for i := len(history) - 2; i > 0; i-- {
		older, younger := now.Sub(history[i-1].at), now.Sub(history[i+1].at)
		if younger >= shortestSpan && float64(older) < spanGrowth*float64(younger) {
			history = slices.Delete(history, i, i+1)
		}
	}
	return history
}

// isDoubtful reports whether the doubt about the candidate exceeds maxDoubt on any route. Then all
// routes send it only the canary share: one bad route is enough to revert the candidate, and what
// the other routes send to it counts as exposure.
func (j *Judge) isDoubtful() bool {
	for _, doubt := range j.doubts {
		if doubt > maxDoubt {
			return true
		}
	}
	return false
}

// increasesSince returns what was counted since an earlier snapshot.
func increasesSince(all, before map[Key]Tally) map[Key]Tally {
	increases := make(map[Key]Tally, len(all))
	for key, each := range all {
		increases[key] = each.increaseSince(before[key])
	}
	return increases
}

func sortedTallies(tallies map[Key]Tally) []Tally {
	return slices.SortedFunc(maps.Values(tallies), Tally.compare)
}

// DueState returns the state that the store should hold by now.
func (j *Judge) DueState(now time.Time) State {
	elapsed := now.Sub(j.beganAt)
	switch {
	case j.state.IsVerdict():
		return j.state
	case j.abandoned:
		return Reverted
	case elapsed >= j.order.Duration && !j.HasCandidates():
		// There is nothing to move to, and the standing back ends must not be stopped.
		return Reverted
	case elapsed >= j.completeAt() && j.isDoubtful():
		// There is no time left to resolve the doubt, and callers are still served by the
		// standing version.
		return Reverted
	case elapsed >= j.completeAt() && len(j.Waits(now)) == 0:
		return Completed
	default:
		return InProgress
	}
}

// Wait is a condition that an order waits for, as shown in status and logs.
type Wait string

// The conditions that an order may wait for.
const (
	WaitCandidates Wait = "back ends of the target version"
	WaitGateways   Wait = "tallies of the other gateways"
	WaitRoutes     Wait = "the move of all routes"
	WaitStanding   Wait = "requests that end at the standing version"
)

// Waits returns the conditions that must be met before a good candidate's verdict is written.
func (j *Judge) Waits(now time.Time) []Wait {
	var waits []Wait
	if !j.HasCandidates() {
		waits = append(waits, WaitCandidates)
	}
	if !j.hasQuorum(now) {
		waits = append(waits, WaitGateways)
	}
	// A gateway that has just started doesn't know how the candidate has done so far. So it
	// completes nothing until it has itself seen the candidate being tried; by then it has learned
	// what its peers found.
	inFlight, routesPending := uint32(0), now.Sub(j.beganAt) < j.probationEnd()+j.rampTime()+minRamp
	for key, each := range j.sum(now) {
		routesPending = routesPending || now.Sub(j.beganAt) < j.fullAt(key.Route)+minRamp
		if each.side() == Standing {
			inFlight += each.InFlight
		}
	}
	if routesPending {
		waits = append(waits, WaitRoutes)
	}
	if inFlight > 0 {
		waits = append(waits, WaitStanding)
	}
	return waits
}
