package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newUnreadCore returns a core of the given number of gateways, with one engine.
func newUnreadCore(gateways int) (*Core, *member) {
	core := newWorkCore(1)
	core.SetGateways(gateways)
	return core, core.members["b00"]
}

// unreadTotals are totals of two gateways with the unread tokens at the engine, in units.
func unreadTotals(units uint32) Totals {
	return Totals{Counted: 2, Expected: 2, Counts: []Count{{Key: CountKey("b00"), Requests: 3, Unread: units}}}
}

// Guards against unread tokens that are still reported after the first token, and against figures that
// aren't in units of UnreadUnit or differ between totals and loads.
func TestUnreadTokensAreReportedUntilTheFirstToken(t *testing.T) {
	is := is.New(t)
	core, _ := newUnreadCore(2)
	x, _ := core.Begin(start, streamRequest("a")) // 9,500 tokens
	is.Equal(core.Counts(start)[0].Unread, uint32(37))
	is.Equal(core.Loads(), []Load{{BackEnd: "b00", Requests: 1, Unread: 37}})
	core.Answered(start, x, -1)
	core.Progressed(start, x, testEventTokens)
	is.Equal(core.Counts(start)[0].Unread, uint32(0))
	is.Equal(core.Loads(), []Load{{BackEnd: "b00", Requests: 1}})
}

// Guards against unread tokens in messages about services without engines, and while the mechanism
// Workload is disabled.
func TestUnreadTokensAreReportedOnlyForEngines(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(1, 64))
	core.Begin(start, streamRequest("a"))
	is.Equal(core.Counts(start)[0].Unread, uint32(0))
	is.Equal(core.Loads(), []Load{{BackEnd: "b00", Requests: 1}})
	core.SetGateways(2)
	core.ApplyTotals(start, nil, unreadTotals(100))
	is.Equal(core.othersUnread(start, core.members["b00"]), 0.0)

	core = newWorkCore(1)
	core.config.Disabled = Disabled{Workload: true}
	core.SetBackEnds(start, backEnds(1, 64))
	core.Begin(start, streamRequest("a"))
	is.Equal(core.Counts(start)[0].Unread, uint32(0))
}

// Guards against counts that a caller makes invalid by stating a prompt of any length.
func TestReportedUnreadTokensAreLimited(t *testing.T) {
	is := is.New(t)
	core, _ := newUnreadCore(2)
	for i := range 3 {
		huge := streamRequest(fmt.Sprint(i))
		huge.PromptTokens = 1 << 60
		core.Begin(start, huge)
	}
	is.Equal(core.Counts(start)[0].Unread, uint32(maxUnreadUnits))
	is.Equal(core.Loads()[0].Unread, uint32(maxUnreadUnits))
}

// Guards against sums, differences and tests for zero that leave out the unread tokens of a count.
func TestCountsWithUnreadTokensAreSummedUp(t *testing.T) {
	is := is.New(t)
	one, two := Count{Key: 1, Unread: 3}, Count{Key: 1, Requests: 2, Unread: 5}
	is.Equal(one.Plus(two), Count{Key: 1, Requests: 2, Unread: 8})
	is.Equal(one.Plus(two).Minus(one), two)
	is.True(!one.IsZero())
}

// Guards against a gateway that counts its own prompts twice, and against an engine that seems to stand
// still between two exchanges.
func TestOthersUnreadTokensOfTotalsArePrefilled(t *testing.T) {
	is := is.New(t)
	core, m := newUnreadCore(2)
	core.Begin(start, streamRequest("a"))
	core.ApplyTotals(start, core.Counts(start), unreadTotals(37+40))
	is.Equal(core.othersUnread(start, m), 40.0*UnreadUnit)
	is.Equal(core.othersWork(start, m, core.estimate(start, m)).Unread, 40*UnreadUnit)
	now := start.Add(100 * time.Millisecond)
	rate := m.engine.PrefillRate(now)
	is.True(rate > 40_000 && rate < 60_000) // 57 per millisecond, less what decoding takes
	is.Equal(core.othersUnread(now, m), 40*UnreadUnit-rate*0.1)
	is.Equal(core.othersUnread(start.Add(time.Second), m), 0.0)
}

