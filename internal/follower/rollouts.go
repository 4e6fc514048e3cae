package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// How far a roll-out has come stands in the store, and the verdict there is everybody's. Each
// gateway finds by itself what is due; it is written under the condition that the order is as
// it was known, so that there is one verdict whoever writes it. Nobody is elected: those that
// read the store try in turn, and after them all others, so one that is killed before it wrote,
// or whose answer was lost, delays the verdict by a turn.

const (
	// rolloutLook is the time between two looks at roll-outs, a part of a round of tallies.
	rolloutInterval = 100 * time.Millisecond
	// rolloutTurn is the time between the turns of those that read, and othersTurn how long
	// after it was due the others begin to write what is missing.
	readerStagger = 300 * time.Millisecond
	othersDelay   = 2 * time.Second
	// rolloutRetry is the time to the next try of the same gateway.
	rolloutRetryInterval = 500 * time.Millisecond
)

// dueRollout is what a gateway found to be missing in the store, and when it writes it.
type pendingWrite struct {
	record catalog.Rollout
	at     time.Time
}

// decideRollouts looks at the roll-outs, which are those of the list, and writes what is due.
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

// rolloutDelay is the time until this gateway writes what it found due.
func (f *Follower) rolloutWriteDelay() time.Duration {
	place := f.config.State.Place()
	if place.Duty == gateway.Reader {
		return time.Duration(place.Rank) * readerStagger
	}
	return othersDelay + rand.N(time.Duration(max(place.Gateways, 1))*time.Second/triesPerSecond)
}

// writeRollout writes how far an order has come. Where the store knows it otherwise by now, that
// is read.
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
		f.config.Log.Entry().WithError(err).Warn("the store can't be told how far a roll-out has come; trying again")
	}
}
