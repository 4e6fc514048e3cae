package simulation

import (
	"fmt"
	"time"

	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/membership"
)

// FaultKind names a fault.
type FaultKind uint8

// The faults.
const (
	// FaultKill ends a process at once and starts it again after Span.
	FaultKill FaultKind = iota
	// FaultMachine loses a machine with its back end's cache; it returns after
	// Span.
	FaultMachine
	// FaultFreeze pauses a process for Span.
	FaultFreeze
	// FaultStop stops a process as planned and starts it again after Span.
	FaultStop
	// FaultCut cuts a node off from all others for Span.
	FaultCut
	// FaultCutOneWay cuts what a node sends for Span.
	FaultCutOneWay
	// FaultRegions cuts the regions, or the first zone where there is one
	// region, from the others for Span.
	FaultRegions
	// FaultPlatformDown takes the platform away for Span.
	FaultPlatformDown
	// FaultPlatformSlow slows the platform for Span.
	FaultPlatformSlow
	// FaultLoseAnswer loses the answer of the next write.
	FaultLoseAnswer
	// FaultPublish publishes a bundle.
	FaultPublish
	// FaultRace lets two operators publish at once.
	FaultRace
	// FaultMembers publishes a bundle without one back end, and one with it
	// again after Span.
	FaultMembers
	// FaultWithdraw puts a node on the machine list as leaving; it is replaced
	// after Span.
	FaultWithdraw
	// FaultClock puts a machine's clock off.
	FaultClock
	// FaultSurge multiplies the traffic for Span.
	FaultSurge
	// FaultTenantSurge multiplies the largest tenant's traffic for Span.
	FaultTenantSurge

	faultKinds
)

var faultNames = [faultKinds]string{
	"kill", "machine", "freeze", "stop", "cut", "cut-one-way", "regions", "platform-down", "platform-slow",
	"lose-answer", "publish", "race", "members", "withdraw", "clock", "surge", "tenant-surge",
}

// String returns the fault's name.
func (k FaultKind) String() string { return faultNames[k] }

// Fault is something that goes wrong at a moment.
type Fault struct {
	// At is the time from the start.
	At time.Duration
	// Kind says what.
	Kind FaultKind
	// Target picks the node: its index among all nodes, modulo their number.
	Target int
	// Span is how long it lasts.
	Span time.Duration
}

// String formats the fault for a log.
func (f Fault) String() string {
	return fmt.Sprintf("%v %v target %d for %v", f.At, f.Kind, f.Target, f.Span)
}

// schedule plans the faults.
func (s *Simulation) schedule(faults []Fault) {
	for _, fault := range faults {
		s.loop.after(fault.At, func() { s.injectFault(fault) })
	}
}

// strike lets a fault happen.
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

// stopPlanned drains a process as its SIGTERM does: it leaves, waits for the
// work in flight, then ends.
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

// awaitDrained ends the process once nothing is in flight, and no earlier than
// the balancer has noticed.
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

// cutOff cuts traffic for a while.
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

// cutFromPlatform takes the platform from a node that is cut off, or from the
// part of the fleet that is: the platform is on the other side.
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

// firstPart returns tests for the first region and the rest, or for the first
// zone where there is one region.
func (s *Simulation) partitionSides() (inside, outside func(*process) bool) {
	inside = func(p *process) bool { return p.region == "r0" && (s.options.Size.Regions > 1 || p.zone == "r0z0") }
	return inside, func(p *process) bool { return !inside(p) }
}

func (s *Simulation) markCutNodes(kind FaultKind, target *node) {
	if kind != FaultRegions {
		s.checks.markDisturbed(target)
		return
	}
	for _, id := range s.ids {
		s.checks.lastDisturbed[id] = s.loop.now
	}
}

// changeMembers drops a back end from the bundle and brings it back.
func (s *Simulation) changeMembers(target *node, span time.Duration) {
	if target.isRouter() || s.operators.omitted[target.process.id] {
		return
	}
	s.operators.omitted[target.process.id] = true
	s.operators.publish()
	s.loop.after(max(span, 5*time.Second), func() {
		delete(s.operators.omitted, target.process.id)
		s.operators.publish()
		// An agent that left the bundle takes no work until it is restarted.
		s.loop.after(10*time.Second, func() { s.stopPlanned(target, time.Second) })
	})
}

func (s *Simulation) listAsLeaving(n *node, span time.Duration) {
	if _, already := s.platform.leavingSince[n.process.id]; already || !n.process.up {
		return
	}
	s.platform.leavingSince[n.process.id] = s.loop.now
	s.loop.after(max(span, 20*time.Second), func() { s.stopPlanned(n, time.Second) })
}

// surgeFactor is how much a surge multiplies the traffic.
const surgeFactor = 3

func (s *Simulation) surge(tenant int, span time.Duration) {
	s.callers.surge, s.callers.surgeTenant = surgeFactor, tenant
	if tenant >= 0 {
		s.callers.surge = 10
	}
	s.loop.after(span, func() { s.callers.surge, s.callers.surgeTenant = 1, -1 })
	// Chats that pause now come back sooner.
	for _, ch := range s.callers.chats {
		if !ch.busy && (tenant < 0 || ch.tenant == tenant) && s.loop.random.IntN(2) == 0 {
			s.loop.after(s.loop.between(0, span/2), func() { s.callers.startTurn(ch) })
		}
	}
}
