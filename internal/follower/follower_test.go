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

// follow runs test with a follower of the source in a fleet with the given number of gateways.
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

// placeOf returns the place of the first reader or, if reader is false, of a learner.
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
	is.True(alone > 600)                    // one per 800 ms, and some for the watch
	is.True(count(20, 4, true) < alone*2/5) // three readers share the reads
	is.True(count(20, 340, false) <= 30)
	is.True(count(3000, 300, true) < alone/8)
}

// Two plain reads per period show other gateways that the store answers. A third list takes its
// turn among these reads.
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
	is.True(float64(three) < 1.1*float64(two)) // its watch reads occasionally
	is.True(third > three/4)
}

// A list of thousands of back ends is read rarely, and doesn't delay reads of the other lists.
func TestLongListDoesNotDelayTheOthers(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3000}
	follow(t, s, 300, true, func(*gateway.State) { time.Sleep(10 * time.Minute) })
	is.True(s.configurationReads.Load() > 400) // every 1.2 s
	is.True(s.reads.Load() < 60)
}

// A learner makes stale reads once it is ready. A reader makes a single one: the first read of the
// list of back ends.
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

// Back ends that are replaced one after another cause a series of changes, and each answer to a
// watch costs a call. The changes that follow the first one are received in batches, so the number
// of calls doesn't grow with the number of changes.
func TestWatchBatchesChanges(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3, changePeriod: 10 * time.Millisecond}
	follow(t, s, 4, true, func(*gateway.State) { time.Sleep(10 * time.Second) })
	is.True(s.watches.Load() < 80) // 1,000 changes
	is.True(s.watches.Load() > 50) // changes are still received within 150 ms
}

func TestOnlyReadersWatch(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3}
	follow(t, s, 40, false, func(*gateway.State) { time.Sleep(time.Minute) })
	is.Equal(s.watches.Load(), int64(0))
}

// Callers wait for a gateway that has just started, so it reads both lists at once. It starts to
// watch only when it knows its place in the fleet.
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
	is.True(s.reads.Load() < 60*4) // backoff limits the calls to an unavailable store
}

// While the store is unavailable, the lists are still tried in turn. Once it answers, all of them
// are read without a pause, because changes of any list may have been missed.
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

// In a large fleet, a gateway that has just started doesn't watch before it has had time to learn
// which gateways do.
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

// Other gateways judge a reader by the age of its last answer, so a read must never be late.
func TestReadIntervalIsNeverExceeded(t *testing.T) {
	is := is.New(t)
	for range 1000 {
		wait := jitterEarly(time.Second)
		is.True(wait >= 800*time.Millisecond && wait <= time.Second)
	}
}

// All connections fall silent together. Once a plain read has timed out and the next one has been
// answered on a new connection, the watches that wait on old connections are restarted.
func TestWatchesOnSilentConnectionsAreRestarted(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3}
	s.silent.Store(true)
	follow(t, s, 3, true, func(*gateway.State) {
		time.Sleep(4 * time.Second)
		is.Equal(s.watches.Load(), int64(1)) // it would wait for 22 s
		s.unanswered.Store(1)
		s.silent.Store(false)
		time.Sleep(3 * time.Second)
		is.True(s.watches.Load() > 1)
	})
}

// A store that answers no plain read in time may be down or slow, and its connections needn't be
// dead, so the watches aren't restarted.
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

// A watch starts at the position of the last read or watch, so that a watch that is cut off costs
// no further read.
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
		is.True(s.reads.Load()-reads <= 3) // the periodic plain reads
	})
}

// While the store is unavailable, only plain reads call it.
func TestWatchesMakeNoCallsWhileTheStoreIsUnavailable(t *testing.T) {
	is := is.New(t)
	s := &source{backEnds: 3}
	follow(t, s, 3, true, func(*gateway.State) {
		time.Sleep(2 * time.Second)
		s.failing.Store(true)
		time.Sleep(30 * time.Second) // the current watch has ended by then
		watches, reads := s.watches.Load(), s.reads.Load()+s.configurationReads.Load()
		time.Sleep(time.Minute)
		is.Equal(s.watches.Load(), watches)
		is.True(s.reads.Load()+s.configurationReads.Load()-reads < 90) // one at a time, 1 s apart
		s.failing.Store(false)
		time.Sleep(2 * time.Second)
		is.True(s.watches.Load() > watches)
	})
}

// While the store is unavailable, all standby gateways together make only a few calls per second.
// A learner that becomes a standby gateway makes its first call in time.
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
		is.True(calls >= 9 && calls <= 17) // 40 gateways at 8 calls a second: one call each per 5 s
	})
}

// A gateway that becomes a reader starts to watch at once.
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

// Each further reader batches changes for longer than the one before, so all readers together make
// less than twice the watch calls of the first.
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
