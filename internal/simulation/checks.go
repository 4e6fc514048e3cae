package simulation

import (
	"fmt"
	"time"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/failure"
)

// The names of the promises in reports.
const (
	PromiseBound         = "load bound"
	PromiseOwnAnswers    = "whole and own answers"
	PromiseNotRun        = "not run is true"
	PromiseOnce          = "at most once"
	PromiseLeaving       = "leaving"
	PromiseStop          = "planned stop"
	PromiseBundle        = "bundle"
	PromisePromptRefusal = "given up at once"
	PromiseNoRetryStorm  = "no retry storm"
)

const (
	// leavingGrace is the time after any node first knows that a machine is leaving,
	// during which its agent may still accept requests.
	leavingGrace = 5 * time.Second
	// inForceDeadline is the time within which a bundle must be in force on every node,
	// from the moment when the first node has it.
	inForceDeadline = 17 * time.Second
	// maxHeldTime is the longest time that a request may be held before it is given up, if
	// it ran nowhere and was never queued. It covers the longest wait at an owner, the
	// longest wait for affinity and the attempts between them.
	maxHeldTime = 10 * time.Second
)

// Violation describes one broken promise.
type Violation struct {
	// Promise is the promise's name.
	Promise string
	// Detail describes what happened.
	Detail string
	// At is the time since the start of the simulation.
	At time.Duration
}

// checks verifies the promises while a simulation runs.
type checks struct {
	s          *Simulation
	violations []Violation
	counts     map[string]int
	// overBoundStrict counts the admissions above the bound by the mean load at the time
	// of the admission; admissions counts all admissions.
	overBoundStrict int
	admissions      int
	// lastDisturbed is when a fault last began or ended at each node.
	lastDisturbed map[string]time.Time
	// lastStateChange is the same for the faults of the node alone, without cuts between
	// parts of the fleet.
	lastStateChange map[string]time.Time
	// leavingSince is when each machine was first known to be leaving.
	leavingSince map[string]time.Time
	// inPlannedStop is set while a drained process ends.
	inPlannedStop bool
	// reportedNotRun holds the requests whose callers were told that they weren't run.
	reportedNotRun map[string]bool
}

func newChecks(s *Simulation) *checks {
	return &checks{s: s, counts: map[string]int{}, lastDisturbed: map[string]time.Time{}, lastStateChange: map[string]time.Time{}, leavingSince: map[string]time.Time{}, reportedNotRun: map[string]bool{}}
}

// maxViolations is the number of violations that are kept with their details. The run
// ends when it is reached.
const maxViolations = 20

func (c *checks) fail(promise, format string, arguments ...any) {
	c.counts[promise]++
	detail := fmt.Sprintf(format, arguments...)
	c.s.loop.log("VIOLATION %s: %s", promise, detail)
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{Promise: promise, Detail: detail, At: c.s.loop.now.Sub(c.s.loop.started)})
	}
}

// boundWindows is the number of the pool's windows over which the load bound is checked:
// one for the age up to which a reported load counts, and one for the time between two
// reports.
const boundWindows = 2

// checkAdmission checks the load bound at an admission: the load, with the new request,
// against the highest mean load within the window. While the network is cut, and for
// settleTime after, until both sides have received updates from each other again, the
// means over the members on the agent's side count too.
func (c *checks) checkAdmission(n *node, load int) {
	p := c.s.pools[n.backEnd.pool]
	now := c.s.loop.now
	c.admissions++
	mean := p.mean(everyMember).mean
	if load > p.bound(mean) {
		c.overBoundStrict++
	}
	window := boundWindows * p.pool.MeanWindow.Std()
	highest := p.highest(n, now, window)
	p.sample(now)
	if c.s.options.Policy.unbounded {
		return // a baseline without a load bound; only the share of admissions over it is reported
	}
	if load > p.bound(highest) {
		c.fail(PromiseBound, "%s took load %d over the bound %d (mean %.3f, highest in %v %.3f)", n.process.id, load, p.bound(highest), mean, window, highest)
	}
}

