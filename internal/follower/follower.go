// Package follower keeps a gateway's view of the platform's store up to date, with watches and
// with periodic plain reads. Watches alone aren't reliable: a watch may receive nothing for
// seconds while there are changes.
package follower

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/gateway"
	"github.com/harriernotch/harriernotch/internal/task"
)

const (
	// watchWait is the time that the store holds a watch without changes, and watchGrace is the
	// additional time within which the answer must arrive. A longer watch costs fewer calls, but
	// a watch on a silent connection then goes unnoticed for longer. Until then, plain reads find
	// the changes.
	watchWait  = 20 * time.Second
	watchGrace = 2 * time.Second
	// watchDelay is the time after its start during which a gateway doesn't watch, but relies on
	// plain reads. After it the gateway knows its peers, and whether it is a reader.
	watchDelay = 700 * time.Millisecond
	// largeFleet is the number of gateways above which a gateway that has just started waits for
	// largeFleetWatchDelay in addition, to learn which gateways are readers. Without it, nine of
	// 23 gateways that start together read all lists and watch, although four are enough.
	largeFleet           = 10
	largeFleetWatchDelay = 800 * time.Millisecond
	// maxPositionAge is the age up to which a watch may start from a position. Stores keep some
	// tens of seconds of history.
	maxPositionAge = 10 * time.Second
	// pollInterval is the interval at which loops that depend on plain reads check whether the
	// store has answered them.
	pollInterval = 50 * time.Millisecond
	// minBackoff and maxBackoff limit the wait after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// maxHistoryBackoff is the same after a watch whose history is gone: its list is read again, and plain
	// reads alone notice changes meanwhile. A store that keeps no history gets two calls for each list
	// within this time.
	maxHistoryBackoff = 2 * minBackoff
	// triesPerSecond is the rate at which all standby gateways together call a store that doesn't
	// answer them. A higher rate finds a store that answers only some gateways sooner, but with
	// one call per second of each of 23 gateways, an outage of 8 s cost a third of the calls of a
	// day.
	triesPerSecond = 8
	// sharingReaders is the number of readers that share the plain reads. Each of them reads
	// that many times less often.
	sharingReaders = 3
	// The period of plain reads of a gateway that isn't a reader is one ReadPeriod for every
	// gatewaysPerPeriod gateways, and at most maxReadPeriod.
	gatewaysPerPeriod = 2
	maxReadPeriod     = time.Minute
	// The first reader waits for ReadPeriod/batchDivisor after a change before it watches again,
	// and so receives the changes of that time as a batch: each answer costs a call, and back
	// ends come and go in series. The first change of a series is received at once. Each further
	// reader waits twice as long as the one before. It is a fallback for that one, and usually
	// has learned of the changes from it by then.
	batchDivisor = 6
	// readsPerPeriod is the number of plain reads that a gateway makes in a period, regardless of
	// the number of lists: other gateways judge by the age of its last answer whether the store
	// still answers it.
	readsPerPeriod = 2
	// entriesPerPeriod is the length of the list of back ends at which it is read once per
	// period. A list twice as long is read half as often.
	entriesPerPeriod = 100
)

// Follower follows the platform's store.
type Follower struct {
	config    Config
	tasks     *task.Group
	cancel    context.CancelFunc
	watches   *watches
	storeLost atomic.Bool
	// firstStart is decided by decideFirstStart.
	firstStart firstStart
	// entryCount is the length of the list of back ends at its last read.
	entryCount atomic.Int64
}

// Start starts a follower.
func Start(config Config) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{config: config, tasks: task.NewGroup(config.Log.Entry(), config.Metrics), cancel: cancel, watches: newWatches(ctx), firstStart: firstStart{decided: make(chan struct{})}}
	f.tasks.Go("decide_first_start", func() { f.decideFirstStart(ctx) })
	configurations := f.configurations()
	lists := []list{configurations}
	f.tasks.Keep(ctx, "complete_configurations", func() { f.completeConfigurations(ctx, configurations) })
	if config.Evacuations {
		orders := f.evacuations()
		lists = append(lists, orders)
		f.tasks.Keep(ctx, "read_restorations", func() { f.readRestorations(ctx, orders) })
	}
	if config.Rollouts {
		orders := f.rollouts()
		lists = append(lists, orders)
		f.tasks.Keep(ctx, "record_rollouts", func() { f.recordRollouts(ctx, orders) })
	}
	f.tasks.Keep(ctx, "sync_withheld", func() { f.syncWithheld(ctx) })
	f.tasks.Keep(ctx, "sync_settled", func() { f.syncSettled(ctx) })
	lists = append(lists, f.backEnds()) // the longest list is last in turn
	f.tasks.Keep(ctx, "follow_eras", func() { f.followEras(ctx, lists) })
	f.tasks.Keep(ctx, "read_lists", func() { f.readLoop(ctx, lists...) })
	for _, each := range lists {
		f.tasks.Keep(ctx, "watch_list", func() { f.watchLoop(ctx, each) })
	}
	return f
}

