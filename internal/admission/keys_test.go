package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/failure"
)

func keyed(id RequestID, value string, issued time.Time) Request {
	r := request(id)
	r.Key = &Key{Value: value, Issued: issued, Digest: 1}
	return r
}

func TestKeyRunsAtMostOnce(t *testing.T) {
	is := is.New(t)
	g := NewGate(testConfig(), testKeyTable())
	now := start.Add(10 * time.Second)
	is.Equal(kindOf(arrive(g, now, keyed(1, "k", now))), "start")
	is.Equal(kindOf(arrive(g, now, keyed(2, "k", now))), failure.KeyInProgress)
	g.Step(now, Finished{ID: 1, Outcome: Outcome{Known: true, Reply: "answer"}})
	replay, ok := arrive(g, now, keyed(3, "k", now))[0].(Replay)
	is.True(ok)
	is.Equal(replay.Outcome.Reply, "answer")
	other := keyed(4, "k", now)
	other.Key.Digest = 2
	is.Equal(kindOf(arrive(g, now, other)), failure.KeyReused)
}

func TestKeysOfDroppedRepliesNeverRunAgain(t *testing.T) {
	is := is.New(t)
	g := NewGate(testConfig(), testKeyTable())
	now := start.Add(10 * time.Second)
	for id := RequestID(1); id <= 3; id++ {
		is.Equal(kindOf(arrive(g, now, keyed(id, fmt.Sprint(id), now))), "start")
		g.Step(now, Finished{ID: id, Outcome: Outcome{Known: true, Reply: "answer", Size: 40}})
	}
	first, ok := arrive(g, now, keyed(11, "1", now))[0].(Replay)
	is.True(ok)
	is.Equal(first.Outcome.Reply, nil) // three replies of 40 bytes exceed the limit of 100
	last, ok := arrive(g, now, keyed(13, "3", now))[0].(Replay)
	is.True(ok)
	is.Equal(last.Outcome.Reply, "answer")
}

func TestKeyOfRequestThatDidNotRunIsReleased(t *testing.T) {
	is := is.New(t)
	g := NewGate(testConfig(), testKeyTable())
	now := start.Add(10 * time.Second)
	arrive(g, now, keyed(1, "k", now))
	g.Step(now, Finished{ID: 1, NotRun: true})
	is.Equal(kindOf(arrive(g, now, keyed(2, "k", now))), "start")
}

func TestRepeatAfterUnknownOutcomeIsRefused(t *testing.T) {
	is := is.New(t)
	g := NewGate(testConfig(), testKeyTable())
	now := start.Add(10 * time.Second)
	arrive(g, now, keyed(1, "k", now))
	g.Step(now, Finished{ID: 1})
	is.Equal(kindOf(arrive(g, now, keyed(2, "k", now))), failure.OutcomeUnknown)
}

func TestKeyIssuedTooEarlyOrInFutureIsRefused(t *testing.T) {
	is := is.New(t)
	g := NewGate(testConfig(), testKeyTable())
	now := start.Add(10 * time.Second)
	is.Equal(kindOf(arrive(g, now, keyed(1, "a", start.Add(2*time.Second)))), failure.OutcomeUnknown)
	is.Equal(kindOf(arrive(g, now, keyed(2, "b", start.Add(2*time.Second+1)))), "start")
	is.Equal(kindOf(arrive(g, now, keyed(3, "c", now.Add(time.Second+1)))), failure.InvalidRequest)
}

func TestEvictedKeysNeverRunAgain(t *testing.T) {
	is := is.New(t)
	config := testConfig()
	config.Bound.Disabled = true
	g := NewGate(config, testKeyTable())
	now := start.Add(10 * time.Second)
	for id := RequestID(1); id <= 8; id++ { // twice the capacity
		issued := now.Add(time.Duration(id) * time.Millisecond)
		is.Equal(kindOf(arrive(g, now, keyed(id, fmt.Sprint(id), issued))), "start")
		g.Step(now, Finished{ID: id, Outcome: Outcome{Known: true}})
	}
	again := keyed(9, "1", now.Add(time.Millisecond))
	is.Equal(kindOf(arrive(g, now, again)), failure.OutcomeUnknown)
	muchLater := now.Add(2 * time.Hour)
	old := keyed(10, "8", now.Add(8*time.Millisecond))
	old.Deadline = muchLater.Add(time.Minute)
	is.Equal(kindOf(arrive(g, muchLater, old)), failure.OutcomeUnknown)
}

func TestCancellationReleasesQueuePlaceAndKey(t *testing.T) {
	is := is.New(t)
	g := fullGate(t)
	now := start.Add(10 * time.Second)
	arrive(g, now, keyed(1, "k", now))
	is.Equal(g.Load(), 5)
	g.Step(now, Cancelled{ID: 1})
	is.Equal(g.Load(), 4)
	is.Equal(len(arrive(g, now, keyed(2, "k", now))), 0) // queued, not "in progress"
}
