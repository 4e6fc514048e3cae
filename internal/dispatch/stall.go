package dispatch

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

const (
	// silenceFactor times the route's pause objective, but at least minSilence, is the silence
	// after which a stream that can be resumed elsewhere is examined, if nothing is known of the
	// pace of its engine.
	silenceFactor = 4
	minSilence    = time.Second
	// gapFactor and longestGapFactor are how many times the mean gap between events, and the longest
	// gap so far, a silence may last before the pace of the engine no longer explains it. A step
	// takes up to ten times as long while prompts are prefilled beside it, so gapFactor is above ten.
	gapFactor        = 12
	longestGapFactor = 2
	// Callers leave after a gap of minPatience, patienceObjectives times the route's objective or
	// patiencePauses times its pause objective, whichever is longest.
	minPatience        = 2 * time.Second
	patienceObjectives = 4
	patiencePauses     = 8
	// SilenceRecheck is the time until a silent stream or attempt that can't be taken up elsewhere now is examined
	// again.
	SilenceRecheck = 200 * time.Millisecond
)

// patience returns the gap between two events after which callers leave.
func patience(route *catalog.Route) time.Duration {
	return max(minPatience, patienceObjectives*route.Objective, patiencePauses*route.PauseObjective)
}

// fixedSilenceLimit returns the silence limit if nothing is known of the pace of the engine.
func fixedSilenceLimit(route *catalog.Route) time.Duration {
	return max(minSilence, silenceFactor*route.PauseObjective)
}

// gaps summarizes the times between events.
type gaps struct {
	mean, longest time.Duration
}

const (
	// gapWeight is the weight of the newest gap in the mean gap. longestGapDecay is the factor by
	// which the longest gap shrinks with each event, so that it covers about the last 50 events.
	gapWeight       = 0.1
	longestGapDecay = 0.98
)

func (g *gaps) note(gap time.Duration) {
	if g.mean == 0 {
		g.mean = gap
	}
	g.mean += time.Duration(gapWeight * float64(gap-g.mean))
	g.longest = max(gap, time.Duration(longestGapDecay*float64(g.longest)))
}

// silence is what is known of a stream that is silent.
type silence struct {
	// lasting is the time since its last event, and own the gaps between its events so far.
	lasting time.Duration
	own     gaps
	// engine are the gaps of all streams of this gateway at the same engine, and engineLasting the
	// time since the last event of any of them.
	engine        gaps
	engineLasting time.Duration
	// lag is how late this process runs its work, and patience the gap after which callers leave.
	lag, patience time.Duration
}

// limit returns how long the silence may last before the stream counts as stalled. Half of the
// caller's patience is the most, so that enough of it is left for the continuation. If other streams
// of the engine go on, the engine works and has probably preempted this one: such a stream goes on
// by itself, so the full time is waited for. The lag of this process is added, because it may not
// have read events that have arrived; a quarter of the patience is left in any case.
func (s silence) limit() time.Duration {
	most := s.patience / 2
	limit := max(minSilence, gapFactor*max(s.own.mean, s.engine.mean), longestGapFactor*max(s.own.longest, s.engine.longest))
	if othersGoOn(s.lasting, s.engineLasting) {
		limit = most
	}
	return min(min(limit, most)+s.lag, longestSilence(s.patience))
}

// longestSilence returns the silence after which a quarter of the caller's patience is left, which is enough
// for a stream to be taken up elsewhere.
func longestSilence(patience time.Duration) time.Duration { return patience * 3 / 4 }

// othersGoOn reports whether other streams of an engine go on, by how long one stream and all of them have
// been silent.
func othersGoOn(lasting, engineLasting time.Duration) bool { return engineLasting < lasting/2 }

// StreamWatch says how the silence of a stream is watched.
type StreamWatch struct {
	// Limit is the silence after which the stream is examined by Core.ExamineSilence; 0 if silence has
	// no consequence.
	Limit time.Duration
	// ByPace is true if the pace of the engine decides how long the silence may last, and the events of
	// the stream are reported with Core.EventPassed. Otherwise Limit alone decides, and only the first
	// event is reported.
	ByPace bool
}

// WatchStream returns how the stream of the current attempt is watched. Silence has a consequence
// only if the stream can be continued elsewhere. Only requests that state their tokens are watched by
// pace, like everything else that concerns backups.
func (c *Core) WatchStream(x *Exchange) StreamWatch {
	route := x.request.Route
	watch := StreamWatch{ByPace: c.backsUp(c.services[x.service]) && x.request.PromptTokens > 0}
	if c.canBeResumed(x) {
		watch.Limit = fixedSilenceLimit(route)
	}
	if watch.ByPace && x.backup != nil {
		watch.Limit = minSilence
	}
	x.watch = watch
	return watch
}

// canBeResumed reports whether the route allows to resume the stream by another run.
func (c *Core) canBeResumed(x *Exchange) bool {
	return x.request.Route.Resumable && x.attempts < x.request.Route.MaxAttempts
}

// EventPassed records an event of the current attempt that the caller has been sent, and for how long
// the gateway had waited for it. numbered is true if the event has a number, by which a continued
// stream is checked.
func (c *Core) EventPassed(now time.Time, x *Exchange, waited time.Duration, numbered bool) {
	if x.events == 0 {
		c.noteOrigin(now, x)
	}
	c.AnswerBegan(now, x)
	x.events++
	if numbered {
		x.numbered++
	}
	if x.attemptEvents++; x.attemptEvents > 1 {
		// The wait for the first event of an attempt isn't a gap: the prompt is prefilled.
		x.gaps.note(waited)
		if x.current != nil {
			x.current.gaps.note(waited)
		}
	}
	x.lastEventAt = now
	if x.current != nil {
		x.current.lastEventAt = now
	}
}

// eventsNumbered reports whether events have been passed on and all of them have a number.
func (x *Exchange) eventsNumbered() bool { return x.events > 0 && x.numbered == x.events }
