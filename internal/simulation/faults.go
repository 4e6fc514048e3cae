package simulation

import (
	"fmt"
	"time"

	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/membership"
)

// FaultKind is a kind of fault.
type FaultKind uint8

// The kinds of faults.
const (
	// FaultKill kills a process and restarts it after Span.
	FaultKill FaultKind = iota
	// FaultMachine takes down a machine, which loses its back end's cache; it restarts
	// after Span.
	FaultMachine
	// FaultFreeze pauses a process for Span.
	FaultFreeze
	// FaultStop drains and stops a process as planned and restarts it after Span.
	FaultStop
	// FaultCut cuts a node off from all others and from the platform for Span.
	FaultCut
	// FaultCutOneWay blocks what a node sends to the other nodes for Span.
	FaultCutOneWay
	// FaultRegions cuts the first region, or the first zone where there is only one
	// region, off from the others and from the platform for Span.
	FaultRegions
	// FaultPlatformDown makes the platform unavailable for Span.
	FaultPlatformDown
	// FaultPlatformSlow makes the platform so slow that calls time out, for Span.
	FaultPlatformSlow
	// FaultLoseAnswer loses the answer to the next write on the platform.
	FaultLoseAnswer
	// FaultPublish publishes a bundle.
	FaultPublish
	// FaultRace lets two operators publish concurrently.
	FaultRace
	// FaultMembers publishes a bundle without one back end, and after Span one with it
	// again.
	FaultMembers
	// FaultWithdraw marks a node as leaving in the machine list; it is drained and
	// restarted after Span.
	FaultWithdraw
	// FaultClock sets a machine's clock to a new random error.
	FaultClock
	// FaultSurge multiplies the chats' traffic for Span.
	FaultSurge
	// FaultTenantSurge multiplies the chats' traffic of the largest tenant for Span.
	FaultTenantSurge

	faultKinds
)

var faultNames = [faultKinds]string{
	"kill", "machine", "freeze", "stop", "cut", "cut-one-way", "regions", "platform-down", "platform-slow",
	"lose-answer", "publish", "race", "members", "withdraw", "clock", "surge", "tenant-surge",
}

// String returns the fault's name.
func (k FaultKind) String() string { return faultNames[k] }

// Fault is one fault of a run.
type Fault struct {
	// At is the time since the end of the warm-up.
	At time.Duration
	// Kind is the kind of fault.
	Kind FaultKind
	// Target selects the node: its index among all nodes, modulo their number.
	Target int
	// Span is the duration of the fault.
	Span time.Duration
}

// String formats the fault for a log.
func (f Fault) String() string {
	return fmt.Sprintf("%v %v target %d for %v", f.At, f.Kind, f.Target, f.Span)
}

// schedule schedules the faults.
func (s *Simulation) schedule(faults []Fault) {
	for _, fault := range faults {
		s.loop.after(fault.At, func() { s.injectFault(fault) })
	}
}

// injectFault makes a fault take effect.
func (s *Simulation) injectFault(fault Fault) {
	target := s.nodes[s.ids[fault.Target%len(s.ids)]]
	s.loop.log("fault %v %s for %v", fault.Kind, target.process.id, fault.Span)
	switch fault.Kind {
	case FaultKill:
		s.kill(target, false, fault.Span)
	case FaultMachine:
		s.kill(target, true, fault.Span)
	case FaultFreeze:
		s.freeze(target, fault.Span)
	case FaultStop:
		s.stopPlanned(target, fault.Span)
	case FaultCut, FaultCutOneWay, FaultRegions:
		s.cutTraffic(target, fault)
	case FaultPlatformDown:
		s.platform.setDown(true)
		s.loop.after(fault.Span, func() { s.platform.setDown(false) })
	case FaultPlatformSlow:
		s.platform.slow = true
		s.loop.after(fault.Span, func() { s.platform.slow = false })
	case FaultLoseAnswer:
		s.platform.loseWriteAnswers++
	case FaultPublish:
		s.operators.publish()
	case FaultRace:
		s.operators.race()
	case FaultMembers:
		s.changeMembers(target, fault.Span)
	case FaultWithdraw:
		s.listAsLeaving(target, fault.Span)
	case FaultClock:
		target.process.clockError = s.loop.between(-s.options.ClockError/2, s.options.ClockError/2)
	case FaultSurge:
		s.surge(-1, fault.Span)
	case FaultTenantSurge:
		s.surge(0, fault.Span)
	}
}

// kill stops a process without warning and restarts it after the span, at least a second.
func (s *Simulation) kill(n *node, withMachine bool, span time.Duration) {
	if !n.process.up {
		return
	}
	s.checks.markDisturbed(n)
	n.machineDown = withMachine
	n.stop(withMachine)
	s.loop.after(max(span, time.Second), func() { s.restart(n) })
}

func (s *Simulation) restart(n *node) {
	if n.process.up {
		return
	}
	n.machineDown = false
	delete(s.platform.leavingSince, n.process.id)
	s.checks.restarted(n)
	s.checks.markDisturbed(n)
	n.start()
}

func (s *Simulation) freeze(n *node, span time.Duration) {
	if !n.process.up || n.process.frozen {
		return
	}
	generation := n.process.generation
	n.process.frozen = true
	for r := range n.exchanges {
		r.paused = true
	}
	for _, a := range n.pending {
		a.request.paused = true
	}
	s.checks.markDisturbed(n)
	s.loop.after(span, func() {
		if n.process.up && n.process.generation == generation {
			s.checks.markDisturbed(n)
			n.process.thaw()
		}
	})
}

