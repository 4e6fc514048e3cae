package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// The progress of a rollout is recorded in the store, and the verdict there applies to all
// gateways. Each gateway determines independently which state is due. The state is written only if
// the order is still at the revision that the gateway knows (compare-and-swap), so there is one
// verdict, whichever gateway writes it. There is no leader election: readers try in the order of
// their ranks, and all other gateways after them. So a gateway that is killed before it has
// written, or a lost answer, delays the verdict only until the next gateway tries.

const (
	// rolloutInterval is the interval at which rollouts are evaluated. It is shorter than a round
	// of tallies.
	rolloutInterval = 100 * time.Millisecond
	// readerStagger is the delay between readers of successive ranks. othersDelay is the time
	// after which the other gateways begin to write a state that is still due.
	readerStagger = 300 * time.Millisecond
	othersDelay   = 2 * time.Second
	// rolloutRetryInterval is the time until the same gateway tries again.
	rolloutRetryInterval = 500 * time.Millisecond
)

// pendingWrite is a state that is due but missing in the store, and the time at which this gateway
// writes it.
type pendingWrite struct {
	record catalog.Rollout
	at     time.Time
}

// recordRollouts evaluates the rollouts of the list periodically, and writes the states that are
// due.
func (f *Follower) recordRollouts(ctx context.Context, orders list) {
	pending := map[string]pendingWrite{}
	for ctx.Err() == nil {
		sleep(ctx, rolloutInterval)
		if !f.config.State.HasRollouts() {
			continue
		}
		found := f.config.State.EvaluateRollouts()
		now := f.config.State.Clock().Now()
		stillPending := map[string]pendingWrite{}
		for _, record := range found {
			write, known := pending[record.Service]
			if !known || write.record.State != record.State {
				write = pendingWrite{at: now.Add(f.rolloutWriteDelay())}
			}
			write.record = record
			if !now.Before(write.at) {
				f.writeRollout(ctx, orders, record)
				write.at = f.config.State.Clock().Now().Add(jitter(rolloutRetryInterval))
			}
			stillPending[record.Service] = write
		}
		pending = stillPending
	}
}

// rolloutWriteDelay returns the time until this gateway writes a state that has become due.
func (f *Follower) rolloutWriteDelay() time.Duration {
	place := f.config.State.Place()
	if place.Duty == gateway.Reader {
		return time.Duration(place.Rank) * readerStagger
	}
	return othersDelay + rand.N(time.Duration(max(place.Gateways, 1))*time.Second/triesPerSecond)
}

// writeRollout writes the state of an order. If the order has changed in the store, it reads the
// list instead.
func (f *Follower) writeRollout(ctx context.Context, orders list, record catalog.Rollout) {
	written, err := callWithTimeout(ctx, func(ctx context.Context) (catalog.Rollout, error) {
		return f.config.Source.WriteRollout(ctx, record)
	})
	if err == nil {
		f.config.State.ObserveEra(written.Era)
		f.config.State.OfferRollouts([]catalog.Rollout{written}, gateway.SourceStore)
		return
	}
	if errors.Is(err, ErrConflict) {
		_, err = f.read(ctx, orders, false)
	}
	if err != nil && ctx.Err() == nil {
		f.config.Log.Entry().WithError(err).Warn("writing the state of a rollout to the store failed; trying again")
	}
}
