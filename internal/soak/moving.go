package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// An operator orders a move of the service to back ends of another version, the candidates, which
// start beside the standing ones. If the gateways' verdict is that the move is completed, all
// standing back ends stop at once and restart with the new version. Afterwards the candidates leave,
// whatever the verdict.

const (
	candidateCount = 3
	// moveTime is the duration of an order. candidateStart is the time until its candidates are
	// listed.
	moveTime       = 12 * time.Second
	candidateStart = 300 * time.Millisecond
	// verdictGrace is how long after the end of its duration an order without a verdict is
	// withdrawn. The verdict may be late because the store was unavailable.
	verdictGrace = 8 * time.Second
	// verdictPollPause is the time between two reads of the order's state by the operator.
	verdictPollPause = 50 * time.Millisecond
	// revertedPause is how long the candidates stay after a move that wasn't completed.
	// replacedPause is how long they stay after a completed move, until the standing back ends
	// have restarted and warmed up.
	revertedPause = 2 * time.Second
	replacedPause = listedAfterCrash + warmUpTime + time.Second
)

// versionDefect is the defect of a version: from a time on, this share of its answers are
// failures. The zero value means no defect.
type versionDefect struct {
	share float64
	from  time.Time
}

// affects returns whether the request fails because of the defect.
func (d versionDefect) affects(request string, now time.Time) bool {
	if d.share <= 0 || now.Before(d.from) {
		return false
	}
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, "ill "+request)
	const parts = 1000
	return float64(hash.Sum32()%parts) < d.share*parts
}

// software returns the version of the back end's software and the version's defect.
func (b *backEnd) software() (version string, defect versionDefect) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.version, b.defect
}

func (b *backEnd) install(version string, defect versionDefect) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.version, b.defect = version, defect
}

// addCandidates creates the candidates, which aren't listed until an order starts them.
func (f *fleet) addCandidates() error {
	for i := range candidateCount {
		b, err := f.newBackEnd(len(f.backEnds) + i)
		if err != nil {
			return err
		}
		b.starting = true
		f.candidates = append(f.candidates, b)
	}
	return nil
}

// everyBackEnd returns the standing back ends and the candidates.
func (f *fleet) everyBackEnd() []*backEnd { return slices.Concat(f.backEnds, f.candidates) }

// backEndOf returns the back end that has or had the ID.
func (f *fleet) backEndOf(id string) *backEnd {
	all := f.everyBackEnd()
	return all[slices.IndexFunc(all, func(b *backEnd) bool { return b.name == nameOf(id) })]
}

// moveOrder is an order, given at from, to move the service to a version.
type moveOrder struct {
	version string
	defect  versionDefect
	from    time.Time
	// failuresAt holds the times of requests that failed because of the defect.
	failuresAt []time.Time
}

const (
	// One in soundOneIn versions has no defect. Of the others, one in lateDefectOneIn begins to
	// fail only after lateDefectDelay.
	soundOneIn      = 3
	lateDefectOneIn = 2
	lateDefectDelay = moveTime / 4
	// minFailureShare is the least share of failures of a defective version. The share is drawn
	// from failureShareSteps values, failureShareStep apart.
	minFailureShare   = 0.3
	failureShareStep  = 0.1
	failureShareSteps = 5
)

// newMoveOrder returns the order for a fault; the fault's target selects the version and defect.
func newMoveOrder(fault Fault) *moveOrder {
	drawn := &moveOrder{version: fmt.Sprintf("v%d", fault.Target), from: time.Now()}
	if fault.Kind == MoveService && fault.Target%soundOneIn == 0 {
		return drawn
	}
	// Back ends with a higher share of failures are ejected, which hides that a gateway doesn't limit a
	// version's exposure. So unattended versions get the least share.
	drawn.defect = versionDefect{share: minFailureShare, from: drawn.from}
	if fault.Kind == MoveService {
		drawn.defect.share += failureShareStep * float64(fault.Target%failureShareSteps)
	}
	if fault.Target%lateDefectOneIn == 0 {
		drawn.defect.from = drawn.from.Add(lateDefectDelay)
	}
	return drawn
}

// moveService gives a move order and carries it out until its end. It does nothing if another order
// is in force.
func (f *fleet) moveService(ctx context.Context, fault Fault) {
	if !f.moving.TryLock() {
		return
	}
	defer f.moving.Unlock()
	for f.store.isUnavailable() && ctx.Err() == nil {
		sleep(ctx, operatorRetryPause)
	}
	order := newMoveOrder(fault)
	f.check.moveOrdered(order)
	f.store.putRollout(catalog.Rollout{Service: service, Target: order.version, Duration: moveTime})
	sleep(ctx, candidateStart)
	for _, b := range f.candidates {
		b.install(order.version, order.defect)
		f.listCold(ctx, b, afterStart)
	}
	verdict := f.awaitVerdict(ctx, order)
	f.faultLog.add(fmt.Sprintf("%s: %s", order.version, verdict))
	switch {
	case verdict == rollout.Completed:
		f.replaceStanding(ctx, order)
	case fault.Kind == MoveUnattended:
		sleep(ctx, time.Until(order.from.Add(moveTime)))
	default:
		sleep(ctx, revertedPause)
	}
	f.retireCandidates(ctx)
	f.store.removeRollout()
}

// awaitVerdict waits for the verdict and returns it, or the last state if there is no verdict in
// time.
func (f *fleet) awaitVerdict(ctx context.Context, order *moveOrder) rollout.State {
	state := rollout.Ordered
	for ctx.Err() == nil && time.Since(order.from) < moveTime+verdictGrace {
		if state = f.store.rolloutState(order.version); state.IsVerdict() {
			break
		}
		sleep(ctx, verdictPollPause)
	}
	return state
}

// replaceStanding ends all standing back ends at once and restarts them with the new version.
func (f *fleet) replaceStanding(ctx context.Context, order *moveOrder) {
	for _, b := range f.backEnds {
		b.install(order.version, order.defect)
		f.check.tasks.Go(func() {
			end := f.check.beginDisturbance(b.name)
			defer end()
			f.crash(ctx, b, listedAfterCrash)
		})
	}
	sleep(ctx, replacedPause)
}

// retireCandidates drains the candidates, which are then idle until the next order.
func (f *fleet) retireCandidates(ctx context.Context) {
	for _, b := range f.candidates {
		b.mutex.Lock()
		b.leaving = true
		b.mutex.Unlock()
		f.store.putBackEnd(b.entry())
		f.check.leaving(b.id())
	}
	sleep(ctx, leavingBound+servesAfterBound)
	for _, b := range f.candidates {
		f.store.removeBackEnd(b.id())
		b.restart(false)
	}
}
