package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/failure"
	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

// backupService is a service of engines that back up runs.
func backupService() catalog.Service {
	return catalog.Service{
		Name: "s", CachesPrefixes: true, CacheTokens: 421_980, TokenBytes: 18_432, Backups: true, CopyLifetime: 5 * time.Second,
	}
}

// newBackupCore returns a core with engines that back up runs; share is Config.BackupShare.
func newBackupCore(count int, share float64) *Core {
	config := DefaultConfig()
	config.Zone, config.BackupShare = "z", share
	core := New(config)
	core.SetServices([]catalog.Service{backupService()})
	core.SetBackEnds(start, backEnds(count, 64))
	return core
}

func singleStream() *catalog.Route {
	route := nonRepeatable()
	route.Stream, route.MaxAttempts = true, 1
	return route
}

func resumableStream(attempts int) *catalog.Route {
	route := repeatable(attempts)
	route.Repeatable, route.Stream, route.Resumable = false, true, true
	return route
}

// longRequest is a request with 9,000 prompt tokens, of which 8,000 are shared.
func longRequest(route *catalog.Route, id string) Request {
	made := request(route, id, Part{ID: "shared", Tokens: 8000}, Part{ID: id, Tokens: 1000})
	made.PromptTokens, made.OutputTokens = 9000, 800
	return made
}

// passEvents records that an answer has begun and events have been passed on.
func passEvents(core *Core, now time.Time, x *Exchange, count int) {
	core.Answered(now, x, -1)
	for range count {
		core.EventPassed(now, x, 30*time.Millisecond, true)
	}
}

// Guards against backups at healthy engines, and against engines that are likely to fail without one.
func TestBackupOnlyForSuspectEngines(t *testing.T) {
	cases := map[string]struct {
		condition engineCondition
		want      BackupReason
	}{
		"healthy":         {engineCondition{}, ""},
		"noisy neighbour": {engineCondition{pace: 1.3 * 2.5}, ""},
		"very slow":       {engineCondition{pace: 4}, BackupSuspect},
		"on trial":        {engineCondition{health: OnTrial}, BackupSuspect},
		"silent":          {engineCondition{health: Silent}, BackupSuspect},
		"failed":          {engineCondition{failedRecently: true}, BackupSuspect},
		"vanished":        {engineCondition{vanished: true}, BackupSuspect},
		"leaving":         {engineCondition{leaving: true, failedRecently: true}, BackupLeaving},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(each.condition.reason(), each.want) })
	}
}

// A backup must be worth its cost. Copies of everything cost more than they save, and a copy that
// doesn't fit evicts what other requests need.
func TestBackupIsWorthItsCost(t *testing.T) {
	long := runSize{prompt: 9000, output: 800}
	enough := backupCost{tokens: 9800, tokenBytes: 18_432, freeMemory: 100_000}
	cases := map[string]struct {
		reason BackupReason
		size   runSize
		cost   backupCost
		want   bool
	}{
		"suspect":                           {BackupSuspect, long, enough, true},
		"no reason":                         {"", long, enough, false},
		"short":                             {BackupSuspect, runSize{prompt: 300, output: 100}, backupCost{tokens: 400, tokenBytes: 18_432, freeMemory: 100_000}, false},
		"no memory":                         {BackupSuspect, long, backupCost{tokens: 9800, tokenBytes: 18_432, freeMemory: 9799}, false},
		"large tokens":                      {BackupSuspect, long, backupCost{tokens: 9800, tokenBytes: 1 << 20, freeMemory: 100_000}, false},
		"repeatable with a long output":     {BackupSuspect, runSize{prompt: 1000, output: 9000, mayRepeat: true}, backupCost{tokens: 10_000, tokenBytes: 18_432, freeMemory: 100_000}, false},
		"not repeatable with a long output": {BackupSuspect, runSize{prompt: 1000, output: 9000}, backupCost{tokens: 10_000, tokenBytes: 18_432, freeMemory: 100_000}, true},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(worthBackup(each.reason, each.size, each.cost), each.want) })
	}
}

