package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/workload"
)

const testEventTokens = 7

// newWorkCore returns a core whose service names engines with memory in tokens.
func newWorkCore(members int) *Core {
	core := newCore(backEnds(members, 64))
	core.SetServices([]catalog.Service{workService()})
	return core
}

func workService() catalog.Service {
	return catalog.Service{Name: "s", CachesPrefixes: true, CacheTokens: 421_980, EventTokens: testEventTokens}
}

// streamRequest has 9,000 shared tokens, 500 of its own, and an expected output of 80.
func streamRequest(id string) Request {
	route := repeatable(2)
	route.Stream, route.Resumable = true, true
	result := request(route, id, Part{ID: "system", Tokens: 1000}, Part{ID: "shared", Tokens: 8000}, Part{ID: "own" + id, Tokens: 500})
	result.PromptTokens, result.OutputTokens = 9500, 80
	return result
}

// The work of a request follows its progress: unread until the first token, gone with the attempt.
func TestWorkFollowsRequest(t *testing.T) {
	is := is.New(t)
	core := newWorkCore(1)
	m := core.members["b00"]
	x, decision := core.Begin(start, streamRequest("a"))
	is.Equal(m.engine.Own(), workload.Work{Streams: 1, Unread: 9500, Memory: 580})
	is.Equal(decision.Send.EventTokens, testEventTokens)
	is.True(decision.Send.Predicted > 160*time.Millisecond)
	now := start.Add(200 * time.Millisecond)
	core.Answered(now, x, -1)
	is.Equal(m.engine.Own().Unread, 9500) // the head of an answer may precede its first token
	core.Progressed(now, x, testEventTokens)
	is.Equal(m.engine.Own(), workload.Work{Streams: 1, Memory: 580})
	core.Progressed(now, x, testEventTokens)
	core.Completed(x)
	core.Done(now, x)
	is.Equal(m.engine.Own(), workload.Work{})
	is.Equal(core.ServiceStatuses(now)[0].PredictionErrors.Count, int64(1))
	core.Progressed(now, x, testEventTokens) // an event after the end
	is.Equal(m.engine.Own(), workload.Work{})
}

// Every outcome of an attempt releases its work, or the engine would seem loaded for good.
func TestWorkReturnsToZero(t *testing.T) {
	is := is.New(t)
	core := newWorkCore(3)
	outcomes := []func(*Exchange){
		func(x *Exchange) { core.ConnectionLost(start, x) },
		func(x *Exchange) { core.Refused(start, x) },
		func(x *Exchange) { core.Misdirected(start, x) },
		func(x *Exchange) { core.NotConnected(start, x) },
		func(x *Exchange) { core.TimedOut(start, x) },
		func(x *Exchange) { core.Failed(start, x) },
		func(x *Exchange) { core.Answered(start, x, 3) },
		func(x *Exchange) { core.Answered(start, x, 3); core.ReleaseSlot(start, x); core.ReleaseSlot(start, x) },
		func(x *Exchange) {
			core.Answered(start, x, 3)
			core.Progressed(start, x, testEventTokens)
			breakOff(core, start, x)
		},
		// The configuration changes while the request is in flight.
		func(*Exchange) {
			core.SetServices(nil)
			core.SetServices([]catalog.Service{workService()})
		},
	}
	for i, outcome := range outcomes {
		x, _ := core.Begin(start, streamRequest(fmt.Sprint(i)))
		outcome(x)
		core.Done(start, x)
		for _, m := range core.members {
			is.Equal(m.engine.Own(), workload.Work{})
		}
	}
}

// What the engine is assumed to hold isn't prefilled again, and a copy costs a fraction. Otherwise
// predictions for holders would be as bad as for all others.
func TestHeldAndCopiedTokensAreNotUnread(t *testing.T) {
	is := is.New(t)
	core := newWorkCore(2)
	now := start.Add(30 * time.Second)
	first, _ := core.Begin(now, streamRequest("a"))
	core.Answered(now, first, -1)
	holder, other := first.current, core.members["b00"]
	if holder == other {
		other = core.members["b01"]
	}
	x := &Exchange{request: streamRequest("b"), service: "s"}
	is.Equal(core.sizeAt(now, x, holder, ""), workload.Size{Unread: 500, Memory: 580, Output: 80})
	is.Equal(core.sizeAt(now, x, other, ""), workload.Size{Unread: 9500, Memory: 580, Output: 80})
	is.Equal(core.sizeAt(now, x, other, holder.backEnd.Address), workload.Size{Unread: 500 + 720, Memory: 580, Output: 80})
	is.Equal(core.sizeAt(now.Add(holdingTTL), x, holder, "").Unread, 9500) // it may have been evicted
	x.request.Parts[1].ID = "unknown"
	is.Equal(core.sizeAt(now, x, holder, "").Unread, 8500) // only the prefix is held
	guess := core.sizeAt(now, x, other, holder.backEnd.Address)
	is.True(guess.Guessed) // the source may hold the unknown part as well
	is.Equal(guess.Unread, 8500+80)
}

