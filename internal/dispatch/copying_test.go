package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// promptWithPrefix returns a request whose prompt begins with a prefix that many prompts share.
func promptWithPrefix(id, prefix, part string) Request {
	return request(repeatable(1), id, Part{ID: prefix, Tokens: 300}, Part{ID: part, Tokens: 9000}, Part{ID: "own" + id, Tokens: 100})
}

// send runs a request to completion and returns its first attempt.
func send(now time.Time, core *Core, request Request) *Send {
	x, decision := core.Begin(now, request)
	core.Answered(now, x, -1)
	core.Done(now, x)
	return decision.Send
}

// addressOf returns the address of a member.
func addressOf(core *Core, id string) string { return core.members[id].backEnd.Address }

// newSettledCore returns a core that has known its back ends for an hour. Requests' deadlines are
// relative to start, so the first list is dated back instead of advancing the time.
func newSettledCore(count int) *Core {
	core := newCore(backEnds(count, 64))
	core.listedAt = start.Add(-time.Hour)
	return core
}

// While caches fill, each back end gets the same prefixes with ever new continuations.
func TestPrefixIsCopiedWhenNoBackEndHoldsTheRest(t *testing.T) {
	is := is.New(t)
	core := newSettledCore(9)
	first := send(start, core, promptWithPrefix("a", "beginning", "part0"))
	elsewhere := 0
	for i := 1; i < 30; i++ {
		next := send(start, core, promptWithPrefix(fmt.Sprint("b", i), "beginning", fmt.Sprint("part", i)))
		if next.BackEnd.ID == first.BackEnd.ID {
			continue
		}
		elsewhere++
		is.Equal(next.FetchFrom, first.BackEnd.Address)
	}
	is.True(elsewhere > 15)
}

// A gateway that has just started can't know that no back end holds a prompt. The next member in
// rendezvous order may have prefilled all of it, which is more than the prefix.
func TestRestartedGatewayCopiesFromNextRankedBackEnd(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(9, 64))
	for i := range 30 {
		part := fmt.Sprint("part", i)
		sent := send(start, core, promptWithPrefix(part, "beginning", part))
		is.Equal(sent.FetchFrom, addressOf(core, rendezvousOrder(core, part)[1]))
	}
}

// Peers learn of one holder of a prefix, and pass on only the first one that they learn of.
func TestOnlyOnePrefixHolderIsPublished(t *testing.T) {
	is := is.New(t)
	from, to := newSettledCore(9), newSettledCore(9)
	for i := range 30 {
		send(start, from, promptWithPrefix(fmt.Sprint(i), "beginning", fmt.Sprint("part", i)))
	}
	gossipHoldings(start, from, to, 0)
	holder := from.usableHolder(start, keyOf("beginning"), nil)
	is.Equal(to.usableHolder(start, keyOf("beginning"), nil).backEnd.ID, holder.backEnd.ID)
	other := rendezvousOrder(to, "beginning")[0]
	to.MergePeerHoldings(start, []Holdings{{BackEnd: other, Parts: []uint64{uint64(keyOf("beginning"))}, Tokens: []int{prefixTokens}}})
	is.Equal(len(to.holders.holdersOf(start, keyOf("beginning"))), 1)
}

// When the holder of a prefix is gone, the next back end that prefills it becomes the holder.
func TestPrefixGetsNewHolderAfterItsHolderIsGone(t *testing.T) {
	is := is.New(t)
	list := backEnds(9, 64)
	core := newCore(list)
	first := send(start, core, promptWithPrefix("a", "beginning", "part0"))
	for i, each := range list {
		if each.ID == first.BackEnd.ID {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	core.SetBackEnds(start, list)
	now := start.Add(2 * core.config.LapseTime)
	second := send(now, core, promptWithPrefix("b", "beginning", "part1"))
	is.Equal(core.usableHolder(now, keyOf("beginning"), nil).backEnd.ID, second.BackEnd.ID)
}

// A member that joined now ranks before the member that ranked first until then, which may have
// prefilled the whole prompt: more than its prefix.
func TestNewcomerCopiesFromPreviouslyFirstRankedBackEnd(t *testing.T) {
	is := is.New(t)
	core := newSettledCore(6)
	joined := start.Add(newcomerAgeGap)
	core.SetBackEnds(joined, backEnds(9, 64))
	send(start, core, promptWithPrefix("a", "beginning", "first"))
	taken := 0
	for i := range 60 {
		part := fmt.Sprint("other", i)
		order := rendezvousOrder(core, part)
		sent := send(start, core, promptWithPrefix(part, "beginning", part))
		if sent.BackEnd.ID != order[0] || !core.members[order[0]].firstSeen.Equal(joined) || core.members[order[1]].firstSeen.Equal(joined) {
			continue
		}
		taken++
		is.Equal(sent.FetchFrom, addressOf(core, order[1]))
	}
	is.True(taken > 5)
}
