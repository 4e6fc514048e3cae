package follower

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// Gateways gossip which requests crash back ends. If all gateways were killed together, this
// knowledge would be lost, and three more back ends would have to crash for each such request. So
// a gateway that observes that a request becomes withheld writes a record to the platform's store,
// and a gateway that starts reads the list once. This costs one call per start and one per such
// request, apart from the removal of its record.

// syncWithheld reads the list of withheld requests, and then writes the changes that this gateway
// observes.
func (f *Follower) syncWithheld(ctx context.Context) {
	if !f.isFirstStart(ctx) {
		f.retryCall(ctx, f.readWithheld)
	}
	for {
		select {
		case <-f.config.State.UnrecordedReady():
		case <-ctx.Done():
			return
		}
		for _, change := range f.config.State.TakeUnrecorded() {
			f.recordWithheld(ctx, change)
		}
	}
}

// firstWriteTimeout limits the first attempt to write a record. Such writes are rare, so the connection that one takes may have
// been idle for long and have fallen silent since. A gateway that ended within callTimeout would take the finding with it.
const firstWriteTimeout = 300 * time.Millisecond

// recordWithheld writes a change to the store: first over any connection, and if that takes long, at once over a new one.
func (f *Follower) recordWithheld(ctx context.Context, change dispatch.WithheldChange) {
	write := func(ctx context.Context) error { return f.writeWithheld(ctx, change) }
	err := tryWithin(ctx, firstWriteTimeout, write)
	if err == nil {
		return
	}
	if errors.Is(err, context.DeadlineExceeded) && f.config.Connections != nil {
		f.config.Connections.CloseIdleConnections()
	}
	f.retryCall(ctx, write)
}

// maxRecordBackoff limits the wait after a failed call of retryCall. It is long, so that a store
// that always refuses such calls is called rarely; nothing waits for them.
const maxRecordBackoff = 10 * time.Second

// retryCall repeats a call until it succeeds. Its failures don't count as losing contact with the
// store, which the reads of the lists detect.
func (f *Follower) retryCall(ctx context.Context, call func(ctx context.Context) error) {
	f.retryCallWithin(ctx, maxRecordBackoff, call)
}

// retryCallWithin does the same with at most the given backoff between two attempts.
func (f *Follower) retryCallWithin(ctx context.Context, longest time.Duration, call func(ctx context.Context) error) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := tryWithin(ctx, callTimeout, call)
		if err == nil {
			return
		}
		// The call may have taken the only silent connection that a plain read would have timed out on.
		f.closeIdleConnections(err)
		if backoff == minBackoff {
			f.config.Log.Entry().WithError(err).Warn("reading or writing the gateways' records in the store failed; trying again")
		}
		sleep(ctx, jitter(max(backoff, f.minRetryWait())))
		backoff = min(2*backoff, longest)
	}
}

// readWithheld merges the records in the store into the state, and removes expired records from the
// store.
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
