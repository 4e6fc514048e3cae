package follower

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Pace is asked before each page of a list after the first. It may wait; an error ends the
// reading.
type Pace func(ctx context.Context) error

// errToldByPeers ends the reading of a list that peers have told meanwhile.
var errToldByPeers = errors.New("peers have told the list")

const (
	// pagesAtOnce is how many pages a gateway that starts reads before it waits for its
	// peers to tell the list: a few pages take less time than hearing of a peer.
	pagesAtOnce = 4
	// meetingTime is how long it waits to hear of peers, and of who reads the store.
	meetingTime = 400 * time.Millisecond
	// tellingTime is how long a gateway that others read the store for waits for them to
	// tell the list, before it reads on. Without the wait 299 gateways that start together
	// read 60 pages each, all at the same time, and the list that any of them has first is
	// of use to nobody.
	tellingTime = 2 * time.Second
	// lookPeriod is how often it looks whether it is one of those that read.
	lookPeriod = 50 * time.Millisecond
)

// pace returns the pace of one reading of the list of back ends: that of a gateway which has
// no list yet leaves the reading to others for a while.
func (f *Follower) pace() Pace {
	if listed, _ := f.config.State.Listed(); listed || !f.config.Peers {
		return func(context.Context) error { return nil }
	}
	startedAt := time.Now()
	pages := 1
	return func(ctx context.Context) error {
		pages++
		if pages <= pagesAtOnce {
			return nil
		}
		return f.awaitList(ctx, startedAt)
	}
}

// awaitList returns errToldByPeers once peers have told the list, and nil when this gateway
// should read it.
func (f *Follower) awaitList(ctx context.Context, startedAt time.Time) error {
	for ctx.Err() == nil {
		if listed, _ := f.config.State.Listed(); listed {
			return errToldByPeers
		}
		if !f.mayBeTold(time.Since(startedAt)) {
			return nil
		}
		sleep(ctx, lookPeriod)
	}
	return ctx.Err()
}

// mayBeTold tells whether to wait for peers so long after the reading began.
func (f *Follower) mayBeTold(since time.Duration) bool {
	return since < meetingTime || since < tellingTime && !f.isReader()
}
