package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/harriernotch/harriernotch/internal/catalog"
	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
	"github.com/harriernotch/harriernotch/internal/workload"
)

const (
	silentEngines  = 20
	silentSlots    = 64
	silentStreams  = 48
	silentDuration = 2 * time.Second
	examineEvery   = 20 * time.Millisecond
)

// silentStream is a stream that a silent back end runs, and the gateway that passes it on.
type silentStream struct {
	core     *Core
	exchange *Exchange
	// sent is the back end of the attempt that isn't answered yet, and answerAt when it is answered.
	sent     string
	answerAt time.Time
	lost     bool
}

// silentFleet is gateways, of which each knows only its own requests, and back ends of which one is silent
// with all its streams.
type silentFleet struct {
	cores   []*Core
	streams []*silentStream
	// loads are the requests at each back end of all gateways, and runs the attempts that began.
	loads map[string]int
	runs  int
}

func newSilentFleet(gateways int, retryExtra float64) *silentFleet {
	f := &silentFleet{loads: map[string]int{}}
	config := DefaultConfig()
	config.Zone, config.RetryExtra, config.RetryRatio = "z", retryExtra, 0
	config.Disabled = Disabled{AdmissionLottery: true, LoadBound: true}
	for range gateways {
		core := New(config)
		core.SetServices([]catalog.Service{backupService()})
		core.SetGateways(gateways)
		core.SetBackEnds(start, backEnds(1, silentSlots))
		f.cores = append(f.cores, core)
	}
	for i := range silentStreams {
		core := f.cores[i%gateways]
		x, _ := core.Begin(start, longRequest(resumableStream(3), fmt.Sprint("stream-", i)))
		passEvents(core, start, x, 20)
		core.WatchStream(x)
		f.streams = append(f.streams, &silentStream{core: core, exchange: x})
	}
	for _, core := range f.cores {
		clear(core.config.Disabled)
		core.SetBackEnds(start, backEnds(silentEngines, silentSlots))
	}
	return f
}

// step lets time pass at all streams. A back end answers a request after 30 ms, or refuses it if it has
// no place left.
func (f *silentFleet) step(now time.Time) {
	for _, s := range f.streams {
		switch {
		case s.lost:
		case s.sent != "":
			f.settle(now, s)
		case s.exchange.current.backEnd.ID == "b00":
			decision, _ := s.core.ExamineSilence(now, s.exchange)
			f.carryOut(now, s, decision)
		}
	}
}

func (f *silentFleet) carryOut(now time.Time, s *silentStream, decision Decision) {
	s.sent = ""
	s.lost = decision.GiveUp != nil
	if decision.Send != nil {
		s.sent, s.answerAt = decision.Send.BackEnd.ID, now.Add(30*time.Millisecond)
	}
}

func (f *silentFleet) settle(now time.Time, s *silentStream) {
	if now.Before(s.answerAt) {
		return
	}
	if f.loads[s.sent] >= silentSlots {
		f.carryOut(now, s, s.core.Refused(now, s.exchange))
		return
	}
	f.loads[s.sent]++
	f.runs++
	s.core.Answered(now, s.exchange, -1)
	s.core.TakeOver(now, s.exchange)
	s.core.EventPassed(now, s.exchange, time.Second, true)
	s.sent = ""
}