// stopPlanned drains a process as SIGTERM does: the process announces that it leaves, waits
// for the requests in flight, and then ends.
func (s *Simulation) stopPlanned(n *node, span time.Duration) {
	if !n.process.up || n.process.frozen {
		return
	}
	s.checks.markLeaving(n)
	s.checks.markDisturbed(n)
	if n.isRouter() {
		n.performControl(n.router.Drain(n.clock()))
	} else {
		n.control(coordination.LocalState{State: membership.StateLeaving})
	}
	s.awaitDrained(n, n.process.generation, s.loop.now.Add(balancerLag+time.Second), span)
}

// awaitDrained ends the process when nothing is in flight, but not before earliest, when
// the balancer has noticed that it drains.
func (s *Simulation) awaitDrained(n *node, generation int, earliest time.Time, span time.Duration) {
	if !n.process.up || n.process.generation != generation {
		return
	}
	busy := len(n.exchanges) > 0 || len(n.pending) > 0
	if s.options.Disabled == MechanismDrain {
		busy = false
	}
	if busy || s.loop.now.Before(earliest) {
		s.loop.after(100*time.Millisecond, func() { s.awaitDrained(n, generation, earliest, span) })
		return
	}
	s.checks.inPlannedStop = true
	n.stop(false)
	s.checks.inPlannedStop = false
	s.loop.after(max(span, time.Second), func() { s.restart(n) })
}

// cutTraffic applies one of the cut faults and removes it after its span.
func (s *Simulation) cutTraffic(target *node, fault Fault) {
	isTarget := func(p *process) bool { return p == &target.process }
	isOther := func(p *process) bool { return p != &target.process }
	cuts := []*cut{{from: isTarget, to: isOther}}
	switch fault.Kind {
	case FaultCut:
		cuts = append(cuts, &cut{from: isOther, to: isTarget})
	case FaultRegions:
		inside, outside := s.partitionSides()
		cuts = []*cut{{from: inside, to: outside}, {from: outside, to: inside}}
	}
	for _, c := range cuts {
		s.network.add(c)
	}
	s.cutFromPlatform(fault.Kind, target, true)
	s.markCutNodes(fault.Kind, target)
	s.loop.after(fault.Span, func() {
		for _, c := range cuts {
			s.network.remove(c)
		}
		s.cutFromPlatform(fault.Kind, target, false)
		s.markCutNodes(fault.Kind, target)
	})
}

// cutFromPlatform sets whether the node or the part of the fleet that is cut off can reach
// the platform, which is on the other side of the cut.
func (s *Simulation) cutFromPlatform(kind FaultKind, target *node, isCut bool) {
	if kind == FaultCut {
		target.platformCut = isCut
	}
	if kind != FaultRegions {
		return
	}
	inside, _ := s.partitionSides()
	for _, id := range s.ids {
		if n := s.nodes[id]; inside(&n.process) {
			n.platformCut = isCut
		}
	}
}

// partitionSides returns predicates for the two sides of a partition: the first region, or
// the first zone where there is only one region, and the rest.
func (s *Simulation) partitionSides() (inside, outside func(*process) bool) {
	inside = func(p *process) bool { return p.region == "r0" && (s.options.Size.Regions > 1 || p.zone == "r0z0") }
	return inside, func(p *process) bool { return !inside(p) }
}

// markCutNodes records that a cut begins or ends: for the target, or for all nodes if it
// divides the fleet.
func (s *Simulation) markCutNodes(kind FaultKind, target *node) {
	if kind != FaultRegions {
		s.checks.markDisturbed(target)
		return
	}
	for _, id := range s.ids {
		s.checks.lastDisturbed[id] = s.loop.now
	}
}

// changeMembers publishes a bundle without a back end, and later one with it again.
func (s *Simulation) changeMembers(target *node, span time.Duration) {
	if target.isRouter() || s.operators.omitted[target.process.id] {
		return
	}
	s.operators.omitted[target.process.id] = true
	s.operators.publish()
	s.loop.after(max(span, 5*time.Second), func() {
		delete(s.operators.omitted, target.process.id)
		s.operators.publish()
		// An agent that was removed from the bundle accepts no requests until it is
		// restarted.
		s.loop.after(10*time.Second, func() { s.stopPlanned(target, time.Second) })
	})
}

// listAsLeaving marks a node as leaving in the machine list, and drains and restarts it
// after the span, at least 20 seconds.
func (s *Simulation) listAsLeaving(n *node, span time.Duration) {
	if _, already := s.platform.leavingSince[n.process.id]; already || !n.process.up {
		return
	}
	s.platform.leavingSince[n.process.id] = s.loop.now
	s.loop.after(max(span, 20*time.Second), func() { s.stopPlanned(n, time.Second) })
}

// surgeFactor multiplies the traffic during a surge of all tenants.
const surgeFactor = 3

// surge multiplies the chats' traffic of one tenant, or of all if tenant is negative, for
// the span.
func (s *Simulation) surge(tenant int, span time.Duration) {
	s.callers.surge, s.callers.surgeTenant = surgeFactor, tenant
	if tenant >= 0 {
		s.callers.surge = 10
	}
	s.loop.after(span, func() { s.callers.surge, s.callers.surgeTenant = 1, -1 })
	// Half of the pausing chats get an additional turn in the first half of the surge; the
	// turn that is scheduled for the end of the pause stays scheduled.
	for _, ch := range s.callers.chats {
		if !ch.busy && (tenant < 0 || ch.tenant == tenant) && s.loop.random.IntN(2) == 0 {
			s.loop.after(s.loop.between(0, span/2), func() { s.callers.startTurn(ch) })
		}
	}
}
