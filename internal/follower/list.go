package follower

import (
	"context"
	"sync"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/clock"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// list is one of the store's lists that are followed.
type list struct {
	name string
	// reached is how far it is known.
	reached *position
	// firstMayBeOld lets a gateway that has just started read what may be old.
	firstMayBeOld bool
	// isLong is set for the list that is read less often the longer it is.
	isLong bool
	// read makes a plain call and returns the revision that it saw.
	read func(ctx context.Context, stale bool) (uint64, error)
	// watch waits for changes after a revision and returns the one to go on from.
	watch func(ctx context.Context, after uint64) (uint64, error)
}

// position is a revision of the store up to which all changes of a list are known.
type position struct {
	clock *clock.Clock

	mutex    sync.Mutex
	revision uint64
	at       time.Time
}

func (f *Follower) newPosition() *position { return &position{clock: f.config.State.Clock()} }

// note takes the revision that a fresh read or a watch has come to.
func (p *position) note(revision uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if revision >= p.revision {
		p.revision, p.at = revision, p.clock.Now()
	}
}

// forget drops the revision, whose history the store has dropped.
func (p *position) forget() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.at = time.Time{}
}

// watchable returns the revision if a watch may begin there: the store drops its history
// after a while, and a watch from before would cost a call for nothing.
func (p *position) watchable() (revision uint64, ok bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.revision, p.clock.Since(p.at) < watchableAge
}

func (f *Follower) readConfiguration(ctx context.Context, stale bool) (uint64, error) {
	configuration, revision, err := f.config.Source.Configuration(ctx, stale)
	if err == nil && configuration != nil {
		f.config.State.OfferConfiguration(configuration, gateway.SourceStore)
	}
	return revision, err
}

func (f *Follower) watchConfiguration(ctx context.Context, after uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTime+watchGrace)
	defer cancel()
	configuration, at, err := f.config.Source.AwaitConfiguration(ctx, after, watchTime)
	if err == nil && configuration != nil {
		f.config.State.OfferConfiguration(configuration, gateway.SourceStore)
	}
	return at, err
}

// listOf returns a list of which the state takes whole lists and changes.
func listOf[T any](
	name string,
	reached *position,
	read func(ctx context.Context, stale bool) ([]T, uint64, error),
	await func(ctx context.Context, after uint64, wait time.Duration) ([]T, uint64, error),
	takeList func(all []T, revision uint64),
	takeChanges func(changes []T),
) list {
	return list{
		name:    name,
		reached: reached,
		read: func(ctx context.Context, stale bool) (uint64, error) {
			all, revision, err := read(ctx, stale)
			if err == nil {
				takeList(all, revision)
			}
			return revision, err
		},
		watch: func(ctx context.Context, after uint64) (uint64, error) {
			ctx, cancel := context.WithTimeout(ctx, watchTime+watchGrace)
			defer cancel()
			changes, at, err := await(ctx, after, watchTime)
			if err == nil {
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
	followed := listOf("back_ends", f.newPosition(), f.config.Source.BackEnds, f.config.Source.AwaitBackEnds,
		func(all []catalog.Entry, revision uint64) {
			f.entries.Store(int64(len(all)))
			state.OfferList(all, revision, gateway.SourceStore)
		},
		func(changes []catalog.Entry) { state.OfferEntries(changes, gateway.SourceStore) },
	)
	followed.firstMayBeOld, followed.isLong = true, true
	return followed
}

// evacuations is the list of orders on zones.
func (f *Follower) evacuations() list {
	state := f.config.State
	return listOf("evacuations", f.newPosition(), f.config.Source.Evacuations, f.config.Source.AwaitEvacuations,
		func(all []catalog.Evacuation, revision uint64) {
			state.OfferEvacuationList(all, revision, gateway.SourceStore)
		},
		func(changes []catalog.Evacuation) { state.OfferEvacuations(changes, gateway.SourceStore) },
	)
}
