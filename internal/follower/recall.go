package follower

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// A process that has just started reads which zones are evacuated, and not which were until
// a moment ago, whose back ends turned cold and haven't said so yet. Its peers tell it. Where
// all gateways were killed together nobody knows, but the store still has the history of the
// last seconds: one of them reads it, and tells the others.

const (
	// recallDelay is how long after its start a gateway knows its peers. Callers wait that
	// long for it to be ready where all gateways have started together: three gateways sent
	// 12 requests in that time to a back end that bears 8 a second.
	restorationsDelay = 100 * time.Millisecond
	// recallLimit is how long a gateway waits for the store; by then back ends have said
	// themselves that they are cold.
	restorationsTimeout = 3 * time.Second
	// recallWait is how long the store may wait for changes after the last one.
	historyWait = time.Millisecond
)

// recallSteps are how many changes of the store a gateway looks back, the furthest first. The
// store keeps its history for a time, and how many changes that is isn't known: a hundred are
// the last seconds of a fleet whose back ends are being replaced, ten or three those of one
// at rest.
var historySteps = []uint64{100, 30, 10, 3}

// recallOrders takes zones that were restored of late from the store's history, if this
// gateway is the one to do so.
func (f *Follower) readRestorations(ctx context.Context, orders list) {
	began := f.config.State.Clock().Now()
	sleep(ctx, restorationsDelay)
	for ctx.Err() == nil && f.config.State.Clock().Since(began) < restorationsTimeout {
		position, ok := orders.progress.watchStart()
		if !ok {
			sleep(ctx, pollInterval)
			continue
		}
		if f.config.State.Place().Rank == 0 && f.config.State.HasWarmUps() {
			f.readHistory(ctx, position)
			f.config.State.SetRestorationsKnown()
		}
		return
	}
}

// recall looks in the history before the position, as far back as there is one.
func (f *Follower) readHistory(ctx context.Context, position catalog.Position) {
	for _, step := range historySteps {
		if step > position.Revision {
			continue
		}
		changes, err := f.evacuationsSince(ctx, catalog.Position{Era: position.Era, Revision: position.Revision - step})
		if errors.Is(err, ErrHistoryGone) {
			continue
		}
		if err != nil {
			f.config.Log.Entry().WithError(err).Warn("the orders of the last seconds can't be read; zones that were restored a moment ago aren't known")
			return
		}
		f.config.State.OfferEvacuations(changes, gateway.SourceStore)
		return
	}
}

// ordersSince returns the orders that changed after the position.
func (f *Follower) evacuationsSince(ctx context.Context, after catalog.Position) ([]catalog.Evacuation, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	changes, _, err := f.config.Source.Evacuations().Watch(ctx, after, historyWait)
	return changes, err
}
