package follower

import (
	"context"
	"time"

	"github.com/harriernotch/harriernotch/internal/gateway"
)

// A store that is restored from a backup lacks what was written in the last seconds before, and
// assigns revisions again. Each gateway learns of the new era from an answer of the store or from
// a peer. Readers read all lists again, first at once and then after operators and back ends have
// had time to write their objects again. The other gateways get the differences from them, so the
// number of calls doesn't grow with the fleet.

// rewriteTime is the time after a restore within which operators and back ends write their
// objects again. Back ends do so with their second heartbeat at the latest.
const rewriteTime = 2300 * time.Millisecond

// followEras resynchronizes with the store in each new era, except the first that it observes.
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
			// The watch loops read the lists again, which now show what has been removed.
			f.resync(lists)
			f.tasks.Go("rewrite_withheld", func() { f.rewriteAsReader(ctx) })
		}
	}
}

// sleepUnlessClosed waits until the time is over, the channel is closed or the context ends. It
// reports whether the channel was closed.
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

// rewriteAsReader writes the gateways' own records that the restored store lacks, if this gateway
// is a reader.
func (f *Follower) rewriteAsReader(ctx context.Context) {
	if f.isReader() {
		f.retryCall(ctx, f.rewriteWithheld)
	}
}

// resync drops the progress of the lists and restarts the watches, which were based on it.
func (f *Follower) resync(lists []list) {
	for _, each := range lists {
		each.progress.reset()
	}
	f.watches.restart()
}

// rewriteWithheld writes the records of withheld requests that the restored store lacks. Several
// gateways may do so, because the store doesn't change a record that it already has.
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

// rewriteStagger is the delay between readers of successive ranks, so that as a rule only the
// first one has records to write.
const rewriteStagger = 300 * time.Millisecond
