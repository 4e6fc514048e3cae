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

// An operator orders that the service is moved to back ends of another version, which start
// beside the standing ones. Once the gateways' verdict says that it is completed, the standing
// ones stop at once, and come back with the new version; otherwise the new ones leave.

const (
	// candidateCount is the number of back ends of the version that is moved to.
	candidateCount = 3
	// moveTime is the time of an order, and candidateStart that until its back ends are listed.
	moveTime       = 12 * time.Second
	candidateStart = 300 * time.Millisecond
	// verdictGrace is how long after its time an order without a verdict is taken back: the
	// store may have been away.
	verdictGrace = 8 * time.Second
	// verdictLook is the time between two looks of the operator at the store.
	verdictPollPause = 50 * time.Millisecond
	// revertedPause is how long after a verdict against it a version's back ends stay, and
	// replacedPause how long they serve alone until the standing ones are back.
	revertedPause = 2 * time.Second
	replacedPause = listedAfterCrash + warmUpTime + time.Second
)

// illness is what is wrong with a version: from a time on, this share of its answers are
// failures. The zero value is a version that is well.
type versionDefect struct {
	share float64
	from  time.Time
}

// strikes tells whether the request is among those that fail.
func (d versionDefect) affects(request string, now time.Time) bool {
	if d.share <= 0 || now.Before(d.from) {
		return false
	}
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, "ill "+request)
	const parts = 1000
	return float64(hash.Sum32()%parts) < d.share*parts
}

// software returns the version and what is wrong with it.
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

// addCandidates makes the back ends that an order starts.
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

// move is an order to move the service to a version, given at from.
type moveOrder struct {
	version string
	defect  versionDefect
	from    time.Time
	// badAnswersAt are when the version failed a request.
	failuresAt []time.Time
}

const (
	// wellOneIn is how many versions are drawn for one that is well, and lateOneIn how many of
	// the others for one that turns bad only after turnsBadAfter.
	soundOneIn      = 3
	lateDefectOneIn = 2
	lateDefectDelay = moveTime / 4
	// leastIll is the least share of failures of a bad version, and illSteps the number of
	// steps of illStep above it that are drawn from.
	minFailureShare   = 0.3
	failureShareStep  = 0.1
	failureShareSteps = 5
)

// newMove returns the order that a fault draws.
func newMoveOrder(fault Fault) *moveOrder {
	drawn := &moveOrder{version: fmt.Sprintf("v%d", fault.Target), from: time.Now()}
	if fault.Target%soundOneIn == 0 {
		return drawn
	}
	drawn.defect = versionDefect{share: minFailureShare + failureShareStep*float64(fault.Target%failureShareSteps), from: drawn.from}
	if fault.Target%lateDefectOneIn == 0 {
		drawn.defect.from = drawn.from.Add(lateDefectDelay)
	}
	return drawn
}

// moveService gives an order and follows it to its end.
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
	if verdict == rollout.Completed {
		f.replaceStanding(ctx, order)
	} else {
		sleep(ctx, revertedPause)
	}
	f.retireCandidates(ctx)
	f.store.removeRollout()
}

// awaitVerdict returns the verdict, or the last state once the operator gives up waiting.
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

// replaceStanding ends all standing back ends at once. They come back with the new version.
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

// retireCandidates empties the candidates, which then stand by.
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
