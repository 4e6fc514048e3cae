package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/failure"
	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

// requestWithContent returns a request whose content has the given fingerprint.
func requestWithContent(content uint64, id string) Request {
	made := request(repeatable(1), id)
	made.Fingerprints = func() []Fingerprint { return []Fingerprint{Fingerprint(content)} }
	return made
}

// crashBackEnds loses the connections of requests with a content, and returns the back ends.
func crashBackEnds(core *Core, now time.Time, content uint64, times int) []string {
	var crashed []string
	for i := range times {
		request := requestWithContent(content, fmt.Sprint("crash", i))
		request.Deadline = now.Add(time.Minute)
		x, decision := core.Begin(now, request)
		if decision.Send == nil {
			break
		}
		crashed = append(crashed, decision.Send.BackEnd.ID)
		core.ConnectionLost(now, x)
		core.members[decision.Send.BackEnd.ID].health.connectFailed(now) // not reachable afterwards
	}
	return crashed
}

// isWithheld reports whether a new request with the content is refused as withheld.
func isWithheld(core *Core, now time.Time, content uint64) bool {
	probe := requestWithContent(content, "probe")
	probe.Deadline = now.Add(time.Minute)
	x, decision := core.Begin(now, probe)
	if decision.GiveUp != nil {
		return decision.GiveUp.Kind == failure.Withheld
	}
	core.Done(now, x)
	return false
}

func TestContentIsWithheldAfterThreeCrashes(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(12, 6))
	ended := crashBackEnds(core, start, 7, 5)
	is.Equal(len(ended), crashesToWithhold)
	is.Equal(len(slices.Compact(slices.Sorted(slices.Values(ended)))), crashesToWithhold) // three different ones
	is.True(isWithheld(core, start, 7))
	is.True(!isWithheld(core, start, 8))
	for _, delay := range suspectTrials.delays { // the trials fail
		is.True(isWithheld(core, core.crashes.get(7).lastAt.Add(delay-time.Millisecond), 7))
		due := core.crashes.get(7).lastAt.Add(delay + trialSlot).Truncate(trialSlot)
		is.Equal(len(crashBackEnds(core, due, 7, 2)), 1)
	}
	lastTrial := core.crashes.get(7).lastAt
	is.True(isWithheld(core, lastTrial.Add(withholdTime-time.Minute), 7))
	is.True(!isWithheld(core, lastTrial.Add(withholdTime+time.Minute), 7))
}

// A request that may have run must not be answered with an error that promises it didn't.
func TestWithheldRetryIsReportedAsPossiblyRun(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(12, 6))
	crashBackEnds(core, start, 7, crashesToWithhold-1)
	again := requestWithContent(7, "again")
	again.Route = repeatable(3)
	x, decision := core.Begin(start, again)
	is.True(decision.Send != nil)
	decision = core.ConnectionLost(start, x)
	is.True(decision.Send == nil)
	is.Equal(decision.GiveUp.Kind, failure.BackendFailed)
}

func TestLaterAnswerRetractsPresumedCrash(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(12, 6))
	crashBackEnds(core, start, 7, crashesToWithhold)
	is.True(isWithheld(core, start, 7))
	for _, m := range core.members {
		m.health = health{}
	}
	later := start.Add(100 * time.Millisecond)
	for i := range 100 { // every back end answers some of them
		x, decision := core.Begin(later, requestWithContent(uint64(100+i), fmt.Sprint(i)))
		if decision.Send != nil {
			core.Answered(later, x, -1)
			core.Done(later, x)
		}
	}
	is.True(!isWithheld(core, later, 7))
	records, _ := core.CrashesSince(later.Add(time.Minute), 0, 100)
	is.Equal(len(records), 0) // nor is anything published to peers
}

func TestCompleteAnswerReleasesContent(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(12, 6))
	x, _ := core.Begin(start, requestWithContent(7, "long"))
	crashBackEnds(core, start, 7, crashesToWithhold)
	is.True(isWithheld(core, start, 7))
	core.Answered(start, x, -1)
	core.Completed(x)
	is.True(!isWithheld(core, start, 7))
	is.Equal(len(crashBackEnds(core, start, 7, 5)), crashesToWithhold) // later crashes are counted from zero
}

