package follower

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// list is a list of the store that is followed.
type list struct {
	name string
	// progress is the position up to which the list is known.
	progress *listProgress
	// firstMayBeStale permits a stale first read after the start of the gateway.
	firstMayBeStale bool
	// isLong is set for a list that is read less often the longer it is.
	isLong bool
	// read reads the list and returns its position.
	read func(ctx context.Context, stale bool) (catalog.Position, error)
	// watch waits for changes after a position and returns the position to continue from.
	watch func(ctx context.Context, after catalog.Position) (catalog.Position, error)
}

// listProgress is the position in the store's history up to which all changes of a list are known,
// and the time at which that was last confirmed.
type listProgress struct {
	state *gateway.State

	mutex    sync.Mutex
	position catalog.Position
	at       time.Time
}

func (f *Follower) newProgress() *listProgress { return &listProgress{state: f.config.State} }

// advance records the position of a fresh read or a watch. A late answer of an era that has ended
// is ignored, because it doesn't cover the changes of the current era.
func (r *listProgress) advance(position catalog.Position) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if position.Compare(r.position) >= 0 && position.Era >= r.state.Era() {
		r.position, r.at = position, r.state.Clock().Now()
	}
}

// reset drops the position, because no watch can continue from it.
func (r *listProgress) reset() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.position, r.at = catalog.Position{}, time.Time{}
}

// watchStart returns the position if a watch may start there. The store drops old history, and a
// watch from a position in it would be a wasted call.
func (r *listProgress) watchStart() (position catalog.Position, ok bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.position, !r.at.IsZero() && r.state.Clock().Since(r.at) < maxPositionAge
}

// configurations returns the list with the operators' configuration. Configurations are ordered by
// version, regardless of the era: a restored store may have an older one until the operators write
// theirs again.
func (f *Follower) configurations() list {
	adopt := func(all []*catalog.Configuration) {
		for _, each := range slices.Backward(all) {
			if each != nil {
				f.config.State.OfferConfiguration(each, gateway.SourceStore)
				return
			}
		}
	}
	return listOf("configuration", f.newProgress(), f.config.Source.Configurations(),
		func(all []*catalog.Configuration, _ catalog.Position) { adopt(all) }, adopt)
}

// listOf returns a list of the objects. takeList merges a complete list into the state, and
// takeChanges merges changes.
func listOf[T any](
	name string,
	progress *listProgress,
	objects Objects[T],
	takeList func(all []T, at catalog.Position),
	takeChanges func(changes []T),
) list {
	return list{
		name:     name,
		progress: progress,
		read: func(ctx context.Context, stale bool) (catalog.Position, error) {
			all, at, err := objects.List(ctx, stale)
			if err == nil {
				progress.state.ObserveEra(at.Era)
				takeList(all, at)
			}
			return at, err
		},
		watch: func(ctx context.Context, after catalog.Position) (catalog.Position, error) {
			ctx, cancel := context.WithTimeout(asWatch(ctx), watchWait+watchGrace)
			defer cancel()
			changes, at, err := objects.Watch(ctx, after, watchWait)
			if err == nil {
				progress.state.ObserveEra(at.Era)
				takeChanges(changes)
			}
			return at, err
		},
	}
}

// backEnds returns the list of back ends. Reading it takes many calls, and all gateways of a fleet
// that restarts read it at the same time, so the first read may be stale. An entry that is seconds
// old is safe: every request that is sent names the ID of the back end that it is meant for, any
// other back end at the address refuses it, and peers and the next read deliver newer entries. The
// configuration and the evacuated zones are read fresh.
func (f *Follower) backEnds() list {
	state := f.config.State
	followed := listOf("back_ends", f.newProgress(), f.config.Source.BackEnds(),
		func(all []catalog.Entry, at catalog.Position) {
			f.entryCount.Store(int64(len(all)))
			state.OfferList(all, at, gateway.SourceStore)
		},
		func(changes []catalog.Entry) { state.OfferEntries(changes, gateway.SourceStore) },
	)
	followed.firstMayBeStale, followed.isLong = true, true
	return followed
}

// evacuations returns the list of evacuation orders.
func (f *Follower) evacuations() list {
	state := f.config.State
	return listOf("evacuations", f.newProgress(), f.config.Source.Evacuations(),
		func(all []catalog.Evacuation, at catalog.Position) {
			state.OfferEvacuationList(all, at, gateway.SourceStore)
		},
		func(changes []catalog.Evacuation) { state.OfferEvacuations(changes, gateway.SourceStore) },
	)
}

// rollouts returns the list of orders to move services to other versions.
func (f *Follower) rollouts() list {
	state := f.config.State
	return listOf("rollouts", f.newProgress(), f.config.Source.Rollouts(),
		func(all []catalog.Rollout, at catalog.Position) {
			state.OfferRolloutList(all, at, gateway.SourceStore)
		},
		func(changes []catalog.Rollout) { state.OfferRollouts(changes, gateway.SourceStore) },
	)
}