// checkRun checks a run when it starts.
func (c *checks) checkRun(n *node, a *attempt) {
	r := a.request
	if a.head.BackEnd != n.process.id || n.backEnd.pool != r.pool {
		c.fail(PromiseOwnAnswers, "%s ran %s, which is meant for %s", n.process.id, r.id, a.head.BackEnd)
	}
	if c.reportedNotRun[r.id] {
		c.fail(PromiseNotRun, "%s ran %s after its caller was told that it was not run", n.process.id, r.id)
	}
	if r.key != "" {
		runs := 1
		for _, member := range c.s.pools[r.pool].members {
			runs += member.backEnd.runsByKey[r.key]
		}
		if runs > 1 {
			c.fail(PromiseOnce, "%s ran %s: run %d under its key", n.process.id, r.id, runs)
		}
	} else if c.runs(r) > 0 {
		c.fail(PromiseOnce, "%s ran %s again, which its caller sent once", n.process.id, r.id)
	}
	if since, known := c.leavingSince[n.process.id]; known && a.arrivedAt.Sub(since) > leavingGrace {
		c.fail(PromiseLeaving, "%s took work %v after its leaving was known", n.process.id, a.arrivedAt.Sub(since))
	}
}

// runs returns how often back ends started to run the request.
func (c *checks) runs(r *request) int {
	total := 0
	for _, member := range c.s.pools[r.pool].members {
		total += member.backEnd.runsByRequest[r.id]
	}
	return total
}

// checkOutcome checks the outcome that a caller receives.
func (c *checks) checkOutcome(r *request, o outcome) {
	runs := c.runs(r)
	if o.served {
		if o.attempt == nil || o.attempt.request != r {
			c.fail(PromiseOwnAnswers, "%s got the answer to another request", r.id)
		}
		if runs == 0 && r.key == "" {
			c.fail(PromiseOwnAnswers, "%s was answered but never run", r.id)
		}
		return
	}
	if o.kind.Answer().Ran != failure.RanNo {
		return
	}
	c.reportedNotRun[r.id] = true
	if runs > 0 {
		c.fail(PromiseNotRun, "%s was told %v but ran", r.id, o.kind)
	}
}

// checkGivenUp checks that a final refusal comes promptly, unless the request was queued or
// a fault delayed it, and that it has a retry time if the caller may retry.
func (c *checks) checkGivenUp(n *node, r *request, answer *failure.Error) {
	row := answer.Kind.Answer()
	if row.Retry && answer.RetryDelay() <= 0 {
		c.fail(PromisePromptRefusal, "%s was given up as %v without a time to come back", r.id, answer.Kind)
	}
	wasQueued := answer.Kind == failure.DeadlineUnmeetable || answer.Kind == failure.QueueFull
	held := c.s.loop.now.Sub(r.startedAt)
	// A request that a paused process holds waits until the process resumes.
	if row.Ran == failure.RanNo && !wasQueued && held > maxHeldTime && !r.paused && !c.wasDisturbed(n, held) {
		c.fail(PromisePromptRefusal, "%s was answered %v after %v", r.id, answer.Kind, held)
	}
}

// checkNotCut checks that a planned stop doesn't interrupt a request in flight.
func (c *checks) checkNotCut(stopping *node, r *request) {
	if c.inPlannedStop {
		c.fail(PromiseStop, "the planned stop of %s cut %s", stopping.process.id, r.id)
	}
}

// checkAdopted checks that a ready node never adopts a bundle number lower than one that it
// had in force, not even across a restart. A restarted node may hold an older bundle until
// it is ready.
func (c *checks) checkAdopted(n *node, number uint64) {
	c.s.loop.log("%s adopts %d", n.process.id, number)
	if _, known := n.adoptedAt[number]; !known {
		n.adoptedAt[number] = c.s.loop.now
	}
	if number < n.adopted && n.ready() {
		c.fail(PromiseBundle, "%s went back from %d to %d", n.process.id, n.adopted, number)
	}
	if n.ready() {
		n.adopted = max(n.adopted, number)
	}
}

// ready reports whether the node's process is up and its control plane is ready.
func (n *node) ready() bool {
	plane := n.plane()
	return plane != nil && plane.Ready(n.clock())
}

