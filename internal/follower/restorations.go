package follower

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// A gateway that has just started reads which zones are evacuated, but not which zones were
// restored a moment ago. The back ends of such a zone have gone cold and may not have reported it
// yet. Peers send this information, but if all gateways were killed together no peer has it. The
// store still has the history of the last seconds, so one gateway reads it and sends it to the
// others.

const (
	// restorationsDelay is the time after its start in which a gateway gets to know its peers, and
	// thus its rank. If all gateways have started together and back ends need a warm-up, callers
	// wait at least that long, because a gateway isn't ready until it knows the recent
	// restorations or no longer waits for them. Serving before then can overload cold back ends: in
	// the time until they knew a restoration, three gateways together sent 12 requests to a back
	// end that can serve 8 a second.
	restorationsDelay = 100 * time.Millisecond
	// restorationsTimeout is the time that a gateway waits for the store. After it, back ends
	// have reported themselves that they are cold.
	restorationsTimeout = 3 * time.Second
	// historyWait is the time that the store may hold the call if there are no changes.
	historyWait = time.Millisecond
)

// historySteps are the numbers of changes by which a gateway goes back in the store's history,
// tried in this order. The store keeps its history for a limited time, and the number of changes in
// it is unknown: about a hundred cover the last seconds of a fleet whose back ends are being
// replaced, and ten or three those of an idle fleet.
var historySteps = []uint64{100, 30, 10, 3}

// readRestorations reads the recently restored zones from the store's history if this gateway is
// the one that does so: the one of rank 0, if back ends need a warm-up. When the fleet starts for the first time,
// there are none.
func (f *Follower) readRestorations(ctx context.Context, orders list) {
	if f.isFirstStart(ctx) {
		f.config.State.SetRestorationsKnown()
		return
	}
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

// readHistory merges the changes of evacuations before the position, from as far back as the store
// has its history.
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
			f.config.Log.Entry().WithError(err).Warn("reading the store's recent evacuation history failed; recently restored zones are unknown")
			return
		}
		f.config.State.OfferEvacuations(changes, gateway.SourceStore)
		return
	}
}

// evacuationsSince returns the evacuation orders that changed after the position.
func (f *Follower) evacuationsSince(ctx context.Context, after catalog.Position) ([]catalog.Evacuation, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	changes, _, err := f.config.Source.Evacuations().Watch(ctx, after, historyWait)
	return changes, err
}
