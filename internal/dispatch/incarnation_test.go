package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// withStartTime returns a copy of the list in which one back end has another start time.
func withStartTime(list []catalog.BackEnd, number int, born int64) []catalog.BackEnd {
	changed := make([]catalog.BackEnd, len(list))
	copy(changed, list)
	changed[number].Born = born
	return changed
}

// A back end that returns under its ID holds nothing that its previous incarnation prefilled.
func TestRestartedBackEndHoldsNoParts(t *testing.T) {
	is := is.New(t)
	list := withStartTime(backEnds(6, 64), 0, 1000)
	core := newCore(list)
	part := partRankedFirstAt(core, "b00")
	is.Equal(serveChat(start, core, "first", part), "b00")
	x, _ := core.Begin(start, chatRequest("copy", part))
	is.Equal(core.usableHolder(start, keyOf(part), nil).backEnd.ID, "b00")
	core.SetBackEnds(start, withStartTime(list, 0, 2000))
	is.True(core.usableHolder(start, keyOf(part), nil) == nil)
	is.Equal(core.memoryShare(core.members["b00"]), 0.0)
	core.Answered(start, x, -1) // an answer of the previous incarnation doesn't affect this one
	core.Done(start, x)
	is.Equal(core.members["b00"].own, 0)
}

// partRankedFirstAt returns a prompt part for which the back end ranks first.
func partRankedFirstAt(core *Core, id string) string {
	for part := 'a'; ; part++ {
		if rendezvousOrder(core, string(part))[0] == id {
			return string(part)
		}
	}
}

// A peer's holdings of one incarnation must not be attributed to another one, in whichever order
// a gateway learns of the two. Holdings without a start time, from older software, are accepted.
func TestHoldingsOfAnotherIncarnationAreIgnored(t *testing.T) {
	is := is.New(t)
	list := backEnds(6, 64)
	older, newer := withStartTime(list, 0, 2000), withStartTime(list, 0, 1000) // the clock of the newer one stepped back
	holdingsOf := func(born int64) []Holdings {
		return []Holdings{{BackEnd: "b00", Born: born, Parts: []uint64{7}, Tokens: []int{9000}}}
	}
	core := newCore(newer)
	core.MergePeerHoldings(start, holdingsOf(2000))
	is.True(core.usableHolder(start, 7, nil) == nil)
	core.MergePeerHoldings(start, holdingsOf(1000))
	is.Equal(core.usableHolder(start, 7, nil).backEnd.ID, "b00")

	core = newCore(older)
	core.MergePeerHoldings(start, holdingsOf(1000)) // received before this gateway learns of the restart
	is.True(core.usableHolder(start, 7, nil) == nil)
	core.SetBackEnds(start, newer)
	is.Equal(core.usableHolder(start, 7, nil).backEnd.ID, "b00")

	core = newCore(newer)
	core.MergePeerHoldings(start, holdingsOf(0))
	is.Equal(core.usableHolder(start, 7, nil).backEnd.ID, "b00")
}

// Health, load and warm-up belong to one incarnation.
func TestRestartUnderSameIDResetsState(t *testing.T) {
	is := is.New(t)
	list := withStartTime(backEnds(2, 6), 0, 1000)
	core := newCore(list)
	old := core.members["b00"]
	old.health.displaced = true
	old.own, old.others, old.firstSeen = 4, othersLoad{requests: 9}, start.Add(-time.Hour)
	core.SetBackEnds(start, withStartTime(list, 0, 3000))
	restarted := core.members["b00"]
	is.Equal(restarted.health.status(start), Healthy)
	is.Equal(restarted.own, 0)
	is.Equal(restarted.others, othersLoad{})
	is.Equal(restarted.firstSeen, start)

	core.SetBackEnds(start, backEnds(2, 6)) // an entry from a gateway that doesn't know start times
	is.True(core.members["b00"] == restarted)
}

// A back end that crashed may return, cold, under its ID before its entry says so. Until then all
// gateways together must keep within its warm-up limit.
func TestCrashedBackEndIsLimitedWhenItReturns(t *testing.T) {
	is := is.New(t)
	sent := 0
	for _, self := range []string{"g1", "g2", "g3"} {
		core := newCore(backEnds(8, 64))
		core.config.WarmUpOverage, core.config.WarmUpExtra = 1.5, 2
		core.SetServices([]catalog.Service{{Name: "s", WarmUpRate: 4, WarmUpTime: 2 * time.Second}})
		fleet := Fleet{Self: self, HasSeeds: true}
		for _, other := range []string{"g1", "g2", "g3"} {
			if other != self {
				fleet.Known = append(fleet.Known, other)
			}
		}
		core.SetFleet(start.Add(-time.Minute), fleet)
		for i := range 20 { // back ends that crashed long ago and are gone
			core.crashes.connectionLost(start, Fingerprint(100+i), incarnationKey(i))
		}
		part := partRankedFirstAt(core, "b00")
		first, _ := core.Begin(start, crashingRequest(part))
		core.ConnectionLost(start, first)
		second, decision := core.Begin(start, crashingRequest(part))
		is.Equal(decision.Send.BackEnd.ID, "b00")
		core.NotConnected(start, second)
		for i := range 100 { // after its ejection has ended
			now := start.Add(4*time.Second + time.Duration(i)*5*time.Millisecond)
			request := crashingRequest(part)
			request.ID = fmt.Sprint(i)
			x, decision := core.Begin(now, request)
			if decision.Send.BackEnd.ID == "b00" {
				sent++
			}
			core.Answered(now, x, -1)
			core.Done(now, x)
		}
	}
	is.True(sent > 0)
	is.True(sent <= 8)
}

// crashingRequest returns a request with the part, and with a content that can be suspected after
// a crash.
func crashingRequest(part string) Request {
	made := chatRequest("crashing", part)
	made.Fingerprints = func() []Fingerprint { return []Fingerprint{1} }
	return made
}

// A back end that lapses and returns as another incarnation doesn't inherit the lapsed state.
func TestLapsedBackEndReturnsAsNewIncarnation(t *testing.T) {
	is := is.New(t)
	list := withStartTime(backEnds(4, 6), 0, 1000)
	core := newCore(list)
	core.members["b00"].health.displaced = true
	core.SetBackEnds(start, list[1:])
	core.SetBackEnds(start, withStartTime(list, 0, 4000))
	is.Equal(core.members["b00"].health.status(start), Healthy)
}
