package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/rollout"
	"github.com/harriernotch/harriernotch/internal/soak/wire"
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
	verdictLook = 50 * time.Millisecond
	// revertedPause is how long after a verdict against it a version's back ends stay, and
	// replacedPause how long they serve alone until the standing ones are back.
	revertedPause = 2 * time.Second
	replacedPause = listedAfterCrash + warmUpTime + time.Second

	// exposureShare, exposureExtra and rollBackBound bound what a bad version gets.
	exposureShare = 0.1
	exposureExtra = 20
	rollBackBound = 5 * time.Second
	// badAnswersKnown is the number of bad answers after which a version is known to be bad.
	badAnswersKnown = 50
)

// illness is what is wrong with a version: from a time on, this share of its answers are
// failures. The zero value is a version that is well.
type illness struct {
	share float64
	from  time.Time
}

// strikes tells whether the request is among those that fail.
func (i illness) strikes(request string, now time.Time) bool {
	if i.share <= 0 || now.Before(i.from) {
		return false
	}
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, "ill "+request)
	const parts = 1000
	return float64(hash.Sum32()%parts) < i.share*parts
}

// software returns the version and what is wrong with it.
func (b *backEnd) software() (version string, ill illness) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.version, b.ill
}

func (b *backEnd) install(version string, ill illness) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.version, b.ill = version, ill
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

// move is an order as the checks see it.
type move struct {
	version      string
	ill          illness
	from         time.Time
	badAnswersAt []time.Time
}

// drawMove draws a version: one in three is well, and of the others half turn bad only later.
func (f *fleet) drawMove(fault Fault) *move {
	drawn := &move{version: fmt.Sprintf("v%d", fault.Target), from: time.Now()}
	if fault.Target%3 == 0 {
		return drawn
	}
	drawn.ill = illness{share: 0.3 + 0.1*float64(fault.Target%5), from: drawn.from}
	if fault.Target%2 == 0 {
		drawn.ill.from = drawn.from.Add(moveTime / 4)
	}
	return drawn
}

// moveService gives an order and follows it to its end.
func (f *fleet) moveService(ctx context.Context, fault Fault) {
	if !f.moving.TryLock() {
		return
	}
	defer f.moving.Unlock()
	for f.store.isAway() && ctx.Err() == nil {
		sleep(ctx, awayPause)
	}
	order := f.drawMove(fault)
	f.check.ordered(order)
	f.store.putRollout(catalog.Rollout{Service: service, Target: order.version, Duration: moveTime})
	sleep(ctx, candidateStart)
	for _, b := range f.candidates {
		b.install(order.version, order.ill)
		f.listCold(ctx, b, afterStart)
	}
	verdict := f.awaitVerdict(ctx, order)
	f.struck.note(fmt.Sprintf("%s: %s", order.version, verdict))
	if verdict == rollout.Completed {
		f.replaceStanding(ctx, order)
	} else {
		sleep(ctx, revertedPause)
	}
	f.retireCandidates(ctx)
	f.store.removeRollout()
}

// awaitVerdict returns the verdict, or the last state once the operator gives up waiting.
func (f *fleet) awaitVerdict(ctx context.Context, order *move) rollout.State {
	state := rollout.Ordered
	for ctx.Err() == nil && time.Since(order.from) < moveTime+verdictGrace {
		if state = f.store.rolloutState(order.version); state.IsVerdict() {
			break
		}
		sleep(ctx, verdictLook)
	}
	return state
}

