package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

const (
	// gatewayDowntime is the time between the end of a gateway and its restart.
	gatewayDowntime = 300 * time.Millisecond
	// emptyListTime is how long the store lists no back ends after an outage.
	emptyListTime = 800 * time.Millisecond
	// listedAfterCrash is the minimum time for which the store still lists a crashed back end.
	listedAfterCrash = 2 * time.Second
	// servesAfterBound is how long a leaving back end keeps serving after leavingBound.
	servesAfterBound = time.Second
)

// inject applies one fault and returns once it has ended.
func (f *fleet) inject(ctx context.Context, fault Fault) {
	g := f.gateways[fault.Target%len(f.gateways)]
	b := f.backEnds[fault.Target%len(f.backEnds)]
	wait := func() { sleep(ctx, fault.For) }
	switch fault.Kind {
	case KillGateway:
		f.restartGateway(ctx, g, false)
	case KillAllGateways:
		for _, each := range f.gateways {
			f.check.tasks.Go(func() { f.restartGateway(ctx, each, false) })
		}
	case StopGateway:
		f.restartGateway(ctx, g, true)
	case ReloadGateway:
		f.withGateway(g, func() { g.gateway.Reload() })
	case PauseGateway:
		f.withGateway(g, func() { f.pause(g, min(fault.For, routeTimeout)) })
	case CutStore:
		f.disturbStoreLink(g, func(l *link) *int { return &l.blocked }, wait)
	case ResetStore:
		f.disturbStoreLink(g, func(l *link) *int { return &l.refused }, wait)
	case CutStoreAnswers:
		f.disturbStoreLink(g, func(l *link) *int { return &l.targetBlocked }, wait)
	case StoreDown, StoreListsNone:
		f.disturbStore(func(s *store) *int { return &s.silent }, wait)
		if fault.Kind == StoreListsNone {
			f.listNoBackEnds(ctx)
		}
	case StoreBusy:
		f.disturbStore(func(s *store) *int { return &s.busy }, wait)
	case StoreSlow:
		f.disturbStore(func(s *store) *int { return &s.slow }, wait)
	case StoreDropsHistory:
		f.disturbStore(nil, f.store.dropHistory)
	case RestoreStore:
		f.restoreStore(ctx, fault.For)
	case SilentConnections:
		f.silence()
	case SilentBackEnd, SilentBackEnds:
		f.fallSilent(ctx, fault, fault.Kind == SilentBackEnds)
	case EvacuateZone:
		f.evacuate(ctx, zones[fault.Target%len(zones)], wait)
	case CrashBackEnd, RestartBackEnd, UnreadableEntries, CutBackEnd, LeaveBackEnd, LoseAnswers, SpoilAnswers, FailAnswers, RefuseAll,
		LeaveUnannounced, RefuseWithRetryAfter, StallStreams, EndlessAnswers, OddAnswers:
		f.injectAtBackEnd(ctx, b, fault)
	case ChangeRoute:
		f.withdraw(func(f *fleet) *int { return &f.noSpareRoute }, wait)
	case CrashingRequest:
		f.repeatCrashing(ctx, fault)
	case UnframedAnswers:
		b.changeFaults(func(b *backEnd) *int { return &b.unframed }, 1)
		wait()
		b.changeFaults(func(b *backEnd) *int { return &b.unframed }, -1)
	case FocusConnections:
		f.focusConnections(ctx, fault)
	case CrashingPart:
		f.sendCrashingParts(ctx, fault)
	case ReloadRestart:
		end := g.gateway.ReloadOften()
		f.restartGateway(ctx, g, fault.Target%2 == 0)
		end()
	case LoseLogReader:
		g.gateway.LoseLogReader()
	case Crowd:
		f.sendCrowd(ctx, g, fault)
	case MoveService, MoveUnattended:
		f.moveService(ctx, fault)
	case RevokeKey:
		f.withdraw(func(f *fleet) *int { return &f.noSpareKey }, wait)
	case RevokeAllKeys:
		f.withdraw(func(f *fleet) *int { return &f.noKeys }, wait)
	}
}

// withGateway runs the step, or skips it if another fault controls the gateway.
func (f *fleet) withGateway(g *gatewayState, step func()) {
	if !g.busy.TryLock() {
		return
	}
	defer g.busy.Unlock()
	step()
}

