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

// requestOf returns a request of a content.
func requestOf(content uint64, id string) Request {
	made := request(repeatable(1), id)
	made.Fingerprints = func() []Fingerprint { return []Fingerprint{Fingerprint(content)} }
	return made
}

// crashUnder lets requests of a content break off, and returns the back ends.
func crashUnder(core *Core, now time.Time, content uint64, times int) []string {
	var ended []string
	for i := range times {
		x, decision := core.Begin(now, requestOf(content, fmt.Sprint("crash", i)))
		if decision.Send == nil {
			break
		}
		ended = append(ended, decision.Send.BackEnd.ID)
		core.Broken(now, x)
		core.members[decision.Send.BackEnd.ID].health.unreachable(now) // it is away
	}
	return ended
}

// isWithheld tells whether a further request of the content is refused as withheld.
func isWithheld(core *Core, now time.Time, content uint64) bool {
	probe := requestOf(content, "probe")
	probe.Deadline = now.Add(time.Minute)
	x, decision := core.Begin(now, probe)
	if decision.GiveUp != nil {
		return decision.GiveUp.Kind == failure.Withheld
	}
	core.Done(now, x)
	return false
}

func TestContentIsWithheldOnceThreeBackEndsCrashedUnderIt(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(12, 6))
	ended := crashUnder(core, start, 7, 5)
	is.Equal(len(ended), crashesToWithhold)
	is.Equal(len(slices.Compact(slices.Sorted(slices.Values(ended)))), crashesToWithhold) // three different ones
	is.True(isWithheld(core, start, 7))
	is.True(!isWithheld(core, start, 8))
	is.True(isWithheld(core, start.Add(withheldTime-time.Minute), 7))
	is.True(!isWithheld(core, start.Add(withheldTime+time.Minute), 7))
}

// What may have run is never answered with a promise that it didn't.
func TestFurtherAttemptIsWithheldWithoutAPromise(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(12, 6))
	crashUnder(core, start, 7, crashesToWithhold-1)
	again := requestOf(7, "again")
	again.Route = repeatable(3)
	x, decision := core.Begin(start, again)
	is.True(decision.Send != nil)
	decision = core.Broken(start, x)
	is.True(decision.Send == nil)
	is.Equal(decision.GiveUp.Kind, failure.BackendFailed)
}

func TestBackEndThatAnswersHadNotCrashed(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(12, 6))
	crashUnder(core, start, 7, crashesToWithhold)
	is.True(isWithheld(core, start, 7))
	for _, m := range core.members {
		m.health = health{}
	}
	later := start.Add(100 * time.Millisecond)
	for i := range 100 { // every back end answers some
		x, decision := core.Begin(later, requestOf(uint64(100+i), fmt.Sprint(i)))
		if decision.Send != nil {
			core.Answered(later, x, -1)
			core.Done(later, x)
		}
	}
	is.True(!isWithheld(core, later, 7))
	records, _ := core.CrashesSince(later.Add(time.Minute), 0, 100)
	is.Equal(len(records), 0) // and nobody is told
}

func TestContentThatIsAnsweredWholeIsNotWithheld(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(12, 6))
	x, _ := core.Begin(start, requestOf(7, "long"))
	crashUnder(core, start, 7, crashesToWithhold)
	is.True(isWithheld(core, start, 7))
	core.Answered(start, x, -1)
	core.Completed(x)
	is.True(!isWithheld(core, start, 7))
	is.Equal(len(crashUnder(core, start, 7, 5)), crashesToWithhold) // later crashes count anew
}

func TestBackEndThatLeavesHasNotCrashed(t *testing.T) {
	is := is.New(t)
	list := backEnds(12, 6)
	core := newCore(list)
	for i := range crashesToWithhold + 1 {
		x, decision := core.Begin(start, requestOf(7, fmt.Sprint(i)))
		is.True(decision.Send != nil)
		at := slices.IndexFunc(list, func(each catalog.BackEnd) bool { return each.ID == decision.Send.BackEnd.ID })
		list[at].Leaving = true
		core.SetBackEnds(start, list)
		core.Broken(start, x)
	}
	is.True(!isWithheld(core, start, 7))
}

// A back end that starts again under its ID is another one.
func TestEachStartOfABackEndCounts(t *testing.T) {
	is := is.New(t)
	list := backEnds(1, 6)
	core := newCore(list)
	for life := range crashesToWithhold {
		list[0].Born = int64(1000 + life)
		now := start.Add(time.Duration(life) * 10 * time.Second)
		core.SetBackEnds(now, list)
		is.Equal(len(crashUnder(core, now, 7, 1)), 1)
		_, decision := core.Begin(now, requestOf(9, "refused"))
		is.True(decision.Send != nil)
	}
	is.True(isWithheld(core, start.Add(time.Minute), 7))
}

// A zone that fails takes with it hundreds of requests, which must not push out those that
// are withheld.
func TestManyCrashesKeepTheWithheld(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(12, 6))
	crashUnder(core, start, 7, crashesToWithhold)
	for content := range uint64(2 * rememberedSuspects) {
		crashUnder(core, start, 100+content, 1)
	}
	is.True(isWithheld(core, start, 7))
	is.True(core.crashes.suspected.Len() <= rememberedSuspects)
}

func TestPeersWithholdWhatTheyAreTold(t *testing.T) {
	is := is.New(t)
	seen, told := newCore(backEnds(12, 6)), newCore(backEnds(12, 6))
	crashUnder(seen, start, 7, crashesToWithhold)
	records, reached := seen.CrashesSince(start, 0, 100)
	is.Equal(len(records), 0) // it may yet turn out to be none
	records, reached = seen.CrashesSince(start.Add(crashSettles), reached, 100)
	is.Equal(len(records), 1)
	told.TakeCrashes(start, records)
	is.True(isWithheld(told, start, 7))
	changed := told.TakeWithheldChanges()
	is.Equal(len(changed), 1)
	is.True(changed[0].Withheld && !changed[0].Own)
	records, _ = seen.CrashesSince(start.Add(crashSettles), reached, 100)
	is.Equal(len(records), 0)
}

// However news of crashes, survivals and answers goes round, late, doubled, in parts, all
// gateways end with the same contents withheld.
func TestOrderOfNewsOfCrashesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 4
		cores := make([]*Core, gateways)
		reached := [gateways][gateways]uint64{}
		for i := range cores {
			cores[i] = newCore(backEnds(10, 6))
		}
		now := start
		tell := func(from, to, most int) {
			records, next := cores[from].CrashesSince(now, reached[from][to], most)
			cores[to].TakeCrashes(now, records)
			if rapid.Bool().Draw(t, "heard") {
				reached[from][to] = next
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			at := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			content := uint64(rapid.IntRange(1, 3).Draw(t, "content"))
			x, decision := cores[at].Begin(now, requestOf(content, fmt.Sprint(now)))
			if decision.Send != nil {
				switch rapid.IntRange(0, 3).Draw(t, "outcome") {
				case 0, 1:
					cores[at].Broken(now, x)
				case 2:
					cores[at].NotConnected(now, x)
				default:
					cores[at].Answered(now, x, -1)
					cores[at].Completed(x)
				}
			}
			tell(at, rapid.IntRange(0, gateways-1).Draw(t, "to"), rapid.IntRange(1, 2).Draw(t, "most"))
		}
		now = now.Add(crashSettles)
		for range gateways * 4 {
			for from := range gateways {
				for to := range gateways {
					records, next := cores[from].CrashesSince(now, reached[from][to], 2)
					cores[to].TakeCrashes(now, records)
					reached[from][to] = next
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
