package follower

import (
	"context"
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// settledPeriod is the time between two checks of whether a service has become settled, or has changed.
// Gateways that start rely on a record until it is removed.
const settledPeriod = 100 * time.Millisecond

// settledRecords are the records of settled services that the store has, as far as this gateway knows, by
// their identity.
type settledRecords map[string]dispatch.SettledService

// syncSettled reads the records of settled services, and then keeps those in the store as this gateway sees
// the services. A restored store has those of its backup, so they are read again.
func (f *Follower) syncSettled(ctx context.Context) {
	records, era := settledRecords{}, f.config.State.Settlement().Era
	if !f.config.FirstStart {
		f.retryCall(ctx, func(ctx context.Context) error { return f.readSettled(ctx, records) })
		f.applySettled(ctx, records)
	}
	for ctx.Err() == nil {
		sleep(ctx, settledPeriod)
		settlement := f.config.State.Settlement()
		if settlement.Era != era {
			era = settlement.Era
			f.retryCall(ctx, func(ctx context.Context) error { return f.readSettled(ctx, records) })
		}
		f.updateSettled(ctx, records, settlement.Settled, settlement.Changed, settlement.IsRecorder)
	}
}

// readSettled replaces the records by those in the store.
func (f *Follower) readSettled(ctx context.Context, records settledRecords) error {
	list, err := f.config.Source.SettledServices(ctx)
	if err != nil {
		return err
	}
	clear(records)
	for _, each := range list {
		records[each.Identity] = each
	}
	return nil
}

// applySettled applies the records as soon as this gateway knows what to compare them with.
func (f *Follower) applySettled(ctx context.Context, records settledRecords) {
	var list []dispatch.SettledService
	for _, each := range records {
		list = append(list, each)
	}
	for ctx.Err() == nil && !f.config.State.SettleRecorded(list) {
		sleep(ctx, pollInterval)
	}
}

// updateSettled removes the records of services that have changed, and adds those of services that have
// become settled. A few gateways write them, all the same ones; the others only follow.
func (f *Follower) updateSettled(ctx context.Context, records settledRecords, settled []dispatch.SettledService, changed []string, isRecorder bool) {
	for identity, each := range records {
		isReplaced := func(other dispatch.SettledService) bool { return other.Service == each.Service && other != each }
		if !slices.Contains(changed, each.Service) && !slices.ContainsFunc(settled, isReplaced) {
			continue
		}
		delete(records, identity)
		if isRecorder {
			f.retryCall(ctx, func(ctx context.Context) error { return f.config.Source.RemoveSettled(ctx, each) })
		}
	}
	for _, each := range settled {
		if _, known := records[each.Identity]; known {
			continue
		}
		records[each.Identity] = each
		if isRecorder {
			f.retryCall(ctx, func(ctx context.Context) error { return f.config.Source.RecordSettled(ctx, each) })
		}
	}
}