// checkNodes checks that every node that is ready and not frozen has at least the highest
// bundle number that it had in force before.
func (c *checks) checkNodes() {
	for _, id := range c.s.ids {
		n := c.s.nodes[id]
		if !n.ready() || n.process.frozen {
			continue
		}
		number := n.plane().Bundle().Number
		if number < n.adopted {
			c.fail(PromiseBundle, "%s is ready with %d after it had %d in force", id, number, n.adopted)
		}
		n.adopted = max(n.adopted, number)
	}
}

// awaitPublished schedules the check that a bundle is in force on every node in time. The
// time counts from when the first node has the bundle, since no node can read it while
// the platform is down.
func (c *checks) awaitPublished(b *bundle.Bundle) {
	c.s.lastPublished = max(c.s.lastPublished, b.Number)
	c.awaitFirstNode(b.Number)
}

func (c *checks) awaitFirstNode(number uint64) {
	for _, id := range c.s.ids {
		if n := c.s.nodes[id]; n.process.up && n.plane().Bundle() != nil && n.plane().Bundle().Number >= number {
			since := c.s.loop.now
			c.s.loop.after(inForceDeadline, func() { c.checkInForce(number, since) })
			return
		}
	}
	c.s.loop.after(100*time.Millisecond, func() { c.awaitFirstNode(number) })
}

func (c *checks) checkInForce(number uint64, since time.Time) {
	for _, id := range c.s.ids {
		n := c.s.nodes[id]
		if !n.process.up || n.process.frozen || c.wasDisturbed(n, c.s.loop.now.Sub(since)+time.Second) {
			continue
		}
		if current := n.plane().Bundle(); current == nil || current.Number < number {
			c.fail(PromiseBundle, "%s has not %d in force %v after the first node had", id, number, inForceDeadline)
		}
	}
}

// checkRace checks that two operators who publish concurrently don't both succeed, and
// that a failed one gets a conflict or learns that the platform is unavailable.
func (c *checks) checkRace(first, second error) {
	if first == nil && second == nil {
		c.fail(PromiseBundle, "both racing operators were told that they won")
	}
	for _, err := range []error{first, second} {
		kind := failure.KindOf(err)
		if err != nil && kind != failure.Conflict && kind != failure.PlatformUnavailable {
			c.fail(PromiseBundle, "a racing operator got %v", err)
		}
	}
}

// markDisturbed records that a fault begins or ends at a node.
func (c *checks) markDisturbed(n *node) {
	c.lastDisturbed[n.process.id] = c.s.loop.now
	c.lastStateChange[n.process.id] = c.s.loop.now
}

// wasDisturbed reports whether a fault began or ended at the node within the time, or any
// cut is active.
func (c *checks) wasDisturbed(n *node, within time.Duration) bool {
	at, hit := c.lastDisturbed[n.process.id]
	return len(c.s.network.cuts) > 0 || hit && c.s.loop.now.Sub(at) <= within
}

// markLeaving records that a node is known to be leaving, unless it is recorded already.
func (c *checks) markLeaving(n *node) {
	if _, known := c.leavingSince[n.process.id]; !known {
		c.leavingSince[n.process.id] = c.s.loop.now
	}
}

// markLeavingMachines records the leaving machines of a list that a node has received.
func (c *checks) markLeavingMachines(list []coordination.Machine) {
	for _, machine := range list {
		if machine.Leaving {
			c.markLeaving(c.s.nodes[machine.ID])
		}
	}
}

// restarted records that a node has restarted and is no longer leaving.
func (c *checks) restarted(n *node) { delete(c.leavingSince, n.process.id) }

// finish checks the number of attempts after the warm-up. Allowed are one for each request,
// the retry budget's ratio of 0.5 for each, and up to 50 saved-up retries in the budget of
// every router and of every start of a router.
func (c *checks) finish() {
	m := c.s.measure
	allowed := float64(m.requests)*1.5 + 50*float64(c.s.options.Size.Routers+m.routerStarts)
	if float64(m.attempts) > allowed {
		c.fail(PromiseNoRetryStorm, "%d attempts for %d requests, over the budget %.0f", m.attempts, m.requests, allowed)
	}
}