// restartGateway stops or kills a gateway and starts it again.
func (f *fleet) restartGateway(ctx context.Context, g *gatewayState, planned bool) {
	f.withGateway(g, func() {
		f.check.gatewayStopping(g, planned)
		if planned {
			g.gateway.Stop()
		} else {
			g.gateway.Kill()
		}
		sleep(ctx, gatewayDowntime)
		f.check.gatewayStarting(g)
		if err := g.gateway.Start(); err != nil {
			f.check.fail(PromiseStart, "%s did not start again: %v", g.id, err)
		}
	})
}

func (f *fleet) pause(g *gatewayState, wait time.Duration) {
	end := f.check.addDisturbance(&disturbance{place: g.id, from: time.Now(), stopped: true})
	defer end()
	g.gateway.Pause()
	time.Sleep(wait)
	g.gateway.Resume()
}

func (f *fleet) disturbStoreLink(g *gatewayState, count func(*link) *int, wait func()) {
	end := f.check.beginDisturbance(g.id)
	defer end()
	g.storeLink.changeFaults(count, 1)
	wait()
	g.storeLink.changeFaults(count, -1)
}

func (f *fleet) disturbStore(count func(*store) *int, wait func()) {
	end := f.check.beginDisturbance(everywhere)
	defer end()
	if count == nil {
		wait()
		return
	}
	f.store.changeFaults(count, 1)
	wait()
	f.store.changeFaults(count, -1)
}

const (
	// rewritePause is the time from a restore until operators and back ends write their objects
	// again.
	rewritePause = 1500 * time.Millisecond
	// lostChanges is the number of revisions that other writers use up before a restore.
	// lostPause is the time between these changes and the restore. It is shorter than the age of
	// any backup, so that the restore takes them back.
	lostChanges = 500
	lostPause   = 300 * time.Millisecond
)

// restoreStore restores the store from a backup of the given age. After the backup, many
// revisions are used up and the back ends then register again at high revisions. The restore
// gives lower revisions out again, so a gateway that orders entries by revision alone takes what
// is written after the restore for outdated.
func (f *fleet) restoreStore(ctx context.Context, age time.Duration) {
	end := f.check.beginDisturbance(everywhere)
	defer end()
	f.store.advance(lostChanges)
	for _, b := range f.everyBackEnd() {
		if !b.isStarting() {
			f.store.putBackEnd(b.entry())
		}
	}
	sleep(ctx, lostPause)
	rewrite := f.store.restore(age)
	sleep(ctx, rewritePause)
	rewrite()
}

// silence stops all bytes on the open connections. The disturbances that it records end at once: the
// gateways must detect the silent connections within quietTime.
func (f *fleet) silence() {
	places := []string{everywhere, silenced}
	for _, b := range f.everyBackEnd() {
		places = append(places, b.name)
		b.link.silence()
	}
	for _, g := range f.gateways {
		g.storeLink.silence()
	}
	for _, place := range places {
		f.check.beginDisturbance(place)()
	}
}

// listNoBackEnds removes all back ends from the store for a short time, and then lists those
// again that have started.
func (f *fleet) listNoBackEnds(ctx context.Context) {
	end := f.check.beginDisturbance(everywhere)
	defer end()
	for _, b := range f.everyBackEnd() {
		f.store.removeBackEnd(b.id())
	}
	sleep(ctx, emptyListTime)
	for _, b := range f.everyBackEnd() {
		if !b.isStarting() {
			f.store.putBackEnd(b.entry())
		}
	}
}

// withdraw removes a part of the configuration until wait returns, and then adds it again.
func (f *fleet) withdraw(count func(*fleet) *int, wait func()) {
	change := func(by int) {
		f.mutex.Lock()
		*count(f) += by
		f.mutex.Unlock()
		f.changeConfiguration()
	}
	change(1)
	wait()
	change(-1)
}