// Close cancels all calls and waits until they have ended.
func (f *Follower) Close() {
	f.cancel()
	f.tasks.Wait()
	f.watches.close()
}

// readLoop reads the lists in turn, independently of the watches, so that each answer also shows
// that the store can be reached. A gateway that has just started reads all lists concurrently,
// because callers wait for it. After a timeout, it reads all lists without a pause as soon as the
// store answers again: the list whose turn was missed may have an order.
func (f *Follower) readLoop(ctx context.Context, lists ...list) {
	backoff := minBackoff
	immediateReads := 0 // the number of reads to make without a pause
	if f.config.PeersFirst {
		f.awaitPeers(ctx)
	}
	longListReadAt := f.config.State.Clock().Now()
	if f.config.State.Ready() || f.readConcurrently(ctx, lists) {
		f.pauseReads(ctx, f.readInterval())
	} else {
		immediateReads = len(lists)
		f.pauseReads(ctx, jitter(backoff))
	}
	for turn := 0; ctx.Err() == nil; turn++ {
		next := lists[turn%len(lists)]
		if next.isLong {
			if immediateReads == 0 && f.config.State.Clock().Since(longListReadAt) < f.longListPeriod() {
				continue
			}
			longListReadAt = f.config.State.Clock().Now()
		}
		_, err := f.read(ctx, next, !f.needsFreshReads())
		wait := f.readInterval()
		if err != nil {
			wait = jitter(max(backoff, f.minRetryWait()))
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = minBackoff
			immediateReads = max(0, immediateReads-1)
		}
		if errors.Is(err, context.DeadlineExceeded) {
			immediateReads = len(lists)
		}
		if err == nil && immediateReads > 0 {
			continue
		}
		f.pauseReads(ctx, wait)
	}
}

const (
	// peersWait is the time that a gateway with PeersFirst waits for updates from its peers
	// before it reads the store itself. It is used when a fleet starts for the first time, when
	// there are no callers yet. In a fleet of 357 gateways it saves one call per gateway, 348 of
	// the 2,207 calls of a quiet day.
	peersWait = 2 * time.Second
	// peersPollInterval is the interval at which it checks whether they have arrived.
	peersPollInterval = 50 * time.Millisecond
)

// awaitPeers waits until this gateway knows enough to serve, but for at most about peersWait.
func (f *Follower) awaitPeers(ctx context.Context) {
	began := f.config.State.Clock().Now()
	wait := jitter(peersWait)
	for ctx.Err() == nil && !f.config.State.Ready() && f.config.State.Clock().Since(began) < wait {
		sleep(ctx, peersPollInterval)
	}
}

// readConcurrently reads all lists at the same time, and reports whether all reads succeeded.
func (f *Follower) readConcurrently(ctx context.Context, lists []list) bool {
	var failed atomic.Bool
	var reads conc.WaitGroup
	for _, each := range lists {
		reads.Go(func() {
			if _, err := f.read(ctx, each, each.firstMayBeStale); err != nil {
				failed.Store(true)
			}
		})
	}
	reads.Wait()
	return !failed.Load()
}

// readInterval returns the time until the next plain read.
func (f *Follower) readInterval() time.Duration { return jitterEarly(f.readPeriod() / readsPerPeriod) }

// pauseReads waits until the time is over or this gateway's duty changes. If the gateway becomes a
// standby gateway, it then waits for a random time, to spread its calls among the others'.
func (f *Follower) pauseReads(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-f.config.State.DutyChanged():
		if f.config.State.Place().Duty == gateway.Standby {
			sleep(ctx, rand.N(f.minRetryWait()))
		}
	}
}

// minRetryWait returns the shortest wait after a failed call. Standby gateways share
// triesPerSecond, unless they aren't ready and callers may wait for them.
func (f *Follower) minRetryWait() time.Duration {
	place := f.config.State.Place()
	if place.Duty != gateway.Standby || !f.config.State.Ready() {
		return minBackoff
	}
	return max(maxBackoff, time.Duration(place.Gateways)*time.Second/triesPerSecond)
}

// needsFreshReads reports whether this gateway's plain reads must not be stale, because other
// gateways rely on them or because it isn't ready yet. A learner gets changes from its peers. Its
// own reads are a fallback in case it loses contact with them, and may be cheap.
func (f *Follower) needsFreshReads() bool {
	return f.config.State.Place().Duty != gateway.Learner || !f.config.State.Ready()
}

// read reads a list, and records whether the store answered. A fresh read advances the progress of
// the list.
func (f *Follower) read(ctx context.Context, from list, stale bool) (catalog.Position, error) {
	position, err := from.read(ctx, stale)
	f.recordResult(ctx, from.name, err)
	if err == nil && !stale {
		from.progress.advance(position)
	}
	return position, err
}