// Guards against unread tokens that seem fewer the fewer gateways the totals include: the missing ones
// are assumed to be like the others, as for the load.
func TestOthersUnreadTokensAreScaledToMissingGateways(t *testing.T) {
	is := is.New(t)
	core, m := newUnreadCore(5)
	totals := unreadTotals(40)
	totals.Counted, totals.Expected = 3, 5
	core.ApplyTotals(start, nil, totals)
	is.Equal(core.othersUnread(start, m), 80.0*UnreadUnit)
}

// Gateways of an older build report no unread tokens. Guards against a figure that is made up for them:
// they count as having none, at any load.
func TestGatewaysOfOlderBuildsCountAsHavingNoUnreadTokens(t *testing.T) {
	is := is.New(t)
	core, m := newUnreadCore(2)
	core.Begin(start, streamRequest("a"))
	core.ApplyTotals(start, core.Counts(start), unreadTotals(0))
	is.Equal(core.othersUnread(start, m), 0.0)
	core.SetPeerLoads(start.Add(time.Minute), "peer", []Load{{BackEnd: "b00", Requests: 7}})
	is.Equal(core.othersUnread(start.Add(time.Minute), m), 0.0)
}

// Guards against an outdated sum of unread tokens that is still used: once the totals are too old, the
// others' work follows from their load again.
func TestOutdatedTotalsShowNoUnreadTokens(t *testing.T) {
	is := is.New(t)
	core, m := newUnreadCore(2)
	for i := range 5 {
		core.Begin(start.Add(time.Duration(i)*workInterval), streamRequest(fmt.Sprint(i)))
	}
	now := start.Add(5 * workInterval)
	core.ApplyTotals(now, nil, unreadTotals(1<<20))
	is.True(core.othersUnread(now.Add(maxTotalsAge), m) > 0)
	now = now.Add(maxTotalsAge + time.Millisecond)
	is.Equal(core.othersUnread(now, m), 0.0)
	load := float64(m.own + 10)
	is.Equal(core.othersWork(now, m, load), core.assumedOthersWork(m, load))
	is.True(core.othersWork(now, m, load).Unread > 0)
}

// In a small fleet the reports of all peers are summed up. Guards against peers whose tokens are each
// prefilled at the engine's whole rate, and against sums that lack a peer.
func TestOthersUnreadTokensOfPeersArePrefilledTogether(t *testing.T) {
	is := is.New(t)
	core, m := newUnreadCore(3)
	core.SetPeerLoads(start, "first", []Load{{BackEnd: "b00", Requests: 2, Unread: 60}})
	is.Equal(core.othersUnread(start, m), 0.0) // the second one hasn't reported
	is.True(!core.knowsOthersUnread(start))
	now := start.Add(200 * time.Millisecond)
	core.SetPeerLoads(now, "second", []Load{{BackEnd: "b00", Requests: 1, Unread: 40}, {BackEnd: "gone", Requests: 1, Unread: 9}})
	rate := m.engine.PrefillRate(now)
	is.Equal(core.othersUnread(now, m), 100*UnreadUnit-rate*0.6*0.2)
	core.SetPeerLoads(now, "first", nil)
	is.Equal(core.othersUnread(now, m), 40.0*UnreadUnit)
	is.Equal(core.othersUnread(now.Add(maxPeerLoadAge+time.Millisecond), m), 0.0)
	core.SetPeerLoads(now, "first", []Load{{BackEnd: "b00", Unread: 1<<32 - 1}})
	is.Equal(core.othersUnread(now, m), float64(maxUnreadUnits+40)*UnreadUnit)
}
