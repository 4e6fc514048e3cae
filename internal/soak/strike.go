package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

const (
	// restartPause is how long a killed or stopped gateway is away.
	gatewayDowntime = 300 * time.Millisecond
	// lapsePause is how long after an outage the store lists no back end.
	emptyListTime = 800 * time.Millisecond
	// listedAfterCrash is how long the store still lists one that crashed.
	listedAfterCrash = 2 * time.Second
	// servesAfterBound is how long a back end goes on after the bound on leaving.
	servesAfterBound = time.Second
)

// strike carries out one fault and ends it.
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
	case EvacuateZone:
		f.evacuate(ctx, zones[fault.Target%len(zones)], wait)
	case CrashBackEnd, RestartBackEnd, UnreadableEntries, CutBackEnd, LeaveBackEnd, LoseAnswers, SpoilAnswers, FailAnswers, RefuseAll,
		LeaveUnannounced, RefuseWithRetryAfter:
		f.injectAtBackEnd(ctx, b, fault)
	case ChangeRoute:
		f.withdraw(func(f *fleet) *int { return &f.noSpareRoute }, wait)
	case CrashingRequest:
		f.repeatCrashing(ctx, fault)
	case MoveService:
		f.moveService(ctx, fault)
	case RevokeKey:
		f.withdraw(func(f *fleet) *int { return &f.noSpareKey }, wait)
	}
}

// withGateway runs a step unless another fault owns the gateway's life.
func (f *fleet) withGateway(g *gatewayState, step func()) {
	if !g.busy.TryLock() {
		return
	}
	defer g.busy.Unlock()
	step()
}

// endGateway ends a gateway and starts it again.
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
	// rewritePause is how long after a restore operators and back ends write theirs again.
	rewritePause = 1500 * time.Millisecond
	// lostChanges is how many changes of other writers a restore takes back, and lostPause how
	// long before it they were made: less than any copy's age.
	lostChanges = 500
	lostPause   = 300 * time.Millisecond
)

// restoreStore brings the store back from a copy of that age. The back ends have registered
// anew since, after many changes: whoever orders by revisions alone takes what is written after
// the restore for old.
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

// silence lets all connections go silent. What it disturbs is over once each has been
// noticed.
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

// lapse drops all back ends from the list and lists those again that are up.
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

// withdraw takes something out of the configuration and brings it back.
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

// crash ends a back end; the store notices after a while, and another incarnation
// comes.
func (f *fleet) crash(ctx context.Context, b *backEnd, wait time.Duration) {
	id := b.id()
	b.link.changeFaults(func(l *link) *int { return &l.refused }, 1)
	incarnation := b.restart(false)
	sleep(ctx, max(wait, listedAfterCrash))
	f.store.removeBackEnd(id)
	f.bringBack(ctx, b, incarnation, afterStart)
}

// restartUnderID ends a back end, which is back under its ID before the store has noticed.
func (f *fleet) restartWithSameID(ctx context.Context, b *backEnd, wait time.Duration) {
	b.link.changeFaults(func(l *link) *int { return &l.refused }, 1)
	incarnation := b.restart(true)
	f.check.backEndRestarted(b.id())
	sleep(ctx, wait)
	f.bringBack(ctx, b, incarnation, afterRestart)
}

// comeBack lets a back end be reached and listed, unless it has ended again meanwhile: then
// the life of the moment isn't up yet.
func (f *fleet) bringBack(ctx context.Context, b *backEnd, incarnation int, cause warmUpCause) {
	b.link.changeFaults(func(l *link) *int { return &l.refused }, -1)
	if b.currentIncarnation() == incarnation {
		f.listCold(ctx, b, cause)
	}
}

// restart begins a new life, under the same ID or another, and returns its number.
func (b *backEnd) restart(keepsID bool) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.incarnation++
	if !keepsID {
		b.idNumber++
	}
	b.born = time.Now()
	b.leaving = false
	b.starting = true
	return b.incarnation
}

// leave empties a back end: it says so, serves on for longer than gateways may
// send it work, and then ends. Another incarnation comes.
func (f *fleet) leave(ctx context.Context, b *backEnd) {
	id, incarnation := b.id(), b.currentIncarnation()
	b.setLeaving()
	f.store.putBackEnd(b.entry())
	f.check.leaving(id)
	sleep(ctx, leavingBound+servesAfterBound)
	if b.currentIncarnation() != incarnation {
		// It has crashed or left meanwhile: the life of the moment isn't leaving, and its
		// entry must not be left behind.
		return
	}
	f.store.removeBackEnd(id)
	b.restart(false)
	f.listCold(ctx, b, afterStart)
}

// writeStrange lets another writer list a back end that nobody can use, and replace a good
// entry by one that can't be read, for a while.
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
