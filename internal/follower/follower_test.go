package follower

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/bubble"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// follow runs a follower of the source for a while in a fleet of so many
// gateways.
func follow(t *testing.T, s *source, gateways int, reader bool, test func(state *gateway.State)) {
	bubble.Test(t, func(t *testing.T) {
		log := eventlog.New(io.Discard, logrus.InfoLevel, nil)
		state := gateway.NewState(dispatch.New(dispatch.DefaultConfig()), log)
		state.SetFleet(placeOf(gateways, reader), dispatch.Fleet{})
		f := Start(Config{Source: s, State: state, ReadPeriod: 800 * time.Millisecond, Evacuations: s.evacuations, Log: log, Metrics: tally.NoopScope})
		test(state)
		f.Close()
		log.Close()
	})
}

// placeOf returns that of the first reader, or of a gateway that learns from others.
func placeOf(gateways int, reader bool) gateway.Place {
	place := gateway.Place{Gateways: gateways}
	if reader {
		place.Duty = gateway.Reader
	}
	return place
}

func TestReadsDoNotGrowWithFleetNorList(t *testing.T) {
	is := is.New(t)
	count := func(backEnds, gateways int, reader bool) int64 {
		s := &source{backEnds: backEnds}
		follow(t, s, gateways, reader, func(*gateway.State) { time.Sleep(10 * time.Minute) })
		return s.reads.Load()
	}
	alone := count(20, 1, true)
	is.True(alone > 600)                    // 800 ms each, and some for the watch
	is.True(count(20, 4, true) < alone*2/5) // three share the reads
	is.True(count(20, 340, false) <= 30)
	is.True(count(3000, 300, true) < alone/8)
}

// Two plain reads a period show others that the store answers; a third list takes its turn
// among them.
func TestThirdListAddsNoReads(t *testing.T) {
	is := is.New(t)
	count := func(evacuations bool) (all, third int64) {
		s := &source{backEnds: 3, evacuations: evacuations}
		follow(t, s, 4, true, func(*gateway.State) { time.Sleep(10 * time.Minute) })
		third = s.evacuationReads.Load()
		return s.reads.Load() + s.configurationReads.Load() + third, third
	}
	two, _ := count(false)
	three, third := count(true)
	is.True(float64(three) < 1.1*float64(two)) // the watch on it reads now and then
	is.True(third > three/4)
}

// A list of thousands of back ends is read seldom, and doesn't keep the others waiting.
func TestLongListDoesNotDelayTheOthers(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3000}
	follow(t, s, 300, true, func(*gateway.State) { time.Sleep(10 * time.Minute) })
	is.True(s.configurationReads.Load() > 400) // every 1.2 s
	is.True(s.reads.Load() < 60)
}

// A gateway that learns from its peers reads what may be old, once it is ready; a
// reader does so once, for the list of back ends at its start.
func TestLearnersReadStaleAndReadersFresh(t *testing.T) {
	is := is.New(t)
	count := func(reader bool) (stale, all int64) {
		s := &source{backEnds: 3}
		follow(t, s, 40, reader, func(*gateway.State) { time.Sleep(10 * time.Minute) })
		return s.staleReads.Load(), s.reads.Load() + s.configurationReads.Load()
	}
	stale, all := count(true)
	is.Equal(stale, int64(1)) // the first list of back ends
	is.True(all > 100)
	stale, all = count(false)
	is.True(stale >= all-1) // the first configuration
	is.True(stale > 10)
}

// Back ends that are replaced one after another end a watch each; what follows the first
// change is gathered, so that calls don't grow with the changes.
func TestWatchBatchesChanges(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3, changePeriod: 10 * time.Millisecond}
	follow(t, s, 4, true, func(*gateway.State) { time.Sleep(10 * time.Second) })
	is.True(s.watches.Load() < 80) // 1,000 changes
	is.True(s.watches.Load() > 50) // told of within 150 ms all the same
}

func TestOnlyReadersWatch(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3}
	follow(t, s, 40, false, func(*gateway.State) { time.Sleep(time.Minute) })
	is.Equal(s.watches.Load(), int64(0))
}

// Callers wait for a gateway that has just started: it reads both lists at once, and
// begins to watch only when it knows its place in the fleet.
func TestStartedGatewayReadsAtOnceAndWatchesLater(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3}
	follow(t, s, 1, true, func(state *gateway.State) {
		synctest.Wait()
		is.True(state.Ready())
		time.Sleep(watchDelay / 2)
		is.Equal(s.watches.Load(), int64(0))
		time.Sleep(watchDelay)
		is.True(s.watches.Load() > 0)
	})
}

func TestStoreRecoveryIsDetectedSoon(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3}
	s.failing.Store(true)
	follow(t, s, 1, true, func(state *gateway.State) {
		time.Sleep(time.Minute)
		is.True(!state.Ready())
		s.failing.Store(false)
		time.Sleep(2 * time.Second)
		is.True(state.Ready())
	})
	is.True(s.reads.Load() < 60*4) // a store that is away isn't hammered
}

// While the store is away each list has its turn, and once it answers all of them are read
// without a pause: any of them may have missed something.
func TestAllListsAreReadOnceTheStoreAnswersAgain(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3}
	follow(t, s, 20, false, func(*gateway.State) {
		time.Sleep(time.Second)
		s.failing.Store(true)
		time.Sleep(time.Minute)
		configuration, backEnds := s.configurationReads.Load(), s.reads.Load()
		is.True(configuration-backEnds <= 1 && backEnds-configuration <= 1)
		s.failing.Store(false)
		time.Sleep(maxBackoff * 5 / 4)
		is.True(s.configurationReads.Load() > configuration)
		is.True(s.reads.Load() > backEnds)
	})
}

