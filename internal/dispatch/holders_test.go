package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/routing"
)

// rendezvousOrder returns the IDs of the members in the order for the part.
func rendezvousOrder(core *Core, part string) []string {
	var ids []string
	for _, m := range core.pools["s"].members {
		ids = append(ids, m.backEnd.ID)
	}
	return routing.Rank(part, ids)
}

// chat returns a request whose prompt has one shared part.
func chat(id, part string) Request {
	return request(repeatable(1), id, Part{ID: part, Tokens: 9000}, Part{ID: "own" + id, Tokens: 100})
}

// serve plays a chat to its end and returns its back end.
func serve(now time.Time, core *Core, id, part string) string {
	x, decision := core.Begin(now, chat(id, part))
	core.Answered(now, x, -1)
	core.Done(start, x)
	return decision.Send.BackEnd.ID
}

// tell passes on what the first gateway knows until there is no more.
func tell(now time.Time, from, to *Core, number uint64) uint64 {
	for {
		list, next := from.HoldingsSince(number, 7)
		if next == number {
			return next
		}
		to.PeerHoldings(now, list)
		number = next
	}
}

// A member that joins takes no part from a holder that has room, whichever gateway
// the caller meets.
func TestPartsStayWithTheirHoldersWhenMembersJoin(t *testing.T) {
	is := is.New(t)
	first, second := newCore(backEnds(6, 64)), newCore(backEnds(6, 64))
	homes := map[string]string{}
	for i := range 100 {
		part := fmt.Sprint("part", i)
		homes[part] = serve(start, first, part, part)
	}
	tell(start, first, second, 0)
	for _, core := range []*Core{first, second} {
		core.SetBackEnds(start, backEnds(9, 64))
	}
	for part, home := range homes {
		is.Equal(serve(start, first, "a"+part, part), home)
		is.Equal(serve(start, second, "b"+part, part), home)
	}
}

// What a holder has no room for goes to another one that holds the part before it
// goes to one that doesn't.
func TestFurtherHoldersComeBeforeOthers(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(9, 64))
	order := rendezvousOrder(core, "part")
	core.holders.note(start, keyOf("part"), 9000, catalog.Incarnation{ID: order[7]})
	core.holders.note(start, keyOf("part"), 9000, catalog.Incarnation{ID: order[4]})
	is.Equal(serve(start, core, "a", "part"), order[4])
	core.members[order[4]].own = 60
	is.Equal(serve(start, core, "b", "part"), order[7])
}

func TestHoldingsAreToldOnceInAWhile(t *testing.T) {
	is := is.New(t)
	first, second := newCore(backEnds(6, 64)), newCore(backEnds(6, 64))
	serve(start, first, "a", "part")
	number := tell(start, first, second, 0)
	is.Equal(number, uint64(1))
	is.Equal(tell(start, second, first, 0), uint64(1)) // passed on once
	is.Equal(tell(start, first, second, number), number)
	serve(start.Add(time.Second), first, "b", "part")
	is.Equal(tell(start, first, second, number), number) // known of late
	serve(start.Add(retellTime), first, "c", "part")
	is.Equal(tell(start, first, second, number), number+1)
}

// A message is bounded, whatever the traffic, and a peer that lags by more than the
// memory goes on with what is left.
func TestHoldingsToldAreBounded(t *testing.T) {
	is := is.New(t)
	const most = 100
	core := newCore(backEnds(6, 64))
	for i := range rememberedNews + 500 {
		core.holders.note(start, partKey(i), leastTold, catalog.Incarnation{ID: "b00"})
	}
	list, number := core.HoldingsSince(0, most)
	is.Equal(len(list), 1)
	is.Equal(len(list[0].Parts), most)
	is.Equal(list[0].Parts[0], uint64(500))
	is.Equal(number, uint64(500+most))
}

// Where memory is scarce, parts spread over the members more evenly than by the
// order alone.
func TestScarceMemoryIsFilledEvenly(t *testing.T) {
	is := is.New(t)
	fullest := func(cacheTokens int) int {
		core := newCore(backEnds(18, 64))
		core.SetServices([]catalog.Service{{Name: "s", CachesPrefixes: true, CacheTokens: cacheTokens}})
		for i := range 180 {
			serve(start, core, fmt.Sprint(i), fmt.Sprint("part", i))
		}
		most := 0
		for _, tokens := range core.holders.held {
			most = max(most, tokens)
		}
		return most
	}
	is.True(fullest(100_000) <= 13*9000) // 10 parts a member on average
	is.True(fullest(100_000_000) > 13*9000)
}

// Short prompts aren't worth the bytes.
func TestShortPromptsAreNotTold(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(6, 64))
	core.holders.note(start, partKey(1), leastTold-1, catalog.Incarnation{ID: "b00"})
	list, _ := core.HoldingsSince(0, 10)
	is.Equal(len(list), 0)
	is.Equal(core.holders.holding(start, partKey(1)), []catalog.Incarnation{{ID: "b00"}})
}

// What is counted as held is what is remembered.
func TestHeldCountsWhatIsRemembered(t *testing.T) {
	is := is.New(t)
	h := newHolderMemory()
	now := start
	for i := range 5000 {
		now = now.Add(20 * time.Millisecond)
		h.note(now, partKey(i%700), 10, catalog.Incarnation{ID: fmt.Sprint("b", i%13)})
	}
	counted := map[catalog.Incarnation]int{}
	for _, list := range h.parts.Values() {
		for _, each := range list {
			counted[each.backEnd] += each.tokens
		}
	}
	is.Equal(h.held, counted)
}
