package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

// crashFleetSizes are fleets of one gateway, of a full mesh, and of two in which records need several hops.
var crashFleetSizes = []struct{ gateways, backEnds int }{{1, 41}, {5, 41}, {22, 41}, {340, 60}}

const (
	// usualCrashLoad is the usual load of a crashFleet in requests per second and back end.
	usualCrashLoad = 3.0
	// crashSettling is the time before and after a disturbance in which nothing is counted.
	crashSettling = 2 * time.Second
	// minBeganShare is the least share of sound requests that must begin at their first attempt, relative to a fleet
	// without the part.
	minBeganShare = 0.9
)

// badRates are rates of requests with badPart, per second.
var badRates = []float64{2, 10}

// Guards against a part of prompts that crashes one back end after the other in requests that are otherwise all
// different, and against sound requests with the same other parts that are withheld with it.
func TestPartThatCrashesBackEndsIsWithheld(t *testing.T) {
	for _, size := range crashFleetSizes {
		for seed, bad := range badRates {
			t.Run(fmt.Sprint(size.gateways, " gateways, ", bad, " a second"), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				load := crashLoad{sound: usualCrashLoad * float64(size.backEnds), parts: 40}
				simulate := func(bad float64) *crashFleet {
					f := newCrashFleet(uint64(seed), size.gateways, size.backEnds)
					f.simulate(crashSettling, load)
					beside := load
					beside.bad = bad
					f.simulate(15*time.Second, beside)
					return f
				}
				calm, disturbed := simulate(0), simulate(bad)
				is.True(len(disturbed.crashedAt) >= 1)
				since := disturbed.crashedAt[min(len(disturbed.crashedAt), operatorCrashes)-1].Add(partContact)
				without, _ := calm.beganAtFirst(since)
				with, withheld := disturbed.beganAtFirst(since)
				late := disturbed.lateSends()
				t.Logf("%d back ends crashed, %d late sends; sound requests begin at the first attempt %.3f without, %.3f with the part, %d withheld",
					len(disturbed.crashedAt), late, without, with, withheld)
				is.True(late <= allowedLateSends)
				is.True(with >= minBeganShare*without)
			})
		}
	}
}

// Guards against parts that are withheld because many back ends crash at the same moment for another cause.
func TestCrashOfAZoneWithholdsNoPart(t *testing.T) {
	for _, size := range crashFleetSizes {
		t.Run(fmt.Sprint(size.gateways, " gateways"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newCrashFleet(2, size.gateways, size.backEnds)
			load := crashLoad{sound: usualCrashLoad * float64(size.backEnds), parts: 40}
			f.simulate(crashSettling, load)
			crashed := f.now
			for _, each := range f.list {
				if each.Zone == "z1" {
					f.crash(f.backEnds[each.Address])
				}
			}
			f.simulate(10*time.Second, load)
			_, withheld := f.beganAtFirst(crashed)
			share, withheldLater := f.beganAtFirst(crashed.Add(partContact))
			t.Logf("%d sound requests withheld, %d of them later than %v; %.3f begin at the first attempt later", withheld, withheldLater, partContact, share)
			is.Equal(withheldLater, 0)
		})
	}
}

const (
	// releaseTime is the time in which a part that no longer crashes back ends must be released without an operator,
	// while trialRate requests with it come per second.
	releaseTime = 2 * time.Minute
	trialRate   = 4.0
)

// trialLoad is a load at which a fleet can be simulated for minutes.
var trialLoad = crashLoad{sound: 3, bad: trialRate, parts: 40}

// Guards against a part that stays withheld although back ends no longer crash under it.
func TestWithheldPartIsReleasedByATrial(t *testing.T) {
	for _, size := range crashFleetSizes {
		t.Run(fmt.Sprint(size.gateways, " gateways"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newCrashFleet(3, size.gateways, size.backEnds)
			f.simulate(10*time.Second, trialLoad)
			f.mended = true
			f.simulate(releaseTime, trialLoad)
			since := f.now
			f.simulate(5*time.Second, trialLoad)
			share := f.badBegan(since)
			t.Logf("%d back ends crashed; %.3f of the requests begin once it is mended", len(f.crashedAt), share)
			is.True(share >= minBeganShare)
		})
	}
}

// Guards against trials of a part that reach more back ends than operators allow.
func TestTrialsOfAPartAreFew(t *testing.T) {
	for _, size := range crashFleetSizes {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(size.gateways, " gateways, seed ", seed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newCrashFleet(seed, size.gateways, size.backEnds)
				f.simulate(4*time.Minute, trialLoad)
				t.Logf("%d back ends crashed, %d late sends", len(f.crashedAt), f.lateSends())
				is.True(f.lateSends() >= 1) // it is tried
				is.True(f.lateSends() <= allowedLateSends)
			})
		}
	}
}