// In a fleet of many, a gateway that has just started doesn't watch before it can have
// heard of those that do.
func TestStartedGatewayInALargeFleetWatchesLater(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3}
	follow(t, s, 23, true, func(*gateway.State) {
		time.Sleep(watchDelay + largeFleetWatchDelay/2)
		is.Equal(s.watches.Load(), int64(0))
		time.Sleep(largeFleetWatchDelay)
		is.True(s.watches.Load() > 0)
	})
}

// Others take a reader for lost by the age of its last answer: a read isn't later than due.
func TestReadIntervalIsNeverExceeded(t *testing.T) {
	is := is.New(t)
	for range 1000 {
		wait := jitterEarly(time.Second)
		is.True(wait >= 800*time.Millisecond && wait <= time.Second)
	}
}

// Connections fall silent together: once one plain read got no answer in time and the next
// one did, on a new connection, the watches that wait on old ones begin anew.
func TestWatchesOnSilentConnectionsAreRestarted(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3}
	s.silent.Store(true)
	follow(t, s, 3, true, func(*gateway.State) {
		time.Sleep(4 * time.Second)
		is.Equal(s.watches.Load(), int64(1)) // it waits for its 22 s
		s.unanswered.Store(1)
		s.silent.Store(false)
		time.Sleep(3 * time.Second)
		is.True(s.watches.Load() > 1)
	})
}

// A store that answers nobody in time, or slowly, isn't one whose connections are dead.
func TestWatchesContinueWhileNoReadIsAnswered(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3}
	s.silent.Store(true)
	follow(t, s, 3, true, func(*gateway.State) {
		time.Sleep(4 * time.Second)
		s.failing.Store(true)
		time.Sleep(5 * time.Second)
		is.Equal(s.watches.Load(), int64(1))
	})
}

// A watch goes on where the last read or watch ended, so that one that is cut costs no
// further read.
func TestWatchResumesAtTheLastPosition(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3, changePeriod: 100 * time.Millisecond}
	follow(t, s, 3, true, func(*gateway.State) {
		time.Sleep(5 * time.Second)
		reads, watches := s.reads.Load(), s.watches.Load()
		for range 10 {
			s.cuts.Store(1)
			time.Sleep(500 * time.Millisecond)
		}
		is.True(s.watches.Load() > watches+10)
		is.True(s.reads.Load()-reads <= 3) // those that are due anyway
	})
}

// While the store answers nobody, plain reads alone look for it.
func TestWatchesMakeNoCallsWhileTheStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3}
	follow(t, s, 3, true, func(*gateway.State) {
		time.Sleep(2 * time.Second)
		s.failing.Store(true)
		time.Sleep(30 * time.Second) // the watch of the moment has ended
		watches, reads := s.watches.Load(), s.reads.Load()+s.configurationReads.Load()
		time.Sleep(time.Minute)
		is.Equal(s.watches.Load(), watches)
		is.True(s.reads.Load()+s.configurationReads.Load()-reads < 90) // one at a time, 1 s apart
		s.failing.Store(false)
		time.Sleep(2 * time.Second)
		is.True(s.watches.Load() > watches)
	})
}

// Gateways that stand by share a few calls a second while the store answers nobody, and one
// that learned until then begins within that time.
func TestStandbyGatewaysShareTheirCalls(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3}
	follow(t, s, 40, false, func(state *gateway.State) {
		time.Sleep(time.Minute)
		s.failing.Store(true)
		before := s.reads.Load() + s.configurationReads.Load()
		state.SetFleet(gateway.Place{Gateways: 40, Duty: gateway.Standby}, dispatch.Fleet{})
		time.Sleep(5 * time.Second)
		is.True(s.reads.Load()+s.configurationReads.Load() > before)
		time.Sleep(55 * time.Second)
		calls := s.reads.Load() + s.configurationReads.Load() - before
		is.True(calls >= 9 && calls <= 17) // 40 gateways, 8 a second: one each 5 s
	})
}

// A gateway that is to read begins at once.
func TestNewReaderWatchesAtOnce(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3}
	follow(t, s, 40, false, func(state *gateway.State) {
		time.Sleep(time.Minute)
		state.SetFleet(gateway.Place{Gateways: 40, Duty: gateway.Reader}, dispatch.Fleet{})
		time.Sleep(100 * time.Millisecond)
		is.True(s.watches.Load() > 0)
	})
}

// Each further reader gathers for longer what follows on a change: together they make less
// than twice the calls of the first.
func TestLaterReadersBatchLonger(t *testing.T) {
	is := is.New(t)
	count := func(rank int) int64 {
		s := &source{backEnds: 3, changePeriod: 10 * time.Millisecond}
		follow(t, s, 23, true, func(state *gateway.State) {
			state.SetFleet(gateway.Place{Gateways: 23, Duty: gateway.Reader, Rank: rank}, dispatch.Fleet{})
			time.Sleep(20 * time.Second)
		})
		return s.watches.Load()
	}
	first := count(0)
	is.True(count(1) < first*6/10)
	is.True(count(1)+count(2)+count(3) < first)
}
