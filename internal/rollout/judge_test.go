package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func newJudge(gateways int) *Judge {
	j := NewJudge(start, Order{Service: "s", Target: "v2", Duration: 12 * time.Second}, testLimits)
	j.SetGateways(gateways)
	j.SetCandidates(start, true)
	return j
}

// Gateways that have no tallies of their peers together keep the exposure limits, whatever their
// number, even if each of them gets a request only every few seconds.
func TestExposureLimitHoldsWithoutPeerTallies(t *testing.T) {
	for _, gateways := range []int{1, 7, 357, 1000} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			is := is.New(t)
			for _, requests := range []int{20, 600, 6000} {
				judges := make([]*Judge, gateways)
				for i := range judges {
					judges[i] = newJudge(max(gateways, 2))
				}
				exposed := 0
				for i := range requests {
					now := start.Add(12 * time.Second * time.Duration(i) / time.Duration(requests))
					if judges[i%gateways].FirstSide(now, "r", fmt.Sprint("request ", i)) == Candidate {
						exposed++
					}
				}
				is.True(float64(exposed) <= testLimits.Share*float64(requests)+testLimits.Extra)
			}
		})
	}
}

// A candidate that any gateway found bad gets no more requests from the others either, and a
// later mark doesn't undo that.
func TestAbandonedCandidateGetsNoRequests(t *testing.T) {
	is := is.New(t)
	one, other := newJudge(2), newJudge(2)
	one.abandoned = true
	is.True(other.MergeMark(start.Add(time.Second), one.Mark(start.Add(time.Second))))
	is.True(!other.MergeMark(start.Add(time.Second), one.Mark(start.Add(time.Second))))
	other.MergeMark(start, newJudge(2).Mark(start))
	is.True(!other.Allows(Candidate))
	for i := range 100 {
		is.Equal(other.FirstSide(start.Add(11*time.Second), "r", fmt.Sprint(i)), Standing)
	}
	is.Equal(other.DueState(start.Add(2*time.Second)), Reverted)
}

// The verdict in the store binds every gateway, whatever the gateway found itself, and is never
// undone.
func TestStoredVerdictIsFinal(t *testing.T) {
	is := is.New(t)
	j := newJudge(1)
	j.abandoned = true
	j.SetState(Completed)
	is.Equal(j.DueState(start), Completed)
	is.True(!j.Allows(Standing))
	j.SetState(InProgress) // a stale state from the store
	is.Equal(j.State(), Completed)
}

// Gateways take the oldest age of an order from their peers' marks, and ignore marks of other
// orders.
func TestMarksPropagateOldestOrderAge(t *testing.T) {
	is := is.New(t)
	old, young := newJudge(2), newJudge(2)
	young.beganAt = start.Add(5 * time.Second)
	now := start.Add(6 * time.Second)
	young.MergeMark(now, old.Mark(now))
	is.Equal(young.Age(now), 6*time.Second)
	old.MergeMark(now, young.Mark(now))
	is.Equal(old.Age(now), 6*time.Second)
	old.MergeMark(now, Mark{Order: 1, AgeMillis: 1e12})
	is.Equal(old.Age(now), 6*time.Second)
}

// The verdict makes the standing back ends stop, so it waits for the requests that run there.
func TestCompletionWaitsForRequestsAtStandingVersion(t *testing.T) {
	is := is.New(t)
	j := newJudge(1)
	attempt := j.StartAttempt(start, Standing, AttemptFacts{Route: "r", BackEnd: "a", First: true, Stream: true})
	late := start.Add(20 * time.Second)
	j.Evaluate(late)
	is.Equal(j.DueState(late), InProgress)
	is.Equal(j.Waits(late), []Wait{WaitStanding})
	attempt.End(late, true)
	is.Equal(j.DueState(late), Completed)
}

// One group of back ends that fails, and attempts that broke off without an answer, don't count
// against a version.
func TestOneFailingBackEndIsNoFinding(t *testing.T) {
	is := is.New(t)
	j := newJudge(1)
	for i := range 400 {
		side, backEnd := Side(i%2), fmt.Sprint("b", i%12)
		attempt := j.StartAttempt(start, side, AttemptFacts{Route: "r", BackEnd: backEnd, First: true})
		if side == Candidate && backEnd == "b3" {
			attempt.Failed(start.Add(50 * time.Millisecond))
		} else if i%5 == 0 {
			attempt.End(start.Add(time.Second), false) // broke off
			continue
		} else {
			attempt.Answered(start.Add(50 * time.Millisecond))
		}
		attempt.End(start.Add(50*time.Millisecond), true)
	}
	is.True(!j.Evaluate(start.Add(3 * time.Second)))
	is.True(!j.isDoubtful())
}