// replaceStanding ends all standing back ends at once. They come back with the new version.
func (f *fleet) replaceStanding(ctx context.Context, order *move) {
	for _, b := range f.backEnds {
		b.install(order.version, order.ill)
		f.check.serving.Go(func() {
			over := f.check.trouble(b.name)
			defer over()
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

// ordered notes an order.
func (c *checker) ordered(order *move) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.moves = append(c.moves, order)
}

// failedByVersion notes an answer that failed since the version is bad.
func (c *checker) failedByVersion(version string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, each := range c.moves {
		if each.version == version {
			each.badAnswersAt = append(each.badAnswersAt, time.Now())
		}
	}
}

// judgeMoves checks that bad versions got little, and that verdicts weren't replaced.
func (c *checker) judgeMoves() {
	if overruled := c.fleet.store.verdictsOverruled(); overruled > 0 {
		c.failLocked(PromiseVerdict, "%d verdicts were replaced by others", overruled)
	}
	for _, each := range c.moves {
		if each.ill.share > 0 {
			c.judgeExposure(each)
			c.judgeRollBack(each)
		}
	}
}

// judgeExposure checks what gateways in touch sent to a bad version between the order and its
// deadline.
func (c *checker) judgeExposure(order *move) {
	all, exposed := 0, 0
	for _, id := range c.order {
		for _, each := range c.arrivals[id] {
			if each.at.Before(order.from) || each.at.After(order.from.Add(moveTime)) {
				continue
			}
			all++
			if each.version == order.version && c.inTouch(c.sends[id].gateway, each.at, each.at) {
				exposed++
			}
		}
	}
	if allowed := exposureShare*float64(all) + exposureExtra; float64(exposed) > allowed {
		c.failLocked(PromiseExposure, "%s, which is bad, got %d of %d requests, %.0f are allowed", order.version, exposed, all, allowed)
	}
}

// judgeRollBack checks that gateways in touch sent nothing to a bad version after its bad
// answers could be known. Those from before the store was last in trouble don't count.
func (c *checker) judgeRollBack(order *move) {
	for _, id := range c.order {
		for _, each := range c.arrivals[id] {
			known := each.at.Add(-rollBackBound - slack)
			if each.version != order.version || !c.inTouch(c.sends[id].gateway, known, each.at) {
				continue
			}
			if c.badAnswersBefore(order, known) >= badAnswersKnown {
				c.failLocked(PromiseExposure, "%s got %s from %s %v after its bad answers were known", order.version, id, c.sends[id].gateway, rollBackBound)
				return
			}
		}
	}
}

// badAnswersBefore counts the bad answers until the time, from the end of the last trouble that
// touched all gateways.
func (c *checker) badAnswersBefore(order *move, until time.Time) int {
	var from time.Time
	for _, each := range c.spans {
		if each.place == everywhere && each.from.Before(until) && each.to.After(from) {
			from = each.to
		}
	}
	count := 0
	for _, at := range order.badAnswersAt {
		if at.After(from) && !at.After(until) {
			count++
		}
	}
	return count
}

// putRollout gives an order.
func (s *store) putRollout(order catalog.Rollout) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rollouts.put(wire.StoreEntry[catalog.Rollout]{Name: service, Revision: s.next(), Value: order})
}

// removeRollout takes the order back.
func (s *store) removeRollout() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rollouts.put(wire.StoreEntry[catalog.Rollout]{Name: service, Revision: s.next(), Gone: true})
}

// rolloutState returns how far the order to move to the version has come.
func (s *store) rolloutState(version string) rollout.State {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now, exists := newest(s.rollouts.history)[service]; exists && !now.Gone && now.Value.Target == version {
		return now.Value.State
	}
	return rollout.Ordered
}

func (s *store) verdictsOverruled() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.overruled
}

// writeRollout takes how far an order has come, if it is at the revision that the writer knows.
// What is said of another target is kept and counts for nothing.
func (s *store) writeRollout(w http.ResponseWriter, record catalog.Rollout) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now, exists := newest(s.rollouts.history)[record.Service]
	switch {
	case !exists || now.Gone:
		w.WriteHeader(http.StatusNotFound)
		return
	case now.Revision != record.Revision:
		w.WriteHeader(http.StatusConflict)
		return
	}
	if record.Target == now.Value.Target {
		if now.Value.State.IsVerdict() && now.Value.State != record.State {
			s.overruled++
		}
		now.Value.State, now.Value.BeganAt = record.State, record.BeganAt
	}
	now.Revision = s.next()
	s.rollouts.history = append(s.rollouts.history, now) // the order is still its operator's
	s.protocol.WriteObject(w, now.Untyped(), s.era)
}
