package rollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Judge follows one order in one gateway. It is not safe for concurrent use.
type Judge struct {
	order  Order
	id     uint32
	limits Limits
	// beganAt is when the order was given, as far as any gateway knows.
	beganAt time.Time
	// candidateSince is when back ends of the target version were first listed here.
	candidateSince time.Time
	state          State
	// abandoned is set once any gateway found the candidate bad, and finding is why, where
	// this one did.
	abandoned bool
	finding   *Finding
	// doubts are how much speaks against the candidate on each route, and on all together
	// under 0, as logarithms of likelihood ratios.
	doubts   map[uint32]float64
	own      map[Key]*Tally
	attempts map[*Attempt]struct{}
	remote   remoteTallies
	history  []snapshot
}

// moment is what all gateways had counted at a time.
type snapshot struct {
	at      time.Time
	tallies map[Key]Tally
}

const (
	// lookPeriod is the least time between two looks at the evidence, a round of tallies.
	evaluationInterval = 200 * time.Millisecond
	// recentTime is the shortest span whose answers are judged by themselves: shorter ones hold
	// too few. spanGrowth is by how much each further one is longer, so that a candidate which
	// turned bad is judged by a span that began at most so much before it did.
	shortestSpan = 2 * time.Second
	spanGrowth   = 1.5
)

// NewJudge returns a judge of an order that this gateway has heard of now.
func NewJudge(now time.Time, order Order, limits Limits) *Judge {
	return &Judge{
		order: order, id: order.ID(), limits: limits, beganAt: now,
		own: map[Key]*Tally{}, attempts: map[*Attempt]struct{}{}, remote: newRemoteTallies(),
	}
}

// Order returns what is judged.
func (j *Judge) Order() Order { return j.order }

// State returns how far the store says that the order has come.
func (j *Judge) State() State { return j.state }

// SetState takes what stands in the store.
func (j *Judge) SetState(state State) { j.state = max(j.state, state) }

// SetCandidates notes whether back ends of the target version are in service.
func (j *Judge) SetCandidates(now time.Time, present bool) {
	switch {
	case !present:
		j.candidateSince = time.Time{}
	case j.candidateSince.IsZero():
		j.candidateSince = now
	}
}

// HasCandidates tells whether back ends of the target version are in service.
func (j *Judge) HasCandidates() bool { return !j.candidateSince.IsZero() }

// SetGateways notes how many gateways there are.
func (j *Judge) SetGateways(count int) { j.remote.gateways = count }

// Mark returns what peers are told.
func (j *Judge) Mark(now time.Time) Mark {
	return Mark{Order: j.id, AgeMillis: now.Sub(j.beganAt).Milliseconds(), Abandoned: j.abandoned}
}

// Hear takes a peer's mark and tells whether the candidate was given up by it.
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
	// longestAge bounds the age of an order that a peer may tell.
	maxOrderAge = 24 * time.Hour
	// ageSlack is by how much a peer's age must differ to count: the time of the message is
	// lost with each hop, and two gateways mustn't push each other back.
	ageSlack = 100 * time.Millisecond
)

// Side returns the version for a request's first attempt.
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

// FurtherSide returns the version for a further attempt: the standing one, unless the route
// has been moved.
func (j *Judge) RetrySide(now time.Time, route string) Side {
	if j.share(now, RouteKey(route)) >= 1 {
		return Candidate
	}
	return Standing
}

// Allows tells whether anything may be sent to back ends of the side.
func (j *Judge) Allows(side Side) bool {
	if side == Candidate {
		return j.state != Reverted && !j.abandoned
	}
	return j.state != Completed
}

// tally returns this gateway's own of a key.
func (j *Judge) tally(key Key) *Tally {
	known := j.own[key]
	if known == nil {
		known = &Tally{Key: key}
		j.own[key] = known
	}
	return known
}

// Tallies returns this gateway's own.
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

// TakeTotals takes the tallies of all other gateways of a large fleet together, of which so
// many were counted of those expected, this one included.
func (j *Judge) SetTallyTotals(now time.Time, tallies []Tally, counted, expected int) {
	j.remote.setTotals(now, j.ofThisOrder(tallies), counted, expected)
}

