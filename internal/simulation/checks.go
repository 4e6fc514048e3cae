package simulation

import (
	"fmt"
	"time"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/failure"
)

// The promises, as they are named in reports.
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
	// leavingWithin is how long after leaving is known anywhere an agent may
	// still begin to take work.
	leavingGrace = 5 * time.Second
	// inForceWithin is how long a published bundle may take to be in force.
	inForceDeadline = 17 * time.Second
	// heldAfter is the time in the system after which a request that ran
	// nowhere and was never queued counts as held back: the longest wait at an
	// owner, the longest wait for affinity and the attempts between them.
	maxHeldTime = 10 * time.Second
)

// Violation is a broken promise.
type Violation struct {
	// Promise is the promise's name.
	Promise string
	// Detail says what happened.
	Detail string
	// At is the time from the start.
	At time.Duration
}

// checks watches over the promises while a simulation runs.
type checks struct {
	s          *Simulation
	violations []Violation
	counts     map[string]int
	// boundStrict counts admissions above the bound by the mean of the same
	// moment; admissions counts all.
	overBoundStrict int
	admissions      int
	// disturbed is when a node last was hit by a fault.
	lastDisturbed map[string]time.Time
	// unsettled is when a node's own state last changed: a fault of its own,
	// not a cut between parts of the fleet.
	lastStateChange map[string]time.Time
	leavingSince    map[string]time.Time
	inPlannedStop   bool
	reportedNotRun  map[string]bool
}

func newChecks(s *Simulation) *checks {
	return &checks{s: s, counts: map[string]int{}, lastDisturbed: map[string]time.Time{}, lastStateChange: map[string]time.Time{}, leavingSince: map[string]time.Time{}, reportedNotRun: map[string]bool{}}
}

// maxViolations is how many violations are kept in full.
const maxViolations = 20

func (c *checks) fail(promise, format string, arguments ...any) {
	c.counts[promise]++
	detail := fmt.Sprintf(format, arguments...)
	c.s.loop.log("VIOLATION %s: %s", promise, detail)
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{Promise: promise, Detail: detail, At: c.s.loop.now.Sub(c.s.loop.started)})
	}
}

// boundWindows is the span of the promise, in the pool's windows: one for the
// age to which a reported load counts, one for the time between two reports.
const boundWindows = 2

// admitted checks the load bound at an admission: the load, the new request
// included, against the highest mean within the window; or, while the network
// is cut and until the sides have heard of each other again, against the mean of
// the members on the agent's side.
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
		return // a baseline that promises no bound; the share over it is reported
	}
	if load > p.bound(highest) {
		c.fail(PromiseBound, "%s took load %d over the bound %d (mean %.3f, highest in %v %.3f)", n.process.id, load, p.bound(highest), mean, window, highest)
	}
}

// started checks a run at the moment it begins.
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

// runs counts how often the back ends began to run the request.
func (c *checks) runs(r *request) int {
	total := 0
	for _, member := range c.s.pools[r.pool].members {
		total += member.backEnd.runsByRequest[r.id]
	}
	return total
}

// told checks what a caller is told.
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

// gaveUp checks that a final refusal comes at once and with a time to come back.
func (c *checks) checkGivenUp(n *node, r *request, answer *failure.Error) {
	row := answer.Kind.Answer()
	if row.Retry && answer.RetryDelay() <= 0 {
		c.fail(PromisePromptRefusal, "%s was given up as %v without a time to come back", r.id, answer.Kind)
	}
	wasQueued := answer.Kind == failure.DeadlineUnmeetable || answer.Kind == failure.QueueFull
	held := c.s.loop.now.Sub(r.startedAt)
	// A request that is at a paused process waits until that wakes.
	if row.Ran == failure.RanNo && !wasQueued && held > maxHeldTime && !r.paused && !c.wasDisturbed(n, held) {
		c.fail(PromisePromptRefusal, "%s was answered %v after %v", r.id, answer.Kind, held)
	}
}

// cut checks that a request in flight isn't cut by a planned stop.
func (c *checks) checkNotCut(stopping *node, r *request) {
	if c.inPlannedStop {
		c.fail(PromiseStop, "the planned stop of %s cut %s", stopping.process.id, r.id)
	}
}

// adopted checks that a node never goes back, not even across a restart. A
// restarted node may look at an older bundle before it is ready; see ready.
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

func (n *node) ready() bool {
	plane := n.plane()
	return plane != nil && plane.Ready(n.clock())
}

// lookAtNodes checks every node's bundle now and then.
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

// published plans the check that a bundle is in force everywhere in time. The
// clock starts when the first node has it, since no node can read it while the
// platform is away.
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

// raced checks that of two racing operators exactly one wins and the other gets
// a clear conflict.
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

// disturb notes that a fault hits or leaves a node.
func (c *checks) markDisturbed(n *node) {
	c.lastDisturbed[n.process.id] = c.s.loop.now
	c.lastStateChange[n.process.id] = c.s.loop.now
}

// wasDisturbed tells whether a node was hit, or is still cut off, within the
// span.
func (c *checks) wasDisturbed(n *node, within time.Duration) bool {
	at, hit := c.lastDisturbed[n.process.id]
	return len(c.s.network.cuts) > 0 || hit && c.s.loop.now.Sub(at) <= within
}

// leavingSince notes that a node's leaving is known to itself.
func (c *checks) markLeaving(n *node) {
	if _, known := c.leavingSince[n.process.id]; !known {
		c.leavingSince[n.process.id] = c.s.loop.now
	}
}

// leavingKnown notes the leaving machines that a node has just read of.
func (c *checks) markLeavingMachines(list []coordination.Machine) {
	for _, machine := range list {
		if machine.Leaving {
			c.markLeaving(c.s.nodes[machine.ID])
		}
	}
}

func (c *checks) restarted(n *node) { delete(c.leavingSince, n.process.id) }

// finish checks the attempts of the whole run: one for each request, the ratio of
// the retry budget, and what the budgets had saved up.
func (c *checks) finish() {
	m := c.s.measure
	allowed := float64(m.requests)*1.5 + 50*float64(c.s.options.Size.Routers+m.routerStarts)
	if float64(m.attempts) > allowed {
		c.fail(PromiseNoRetryStorm, "%d attempts for %d requests, over the budget %.0f", m.attempts, m.requests, allowed)
	}
}
