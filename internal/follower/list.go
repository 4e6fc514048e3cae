package follower

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// list is one of the store's lists that are followed.
type list struct {
	name string
	// reached is how far it is known.
	progress *listProgress
	// firstMayBeOld lets a gateway that has just started read what may be old.
	firstMayBeStale bool
	// isLong is set for the list that is read less often the longer it is.
	isLong bool
	// read makes a plain call and returns the position that it saw.
	read func(ctx context.Context, stale bool) (catalog.Position, error)
	// watch waits for changes after a position and returns the one to go on from.
	watch func(ctx context.Context, after catalog.Position) (catalog.Position, error)
}

// reached is the position in the store's history up to which all changes of a list are known.
type listProgress struct {
	state *gateway.State

	mutex    sync.Mutex
	position catalog.Position
	at       time.Time
}

func (f *Follower) newProgress() *listProgress { return &listProgress{state: f.config.State} }

// note takes the position that a fresh read or a watch has come to. An answer of an era that
// has ended may come late, and says nothing of this one's changes.
func (r *listProgress) advance(position catalog.Position) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if position.Compare(r.position) >= 0 && position.Era >= r.state.Era() {
		r.position, r.at = position, r.state.Clock().Now()
	}
}

// forget drops the position, whose history the store has dropped.
func (r *listProgress) reset() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.position, r.at = catalog.Position{}, time.Time{}
}

// watchable returns the position if a watch may begin there: the store drops its history
// after a while, and a watch from before would cost a call for nothing.
func (r *listProgress) watchStart() (position catalog.Position, ok bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.position, !r.at.IsZero() && r.state.Clock().Since(r.at) < maxPositionAge
}

// configurations is the list with the operators' document. Its version orders it, whatever the
// era: a store that was restored may hold an older one until the operators write theirs again.
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

// listOf returns a list of which the state takes whole lists and changes.
func listOf[T any](
	name string,
	progress *listProgress, objects Objects[T],
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

// backEnds is the list of back ends. It is many calls long, and a fleet that restarts reads
// it all at once: the first read may be old. An entry that is seconds old is safe, since
// every send names the incarnation that it is meant for, and peers and the next read tell
// what is newer. What callers may do and which zones are evacuated is read fresh.
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

// evacuations is the list of orders on zones.
func (f *Follower) evacuations() list {
	state := f.config.State
	return listOf("evacuations", f.newProgress(), f.config.Source.Evacuations(),
		func(all []catalog.Evacuation, at catalog.Position) {
			state.OfferEvacuationList(all, at, gateway.SourceStore)
		},
		func(changes []catalog.Evacuation) { state.OfferEvacuations(changes, gateway.SourceStore) },
	)
}

// rollouts is the list of orders to move services to other versions.
func (f *Follower) rollouts() list {
	state := f.config.State
	return listOf("rollouts", f.newProgress(), f.config.Source.Rollouts(),
		func(all []catalog.Rollout, at catalog.Position) {
			state.OfferRolloutList(all, at, gateway.SourceStore)
		},
		func(changes []catalog.Rollout) { state.OfferRollouts(changes, gateway.SourceStore) },
	)
}