// The backup goes to a member that holds the shared parts: it only needs the rest.
func TestBackupPrefersHolder(t *testing.T) {
	is := is.New(t)
	core := newBackupCore(6, 1)
	x, first := core.Begin(start, longRequest(singleStream(), "a"))
	passEvents(core, start, x, 3)
	holder := first.Send.BackEnd
	core.Done(start, x)
	core.members[holder.ID].backEnd.Leaving = true // requests go elsewhere, and the holder can't be a target
	x, second := core.Begin(start, longRequest(singleStream(), "b"))
	is.True(second.Send.BackUpTo != "" && second.Send.BackUpTo != holder.Address)
	core.Done(start, x)
	core.members[holder.ID].backEnd.Leaving = false
	core.members[holder.ID].copies = 0
	size := runSize{prompt: 9000, output: 800}
	target, cost := core.backupTarget(start, x, core.members[second.Send.BackEnd.ID], size)
	is.Equal(target.backEnd.ID, holder.ID)
	is.Equal(cost.tokens, 1800)
}

// The copies of many runs don't fill the memory of the targets beyond their share.
func TestBackupsLeaveMemoryFree(t *testing.T) {
	is := is.New(t)
	core := newBackupCore(3, 1)
	ordered := 0
	var open []*Exchange
	for i := range 150 {
		x, decision := core.Begin(start, longRequest(singleStream(), fmt.Sprint(i)))
		if decision.Send == nil {
			break
		}
		if decision.Send.BackUpTo != "" {
			ordered++
		}
		open = append(open, x)
	}
	for _, m := range core.members {
		is.True(core.freeMemory(start, m) <= 421_980)
		is.True(float64(m.copies) <= (1-spareMemoryShare)*421_980)
	}
	is.True(ordered > 0 && ordered < len(open))
	for _, x := range open {
		core.Done(start, x)
	}
	for _, m := range core.members {
		is.Equal(m.copies, 0) // no copy is left in the account
	}
}

// Gateways in front of earlier deployments, and with the mechanism off, behave as before.
func TestNoBackupWithoutSupport(t *testing.T) {
	for name, change := range map[string]func(*Core){
		"service": func(c *Core) {
			service := backupService()
			service.Backups = false
			c.SetServices([]catalog.Service{service})
		},
		"mechanism": func(c *Core) { c.config.Disabled = Disabled{Backups: true} },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core := newBackupCore(4, 1)
			change(core)
			x, decision := core.Begin(start, longRequest(singleStream(), "a"))
			is.Equal(decision.Send.BackUpTo, "")
			core.Answered(start, x, -1)
			is.Equal(core.WatchStream(x), StreamWatch{})
			is.Equal(breakOff(core, start, x).GiveUp.Kind, failure.StreamBroken)
			x, _ = core.Begin(start, longRequest(resumableStream(2), "b"))
			core.Answered(start, x, -1)
			is.Equal(core.WatchStream(x), StreamWatch{Limit: time.Second})
			next := breakOff(core, start, x)
			is.True(next.Send != nil && next.Send.ContinueFrom == "")
		})
	}
}

// A continuation uses the retry budget. It doesn't count towards the attempts of a route whose
// requests may run once, or none could be made there.
func TestContinuationUsesRetryBudget(t *testing.T) {
	is := is.New(t)
	core := newBackupCore(4, 1)
	x, first := core.Begin(start, longRequest(singleStream(), "a"))
	passEvents(core, start, x, 5)
	before := core.budget("s").Tokens()
	next := breakOff(core, start, x)
	is.Equal(next.Send.BackEnd.Address, first.Send.BackUpTo)
	is.Equal(next.Send.ContinueFrom, first.Send.BackEnd.Address)
	is.Equal(core.budget("s").Tokens(), before-1)
	is.Equal(x.Attempts(), 1)
	core.Done(start, x)

	x, _ = core.Begin(start, longRequest(singleStream(), "b"))
	passEvents(core, start, x, 5)
	for core.budget("s").Spend() {
	}
	is.Equal(breakOff(core, start, x).GiveUp.Kind, failure.StreamBroken)
}

