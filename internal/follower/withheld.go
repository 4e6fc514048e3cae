package follower

import (
	"context"
	"time"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// Gateways tell each other which requests crash back ends. Where all of them are killed
// together nobody would know, and three more back ends would have to crash for each such
// request. So whoever saw a request become withheld writes it to the platform's store, and a
// gateway that starts reads the list once. That is a call for each start and one for each
// such request.

// keepWithheld reads the list and then writes what this gateway observes.
func (f *Follower) syncWithheld(ctx context.Context) {
	if !f.config.FirstStart {
		f.retryCall(ctx, f.readWithheld)
	}
	for {
		select {
		case <-f.config.State.UnrecordedReady():
		case <-ctx.Done():
			return
		}
		for _, change := range f.config.State.TakeUnrecorded() {
			f.retryCall(ctx, func(ctx context.Context) error { return f.writeWithheld(ctx, change) })
		}
	}
}

// longestRecordPause bounds the wait after a failed call for withheld requests: a store that
// refuses them for good is called seldom, and nobody waits.
const maxRecordBackoff = 10 * time.Second

// persist makes a call until the store has done it. That it fails says nothing of the store's
// lists, whose reads tell whether the store is lost.
func (f *Follower) retryCall(ctx context.Context, call func(ctx context.Context) error) {
	backoff := minBackoff
	for ctx.Err() == nil {
		_, err := callWithTimeout(ctx, func(ctx context.Context) (struct{}, error) { return struct{}{}, call(ctx) })
		if err == nil {
			return
		}
		if backoff == minBackoff {
			f.config.Log.Entry().WithError(err).Warn("the store can't be told, or asked, which requests are withheld; trying again")
		}
		sleep(ctx, jitter(max(backoff, f.minRetryWait())))
		backoff = min(2*backoff, maxRecordBackoff)
	}
}

// readWithheld takes the list, and removes from it what is no longer withheld.
func (f *Follower) readWithheld(ctx context.Context) error {
	records, err := f.config.Source.Withheld(ctx)
	if err != nil {
		return err
	}
	var current []dispatch.CrashRecord
	for _, record := range records {
		if !record.IsExpired(f.config.State.Clock().Now()) {
			current = append(current, record)
			continue
		}
		if err := f.config.Source.Release(ctx, record.Fingerprint); err != nil {
			return err
		}
	}
	f.config.State.MergeCrashes(current)
	return nil
}

func (f *Follower) writeWithheld(ctx context.Context, change dispatch.WithheldChange) error {
	if !change.Withheld {
		return f.config.Source.Release(ctx, change.Record.Fingerprint)
	}
	return f.config.Source.Withhold(ctx, change.Record)
}