// A stream that is resumed elsewhere is prefilled there including what was already received.
func TestResumedStreamIncludesReceivedTokens(t *testing.T) {
	is := is.New(t)
	core := newWorkCore(2)
	x, _ := core.Begin(start, streamRequest("a"))
	core.Answered(start, x, -1)
	core.Progressed(start, x, testEventTokens)
	core.Progressed(start, x, testEventTokens)
	broken := x.current
	decision := breakOff(core, start, x)
	is.True(decision.Send != nil)
	is.Equal(broken.engine.Own(), workload.Work{})
	own := x.current.engine.Own()
	is.Equal(own.Streams, 1)
	is.Equal(own.Memory, 500+80) // received tokens are part of the expected output
	is.True(own.Unread >= 500+2*testEventTokens)
	core.Progressed(start, x, testEventTokens) // the first token of the second attempt
	is.Equal(x.current.engine.Own().Unread, 0)
}

// While the other gateways' unread tokens aren't known, their streams are assumed to have as many as
// this gateway's on average. Otherwise a gateway without totals would take a crowded engine for idle.
func TestOthersWorkFollowsLoad(t *testing.T) {
	is := is.New(t)
	core := newWorkCore(2)
	core.SetGateways(3) // one of which hasn't reported
	now := start
	for i := range 20 {
		x, _ := core.Begin(now, streamRequest(fmt.Sprint(i)))
		if i%2 == 0 {
			core.Answered(now, x, -1)
			core.Progressed(now, x, testEventTokens)
		}
		now = now.Add(workInterval)
	}
	core.SetPeerLoads(now, "peer", []Load{{BackEnd: "b00", Requests: 10}})
	m, other := core.members["b00"], core.members["b01"]
	m.report(now, m.own+10)
	other.report(now, other.own)
	others := core.othersWork(now, m, core.estimate(now, m))
	is.Equal(others.Streams, 10)
	is.True(others.Unread > 0 && others.Unread < 10*9500)
	is.Equal(others.Memory, 10*580)
	is.Equal(core.othersWork(now, other, core.estimate(now, other)), workload.Work{})
	status := core.BackEndStatuses(now)[0].Work
	is.Equal(status.All, m.engine.Own().Plus(others))
	is.True(status.Wait > 0 && status.Pace > 0)
}

// A new engine starts with the mean of the others: a gateway may get an engine at any time.
func TestNewEngineStartsWithMeanOfOthers(t *testing.T) {
	is := is.New(t)
	core := newWorkCore(2)
	now := start
	for i := range 40 {
		request := streamRequest(fmt.Sprint(i))
		request.Deadline = now.Add(time.Minute)
		x, _ := core.Begin(now, request)
		core.Answered(now, x, -1)
		// Twice as slow as the defaults.
		now = now.Add(10*time.Millisecond + time.Duration(x.current.engine.Own().Unread)*35*time.Microsecond)
		core.Progressed(now, x, testEventTokens)
		core.Done(now, x)
		now = now.Add(time.Second)
	}
	fresh := workload.NewEngine(workload.Limits{}, workload.Rates{}, nil).Rates().Prompt
	core.SetBackEnds(now, backEnds(3, 64))
	is.True(core.members["b02"].engine.Rates().Prompt.Each > 1.2*fresh.Each)
}

// Services without an engine in the configuration, and requests that don't state their tokens, are
// served as before, and the mechanism can be switched off.
func TestWorkIsCountedOnlyForEngines(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(1, 64))
	x, decision := core.Begin(start, streamRequest("a"))
	is.Equal(decision.Send.EventTokens, 0)
	core.Progressed(start, x, testEventTokens)
	is.Equal(core.BackEndStatuses(start)[0].Work, WorkStatus{})
	core.Done(start, x)

	core = newWorkCore(1)
	core.config.Disabled = Disabled{Workload: true}
	core.SetBackEnds(start, backEnds(1, 64))
	_, decision = core.Begin(start, streamRequest("a"))
	is.Equal(decision.Send.EventTokens, 0)

	core = newWorkCore(1)
	x, _ = core.Begin(start, request(nonRepeatable(), "b"))
	is.Equal(core.members["b00"].engine.Own(), workload.Work{Streams: 1})
	core.Done(start, x)
	is.Equal(core.members["b00"].engine.Own(), workload.Work{})
}

// Guards against a continued run that counts as a prompt to prefill: its engine would seem occupied,
// and faster than it is, because the first token comes at once.
func TestContinuedRunHasNoUnreadTokens(t *testing.T) {
	is := is.New(t)
	core := newWorkCore(6)
	x, decision := core.Begin(start, streamRequest("a"))
	target := core.members[decision.Send.BackEnd.ID]
	is.True(core.sizeAt(start, x, target, "").Unread > 0)
	x.continuing, x.received = true, 70
	is.Equal(core.sizeAt(start, x, target, "").Unread, 0)
}