// Retries at a service that backs up runs leave a part of the budget to continuations. Otherwise the
// retries that follow a crash use it up, and a run that could be continued is lost.
func TestRetriesLeaveBudgetToContinuations(t *testing.T) {
	is := is.New(t)
	core := newBackupCore(4, 1)
	x, first := core.Begin(start, longRequest(singleStream(), "a"))
	passEvents(core, start, x, 5)
	full, retries := core.budget("s").Tokens(), 0.0
	for core.spendRetry("s") {
		retries++
	}
	is.True(retries >= 1)
	is.True(retries <= (1-continuationBudgetShare)*full)
	other, sent := core.Begin(start, request(repeatable(2), "b"))
	is.Equal(sent.Send.HeadTimeout, time.Duration(0)) // no attempt is abandoned for one that isn't allowed
	is.Equal(core.ConnectionLost(start, other).GiveUp.Kind, failure.BackendFailed)
	is.Equal(breakOff(core, start, x).Send.ContinueFrom, first.Send.BackEnd.Address)
}

// Guards against a reserve that services without backups never use: their retries may use the whole
// budget.
func TestRetriesWithoutBackupsUseWholeBudget(t *testing.T) {
	is := is.New(t)
	core := newBackupCore(4, 1)
	service := backupService()
	service.Backups = false
	core.SetServices([]catalog.Service{service})
	for core.spendRetry("s") {
	}
	is.True(core.budget("s").Tokens() < 1)
}

// No outcome of a continuation leads to a second run of a request that may run once.
func TestFailedContinuationIsNotRetried(t *testing.T) {
	outcomes := map[string]func(*Core, time.Time, *Exchange) Decision{
		"not connected": (*Core).NotConnected, "refused": (*Core).Refused, "misdirected": (*Core).Misdirected,
		"connection lost": (*Core).ConnectionLost, "invalid": (*Core).InvalidAnswer, "timed out": (*Core).TimedOut,
		"failed": (*Core).Failed,
	}
	for name, outcome := range outcomes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core := newBackupCore(6, 1)
			x, _ := core.Begin(start, longRequest(singleStream(), "a"))
			passEvents(core, start, x, 5)
			is.True(breakOff(core, start, x).Send != nil)
			is.True(outcome(core, start, x).Send == nil)
			core.Done(start, x)
			for _, m := range core.members {
				is.Equal(m.copies, 0)
				is.Equal(m.own, 0)
			}
		})
	}
}

// A back end that has no copy isn't ejected for it.
func TestRefusedContinuationIsNoFailure(t *testing.T) {
	is := is.New(t)
	core := newBackupCore(4, 1)
	for i := range 20 {
		x, _ := core.Begin(start, longRequest(singleStream(), fmt.Sprint(i)))
		passEvents(core, start, x, 5)
		core.members[x.current.backEnd.ID].health = health{} // only refusals matter here
		source := x.current
		next := breakOff(core, start, x)
		source.health = health{}
		if next.Send == nil {
			break
		}
		core.Refused(start, x)
		is.Equal(core.members[next.Send.BackEnd.ID].health.status(start), Healthy)
		is.Equal(core.members[next.Send.BackEnd.ID].health.errorRate, 0.0)
		core.Done(start, x)
	}
}

