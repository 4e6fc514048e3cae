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
	return listOf("configuration", f.newProgress(), f.config.Source.Configurations(), merging[*catalog.Configuration]{
		list:    func(all []*catalog.Configuration, _ catalog.Position) { adopt(all) },
		changes: adopt,
		adds:    func([]*catalog.Configuration) bool { return false }, // an older version is never adopted
	})
}

// merging is how objects of one kind are merged into the state.
type merging[T any] struct {
	// list merges a complete list, and changes merges changes.
	list    func(all []T, at catalog.Position)
	changes func(changes []T)
	// adds reports whether a list has objects that are new although all were known.
	adds func(all []T) bool
}

// newsTime is the time within which peers tell of a new object.
const newsTime = time.Second

// listOf returns a list of the objects.
func listOf[T any](name string, progress *listProgress, objects Objects[T], into merging[T]) list {
	return list{
		name:     name,
		progress: progress,
		read: func(ctx context.Context, stale bool) (catalog.Position, error) {
			before := progress.state.LatestList()
			all, at, err := objects.List(ctx, stale)
			if err == nil && stale && into.adds(all) {
				all, at, stale, err = confirmList(ctx, objects, into, all, at)
			}
			if err != nil {
				return at, err
			}
			progress.state.ObserveEra(at.Era)
			if !stale {
				progress.state.ObserveFreshList(before, at)
			}
			into.list(all, at)
			return at, nil
		},
		watch: func(ctx context.Context, after catalog.Position) (catalog.Position, error) {
			ctx, cancel := context.WithTimeout(asWatch(ctx), watchWait+watchGrace)
			defer cancel()
			changes, at, err := objects.Watch(ctx, after, watchWait)
			if err == nil {
				progress.state.ObserveEra(at.Era)
				into.changes(changes)
			}
			return at, err
		},
	}
}

// confirmList replaces a stale list that has objects which are new to this gateway. It doesn't show whether they still
// exist: they may have been added and removed since, without this gateway having heard of it. Peers tell of an object
// that exists; if they don't, the list is read fresh.
func confirmList[T any](ctx context.Context, objects Objects[T], into merging[T], all []T, at catalog.Position) ([]T, catalog.Position, bool, error) {
	sleep(ctx, newsTime)
	if !into.adds(all) {
		return all, at, true, nil
	}
	all, at, err := objects.List(ctx, false)
	return all, at, false, err
}

// backEnds returns the list of back ends. Reading it takes many calls, and all gateways of a fleet
// that restarts read it at the same time, so the first read may be stale. Two things make an entry that is seconds old
// safe: every request names the ID of the back end that it is meant for, so that another one at the address refuses it,
// and peers compare their lists with this gateway's and report the back ends that have been removed since. The
// configuration and the evacuated zones are read fresh.
func (f *Follower) backEnds() list {
	followed := listOf("back_ends", f.newProgress(), f.config.Source.BackEnds(), f.mergingBackEnds())
	followed.firstMayBeStale, followed.isLong = true, true
	return followed
}

// mergingBackEnds returns how back ends are merged.
func (f *Follower) mergingBackEnds() merging[catalog.Entry] {
	state := f.config.State
	return merging[catalog.Entry]{
		list: func(all []catalog.Entry, at catalog.Position) {
			f.entryCount.Store(int64(len(all)))
			state.OfferList(all, at, gateway.SourceStore)
		},
		changes: func(changes []catalog.Entry) { state.OfferEntries(changes, gateway.SourceStore) },
		adds:    state.AddsBackEnds,
	}
}

// evacuations returns the list of evacuation orders.
func (f *Follower) evacuations() list {
	state := f.config.State
	return listOf("evacuations", f.newProgress(), f.config.Source.Evacuations(), merging[catalog.Evacuation]{
		list: func(all []catalog.Evacuation, at catalog.Position) {
			state.OfferEvacuationList(all, at, gateway.SourceStore)
		},
		changes: func(changes []catalog.Evacuation) { state.OfferEvacuations(changes, gateway.SourceStore) },
		adds:    state.AddsEvacuations,
	})
}

// rollouts returns the list of orders to move services to other versions.
func (f *Follower) rollouts() list {
	state := f.config.State
	return listOf("rollouts", f.newProgress(), f.config.Source.Rollouts(), merging[catalog.Rollout]{
		list:    func(all []catalog.Rollout, at catalog.Position) { state.OfferRolloutList(all, at, gateway.SourceStore) },
		changes: func(changes []catalog.Rollout) { state.OfferRollouts(changes, gateway.SourceStore) },
		adds:    state.AddsRollouts,
	})
}
