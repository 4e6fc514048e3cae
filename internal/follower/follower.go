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
	watchTime  = 20 * time.Second
	watchGrace = 2 * time.Second
	// settleTime is how long after its start a gateway doesn't watch: by then it
	// knows its peers, and whether it is one of those that do. Until then its plain
	// reads follow the store.
	settleTime = 700 * time.Millisecond
	// manyGateways is the number of gateways above which a gateway that has just started
	// needs moreSettleTime to hear of those that watch: else nine of 23 that start together
	// read all lists and watch, where four are enough.
	manyGateways   = 10
	moreSettleTime = 800 * time.Millisecond
	// watchableAge is how old a position may be for a watch to begin there. Stores keep some
	// tens of seconds of history.
	watchableAge = 10 * time.Second
	// regainLook is the time between two looks of a watch at whether plain reads are
	// answered again.
	regainLook = 50 * time.Millisecond
	// firstPause and longestPause bound the wait after a failed call.
	firstPause   = 100 * time.Millisecond
	longestPause = time.Second
	// triesPerSecond is how often all gateways that stand by together call a store that
	// doesn't answer them. More of them find sooner one that answers some gateways alone;
	// at one a second for each of 23 gateways, an outage of 8 s cost a third of a day's
	// calls.
	triesPerSecond = 8
	// sharedReads is the number of readers that share the reads: each reads that
	// many times less often.
	sharedReads = 3
	// stretchPerGateways and longestStretch bound the time between two reads of a
	// gateway that isn't a reader: one read period for so many gateways.
	stretchPerGateways = 2
	longestStretch     = time.Minute
	// gatherPart is the part of a read period, as one in so many, for which the watch of
	// the first reader waits for further changes after one: each answer is a call, and
	// back ends come and go in series. The first change of a series is told at once. The
	// watch of each further reader waits twice as long: it only makes up for the one
	// before, and by then has heard of the changes from it.
	gatherPart = 6
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
	config  Config
	tasks   conc.WaitGroup
	cancel  context.CancelFunc
	watches *watches
	lost    atomic.Bool
	// entries is the length of the list of back ends that was read last.
	entries atomic.Int64
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
			f.tasks.Go(func() { f.recallOrders(ctx, orders) })
		} else {
			config.State.SetRestorationsKnown()
		}
	}
	if config.Rollouts {
		orders := f.rollouts()
		lists = append(lists, orders)
		f.tasks.Go(func() { f.decideRollouts(ctx, orders) })
	}
	f.tasks.Go(func() { f.keepWithheld(ctx) })
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
	pause := firstPause
	unread := 0 // so many are read without a pause
	if f.config.PeersFirst {
		f.awaitPeers(ctx)
	}
	longReadAt := f.config.State.Clock().Now()
	if f.config.State.Ready() || f.readTogether(ctx, lists) {
		f.rest(ctx, f.turnPause())
	} else {
		unread = len(lists)
		f.rest(ctx, jitter(pause))
	}
	for turn := 0; ctx.Err() == nil; turn++ {
		next := lists[turn%len(lists)]
		if next.isLong {
			if unread == 0 && f.config.State.Clock().Since(longReadAt) < f.longPeriod() {
				continue
			}
			longReadAt = f.config.State.Clock().Now()
		}
		_, err := f.read(ctx, next, !f.mustBeFresh())
		wait := f.turnPause()
		if err != nil {
			wait = jitter(max(pause, f.leastPause()))
			pause = min(2*pause, longestPause)
		} else {
			pause = firstPause
			unread = max(0, unread-1)
		}
		if errors.Is(err, context.DeadlineExceeded) {
			unread = len(lists)
		}
		if err == nil && unread > 0 {
			continue
		}
		f.rest(ctx, wait)
	}
}

const (
	// peersTime is how long a gateway of a fleet that starts for the first time waits for its
	// peers to tell it all, before it reads the store itself. Nobody calls it before that. In a
	// fleet of 357 it saves one call of a gateway, 348 of the 2,207 of a quiet day.
	peersTime = 2 * time.Second
	// peersLook is the time between two looks at whether they have.
	peersLook = 50 * time.Millisecond
)

// awaitPeers waits until this gateway knows enough to serve, or has waited for long enough.
func (f *Follower) awaitPeers(ctx context.Context) {
	began := f.config.State.Clock().Now()
	wait := jitter(peersTime)
	for ctx.Err() == nil && !f.config.State.Ready() && f.config.State.Clock().Since(began) < wait {
		sleep(ctx, peersLook)
	}
}

// readTogether reads all lists at the same time, and tells whether all were answered.
func (f *Follower) readTogether(ctx context.Context, lists []list) bool {
	var failed atomic.Bool
	var reads conc.WaitGroup
	for _, each := range lists {
		reads.Go(func() {
			if _, err := f.read(ctx, each, each.firstMayBeOld); err != nil {
				failed.Store(true)
			}
		})
	}
	reads.Wait()
	return !failed.Load()
}

