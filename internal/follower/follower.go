// Package follower keeps a gateway's view of the platform's store fresh: it
// reads, watches, and reads again after a while. A watch alone isn't trusted: it
// may hear nothing for seconds while changes are made.
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
)

const (
	// watchTime is how long a watch waits for a change; watchGrace is how much
	// longer its answer may take. A longer watch costs fewer calls, and one whose
	// connection has gone silent goes unnoticed for longer: plain reads tell meanwhile.
	watchWait  = 20 * time.Second
	watchGrace = 2 * time.Second
	// settleTime is how long after its start a gateway doesn't watch: by then it
	// knows its peers, and whether it is one of those that do. Until then its plain
	// reads follow the store.
	watchDelay = 700 * time.Millisecond
	// manyGateways is the number of gateways above which a gateway that has just started
	// needs moreSettleTime to hear of those that watch: else nine of 23 that start together
	// read all lists and watch, where four are enough.
	largeFleet           = 10
	largeFleetWatchDelay = 800 * time.Millisecond
	// watchableAge is how old a position may be for a watch to begin there. Stores keep some
	// tens of seconds of history.
	maxPositionAge = 10 * time.Second
	// regainLook is the time between two looks of a watch at whether plain reads are
	// answered again.
	pollInterval = 50 * time.Millisecond
	// firstPause and longestPause bound the wait after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	// triesPerSecond is how often all gateways that stand by together call a store that
	// doesn't answer them. More of them find sooner one that answers some gateways alone;
	// at one a second for each of 23 gateways, an outage of 8 s cost a third of a day's
	// calls.
	triesPerSecond = 8
	// sharedReads is the number of readers that share the reads: each reads that
	// many times less often.
	sharingReaders = 3
	// stretchPerGateways and longestStretch bound the time between two reads of a
	// gateway that isn't a reader: one read period for so many gateways.
	gatewaysPerPeriod = 2
	maxReadPeriod     = time.Minute
	// gatherPart is the part of a read period, as one in so many, for which the watch of
	// the first reader waits for further changes after one: each answer is a call, and
	// back ends come and go in series. The first change of a series is told at once. The
	// watch of each further reader waits twice as long: it only makes up for the one
	// before, and by then has heard of the changes from it.
	batchDivisor = 6
	// readsPerPeriod is how many plain reads a gateway makes in a period, however many
	// lists there are: others take one that the store doesn't answer for lost by the age
	// of its last answer.
	readsPerPeriod = 2
	// entriesPerPeriod is the length of a list of back ends for which a gateway
	// reads once a period; a list twice as long is read half as often.
	entriesPerPeriod = 100
)

// Follower follows one store.
type Follower struct {
	config    Config
	tasks     conc.WaitGroup
	cancel    context.CancelFunc
	watches   *watches
	storeLost atomic.Bool
	// entries is the length of the list of back ends that was read last.
	entryCount atomic.Int64
}

// Start begins to follow.
func Start(config Config) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{config: config, cancel: cancel, watches: newWatches(ctx)}
	lists := []list{f.configurations()}
	if config.Evacuations {
		orders := f.evacuations()
		lists = append(lists, orders)
		if !config.FirstStart {
			f.tasks.Go(func() { f.readRestorations(ctx, orders) })
		} else {
			config.State.SetRestorationsKnown()
		}
	}
	if config.Rollouts {
		orders := f.rollouts()
		lists = append(lists, orders)
		f.tasks.Go(func() { f.recordRollouts(ctx, orders) })
	}
	f.tasks.Go(func() { f.syncWithheld(ctx) })
	lists = append(lists, f.backEnds()) // the longest one last: a gateway that starts reads them in turn
	f.tasks.Go(func() { f.followEras(ctx, lists) })
	f.tasks.Go(func() { f.readLoop(ctx, lists...) })
	for _, each := range lists {
		f.tasks.Go(func() { f.watchLoop(ctx, each) })
	}
	return f
}

// Close ends all calls and waits for them.
func (f *Follower) Close() {
	f.cancel()
	f.tasks.Wait()
	f.watches.close()
}

// readLoop reads the lists in turn, whatever the watches say, so that each answer
// also shows that the store can be reached. A gateway that has just started reads
// all together: callers wait for it. One that got no answer in time reads all without a
// pause as soon as the store answers again: the list whose turn was lost may hold an order.
func (f *Follower) readLoop(ctx context.Context, lists ...list) {
	backoff := minBackoff
	immediateReads := 0 // so many are read without a pause
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
	// peersTime is how long a gateway of a fleet that starts for the first time waits for its
	// peers to tell it all, before it reads the store itself. Nobody calls it before that. In a
	// fleet of 357 it saves one call of a gateway, 348 of the 2,207 of a quiet day.
	peersWait = 2 * time.Second
	// peersLook is the time between two looks at whether they have.
	peersPollInterval = 50 * time.Millisecond
)

