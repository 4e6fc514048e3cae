package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"

	"github.com/harriernotch/harriernotch/internal/catalog"
	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

// Callers leave after two seconds, four times the objective or eight times the pause objective.
func TestPatience(t *testing.T) {
	is := is.New(t)
	is.Equal(patience(&catalog.Route{Objective: 300 * time.Millisecond, PauseObjective: 48 * time.Millisecond}), 2*time.Second)
	is.Equal(patience(&catalog.Route{Objective: 1200 * time.Millisecond, PauseObjective: 48 * time.Millisecond}), 4800*time.Millisecond)
	is.Equal(patience(&catalog.Route{Objective: 300 * time.Millisecond, PauseObjective: 400 * time.Millisecond}), 3200*time.Millisecond)
}

// What the pace of an engine explains isn't a stall; a silence that it doesn't explain is noticed
// well before the caller leaves.
func TestSilenceLimit(t *testing.T) {
	usual := gaps{mean: 30 * time.Millisecond, longest: 300 * time.Millisecond}
	slow := gaps{mean: 180 * time.Millisecond, longest: 700 * time.Millisecond}
	const long = 4800 * time.Millisecond
	cases := map[string]struct {
		silence silence
		want    time.Duration
	}{
		"usual pace":             {silence{own: usual, engine: usual, lasting: time.Second, engineLasting: time.Second, patience: long}, time.Second},
		"slow stream":            {silence{own: slow, lasting: time.Second, engineLasting: time.Second, patience: long}, 2160 * time.Millisecond},
		"slow engine":            {silence{own: usual, engine: slow, lasting: time.Second, engineLasting: time.Second, patience: long}, 2160 * time.Millisecond},
		"others go on":           {silence{own: usual, engine: usual, lasting: time.Second, engineLasting: 20 * time.Millisecond, patience: long}, 2400 * time.Millisecond},
		"impatient caller":       {silence{own: slow, engine: slow, lasting: time.Second, engineLasting: time.Second, patience: 2 * time.Second}, time.Second},
		"this process runs late": {silence{own: usual, lasting: time.Second, engineLasting: time.Second, lag: 200 * time.Millisecond, patience: long}, 1200 * time.Millisecond},
		"this process hung":      {silence{own: usual, lasting: time.Second, engineLasting: time.Second, lag: 9 * time.Second, patience: long}, 3600 * time.Millisecond},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(each.silence.limit(), each.want) })
	}
}

// Guards against a limit that leaves no time for the continuation, or is shorter than minSilence.
func TestSilenceLimitIsWithinPatience(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, name))
		}
		s := silence{
			own: gaps{span("mean"), span("longest")}, engine: gaps{span("engine mean"), span("engine longest")},
			lasting: span("lasting"), engineLasting: span("engine lasting"), lag: span("lag"), patience: minPatience + span("patience"),
		}
		if limit := s.limit(); limit < minSilence || limit > s.patience*3/4 {
			t.Fatal(limit)
		}
	})
}

// A stream that may not be repeated and can't be continued is never abandoned for its silence.
func TestSilentStreamIsAbandonedOnlyIfItCanBeContinued(t *testing.T) {
	is := is.New(t)
	core := newBackupCore(4, 1)
	taken := func(now time.Time, x *Exchange) bool {
		decision, recheck := core.ExamineSilence(now, x)
		is.True(recheck > 0)
		return decision.Send != nil
	}
	x, decision := core.Begin(start, longRequest(singleStream(), "a"))
	target := core.memberAt(decision.Send.BackUpTo)
	core.Answered(start, x, -1)
	is.Equal(core.WatchStream(x), StreamWatch{Limit: minSilence, ByPace: true})
	is.True(!taken(start.Add(10*time.Second), x)) // no event yet, so nothing to continue after
	passEvents(core, start, x, 30)
	_, recheck := core.ExamineSilence(start, x)
	is.Equal(recheck, longestSilence(minPatience))
	target.backEnd.Leaving = true
	is.True(!taken(start.Add(10*time.Second), x))
	target.backEnd.Leaving = false
	budget := *core.budget("s")
	for core.budget("s").Spend() {
	}
	is.True(!taken(start.Add(10*time.Second), x))
	*core.budget("s") = budget
	is.True(!taken(start.Add(longestSilence(minPatience)-time.Millisecond), x)) // it may still go on
	is.True(taken(start.Add(longestSilence(minPatience)), x))
	is.True(!x.HasSilentAttempt()) // only one back end may work on the run

	x, _ = core.Begin(start, longRequest(resumableStream(3), "b"))
	is.Equal(core.WatchStream(x), StreamWatch{Limit: time.Second, ByPace: true})
	passEvents(core, start, x, 30)
	is.True(taken(start.Add(time.Second), x)) // can be resumed without a backup
	is.True(x.HasSilentAttempt())

	x, _ = core.Begin(start, request(resumableStream(3), "c"))
	is.Equal(core.WatchStream(x), StreamWatch{Limit: time.Second}) // a request without tokens is served as before
}

func (c *Core) memberAt(address string) *member {
	for _, m := range c.members {
		if m.backEnd.Address == address {
			return m
		}
	}
	return nil
}