// readPeriod returns the time in which readsPerPeriod plain reads are made. Readers share the
// work, because each immediately sends the others what it has read. For other gateways the period
// grows with the fleet, so that all of them together make about as many calls as a few.
func (f *Follower) readPeriod() time.Duration {
	place := f.config.State.Place()
	period := f.config.ReadPeriod * time.Duration(place.Gateways) / gatewaysPerPeriod
	if place.Duty == gateway.Reader {
		period = f.config.ReadPeriod * time.Duration(min(place.Gateways, sharingReaders))
	}
	return min(period, maxReadPeriod)
}

// longListPeriod returns the shortest time between two plain reads of the list of back ends. Its
// watch delivers the changes, and the cost of a read is in proportion to its length.
func (f *Follower) longListPeriod() time.Duration {
	return min(f.readPeriod()*time.Duration(f.entryCount.Load()/entriesPerPeriod), maxReadPeriod)
}

// watchLoop watches a list from the position up to which it is known. If that position is too old,
// or the store has dropped the history since, it reads the list first. While plain reads of the
// store fail, it makes no calls, because they would fail as well and each has a cost.
func (f *Follower) watchLoop(ctx context.Context, followed list) {
	backoff := minBackoff
	sleep(ctx, watchDelay)
	if f.config.State.Place().Gateways > largeFleet {
		sleep(ctx, largeFleetWatchDelay)
	}
	for ctx.Err() == nil {
		if !f.isReader() {
			f.awaitDuty(ctx)
			continue
		}
		if f.storeLost.Load() {
			sleep(ctx, pollInterval)
			continue
		}
		err := f.watchOnce(ctx, followed)
		if err == nil {
			backoff = minBackoff
			continue
		}
		f.config.Metrics.Tagged(map[string]string{"what": followed.name}).Counter("watches_ended").Inc(1)
		limit := maxBackoff
		if errors.Is(err, ErrHistoryGone) {
			followed.progress.reset()
			limit = maxHistoryBackoff
		}
		sleep(ctx, jitter(backoff))
		backoff = max(backoff, min(2*backoff, limit))
	}
}

// watchOnce waits for the next change of the list. After a change it pauses, so that the next watch
// receives the following changes as a batch.
func (f *Follower) watchOnce(ctx context.Context, followed list) error {
	from, ok := followed.progress.watchStart()
	if !ok {
		var err error
		if from, err = f.read(ctx, followed, false); err != nil {
			return err
		}
	}
	to, err := followed.watch(f.watches.context(), from)
	if err != nil {
		return err
	}
	followed.progress.advance(to)
	if to != from {
		sleep(ctx, f.config.ReadPeriod/batchDivisor<<f.config.State.Place().Rank)
	}
	return nil
}

// awaitDuty waits until this gateway's duty changes, unless it is a reader already.
func (f *Follower) awaitDuty(ctx context.Context) {
	changed := f.config.State.DutyChanged()
	if f.isReader() {
		return
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

func (f *Follower) isReader() bool { return f.config.State.Place().Duty == gateway.Reader }

// recordResult records the result of a read of the list named what. It logs when contact with the
// store is lost or regained.
func (f *Follower) recordResult(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.config.Metrics.Tagged(map[string]string{"what": what}).Counter("reads_failed").Inc(1)
		f.closeIdleConnections(err)
		if !f.storeLost.Swap(true) {
			f.config.Log.Warn(eventlog.StoreLost, logrus.Fields{"what": what, "cause": err.Error()})
		}
		return
	}
	f.config.State.StoreAnswered()
	f.watches.noteAnswer()
	if f.storeLost.Swap(false) {
		f.config.Log.Warn(eventlog.StoreRegained, logrus.Fields{"what": what})
	}
}

// closeIdleConnections closes the idle connections after a call that timed out. All connections
// may have fallen silent without a reset, and each would make a further call time out. The
// connections on which watches wait are closed once a new connection works.
func (f *Follower) closeIdleConnections(cause error) {
	if !errors.Is(cause, context.DeadlineExceeded) {
		return
	}
	f.watches.noteTimeout()
	if f.config.Connections != nil {
		f.config.Connections.CloseIdleConnections()
	}
}

// jitterEarly returns a random time of at most due, to spread plain reads. A read must never be
// late: other gateways consider a reader lost if its last answer from the store is older than a
// read and a message take.
func jitterEarly(due time.Duration) time.Duration {
	return due*4/5 + time.Duration(rand.Int64N(int64(due)/5+1))
}

// jitter returns a random time around wait, to spread the calls of many gateways.
func jitter(wait time.Duration) time.Duration {
	return wait*3/4 + time.Duration(rand.Int64N(int64(wait)/2+1))
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