// All streams of a silent back end are examined at the same moment, by gateways that don't know of each
// other. Guards against streams that are given up for what pays only for some of them, and against more
// further runs than the retry budget pays for.
func TestNoSilentStreamIsGivenUpForARetryThatAnotherTakes(t *testing.T) {
	const budget = 20.0
	others := map[string]int{"room": 0, "room for a few": silentSlots - 1, "no room": silentSlots}
	budgets := map[string]float64{"full budget": 40 * silentStreams, "small budget": budget, "empty budget": 0}
	for _, gateways := range []int{1, 5, 22, 340} {
		for room, load := range others {
			for name, extra := range budgets {
				t.Run(fmt.Sprintf("%d gateways/%s/%s", gateways, room, name), func(t *testing.T) {
					is := is.New(t)
					f := newSilentFleet(gateways, extra)
					for _, each := range backEnds(silentEngines, silentSlots)[1:] {
						f.loads[each.ID] = load
					}
					for after := time.Duration(0); after < silentDuration; after += examineEvery {
						if after == silentDuration/2 {
							f.changeConfiguration()
						}
						f.step(start.Add(after))
					}
					lost, silent := f.count()
					t.Logf("%d streams lost, %d wait for the silent back end, %d taken up elsewhere", lost, silent, f.runs)
					is.Equal(lost, 0)
					is.Equal(silent+f.runs, silentStreams)
					is.True(float64(f.runs) <= extra)
				})
			}
		}
	}
}

// changeConfiguration applies a configuration whose services have other settings.
func (f *silentFleet) changeConfiguration() {
	for _, core := range f.cores {
		changed := backupService()
		changed.Backups = false
		core.SetServices([]catalog.Service{changed})
	}
}

// count returns how many streams are lost, and how many still listen to the silent back end.
func (f *silentFleet) count() (lost, silent int) {
	for _, s := range f.streams {
		switch {
		case s.lost:
			lost++
		case s.exchange.HasSilentAttempt(), s.exchange.current.backEnd.ID == "b00":
			silent++
		}
	}
	return lost, silent
}

// A silent attempt that is kept counts towards the load of its back end, and every account is settled
// whichever of the two attempts remains.
func TestAccountsOfBothAttemptsAreSettled(t *testing.T) {
	ends := map[string]func(core *Core, x *Exchange){
		"taken over":     func(core *Core, x *Exchange) { core.Answered(start, x, -1); core.TakeOver(start, x) },
		"silent goes on": func(core *Core, x *Exchange) { core.EndSuccessor(start, x) },
		"refused":        func(core *Core, x *Exchange) { core.Refused(start, x) },
		"not connected":  func(core *Core, x *Exchange) { core.NotConnected(start, x) },
		"failed":         func(core *Core, x *Exchange) { core.Failed(start, x) },
		"broken off":     func(core *Core, x *Exchange) { core.ConnectionLost(start, x) },
		"caller leaves":  func(*Core, *Exchange) {},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core := newBackupCore(4, 0)
			x, _ := core.Begin(start, longRequest(resumableStream(3), "a"))
			passEvents(core, start, x, 20)
			core.WatchStream(x)
			decision, _ := core.ExamineSilence(start.Add(2*time.Second), x)
			is.True(decision.Send != nil)
			is.Equal(ownRequests(core), 2)
			end(core, x)
			if name != "caller leaves" {
				is.Equal(ownRequests(core), 1)
				is.True(!x.HasSilentAttempt())
			}
			core.Done(start, x)
			is.Equal(ownRequests(core), 0)
			for _, m := range core.members {
				is.Equal(m.health.awaiting, 0)
			}
		})
	}
}

// ownRequests returns the core's number of requests in flight at all back ends.
func ownRequests(core *Core) int {
	total := 0
	for _, load := range core.Loads() {
		total += load.Requests
	}
	return total
}

// A moment of silence is no sign of a crash, and counts as one failure for all streams together.
func TestSilentBackEndIsSoonTriedAgain(t *testing.T) {
	is := is.New(t)
	f := newSilentFleet(1, 10*silentStreams)
	silentAt := start.Add(time.Second)
	for _, s := range f.streams {
		decision, _ := s.core.ExamineSilence(silentAt, s.exchange)
		is.True(decision.Send != nil)
		s.core.Answered(silentAt, s.exchange, -1)
		s.core.TakeOver(silentAt, s.exchange)
	}
	silent := f.cores[0].members["b00"]
	is.Equal(silent.health.status(silentAt), Ejected)
	is.Equal(silent.health.status(silentAt.Add(baseEjectionTime)), OnTrial)
	is.True(f.cores[0].crashes.isEmpty())
}

