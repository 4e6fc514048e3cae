package soak

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// A sound back end may fall silent for a moment and then go on: it answers nothing and sends no events, while
// its connections stay open. This is no disturbance, so every promise holds meanwhile.

const (
	// shortestSilence and longestSilence bound how long a back end is silent.
	shortestSilence = 500 * time.Millisecond
	longestSilence  = 3 * time.Second
	// callerPatience is the gap in a stream after which its caller leaves: the longest of two seconds, four
	// times the route's objective and eight times its pause objective.
	callerPatience = max(2*time.Second, 4*routeObjective, 8*routePauseObjective)
	// silencePoll is how often a silent back end checks whether it may go on.
	silencePoll = 10 * time.Millisecond
)

// includesSilence returns whether back ends may fall silent.
func (o Options) includesSilence() bool { return o.isNamed(SilentBackEnd) || o.isNamed(SilentBackEnds) }

// patience returns the gap in a stream after which its caller leaves, or 0 if it waits for its whole time.
func (o Options) patience() time.Duration {
	if o.includesSilence() {
		return callerPatience
	}
	return 0
}

// patience makes a caller leave a stream after a gap.
type patience struct {
	gap     time.Duration
	timer   *time.Timer
	expired atomic.Bool
}

// newPatience starts to watch a stream, which leave ends after the gap; a gap of 0 isn't watched.
func newPatience(gap time.Duration, stream bool, leave func()) *patience {
	watch := &patience{gap: gap}
	if gap > 0 && stream {
		watch.timer = time.AfterFunc(gap, func() {
			watch.expired.Store(true)
			leave()
		})
	}
	return watch
}

func (p *patience) renew() {
	if p.timer != nil && p.timer.Stop() {
		p.timer.Reset(p.gap)
	}
}

func (p *patience) stop() {
	if p.timer != nil {
		p.timer.Stop()
	}
}

// left returns whether the caller left.
func (p *patience) left() bool { return p.expired.Load() }

// silenceFor scales the duration of a fault to that of a silence.
func silenceFor(fault time.Duration) time.Duration {
	share := float64(fault-shortestFault) / float64(longestFault-shortestFault)
	return shortestSilence + time.Duration(share*float64(longestSilence-shortestSilence))
}

// fallSilent silences one back end, or all but one of them if several is true.
func (f *fleet) fallSilent(ctx context.Context, fault Fault, several bool) {
	first, count := fault.Target%len(f.backEnds), 1
	if several {
		count = max(1, len(f.backEnds)-1)
	}
	change := func(by int) {
		for i := range count {
			f.backEnds[(first+i)%len(f.backEnds)].changeFaults(func(b *backEnd) *int { return &b.silent }, by)
		}
	}
	end := f.check.beginSilence()
	defer end()
	change(1)
	sleep(ctx, silenceFor(fault.For))
	change(-1)
}

// awaitEndOfSilence returns once the back end isn't silent, or the context ends.
func (b *backEnd) awaitEndOfSilence(ctx context.Context) {
	b.await(ctx, func() bool { return b.silent == 0 })
}

// await returns once the condition, which is evaluated with the mutex held, is met or the context ends.
func (b *backEnd) await(ctx context.Context, condition func() bool) {
	met := func() bool {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		return condition()
	}
	for ctx.Err() == nil && !met() {
		sleep(ctx, silencePoll)
	}
}

// beginSilence records that back ends are silent until the returned function is called.
func (c *checker) beginSilence() (end func()) {
	added := &disturbance{from: time.Now()}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.silences = append(c.silences, added)
	return func() { c.endDisturbance(added) }
}

// silentBetween returns whether a back end was silent in the time.
func (c *checker) silentBetween(from, to time.Time) bool {
	for _, each := range c.silences {
		if each.overlaps(from, to) {
			return true
		}
	}
	return false
}

// endedSooner returns whether a request that a silence met ended before its time without a whole answer of
// a back end and without a refusal, although its caller hadn't left.
func (c *checker) endedSooner(s sentRequest, r reply) bool {
	failed := r.status == 0 || !r.whole || r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout
	return failed && !r.left && r.at.Sub(s.at) < s.timeout() && c.silentBetween(s.at, r.at)
}