func TestConnectionLossAtLeavingBackEndIsNotACrash(t *testing.T) {
	is := is.New(t)
	list := backEnds(12, 6)
	core := newCore(list)
	for i := range crashesToWithhold + 1 {
		x, decision := core.Begin(start, requestWithContent(7, fmt.Sprint(i)))
		is.True(decision.Send != nil)
		at := slices.IndexFunc(list, func(each catalog.BackEnd) bool { return each.ID == decision.Send.BackEnd.ID })
		list[at].Leaving = true
		core.SetBackEnds(start, list)
		core.ConnectionLost(start, x)
	}
	is.True(!isWithheld(core, start, 7))
}

// A back end that restarts under the same ID is a new incarnation.
func TestEachIncarnationCountsAsSeparateCrash(t *testing.T) {
	is := is.New(t)
	list := backEnds(1, 6)
	core := newCore(list)
	for restart := range crashesToWithhold {
		list[0].Born = int64(1000 + restart)
		now := start.Add(time.Duration(restart) * 10 * time.Second)
		core.SetBackEnds(now, list)
		is.Equal(len(crashBackEnds(core, now, 7, 1)), 1)
		_, decision := core.Begin(now, requestWithContent(9, "refused"))
		is.True(decision.Send != nil)
	}
	is.True(isWithheld(core, start.Add(crashesToWithhold*10*time.Second), 7)) // before the first trial
}

// The failure of a zone interrupts hundreds of requests. Their contents must not evict the
// withheld ones.
func TestManySuspectsDoNotEvictWithheldContent(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(12, 6))
	crashBackEnds(core, start, 7, crashesToWithhold)
	for content := range uint64(2 * maxSuspected) {
		crashBackEnds(core, start, 100+content, 1)
	}
	is.True(isWithheld(core, start, 7))
	is.True(core.crashes.contents.suspected.Len() <= maxSuspected)
}

func TestPeersWithholdPublishedCrashes(t *testing.T) {
	is := is.New(t)
	observer, peer := newCore(backEnds(12, 6)), newCore(backEnds(12, 6))
	crashBackEnds(observer, start, 7, crashesToWithhold)
	records, cursor := observer.CrashesSince(start, 0, 100)
	is.Equal(len(records), 0) // they may still turn out not to be crashes
	records, cursor = observer.CrashesSince(start.Add(crashPublishDelay), cursor, 100)
	is.Equal(len(records), 1)
	peer.MergeCrashes(start, records)
	is.True(isWithheld(peer, start, 7))
	changed := peer.TakeWithheldChanges()
	is.Equal(len(changed), 1)
	is.True(changed[0].Withheld && !changed[0].Own)
	records, _ = observer.CrashesSince(start.Add(crashPublishDelay), cursor, 100)
	is.Equal(len(records), 0)
}

// Reports of crashes, survivals and answers may arrive late, twice, in part and in any order. All
// gateways must end up with the same contents withheld.
func TestCrashRecordsConvergeInAnyDeliveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 4
		cores := make([]*Core, gateways)
		cursors := [gateways][gateways]uint64{}
		for i := range cores {
			cores[i] = newCore(backEnds(10, 6))
		}
		now := start
		gossip := func(from, to, limit int) {
			records, next := cores[from].CrashesSince(now, cursors[from][to], limit)
			cores[to].MergeCrashes(now, records)
			if rapid.Bool().Draw(t, "heard") {
				cursors[from][to] = next
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			at := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			content := uint64(rapid.IntRange(1, 3).Draw(t, "content"))
			x, decision := cores[at].Begin(now, requestWithContent(content, fmt.Sprint(now)))
			if decision.Send != nil {
				switch rapid.IntRange(0, 3).Draw(t, "outcome") {
				case 0, 1:
					cores[at].ConnectionLost(now, x)
				case 2:
					cores[at].NotConnected(now, x)
				default:
					cores[at].Answered(now, x, -1)
					cores[at].Completed(x)
				}
			}
			gossip(at, rapid.IntRange(0, gateways-1).Draw(t, "to"), rapid.IntRange(1, 2).Draw(t, "most"))
		}
		now = now.Add(crashPublishDelay)
		for range gateways * 4 {
			for from := range gateways {
				for to := range gateways {
					records, next := cores[from].CrashesSince(now, cursors[from][to], 2)
					cores[to].MergeCrashes(now, records)
					cursors[from][to] = next
				}
			}
		}
		for _, core := range cores[1:] {
			if !slices.Equal(core.Withheld(), cores[0].Withheld()) {
				t.Fatalf("gateways withhold %v and %v", cores[0].Withheld(), core.Withheld())
			}
		}
	})
}
