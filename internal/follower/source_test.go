package follower

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// source is a fake store with the given number of back ends.
type source struct {
	backEnds int
	// failing makes the reads of configurations and back ends, and all watches, time out.
	failing atomic.Bool
	// reads counts the reads of the list of back ends, configurationReads those of the
	// configuration, and staleReads the stale ones of both.
	reads              atomic.Int64
	configurationReads atomic.Int64
	staleReads         atomic.Int64
	watches            atomic.Int64
	// evacuations is set if zones may be evacuated, and evacuationReads counts the reads of
	// their list.
	evacuations     bool
	evacuationReads atomic.Int64
	// changePeriod is the time between two changes of the back ends, or 0 for none.
	changePeriod time.Duration
	// firstRevision is the revision at the start of a store with a changePeriod; 0 means 1.
	firstRevision uint64
	// silent is set if watches wait on connections that have fallen silent. unanswered is the
	// number of further reads of the configuration that time out.
	silent     atomic.Bool
	unanswered atomic.Int64
	// configuration is the operators' configuration; nil stands for an empty one.
	configuration *catalog.Configuration
	// configurationMutex guards configuration.
	configurationMutex sync.Mutex
	// restored are the withdrawn evacuations in the history of the store, which begins at
	// oldestRevision. historyMisses counts the watches from earlier revisions.
	restored       []catalog.Evacuation
	oldestRevision uint64
	historyMisses  atomic.Int64
	// settled is the part of the store that keeps the records of settled services.
	settled settledSource
	// rollouts is the part of the store that keeps a rollout order.
	rollouts rolloutSource
	// withheld is the part of the store that keeps withheld requests.
	withheld withheldSource
	// era is the era of the store; 0 for a store without eras.
	era atomic.Uint64
	// cuts is the number of further watches of back ends that are cut off.
	cuts atomic.Int64
}

// bubbleStart is the start time of the virtual clock.
var bubbleStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// position returns the current position.
func (s *source) position() catalog.Position {
	if s.changePeriod == 0 {
		return catalog.Position{Era: s.era.Load(), Revision: 1}
	}
	return catalog.Position{Era: s.era.Load(), Revision: max(1, s.firstRevision) + uint64(time.Since(bubbleStart)/s.changePeriod)}
}

// firstPosition returns the position of a store that has never changed.
func (s *source) firstPosition() catalog.Position {
	return catalog.Position{Era: s.era.Load(), Revision: 1}
}

var errUnavailable = errors.Wrap(context.DeadlineExceeded, "the store is unavailable")

func (s *source) Configurations() Objects[*catalog.Configuration] {
	return Objects[*catalog.Configuration]{List: s.listConfiguration, Watch: s.watchConfiguration}
}

func (s *source) BackEnds() Objects[catalog.Entry] {
	return Objects[catalog.Entry]{List: s.listBackEnds, Watch: s.watchBackEnds}
}

func (s *source) Evacuations() Objects[catalog.Evacuation] {
	return Objects[catalog.Evacuation]{List: s.listEvacuations, Watch: s.watchEvacuations}
}

func (s *source) Rollouts() Objects[catalog.Rollout] {
	return Objects[catalog.Rollout]{List: s.listRollouts, Watch: s.watchRollouts}
}

// currentConfiguration returns the configuration, and setConfiguration replaces it while the store is read.
func (s *source) currentConfiguration() *catalog.Configuration {
	s.configurationMutex.Lock()
	defer s.configurationMutex.Unlock()
	return s.configuration
}

func (s *source) setConfiguration(configuration *catalog.Configuration) {
	s.configurationMutex.Lock()
	defer s.configurationMutex.Unlock()
	s.configuration = configuration
}

func (s *source) listConfiguration(_ context.Context, stale bool) ([]*catalog.Configuration, catalog.Position, error) {
	s.configurationReads.Add(1)
	if stale {
		s.staleReads.Add(1)
	}
	if s.failing.Load() || s.unanswered.Add(-1) >= 0 {
		return nil, catalog.Position{}, errUnavailable
	}
	if current := s.currentConfiguration(); current != nil {
		return []*catalog.Configuration{current}, s.position(), nil
	}
	return []*catalog.Configuration{{Version: 1, StatedKeyPolicy: catalog.KeysNotRequired}}, s.firstPosition(), nil
}

func (s *source) watchConfiguration(ctx context.Context, after catalog.Position, wait time.Duration) ([]*catalog.Configuration, catalog.Position, error) {
	return nil, after, s.waitFor(ctx, wait)
}

func (s *source) listBackEnds(_ context.Context, stale bool) ([]catalog.Entry, catalog.Position, error) {
	s.reads.Add(1)
	if stale {
		s.staleReads.Add(1)
	}
	if s.failing.Load() {
		return nil, catalog.Position{}, errUnavailable
	}
	entries := make([]catalog.Entry, s.backEnds)
	for i := range entries {
		entries[i] = catalog.Entry{BackEnd: catalog.BackEnd{ID: fmt.Sprint(i), Service: "s"}, Revision: 1, Era: s.era.Load()}
	}
	return entries, s.firstPosition(), nil
}

func (s *source) watchBackEnds(ctx context.Context, after catalog.Position, wait time.Duration) ([]catalog.Entry, catalog.Position, error) {
	s.watches.Add(1)
	if s.cuts.Add(-1) >= 0 {
		return nil, catalog.Position{}, errors.New("cut")
	}
	if s.changePeriod > 0 {
		wait = s.changePeriod
	}
	err := s.waitFor(ctx, wait)
	if at := s.position(); at.Compare(after) > 0 {
		after = at
	}
	return nil, after, err
}

func (s *source) listEvacuations(context.Context, bool) ([]catalog.Evacuation, catalog.Position, error) {
	s.evacuationReads.Add(1)
	return nil, s.position(), nil
}

func (s *source) watchEvacuations(ctx context.Context, after catalog.Position, wait time.Duration) ([]catalog.Evacuation, catalog.Position, error) {
	if after.Revision < s.oldestRevision {
		s.historyMisses.Add(1)
		return nil, catalog.Position{}, ErrHistoryGone
	}
	var changes []catalog.Evacuation
	for _, each := range s.restored {
		if each.Revision > after.Revision {
			changes = append(changes, each)
		}
	}
	if len(changes) > 0 {
		return changes, s.position(), nil
	}
	return nil, after, s.waitFor(ctx, wait)
}

func (s *source) listRollouts(context.Context, bool) ([]catalog.Rollout, catalog.Position, error) {
	return s.rollouts.list(s.firstPosition())
}

func (s *source) watchRollouts(ctx context.Context, after catalog.Position, wait time.Duration) ([]catalog.Rollout, catalog.Position, error) {
	return nil, after, s.waitFor(ctx, wait)
}

func (s *source) WriteRollout(_ context.Context, record catalog.Rollout) (catalog.Rollout, error) {
	return s.rollouts.write(record)
}

func (s *source) waitFor(ctx context.Context, wait time.Duration) error {
	if s.failing.Load() {
		return errUnavailable
	}
	if s.silent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	sleep(ctx, wait)
	return ctx.Err()
}
