package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/failure"
)

// backEndsInZones returns back ends that are distributed over the zones in turn.
func backEndsInZones(count, slots int, zones ...string) []catalog.BackEnd {
	list := backEnds(count, slots)
	for i := range list {
		list[i].Zone = zones[i%len(zones)]
	}
	return list
}

func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	is := is.New(t)
	core := newCore(backEndsInZones(6, 64, "a", "b"))
	core.SetEvacuated(start, []string{"a"}, nil)
	for i := range 30 {
		_, decision := core.Begin(start, request(repeatable(2), fmt.Sprint(i), Part{ID: fmt.Sprint("part", i), Tokens: 9000}, Part{ID: "own"}))
		is.Equal(decision.Send.BackEnd.Zone, "b")
	}
	core.SetBackEnds(start, backEndsInZones(8, 64, "a", "b")) // one joins in zone a
	_, decision := core.Begin(start, request(repeatable(2), "x"))
	is.Equal(decision.Send.BackEnd.Zone, "b")
}

func TestRetryAvoidsEvacuatedZone(t *testing.T) {
	is := is.New(t)
	core := newCore(backEndsInZones(2, 6, "a", "b"))
	core.SetEvacuated(start, []string{"b"}, nil)
	x, first := core.Begin(start, request(repeatable(2), "x"))
	is.Equal(first.Send.BackEnd.Zone, "a")
	is.True(core.Refused(start, x).GiveUp != nil) // the only remaining back end refused it
}

func TestRequestIsRefusedWhenAllZonesAreEvacuated(t *testing.T) {
	is := is.New(t)
	core := newCore(backEndsInZones(4, 6, "a"))
	core.SetEvacuated(start, []string{"a"}, nil)
	_, decision := core.Begin(start, request(repeatable(2), "x"))
	is.Equal(decision.GiveUp.Kind, failure.PoolExhausted)
	is.True(decision.GiveUp.Kind.Answer().Ran == failure.RanNo)
	core.SetEvacuated(start, nil, []catalog.Evacuation{{Zone: "a", Withdrawn: true, Revision: 9}})
	_, decision = core.Begin(start, request(repeatable(2), "y"))
	is.True(decision.Send != nil)
}

// Back ends may have become cold while they were idle, and don't report it at once.
func TestRestoredZoneWarmsUp(t *testing.T) {
	is := is.New(t)
	core := newCore(backEndsInZones(2, 64, "a"))
	core.SetServices([]catalog.Service{{Name: "s", WarmUpRate: 2, WarmUpTime: 3 * time.Second}})
	core.SetEvacuated(start, []string{"a"}, nil)
	core.SetEvacuated(start, nil, []catalog.Evacuation{{Zone: "a", Withdrawn: true, Revision: 9}})
	is.True(core.BackEndStatuses(start)[0].WarmsUp)
	is.True(!core.BackEndStatuses(start.Add(3 * time.Second))[0].WarmsUp)
}

// An entry from before the restoration of a zone may arrive after it: from the watch of a slow
// store, or from an old list. It doesn't account for the warm-up that is needed since.
func TestEntryOlderThanRestorationDoesNotEndWarmUp(t *testing.T) {
	is := is.New(t)
	list := backEndsInZones(1, 64, "a")
	core := newCore(list)
	core.SetServices([]catalog.Service{{Name: "s", WarmUpRate: 2, WarmUpTime: 3 * time.Second}})
	core.SetEvacuated(start, []string{"a"}, nil)
	core.SetEvacuated(start, nil, []catalog.Evacuation{{Zone: "a", Withdrawn: true, Revision: 9}})
	warmsUp := func(revision uint64, left time.Duration) bool {
		list[0].WarmUp, list[0].WarmUpAt = left, catalog.Position{Revision: revision}
		core.SetBackEnds(start, list)
		return core.BackEndStatuses(start.Add(time.Second))[0].WarmsUp
	}
	is.True(warmsUp(7, 100*time.Millisecond)) // an earlier warm-up, received late
	is.True(warmsUp(0, 0))                    // warm, according to an old entry
	is.True(!warmsUp(10, 100*time.Millisecond))
}

// A back end of a restored zone that is listed only after the restoration counts as cold as well.
func TestBackEndListedAfterRestorationWarmsUp(t *testing.T) {
	is := is.New(t)
	core := newCore(backEndsInZones(1, 64, "a"))
	core.SetServices([]catalog.Service{{Name: "s", WarmUpRate: 2, WarmUpTime: 3 * time.Second}})
	core.SetEvacuated(start, nil, []catalog.Evacuation{{Zone: "a", Withdrawn: true, Revision: 9}})
	core.SetBackEnds(start.Add(time.Second), backEndsInZones(2, 64, "a"))
	is.True(core.BackEndStatuses(start.Add(2 * time.Second))[1].WarmsUp)
	is.True(!core.BackEndStatuses(start.Add(3 * time.Second))[1].WarmsUp)
}

// Guards against a gateway that starts, hears of the withdrawal from a peer before it has read the configuration, and then
// takes the back ends of the zone for warm.
func TestRestorationHeardBeforeTheConfigurationWarmsUp(t *testing.T) {
	is := is.New(t)
	services := []catalog.Service{{Name: "s", WarmUpRate: 2, WarmUpTime: 3 * time.Second}}
	withdrawn := []catalog.Evacuation{{Zone: "a", Withdrawn: true, Revision: 9}}
	core := newCore(backEndsInZones(2, 64, "a"))
	core.SetEvacuated(start, nil, withdrawn)
	core.SetServices(services)
	is.True(core.BackEndStatuses(start.Add(time.Second))[0].WarmsUp)
	is.True(!core.BackEndStatuses(start.Add(3 * time.Second))[0].WarmsUp)

	reported := backEndsInZones(2, 64, "a") // their entries are newer than the withdrawal
	reported[0].WarmUp, reported[0].WarmUpAt = 500*time.Millisecond, catalog.Position{Revision: 10}
	core = New(DefaultConfig())
	core.SetEvacuated(start, nil, withdrawn)
	core.SetBackEnds(start, reported)
	core.SetServices(services)
	is.True(core.BackEndStatuses(start)[0].WarmsUp)
	is.True(!core.BackEndStatuses(start.Add(time.Second))[0].WarmsUp)
}