// Reports of crashes under parts, of answers that began and of trials may arrive late, twice, in part and in any order.
// All gateways must end up with the same parts withheld.
func TestPartCrashRecordsConvergeInAnyDeliveryOrder(t *testing.T) {
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
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			at := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			shared := fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "part"))
			x, decision := cores[at].Begin(now, request(repeatable(1), fmt.Sprint(now), Part{ID: shared}, Part{ID: "last"}))
			if decision.Send != nil {
				if rapid.IntRange(0, 4).Draw(t, "outcome") == 0 {
					cores[at].Answered(now, x, -1)
					cores[at].Completed(x)
				} else {
					cores[at].ConnectionLost(now, x)
				}
			}
			gossip(at, rapid.IntRange(0, gateways-1).Draw(t, "to"), rapid.IntRange(1, 2).Draw(t, "most"))
		}
		now = now.Add(acquitWindow)
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

// Guards against parts of sound requests that are evicted or withheld by a caller who crashes back ends beside them.
func TestCrashesBesideSoundRequestsDoNotWithholdTheirParts(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(41, 6))
	now := start
	for i := range 20 {
		now = now.Add(time.Second)
		sound := request(repeatable(1), fmt.Sprint("sound", i), Part{ID: "theirs"}, Part{ID: "last"})
		sound.Deadline = now.Add(time.Minute)
		x, decision := core.Begin(now, sound)
		is.True(decision.Send != nil)
		if i%2 == 0 {
			core.ConnectionLost(now, x) // each second one is interrupted before its first event
			continue
		}
		core.Answered(now, x, -1)
		core.EventPassed(now, x, 0, true)
		core.Done(now, x)
	}
	is.Equal(len(core.Withheld()), 0)
}

// rareLoad has sound requests so rarely that hardly any answer begins under their parts between two crashes of the part.
var rareLoad = crashLoad{sound: 0.6, bad: trialRate, parts: 2}

// Guards against rare sound requests that stay withheld with the part because they share their first part with it: each
// trial would be one of the many requests with both.
func TestRareSoundRequestsWithTheSameFirstPartAreServed(t *testing.T) {
	for _, size := range crashFleetSizes {
		t.Run(fmt.Sprint(size.gateways, " gateways"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			total, began := 0, 0
			for seed := range uint64(5) {
				f := newCrashFleet(seed, size.gateways, size.backEnds)
				f.simulate(crashSettling, rareLoad)
				f.simulate(2*time.Minute, rareLoad)
				since := f.crashedAt[min(len(f.crashedAt), operatorCrashes)-1].Add(2 * partContact)
				for _, r := range f.requests {
					if !r.bad && r.parts[0].ID == "first0" && r.at.After(since) && r.at.Before(f.now.Add(-time.Second)) {
						total++
						if r.beganAtFirst {
							began++
						}
					}
				}
				is.True(f.lateSends() <= allowedLateSends)
			}
			t.Logf("%d of %d sound requests with the same first part begin at the first attempt", began, total)
			is.True(float64(began) >= minBeganShare*float64(total))
		})
	}
}

// Guards against parts that are withheld because back ends crash one after the other for another cause, under many
// requests and under few.
func TestUnrelatedCrashesWithholdNoParts(t *testing.T) {
	for _, size := range crashFleetSizes {
		for name, load := range map[string]crashLoad{
			"usual load":     {sound: usualCrashLoad * float64(size.backEnds), parts: 40},
			"many parts":     {sound: usualCrashLoad * float64(size.backEnds), parts: 2000},
			"few requests":   {sound: 5, parts: 40},
			"one other part": {sound: 5, parts: 1},
		} {
			t.Run(fmt.Sprint(size.gateways, " gateways, ", name), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newCrashFleet(4, size.gateways, size.backEnds)
				f.simulate(crashSettling, load)
				begin := f.now
				for i := range 80 {
					f.schedule(time.Duration(i)*250*time.Millisecond, func() {
						if b := f.backEnds[f.list[f.random.IntN(len(f.list))].Address]; !b.down {
							f.crash(b)
						}
					})
				}
				f.simulate(25*time.Second, load)
				share, withheld := f.beganAtFirst(begin)
				t.Logf("%d sound requests withheld; %.3f begin at the first attempt", withheld, share)
				is.Equal(withheld, 0)
			})
		}
	}
}