// awaitPeers waits until this gateway knows enough to serve, or has waited for long enough.
func (f *Follower) awaitPeers(ctx context.Context) {
	began := f.config.State.Clock().Now()
	wait := jitter(peersWait)
	for ctx.Err() == nil && !f.config.State.Ready() && f.config.State.Clock().Since(began) < wait {
		sleep(ctx, peersPollInterval)
	}
}

// readTogether reads all lists at the same time, and tells whether all were answered.
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

// turnPause is the time to the next plain read.
func (f *Follower) readInterval() time.Duration { return jitterEarly(f.readPeriod() / readsPerPeriod) }

// rest waits, or until this gateway's duty changes. One that is to stand by then waits for
// its turn among those that do.
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

// leastPause is the shortest wait after a failed call. Gateways that stand by share
// triesPerSecond, unless callers wait for them.
func (f *Follower) minRetryWait() time.Duration {
	place := f.config.State.Place()
	if place.Duty != gateway.Standby || !f.config.State.Ready() {
		return minBackoff
	}
	return max(maxBackoff, time.Duration(place.Gateways)*time.Second/triesPerSecond)
}

// mustBeFresh tells whether this gateway's plain reads are what others rely on, or
// its first. A gateway that others read for learns of changes from its peers; its own
// reads are for when it loses them, and may be cheap.
func (f *Follower) needsFreshReads() bool {
	return f.config.State.Place().Duty != gateway.Learner || !f.config.State.Ready()
}

// read reads a list and notes whether the store answered.
func (f *Follower) read(ctx context.Context, from list, stale bool) (catalog.Position, error) {
	position, err := from.read(ctx, stale)
	f.recordResult(ctx, from.name, err)
	if err == nil && !stale {
		from.progress.advance(position)
	}
	return position, err
}

// readPeriod is the time in which readsPerPeriod plain reads are made. Readers share the
// work: what one of them reads, the others hear at once. A gateway that isn't a reader
// stretches it with the size of the fleet, so that all together make about as many calls as
// a few.
func (f *Follower) readPeriod() time.Duration {
	place := f.config.State.Place()
	period := f.config.ReadPeriod * time.Duration(place.Gateways) / gatewaysPerPeriod
	if place.Duty == gateway.Reader {
		period = f.config.ReadPeriod * time.Duration(min(place.Gateways, sharingReaders))
	}
	return min(period, maxReadPeriod)
}

// longPeriod is the least time between two plain reads of the list of back ends: its watch
// carries the changes, and a read costs in proportion to its length.
func (f *Follower) longListPeriod() time.Duration {
	return min(f.readPeriod()*time.Duration(f.entryCount.Load()/entriesPerPeriod), maxReadPeriod)
}

// watchLoop watches from the position that the list is known up to, and reads it where
// that is too long ago or the store has dropped its history since. While the store answers
// no plain read, it makes no calls: those would fail as well, each at its price.
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
		if errors.Is(err, ErrHistoryGone) {
			followed.progress.reset()
		}
		sleep(ctx, jitter(backoff))
		if !errors.Is(err, ErrHistoryGone) {
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// watchOnce waits for the next changes of the list, and then for those that follow on them.
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

// awaitDuty waits until this gateway's duty changes.
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

// note logs when the store is lost or regained.
func (f *Follower) recordResult(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.config.Metrics.Tagged(map[string]string{"what": what}).Counter("reads_failed").Inc(1)
		f.closeIdleConnections(err)
		if !f.storeLost.Swap(true) {
			f.config.Log.Urgent(eventlog.StoreLost, logrus.Fields{"what": what, "cause": err.Error()})
		}
		return
	}
	f.config.State.StoreAnswered()
	f.watches.noteAnswer()
	if f.storeLost.Swap(false) {
		f.config.Log.Urgent(eventlog.StoreRegained, logrus.Fields{"what": what})
	}
}

// giveUpKept closes the kept connections after a call that got no answer in time: all may
// have fallen silent without a reset, and each would cost a further call its time. Those
// that watches wait on are given up once a new one works.
func (f *Follower) closeIdleConnections(cause error) {
	if !errors.Is(cause, context.DeadlineExceeded) {
		return
	}
	f.watches.noteTimeout()
	if f.config.Connections != nil {
		f.config.Connections.CloseIdleConnections()
	}
}

// readPause spreads plain reads without ever making one later than is due: others take a
// reader for lost when its last answer is older than a read and a message take.
func jitterEarly(due time.Duration) time.Duration {
	return due*4/5 + time.Duration(rand.Int64N(int64(due)/5+1))
}

// jitter spreads calls of many gateways.
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