// The target must accept requests when the run is continued, not only when the backup was ordered.
func TestNoContinuationAtTargetThatTakesNothing(t *testing.T) {
	changes := map[string]func(*Core, []catalog.BackEnd, int) []catalog.BackEnd{
		"leaving": func(_ *Core, list []catalog.BackEnd, at int) []catalog.BackEnd {
			list[at].Leaving = true
			return list
		},
		"gone": func(_ *Core, list []catalog.BackEnd, at int) []catalog.BackEnd { return slices.Delete(list, at, at+1) },
		"restarted": func(_ *Core, list []catalog.BackEnd, at int) []catalog.BackEnd {
			list[at].Born = 2
			return list
		},
		"moved": func(_ *Core, list []catalog.BackEnd, at int) []catalog.BackEnd {
			list[at].Address = "10.0.0.99:1"
			return list
		},
		"unreachable": func(c *Core, list []catalog.BackEnd, at int) []catalog.BackEnd {
			c.members[list[at].ID].health.connectFailed(start)
			return list
		},
		"resting": func(c *Core, list []catalog.BackEnd, at int) []catalog.BackEnd {
			c.members[list[at].ID].health.setRetryAfter(start, time.Second)
			return list
		},
		"full": func(c *Core, list []catalog.BackEnd, at int) []catalog.BackEnd {
			c.members[list[at].ID].own = 200
			return list
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list := backEnds(4, 64)
			for i := range list {
				list[i].Born = 1
			}
			core := newBackupCore(4, 1)
			core.SetBackEnds(start, slices.Clone(list))
			x, first := core.Begin(start, longRequest(singleStream(), "a"))
			passEvents(core, start, x, 5)
			at := slices.IndexFunc(list, func(b catalog.BackEnd) bool { return b.Address == first.Send.BackUpTo })
			core.SetBackEnds(start, change(core, slices.Clone(list), at))
			is.True(breakOff(core, start, x).Send == nil)
		})
	}
}

// A resumable stream is continued only while a further attempt is left: if the target has no copy,
// it must still be resumable as before.
func TestResumableStreamKeepsAnAttempt(t *testing.T) {
	for attempts, continues := range map[int]bool{2: false, 3: true} {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			is := is.New(t)
			core := newBackupCore(4, 0)
			for _, m := range core.members {
				m.pace, m.paceAt = 4, start
			}
			x, _ := core.Begin(start, longRequest(resumableStream(attempts), "a"))
			x.backup = &backup{source: x.current.backEnd.Address, target: otherThan(core, x.current).backEnd}
			passEvents(core, start, x, 5)
			next := breakOff(core, start, x)
			is.Equal(next.Send.ContinueFrom != "", continues)
			is.Equal(x.Attempts(), 2)
			if continues {
				next = core.Refused(start, x)
				is.True(next.Send != nil)
				is.Equal(next.Send.ContinueFrom, "")
				is.Equal(x.Attempts(), 3)
			}
		})
	}
}

func otherThan(core *Core, m *member) *member {
	for _, each := range core.pools["s"].members {
		if each != m {
			return each
		}
	}
	return nil
}

// A request whose content crashes back ends isn't continued.
func TestWithheldRequestIsNotContinued(t *testing.T) {
	is := is.New(t)
	core := newBackupCore(8, 1)
	asked := longRequest(singleStream(), "a")
	asked.Fingerprints = func() []Fingerprint { return []Fingerprint{7} }
	x, _ := core.Begin(start, asked)
	passEvents(core, start, x, 5)
	for key := range crashesToWithhold {
		core.crashes.connectionLost(start, 7, incarnationKey(key+1))
	}
	is.True(breakOff(core, start, x).Send == nil)
}

// Whatever happens, a run that may run once starts once, continuations are bounded, and the accounts
// of loads and copies are balanced in the end.
func TestContinuationInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		core := newBackupCore(rapid.IntRange(2, 6).Draw(t, "engines"), 1)
		x, decision := core.Begin(start, longRequest(singleStream(), "a"))
		fresh, continued, sent := 0, 0, false
		for step := 0; decision.Send != nil && step < 20; step++ {
			if decision.Send.ContinueFrom == "" {
				is.True(!sent) // no new run after one that may have run
				fresh++
			} else {
				is.True(decision.Send.BackEnd.Address != decision.Send.ContinueFrom)
				continued++
			}
			switch rapid.IntRange(0, 6).Draw(t, "outcome") {
			case 0:
				decision = core.NotConnected(start, x)
			case 1:
				decision = core.Refused(start, x)
			case 2:
				decision, sent = core.ConnectionLost(start, x), true
			case 3:
				decision, sent = core.TimedOut(start, x), true
			default:
				passEvents(core, start, x, rapid.IntRange(0, 3).Draw(t, "events"))
				decision, sent = breakOff(core, start, x), true
			}
		}
		core.Done(start, x)
		is.True(continued <= maxContinuations)
		for _, m := range core.members {
			is.Equal(m.own, 0)
			is.Equal(m.copies, 0)
		}
	})
}