// All requests that wait at a silent back end reach their head timeout at the same moment. Guards against
// attempts that are given up for a retry that another one takes.
func TestAttemptIsGivenUpOnlyForAnotherOne(t *testing.T) {
	is := is.New(t)
	const waiting, retryExtra = 20, 5
	config := DefaultConfig()
	config.Zone, config.RetryExtra, config.RetryRatio = "z", retryExtra, 0
	core := New(config)
	core.SetBackEnds(start, backEnds(1, silentSlots))
	var exchanges []*Exchange
	for i := range waiting {
		x, decision := core.Begin(start, request(repeatable(2), fmt.Sprint(i)))
		is.True(decision.Send != nil)
		exchanges = append(exchanges, x)
	}
	core.SetBackEnds(start, backEnds(4, silentSlots))
	replaced := 0
	for _, x := range exchanges {
		decision, given := core.ReplaceWaiting(start.Add(time.Second), x)
		is.Equal(given, decision.Send != nil)
		if given {
			replaced++
		}
	}
	is.Equal(replaced, 3) // the retries that the settings allow one gateway
	is.Equal(ownRequests(core), waiting)
}

// After any history of a request of which an attempt was silent, the accounts of loads, work, copies and trials
// are balanced in the end, and the attempts stay within the route's limit.
func TestSilenceInvariants(t *testing.T) {
	const maxAttempts = 4
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		core := newBackupCore(rapid.IntRange(2, 6).Draw(t, "engines"), 1)
		route := resumableStream(maxAttempts)
		if rapid.Bool().Draw(t, "single") {
			route = singleStream()
		}
		now := start
		x, decision := core.Begin(now, longRequest(route, "a"))
		for step := 0; step < 30 && x.phase != Ended; step++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "milliseconds")) * time.Millisecond)
			if x.phase == Sent {
				decision = waitingStep(t, core, now, x)
			} else {
				decision = streamingStep(t, core, now, x)
			}
			is.True(x.Attempts() <= maxAttempts)
			is.True(decision.GiveUp == nil || !x.HasSilentAttempt())
		}
		core.Done(now, x)
		is.Equal(core.backedUpRuns["s"], 0)
		for _, m := range core.members {
			is.Equal(m.own, 0)
			is.Equal(m.copies, 0)
			is.Equal(m.health.awaiting, 0)
			is.Equal(m.health.trials, 0)
			is.Equal(m.engine.Own(), workload.Work{})
		}
	})
}

// waitingStep draws what happens to an attempt that waits for its answer.
func waitingStep(t *rapid.T, core *Core, now time.Time, x *Exchange) Decision {
	switch rapid.IntRange(0, 7).Draw(t, "outcome") {
	case 0:
		return core.NotConnected(now, x)
	case 1:
		return core.Refused(now, x)
	case 2:
		return core.ConnectionLost(now, x)
	case 3:
		decision, _ := core.ReplaceWaiting(now, x)
		return decision
	case 4:
		return core.Failed(now, x)
	case 5:
		core.EndSuccessor(now, x)
		return Decision{}
	default:
		core.Answered(now, x, -1)
		core.TakeOver(now, x)
		core.WatchStream(x)
		return Decision{}
	}
}

// streamingStep draws what happens to a stream that is passed on.
func streamingStep(t *rapid.T, core *Core, now time.Time, x *Exchange) Decision {
	switch rapid.IntRange(0, 3).Draw(t, "event") {
	case 0:
		return breakOff(core, now, x)
	case 1:
		decision, _ := core.ExamineSilence(now, x)
		return decision
	default:
		core.Progressed(now, x, 9)
		core.EventPassed(now, x, 30*time.Millisecond, true)
		return Decision{}
	}
}
