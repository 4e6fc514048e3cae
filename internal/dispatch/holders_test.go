package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/routing"
)

// rendezvousOrder returns the members' IDs in rendezvous order for the part.
func rendezvousOrder(core *Core, part string) []string {
	var ids []string
	for _, m := range core.pools["s"].members {
		ids = append(ids, m.backEnd.ID)
	}
	return routing.Rank(part, ids)
}

// chatRequest returns a request whose prompt has one shared part.
func chatRequest(id, part string) Request {
	return request(repeatable(1), id, Part{ID: part, Tokens: 9000}, Part{ID: "own" + id, Tokens: 100})
}

// serveChat runs a chat request to completion and returns its back end.
func serveChat(now time.Time, core *Core, id, part string) string {
	x, decision := core.Begin(now, chatRequest(id, part))
	core.Answered(now, x, -1)
	core.Done(start, x)
	return decision.Send.BackEnd.ID
}

// gossipHoldings sends all published holdings after the cursor to another core.
func gossipHoldings(now time.Time, from, to *Core, cursor uint64) uint64 {
	for {
		list, next := from.HoldingsSince(cursor, 7)
		if next == cursor {
			return next
		}
		to.MergePeerHoldings(now, list)
		cursor = next
	}
}

// A member that joins must not take over parts from holders that have room, regardless of which
// gateway gets the request.
func TestPartsStayWithHoldersWhenMembersJoin(t *testing.T) {
	is := is.New(t)
	first, second := newCore(backEnds(6, 64)), newCore(backEnds(6, 64))
	homes := map[string]string{}
	for i := range 100 {
		part := fmt.Sprint("part", i)
		homes[part] = serveChat(start, first, part, part)
	}
	gossipHoldings(start, first, second, 0)
	for _, core := range []*Core{first, second} {
		core.SetBackEnds(start, backEnds(9, 64))
	}
	for part, home := range homes {
		is.Equal(serveChat(start, first, "a"+part, part), home)
		is.Equal(serveChat(start, second, "b"+part, part), home)
	}
}

// A request for which the first holder has no room goes to another holder of the part before it
// goes to a member that doesn't hold it.
func TestOverflowPrefersOtherHolders(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(9, 64))
	order := rendezvousOrder(core, "part")
	core.holders.note(start, keyOf("part"), 9000, catalog.Incarnation{ID: order[7]})
	core.holders.note(start, keyOf("part"), 9000, catalog.Incarnation{ID: order[4]})
	is.Equal(serveChat(start, core, "a", "part"), order[4])
	core.members[order[4]].own = 60
	is.Equal(serveChat(start, core, "b", "part"), order[7])
}

func TestHoldingIsPublishedOncePerInterval(t *testing.T) {
	is := is.New(t)
	first, second := newCore(backEnds(6, 64)), newCore(backEnds(6, 64))
	serveChat(start, first, "a", "part")
	cursor := gossipHoldings(start, first, second, 0)
	is.Equal(cursor, uint64(1))
	is.Equal(gossipHoldings(start, second, first, 0), uint64(1)) // passed on once
	is.Equal(gossipHoldings(start, first, second, cursor), cursor)
	serveChat(start.Add(time.Second), first, "b", "part")
	is.Equal(gossipHoldings(start, first, second, cursor), cursor) // published recently
	serveChat(start.Add(republishInterval), first, "c", "part")
	is.Equal(gossipHoldings(start, first, second, cursor), cursor+1)
}

// The size of a message is bounded regardless of the traffic, and a peer that lags behind the
// ring buffer continues with what is left.
func TestPublishedHoldingsAreBounded(t *testing.T) {
	is := is.New(t)
	const limit = 100
	core := newCore(backEnds(6, 64))
	for i := range maxHoldingUpdates + 500 {
		core.holders.note(start, partKey(i), minPublishedTokens, catalog.Incarnation{ID: "b00"})
	}
	list, cursor := core.HoldingsSince(0, limit)
	is.Equal(len(list), 1)
	is.Equal(len(list[0].Parts), limit)
	is.Equal(list[0].Parts[0], uint64(500))
	is.Equal(cursor, uint64(500+limit))
}

// If memory is scarce, parts are distributed more evenly than by rendezvous order alone.
func TestScarceMemoryIsBalanced(t *testing.T) {
	is := is.New(t)
	fullest := func(cacheTokens int) int {
		core := newCore(backEnds(18, 64))
		core.SetServices([]catalog.Service{{Name: "s", CachesPrefixes: true, CacheTokens: cacheTokens}})
		for i := range 180 {
			serveChat(start, core, fmt.Sprint(i), fmt.Sprint("part", i))
		}
		most := 0
		for _, tokens := range core.holders.held {
			most = max(most, tokens)
		}
		return most
	}
	is.True(fullest(100_000) <= 13*9000) // 10 parts per member on average
	is.True(fullest(100_000_000) > 13*9000)
}

// Prefilling a short prompt costs no more than copying it, so its holders aren't published.
func TestShortPromptsAreNotPublished(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(6, 64))
	core.holders.note(start, partKey(1), minPublishedTokens-1, catalog.Incarnation{ID: "b00"})
	list, _ := core.HoldingsSince(0, 10)
	is.Equal(len(list), 0)
	is.Equal(core.holders.holdersOf(start, partKey(1)), []catalog.Incarnation{{ID: "b00"}})
}

// The tokens counted as held must always match the remembered holders.
func TestHeldTokensMatchRememberedHolders(t *testing.T) {
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