// Tallies of other orders, and of groups that only another build has, cause no panic in the
// evaluation and the report.
func TestUnknownTalliesDoNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := newJudge(3)
		var tallies []Tally
		for range rapid.IntRange(0, 20).Draw(t, "tallies") {
			tallies = append(tallies, Tally{
				Key:     Key{Order: rapid.SampledFrom([]uint32{j.id, 0, 7}).Draw(t, "order"), Route: rapid.Uint32().Draw(t, "route"), Group: rapid.Uint8().Draw(t, "group")},
				Answers: rapid.Uint32Range(0, 50).Draw(t, "answers"), Failed: rapid.Uint32Range(0, 60).Draw(t, "failed"),
				Timed: rapid.Uint32().Draw(t, "timed"), Slow: rapid.Uint32().Draw(t, "slow"),
			})
		}
		j.SetTallyTotals(start, tallies, 3, 3)
		j.Evaluate(start.Add(time.Second))
		j.Report(start.Add(time.Second))
	})
}

// A gateway that starts after an order's deadline, and has learned of no finding yet, knows
// nothing about the candidate: it must see the candidate tried before it completes the rollout.
func TestLateGatewayWaitsForProbation(t *testing.T) {
	is := is.New(t)
	began := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	order := Order{Service: "pool", Target: "v2", Duration: 12 * time.Second}
	started := began.Add(order.Duration + 4*time.Second)
	j := NewJudge(started, order, Limits{Share: 0.1, Extra: 50})
	j.MergeMark(started, Mark{Order: order.ID(), AgeMillis: started.Sub(began).Milliseconds()})
	j.SetCandidates(started, true)
	is.Equal(j.DueState(started), InProgress)
	is.Equal(j.Waits(started), []Wait{WaitRoutes})
	tried := started.Add(order.Duration/probationDivisor + j.rampTime() + minRamp)
	is.Equal(j.DueState(tried.Add(-time.Millisecond)), InProgress)
	is.Equal(j.DueState(tried), Completed) // no requests and no peer with a finding
}

// recordAttempt starts an attempt and ends it at the same time.
func (j *Judge) recordAttempt(at time.Time, side Side, backEnd int, fails bool) {
	attempt := j.StartAttempt(at, side, AttemptFacts{Route: "r", BackEnd: fmt.Sprint("b", backEnd), First: true})
	if fails {
		attempt.Failed(at)
	} else {
		attempt.Answered(at)
	}
	attempt.End(at, true)
}

// While the whole service is in trouble, a bad candidate can't be distinguished from the standing
// version. That trouble must not excuse the candidate afterwards: one that fails six in ten
// requests must be in doubt or abandoned, and must be reverted near the deadline.
func TestBadCandidateIsRevertedAfterServiceTrouble(t *testing.T) {
	for name, standingRecovers := range map[string]bool{"standing version recovers": true, "standing version gets no more requests": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j := newJudge(1)
			const perSecond = 50
			for second := range 11 {
				at := start.Add(time.Duration(second) * time.Second)
				inTrouble := second < 8
				for i := range perSecond {
					if inTrouble || standingRecovers {
						j.recordAttempt(at, Standing, i%8, inTrouble && i%4 != 0)
					}
					j.recordAttempt(at, Candidate, i%8, i%5 < 3)
				}
				j.Evaluate(at.Add(900 * time.Millisecond))
			}
			late := start.Add(11900 * time.Millisecond)
			is.True(j.isDoubtful() || j.abandoned)
			is.Equal(j.DueState(late), Reverted)
		})
	}
}

// A candidate that answers well after earlier trouble of the whole service is neither abandoned
// nor in doubt.
func TestGoodCandidateIsNotBlamedForServiceTrouble(t *testing.T) {
	is := is.New(t)
	j := newJudge(1)
	for second := range 11 {
		at := start.Add(time.Duration(second) * time.Second)
		for i := range 50 {
			fails := second < 6 && i%4 != 0
			j.recordAttempt(at, Standing, i%8, fails)
			j.recordAttempt(at, Candidate, i%8, fails)
		}
		j.Evaluate(at.Add(900 * time.Millisecond))
	}
	is.True(!j.abandoned)
	is.True(!j.isDoubtful())
}
