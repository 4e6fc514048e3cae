package follower

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// settledPeriod is the time between two checks of whether a service has become settled, or has changed.
// Gateways that start rely on a record until it is removed.
const settledPeriod = 100 * time.Millisecond

// lateWriteTime is the time after which a write without an answer has taken effect, or never will. Stores may
// carry a write out seconds after its writer was killed.
const lateWriteTime = 10 * time.Second

// settledRecords are the records of settled services that the store has, as far as this gateway knows, by
// their identity.
type settledRecords map[string]dispatch.SettledService

// syncSettled reads the records of settled services, and then keeps those in the store as this gateway sees
// the services.
func (f *Follower) syncSettled(ctx context.Context) {
	settlement := f.config.State.Settlement()
	keeper := settledKeeper{follower: f, records: settledRecords{}, era: settlement.Era, wasRecorder: settlement.IsRecorder}
	keeper.mustMark = f.isFirstStart(ctx)
	if !keeper.mustMark {
		keeper.read(ctx)
		keeper.scheduleReread()
		keeper.apply(ctx)
	}
	for ctx.Err() == nil {
		sleep(ctx, settledPeriod)
		keeper.update(ctx, f.config.State.Settlement())
	}
}

// settledKeeper keeps the store's records of settled services.
type settledKeeper struct {
	follower *Follower
	records  settledRecords
	// era is the era of the store when the records were read, and wasRecorder whether this gateway was one
	// of those that write them at the last update.
	era         uint64
	wasRecorder bool
	// rereadAt is when the records are read again because a write may have taken effect late; zero if none may.
	rereadAt time.Time
	// mustMark is set until this gateway has written startMark.
	mustMark bool
}

// update reads the records again if they may differ from the known ones, and writes what has changed. A
// restored store has the records of its backup. A gateway that becomes a recorder doesn't know whether its
// predecessors have written all that it has left to them, or a write of theirs is still to take effect.
func (k *settledKeeper) update(ctx context.Context, settlement gateway.Settlement) {
	becomesRecorder := settlement.IsRecorder && !k.wasRecorder
	if settlement.Era != k.era || becomesRecorder || k.isRereadDue() {
		k.read(ctx)
	}
	if becomesRecorder {
		k.scheduleReread()
	}
	k.era, k.wasRecorder = settlement.Era, settlement.IsRecorder
	if k.mustMark && settlement.IsRecorder {
		k.write(ctx, func(ctx context.Context) error { return k.follower.config.Source.RecordSettled(ctx, startMark) })
		k.mustMark = false
	}
	if !settlement.IsKnown {
		return
	}
	k.removeOutdated(ctx, settlement)
	k.addSettled(ctx, settlement)
}

// scheduleReread makes the records be read again once no earlier write can take effect any more.
func (k *settledKeeper) scheduleReread() {
	k.rereadAt = k.follower.config.State.Clock().Now().Add(lateWriteTime)
}

// isRereadDue reports once that the time of scheduleReread has come.
func (k *settledKeeper) isRereadDue() bool {
	if k.rereadAt.IsZero() || k.follower.config.State.Clock().Until(k.rereadAt) > 0 {
		return false
	}
	k.rereadAt = time.Time{}
	return true
}

// write repeats a write until it succeeds. One that fails may still take effect later.
func (k *settledKeeper) write(ctx context.Context, call func(ctx context.Context) error) {
	k.follower.retryCall(ctx, func(ctx context.Context) error {
		err := call(ctx)
		if err != nil {
			k.scheduleReread()
		}
		return err
	})
}

// read replaces the records by those in the store.
func (k *settledKeeper) read(ctx context.Context) {
	k.follower.retryCall(ctx, func(ctx context.Context) error {
		list, err := k.follower.config.Source.SettledServices(ctx, false)
		if err != nil {
			return err
		}
		clear(k.records)
		for _, each := range list {
			k.records[each.Identity] = each
		}
		return nil
	})
}

// apply applies the records as soon as this gateway knows what to compare them with.
func (k *settledKeeper) apply(ctx context.Context) {
	list := slices.Collect(maps.Values(k.records))
	for ctx.Err() == nil && !k.follower.config.State.SettleRecorded(list) {
		sleep(ctx, pollInterval)
	}
}

// removeOutdated removes the records of services that aren't any more as recorded. A few gateways write them, all
// the same ones; the others only follow.
func (k *settledKeeper) removeOutdated(ctx context.Context, settlement gateway.Settlement) {
	for _, identity := range slices.Sorted(maps.Keys(k.records)) {
		each := k.records[identity]
		if each.Identity == startMark.Identity || slices.Contains(settlement.Unchanged, each) {
			continue
		}
		delete(k.records, identity)
		if settlement.IsRecorder {
			k.write(ctx, func(ctx context.Context) error { return k.follower.config.Source.RemoveSettled(ctx, each) })
		}
	}
}

// addSettled adds the records of services that have become settled.
func (k *settledKeeper) addSettled(ctx context.Context, settlement gateway.Settlement) {
	for _, each := range settlement.Settled {
		if _, known := k.records[each.Identity]; known {
			continue
		}
		k.records[each.Identity] = each
		if settlement.IsRecorder {
			k.write(ctx, func(ctx context.Context) error { return k.follower.config.Source.RecordSettled(ctx, each) })
		}
	}
}