// TakePeer takes one gateway's tallies in a small fleet.
func (j *Judge) SetPeerTallies(now time.Time, peer string, tallies []Tally) {
	j.remote.setPeer(now, peer, j.ofThisOrder(tallies))
}

// mine returns the tallies that are of this order and of a group that there is: another build's
// may have more.
func (j *Judge) ofThisOrder(tallies []Tally) []Tally {
	return slices.DeleteFunc(slices.Clone(tallies), func(t Tally) bool {
		return t.Key.Order != j.id || t.Key.Group >= standingGroups+candidateGroups
	})
}

// hears tells whether enough of the fleet is heard to judge for all.
func (j *Judge) hasQuorum(now time.Time) bool { return j.remote.hasQuorum(now) }

// sum returns the tallies of all gateways that are heard.
func (j *Judge) sum(now time.Time) map[Key]Tally {
	total := j.remote.sum(now)
	addTallies(total, j.Tallies(now))
	return total
}

// latest returns the tallies as they were last looked at.
func (j *Judge) latestTallies() map[Key]Tally {
	if len(j.history) == 0 {
		return nil
	}
	return j.history[len(j.history)-1].tallies
}

// sent returns the requests of all gateways.
func (j *Judge) totalSent() float64 {
	total := 0.0
	for _, each := range j.latestTallies() {
		total += float64(each.Sent)
	}
	return total
}

// standingOf returns the tallies of a route at the standing version, and those of its group
// whose work takes the longest.
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

// longestWhole returns the time that hardly any request of a route exceeds at the standing
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

// meanWork returns the mean time of a route's work at the standing version, without its slowest
// group where there is another: a slow machine mustn't excuse a slow version.
func (j *Judge) meanProcessingTime(route uint32) (mean time.Duration, known bool) {
	sum, slowest := j.standingTallies(route)
	if others := sum.Minus(slowest); others.Timed >= minTimed {
		sum = others
	}
	return sum.meanProcessingTime(), sum.Timed >= minTimed
}

// fewestTimed is how many answers of the standing version make a mean to compare with.
const minTimed = 3

// Look weighs the evidence, and tells whether the candidate is given up by it.
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

// thinned drops moments whose neighbours are nearly as old: spans that begin there tell the
// same. What is left grows with the logarithm of the time.
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

// isDoubtful tells whether anything speaks against the candidate, on whatever route: one is
// enough to revert it, and what the others get counts as exposure.
func (j *Judge) isDoubtful() bool {
	for _, doubt := range j.doubts {
		if doubt > maxDoubt {
			return true
		}
	}
	return false
}

// since returns what was counted after an earlier moment.
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

// Due returns the state that the store should show by now.
func (j *Judge) DueState(now time.Time) State {
	elapsed := now.Sub(j.beganAt)
	switch {
	case j.state.IsVerdict():
		return j.state
	case j.abandoned:
		return Reverted
	case elapsed >= j.order.Duration && !j.HasCandidates():
		// There is nothing to move to, and the standing back ends mustn't be stopped.
		return Reverted
	case elapsed >= j.completeAt() && j.isDoubtful():
		// There is no time left to find out, and callers are served well as it is.
		return Reverted
	case elapsed >= j.completeAt() && len(j.Waits(now)) == 0:
		return Completed
	default:
		return InProgress
	}
}

// Wait is what an order waits for, for status and logs.
type Wait string

// What an order may wait for.
const (
	WaitCandidates Wait = "back ends of the target version"
	WaitGateways   Wait = "tallies of the other gateways"
	WaitRoutes     Wait = "the move of all routes"
	WaitStanding   Wait = "requests that end at the standing version"
)

// Awaits returns what must be before a good candidate's verdict is written.
func (j *Judge) Waits(now time.Time) []Wait {
	var waits []Wait
	if !j.HasCandidates() {
		waits = append(waits, WaitCandidates)
	}
	if !j.hasQuorum(now) {
		waits = append(waits, WaitGateways)
	}
	// A gateway that has just started knows nothing of what the candidate did before: it completes
	// nothing that it hasn't seen tried itself, by when it hears what its peers have found.
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
