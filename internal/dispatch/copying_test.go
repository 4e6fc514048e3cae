package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// continued returns a request whose prompt begins with a part that many share.
func continued(id, beginning, part string) Request {
	return request(repeatable(1), id, Part{ID: beginning, Tokens: 300}, Part{ID: part, Tokens: 9000}, Part{ID: "own" + id, Tokens: 100})
}

// send plays a request to its end and returns the attempt.
func send(now time.Time, core *Core, request Request) *Send {
	x, decision := core.Begin(now, request)
	core.Answered(now, x, -1)
	core.Done(now, x)
	return decision.Send
}

// addressOf returns the address of a member.
func addressOf(core *Core, id string) string { return core.members[id].backEnd.Address }

// longLived returns a core that has known its back ends for long. Deadlines of requests are
// counted from the beginning, so it is that which lies further back.
func longLived(count int) *Core {
	core := newCore(backEnds(count, 64))
	core.listedAt = start.Add(-time.Hour)
	return core
}

// While caches fill, each back end meets the same beginnings with ever new continuations.
func TestBeginningIsCopiedWhereNobodyHoldsTheRest(t *testing.T) {
	is := is.New(t)
	core := longLived(9)
	first := send(start, core, continued("a", "beginning", "part0"))
	elsewhere := 0
	for i := 1; i < 30; i++ {
		next := send(start, core, continued(fmt.Sprint("b", i), "beginning", fmt.Sprint("part", i)))
		if next.BackEnd.ID == first.BackEnd.ID {
			continue
		}
		elsewhere++
		is.Equal(next.FetchFrom, first.BackEnd.Address)
	}
	is.True(elsewhere > 15)
}

// A gateway that has just started can't tell that nobody holds a prompt: the next in order
// may have read all of it, which is more than a beginning.
func TestStartedGatewayCopiesFromTheNextInOrder(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(9, 64))
	for i := range 30 {
		part := fmt.Sprint("part", i)
		sent := send(start, core, continued(part, "beginning", part))
		is.Equal(sent.FetchFrom, addressOf(core, rendezvousOrder(core, part)[1]))
	}
}

// Peers hear of one holder of a beginning, and pass on the first that they hear of alone.
func TestOneHolderOfABeginningIsTold(t *testing.T) {
	is := is.New(t)
	from, to := longLived(9), longLived(9)
	for i := range 30 {
		send(start, from, continued(fmt.Sprint(i), "beginning", fmt.Sprint("part", i)))
	}
	tell(start, from, to, 0)
	holder := from.usableHolder(start, keyOf("beginning"), nil)
	is.Equal(to.usableHolder(start, keyOf("beginning"), nil).backEnd.ID, holder.backEnd.ID)
	other := rendezvousOrder(to, "beginning")[0]
	to.PeerHoldings(start, []Holdings{{BackEnd: other, Parts: []uint64{uint64(keyOf("beginning"))}, Tokens: []int{prefixTokens}}})
	is.Equal(len(to.holders.holding(start, keyOf("beginning"))), 1)
}

// A beginning whose holder has gone is noted at the next one.
func TestBeginningFindsAnotherHolder(t *testing.T) {
	is := is.New(t)
	list := backEnds(9, 64)
	core := newCore(list)
	first := send(start, core, continued("a", "beginning", "part0"))
	for i, each := range list {
		if each.ID == first.BackEnd.ID {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	core.SetBackEnds(start, list)
	now := start.Add(2 * core.config.LapseTime)
	second := send(now, core, continued("b", "beginning", "part1"))
	is.Equal(core.usableHolder(now, keyOf("beginning"), nil).backEnd.ID, second.BackEnd.ID)
}

// A member that joined took the place of the next in order, which may have read all of the
// prompt: more than its beginning.
func TestNewcomerCopiesFromTheOneWhosePlaceItTook(t *testing.T) {
	is := is.New(t)
	core := longLived(6)
	joined := start.Add(newcomerLead)
	core.SetBackEnds(joined, backEnds(9, 64))
	send(start, core, continued("a", "beginning", "first"))
	taken := 0
	for i := range 60 {
		part := fmt.Sprint("other", i)
		order := rendezvousOrder(core, part)
		sent := send(start, core, continued(part, "beginning", part))
		if sent.BackEnd.ID != order[0] || !core.members[order[0]].since.Equal(joined) || core.members[order[1]].since.Equal(joined) {
			continue
		}
		taken++
		is.Equal(sent.FetchFrom, addressOf(core, order[1]))
	}
	is.True(taken > 5)
}
