package follower

import (
	"context"
	"time"

	"github.com/harriernotch/harriernotch/internal/gateway"
)

// A store that comes back from a copy lacks what was written in its last seconds, and gives
// revisions out again. Each gateway hears of the new era by an answer of the store or from a
// peer. Those that read for the others read all lists anew, at once and once operators and back
// ends have written theirs again; the others learn the differences from them, so the calls
// don't grow with the fleet.

// rewriteTime is how long after the store's return operators and back ends need to write theirs
// again: back ends do with the second of their heartbeats at the latest.
const rewriteTime = 2300 * time.Millisecond

// followEras begins anew with each era of the store but the first that it hears of.
func (f *Follower) followEras(ctx context.Context, lists []list) {
	handled := uint64(0)
	for ctx.Err() == nil {
		changed := f.config.State.EraChanged()
		era := f.config.State.Era()
		if era == handled {
			sleepUnlessClosed(ctx, changed, maxReadPeriod)
			continue
		}
		isRestored := handled > 0
		handled = era
		if isRestored {
			f.resync(lists)
		}
		if isNewer := sleepUnlessClosed(ctx, changed, rewriteTime); isNewer {
			continue
		}
		f.config.State.SettleEra(era)
		if isRestored {
			// Those that watch read the lists again, which now say what is gone.
			f.resync(lists)
			f.tasks.Go(func() { f.rewriteAsReader(ctx) })
		}
	}
}

// sleepUntil waits for the time, and tells whether the channel was closed before.
func sleepUnlessClosed(ctx context.Context, closed <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// rewriteAsReader writes what the restored store lacks of the gateways' own, if this gateway is
// one of those that read it.
func (f *Follower) rewriteAsReader(ctx context.Context) {
	if f.isReader() {
		f.retryCall(ctx, f.rewriteWithheld)
	}
}

// beginAnew drops how far the lists are known, and the watches that go on from there.
func (f *Follower) resync(lists []list) {
	for _, each := range lists {
		each.progress.reset()
	}
	f.watches.restart()
}

// rewriteWithheld writes the records of withheld requests that the restored store lacks. Several
// gateways may: a record that is there already stays as it is.
func (f *Follower) rewriteWithheld(ctx context.Context) error {
	sleep(ctx, time.Duration(f.config.State.Place().Rank)*rewriteStagger)
	known := f.config.State.WithheldRecords()
	if len(known) == 0 {
		return nil
	}
	stored, err := f.config.Source.Withheld(ctx)
	if err != nil {
		return err
	}
	for _, record := range gateway.MissingRecords(known, stored) {
		if err := f.config.Source.Withhold(ctx, record); err != nil {
			return err
		}
	}
	return nil
}

// rewriteStep is the time between the gateways that may write, so that the first one does.
const rewriteStagger = 300 * time.Millisecond