// turnPause is the time to the next plain read.
func (f *Follower) turnPause() time.Duration { return readPause(f.readPeriod() / readsPerPeriod) }

// rest waits, or until this gateway's duty changes. One that is to stand by then waits for
// its turn among those that do.
func (f *Follower) rest(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-f.config.State.DutyChanged():
		if f.config.State.Place().Duty == gateway.Standby {
			sleep(ctx, rand.N(f.leastPause()))
		}
	}
}

// leastPause is the shortest wait after a failed call. Gateways that stand by share
// triesPerSecond, unless callers wait for them.
func (f *Follower) leastPause() time.Duration {
	place := f.config.State.Place()
	if place.Duty != gateway.Standby || !f.config.State.Ready() {
		return firstPause
	}
	return max(longestPause, time.Duration(place.Gateways)*time.Second/triesPerSecond)
}

// mustBeFresh tells whether this gateway's plain reads are what others rely on, or
// its first. A gateway that others read for learns of changes from its peers; its own
// reads are for when it loses them, and may be cheap.
func (f *Follower) mustBeFresh() bool {
	return f.config.State.Place().Duty != gateway.Learner || !f.config.State.Ready()
}

// read reads a list and notes whether the store answered.
func (f *Follower) read(ctx context.Context, from list, stale bool) (catalog.Position, error) {
	position, err := from.read(ctx, stale)
	f.note(ctx, from.name, err)
	if err == nil && !stale {
		from.reached.note(position)
	}
	return position, err
}

// readPeriod is the time in which readsPerPeriod plain reads are made. Readers share the
// work: what one of them reads, the others hear at once. A gateway that isn't a reader
// stretches it with the size of the fleet, so that all together make about as many calls as
// a few.
func (f *Follower) readPeriod() time.Duration {
	place := f.config.State.Place()
	period := f.config.ReadPeriod * time.Duration(place.Gateways) / stretchPerGateways
	if place.Duty == gateway.Reader {
		period = f.config.ReadPeriod * time.Duration(min(place.Gateways, sharedReads))
	}
	return min(period, longestStretch)
}

// longPeriod is the least time between two plain reads of the list of back ends: its watch
// carries the changes, and a read costs in proportion to its length.
func (f *Follower) longPeriod() time.Duration {
	return min(f.readPeriod()*time.Duration(f.entries.Load()/entriesPerPeriod), longestStretch)
}

// watchLoop watches from the position that the list is known up to, and reads it where
// that is too long ago or the store has dropped its history since. While the store answers
// no plain read, it makes no calls: those would fail as well, each at its price.
func (f *Follower) watchLoop(ctx context.Context, followed list) {
	pause := firstPause
	sleep(ctx, settleTime)
	if f.config.State.Place().Gateways > manyGateways {
		sleep(ctx, moreSettleTime)
	}
	for ctx.Err() == nil {
		if !f.isReader() {
			f.awaitDuty(ctx)
			continue
		}
		if f.lost.Load() {
			sleep(ctx, regainLook)
			continue
		}
		err := f.watchOnce(ctx, followed)
		if err == nil {
			pause = firstPause
			continue
		}
		f.config.Metrics.Tagged(map[string]string{"what": followed.name}).Counter("watches_ended").Inc(1)
		if errors.Is(err, ErrHistoryGone) {
			followed.reached.forget()
		}
		sleep(ctx, jitter(pause))
		if !errors.Is(err, ErrHistoryGone) {
			pause = min(2*pause, longestPause)
		}
	}
}

// watchOnce waits for the next changes of the list, and then for those that follow on them.
func (f *Follower) watchOnce(ctx context.Context, followed list) error {
	from, ok := followed.reached.watchable()
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
	followed.reached.note(to)
	if to != from {
		sleep(ctx, f.config.ReadPeriod/gatherPart<<f.config.State.Place().Rank)
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
func (f *Follower) note(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.config.Metrics.Tagged(map[string]string{"what": what}).Counter("reads_failed").Inc(1)
		f.giveUpKept(err)
		if !f.lost.Swap(true) {
			f.config.Log.Urgent(eventlog.StoreLost, logrus.Fields{"what": what, "cause": err.Error()})
		}
		return
	}
	f.config.State.StoreAnswered()
	f.watches.answered()
	if f.lost.Swap(false) {
		f.config.Log.Urgent(eventlog.StoreRegained, logrus.Fields{"what": what})
	}
}

// giveUpKept closes the kept connections after a call that got no answer in time: all may
// have fallen silent without a reset, and each would cost a further call its time. Those
// that watches wait on are given up once a new one works.
func (f *Follower) giveUpKept(cause error) {
	if !errors.Is(cause, context.DeadlineExceeded) {
		return
	}
	f.watches.noAnswer()
	if f.config.Connections != nil {
		f.config.Connections.CloseIdleConnections()
	}
}

// readPause spreads plain reads without ever making one later than is due: others take a
// reader for lost when its last answer is older than a read and a message take.
func readPause(due time.Duration) time.Duration {
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
