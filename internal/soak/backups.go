package soak

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// With Options.Backups, back ends are engines that back up running streams to each other and
// continue them, and gateways order a backup of every stream that may not be repeated.

const (
	// promptTokens and outputTokens are the sizes that callers state for streams. They are large
	// enough for a backup.
	promptTokens = 9000
	outputTokens = 800
	// copyLifetime is how long an engine keeps a copy that is no longer written to.
	copyLifetime = 5 * time.Second
	// handoverTime is the time after which the first back end must have stopped working on a run
	// that another one continues.
	handoverTime = 400 * time.Millisecond
	// longEventPause is the time between two events. Most of the streams that are continued then last
	// longer than handoverTime, and a first back end that goes on is noticed.
	longEventPause = 80 * time.Millisecond
)

// eventPause returns the time between two events of a stream.
func (f *fleet) eventPause() time.Duration {
	if f.options.Backups {
		return longEventPause
	}
	return eventPause
}

// engineService returns the service with the facts of engines.
func engineService(base catalog.Service) catalog.Service {
	base.CachesPrefixes, base.CacheTokens, base.TokenBytes, base.EventTokens = true, 400_000, 18_432, 7
	base.Backups, base.Moves, base.CopyLifetime = true, true, copyLifetime
	return base
}

// runCopy identifies the copy of a run's memory: the target's address and incarnation, and the run as
// the gateway names it in a continuation.
type runCopy struct {
	address     string
	incarnation int
	run         string
}

// copies holds the copies at all back ends, with the time of the last piece.
type copies struct {
	mutex sync.Mutex
	held  map[runCopy]time.Time
}

// backEndAt returns the back end with the address, or nil.
func (f *fleet) backEndAt(address string) *backEnd {
	for _, b := range f.everyBackEnd() {
		if b.address == address {
			return b
		}
	}
	return nil
}

// writeCopy records a piece of the run's memory at the back end. It returns false if the back end isn't
// up, so that the piece is lost.
func (f *fleet) writeCopy(b *backEnd, run string) bool {
	if b.isStarting() {
		return false
	}
	f.copies.mutex.Lock()
	defer f.copies.mutex.Unlock()
	f.copies.held[runCopy{b.address, b.currentIncarnation(), run}] = time.Now()
	return true
}

// takeCopy returns whether the back end has the copy of the run, and removes it.
func (b *backEnd) takeCopy(run string) bool {
	key := runCopy{b.address, b.currentIncarnation(), run}
	c := &b.fleet.copies
	c.mutex.Lock()
	defer c.mutex.Unlock()
	at, held := c.held[key]
	delete(c.held, key)
	return held && time.Since(at) <= copyLifetime
}

// refuseWithoutCopy refuses a continuation for which the back end has no copy, and returns whether it
// did.
func (b *backEnd) refuseWithoutCopy(w http.ResponseWriter, forwarded wire.Forwarded) bool {
	if forwarded.ContinueFrom == "" || b.takeCopy(forwarded.ContinueFrom) {
		return false
	}
	b.fleet.environment.Protocol().WriteNotRun(w.Header(), forwarded.Request)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// streamWork is the time in which a back end worked on a stream, and what came of it.
type streamWork struct {
	backEnd string
	// continued is true if the back end continued the run of another one.
	continued bool
	// backUpTo is the name of the back end that was to get a copy of the run, or "". The back end that
	// works on the stream sets copied once a piece of the copy has arrived there.
	backUpTo string
	copied   bool
	// events is the number of events sent, and whole is set once all were. The back end sets them.
	events   int
	whole    bool
	from, to time.Time
	ended    bool
}

// awaitEndOfStall returns once the back end's streams are neither stalled nor silent, or the stream's
// connection ends.
func (b *backEnd) awaitEndOfStall(ctx context.Context) {
	b.await(ctx, func() bool { return b.stall == 0 && b.silent == 0 })
}

// backedUp holds the observations of streams with backups.
type backedUp struct {
	// work is by request, in the order in which it began.
	work map[string][]*streamWork
	// crashes holds the times at which back ends crashed, by name.
	crashes map[string][]time.Time
}

// workBegan and workEnded record that a back end begins and stops working on a stream.
func (c *checker) workBegan(request string, task *streamWork) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	task.from = time.Now()
	c.backedUp.work[request] = append(c.backedUp.work[request], task)
}

func (c *checker) workEnded(task *streamWork) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	task.to, task.ended = time.Now(), true
}

// backEndCrashing records that a back end is about to end with all its connections.
func (c *checker) backEndCrashing(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.backedUp.crashes[name] = append(c.backedUp.crashes[name], time.Now())
}

// interruptedByCrash returns whether a crash of the back end interrupted its work on a stream.
func (c *checker) interruptedByCrash(task *streamWork) bool {
	return task.ended && task.events > 0 && !task.whole && slices.ContainsFunc(c.backedUp.crashes[nameOf(task.backEnd)], func(at time.Time) bool {
		return !at.Before(task.from) && !at.After(task.to)
	})
}

// lostCopy returns whether the copy of a run that a crash interrupted was lost: no piece of it arrived,
// because its back end wasn't up, or its back end crashed during the run or at the moment of its end.
func (c *checker) lostCopy(task *streamWork) bool {
	return !task.copied || slices.ContainsFunc(c.backedUp.crashes[task.backUpTo], func(at time.Time) bool {
		return !at.Before(task.from) && !at.After(task.to)
	})
}

// judgeHandovers checks that no two back ends worked on a run that was continued. A back end whose
// link was blocked or silenced can't be told to stop.
func (c *checker) judgeHandovers() {
	for _, request := range c.order {
		list := c.backedUp.work[request]
		for i, each := range list {
			if !each.continued || i == 0 {
				continue
			}
			first := list[i-1]
			late := !first.ended || first.to.After(each.from.Add(handoverTime))
			if late && !c.disturbed(first.from.Add(-quietTime), each.from, linkPlace(nameOf(first.backEnd)), silenced) {
				c.failLocked(PromiseOnce, "%s still ran at %s %v after %s had continued it", request, first.backEnd, first.to.Sub(each.from).Round(time.Millisecond), each.backEnd)
			}
		}
	}
}

// countSurvivors counts the streams that may not be repeated, had a backup and were interrupted by a
// crash, those of them whose copy was lost too, and those that were completed.
func (c *checker) countSurvivors(result *Result) {
	for request, list := range c.backedUp.work {
		interrupted := slices.DeleteFunc(slices.Clone(list), func(each *streamWork) bool { return each.backUpTo == "" || !c.interruptedByCrash(each) })
		if len(interrupted) == 0 || c.sentRequests[request].prefix != prefixStream {
			continue
		}
		result.Interrupted++
		if r := c.replies[request]; r.status == http.StatusOK && r.whole {
			result.Survived++
		} else if c.lostCopy(interrupted[len(interrupted)-1]) {
			result.LostWithCopy++
		}
	}
}