func (f *fleet) injectAtBackEnd(ctx context.Context, b *backEnd, fault Fault) {
	end := f.check.beginDisturbance(b.name)
	defer end()
	applyFault := func(count func(*backEnd) *int) {
		b.changeFaults(count, 1)
		sleep(ctx, fault.For)
		b.changeFaults(count, -1)
	}
	switch fault.Kind {
	case LoseAnswers:
		applyFault(func(b *backEnd) *int { return &b.lose })
	case SpoilAnswers:
		applyFault(func(b *backEnd) *int { return &b.spoil })
	case FailAnswers:
		applyFault(func(b *backEnd) *int { return &b.fail })
	case RefuseAll:
		applyFault(func(b *backEnd) *int { return &b.refuse })
	case RefuseWithRetryAfter:
		applyFault(func(b *backEnd) *int { return &b.rest })
	case EndlessAnswers:
		applyFault(func(b *backEnd) *int { return &b.endless })
	case OddAnswers:
		applyFault(func(b *backEnd) *int { return &b.odd })
	case StallStreams:
		applyFault(func(b *backEnd) *int { return &b.stall })
	case CutBackEnd:
		endAtLink := f.check.beginDisturbance(linkPlace(b.name))
		defer endAtLink()
		b.link.changeFaults(func(l *link) *int { return &l.blocked }, 1)
		sleep(ctx, fault.For)
		b.link.changeFaults(func(l *link) *int { return &l.blocked }, -1)
	case CrashBackEnd:
		f.crash(ctx, b, fault.For)
	case RestartBackEnd:
		f.restartWithSameID(ctx, b, fault.For)
	case UnreadableEntries:
		f.writeUnreadable(ctx, b, fault)
	case LeaveBackEnd:
		f.leave(ctx, b)
	case LeaveUnannounced:
		f.leaveUnannounced(ctx, b)
	}
}

// crash ends a back end. The store removes its entry after a while, and a back end with a new ID
// starts at the same address.
func (f *fleet) crash(ctx context.Context, b *backEnd, wait time.Duration) {
	id := b.id()
	f.check.backEndCrashing(b.name)
	incarnation := b.end(false)
	sleep(ctx, max(wait, listedAfterCrash))
	f.store.removeBackEnd(id)
	f.bringBack(ctx, b, incarnation, afterStart)
}

// restartWithSameID ends a back end and starts it again under the same ID. The store lists it
// throughout.
func (f *fleet) restartWithSameID(ctx context.Context, b *backEnd, wait time.Duration) {
	f.check.backEndCrashing(b.name)
	incarnation := b.end(true)
	f.check.backEndRestarted(b.id())
	sleep(ctx, wait)
	f.bringBack(ctx, b, incarnation, afterRestart)
}

// bringBack makes a back end reachable again and lists it. If the back end has restarted since
// then, it isn't listed: the current incarnation hasn't finished its own start.
func (f *fleet) bringBack(ctx context.Context, b *backEnd, incarnation int, cause warmUpCause) {
	b.link.openPort()
	if b.currentIncarnation() == incarnation {
		f.listCold(ctx, b, cause)
	}
}

// end ends the back end's process with its connections, and returns the number of the next incarnation.
func (b *backEnd) end(keepsID bool) int {
	b.link.closePort()
	return b.restart(keepsID)
}

// restart begins a new incarnation, under the same ID or a new one, and returns its number.
func (b *backEnd) restart(keepsID bool) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.incarnation++
	if !keepsID {
		b.idNumber++
		b.rotateVersion()
	}
	b.born = time.Now()
	b.leaving = false
	b.starting = true
	return b.incarnation
}

// leave drains a back end: it announces in the store that it is leaving, keeps serving for
// longer than gateways may send it requests, and then ends. A back end with a new ID replaces it.
func (f *fleet) leave(ctx context.Context, b *backEnd) {
	id, incarnation := b.id(), b.currentIncarnation()
	b.setLeaving()
	f.store.putBackEnd(b.entry())
	f.check.leaving(id)
	sleep(ctx, leavingBound+servesAfterBound)
	if b.currentIncarnation() != incarnation {
		// It has crashed, restarted or left in the meantime, and that fault handles its entry. The
		// current incarnation isn't leaving and must not be removed or restarted here.
		return
	}
	f.store.removeBackEnd(id)
	b.restart(false)
	f.listCold(ctx, b, afterStart)
}

// writeUnreadable acts as another writer that, for the fault's duration, lists a back end with an
// unusable address and replaces a valid entry by one that can't be read.
func (f *fleet) writeUnreadable(ctx context.Context, b *backEnd, fault Fault) {
	name, incarnation := fmt.Sprintf("strange-%d", fault.Target), b.currentIncarnation()
	f.store.putBackEnd(catalog.BackEnd{ID: name, Service: service, Address: "nowhere", Zone: b.zone, Slots: slots})
	unreadable := b.entry()
	unreadable.Zone = ""
	f.store.putBackEnd(unreadable)
	sleep(ctx, fault.For)
	f.store.removeBackEnd(name)
	if b.currentIncarnation() == incarnation && !b.isStarting() {
		f.store.putBackEnd(b.entry())
	}
}
