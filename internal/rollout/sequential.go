package rollout

import (
	"maps"
	"math"
	"slices"
)

// The test asks, for failures and for slow answers, for each route and for all together,
// whether the candidate's part of bad answers is that of the standing version or higher by one
// of worseSteps. It is a sequential probability ratio test, looked at whenever tallies change, over
// the whole order and over spans from several earlier moments until now: a version that turns
// bad late isn't judged by its good beginning.
//
// On either side the group of back ends with the most bad answers is left out: one machine that
// fails, which may strike any version, can't speak for its version, nor excuse the other one; a
// bad version shows on all of them.

// worseSteps are the differences that matter to the operators: a candidate whose answers are bad
// more often by the first is found out within some twenty of them, and one that is so by the
// second, as it is where a version is bad now and then, before its fiftieth bad one. Smaller ones
// take more answers than a roll-out may expose.
var rateIncreases = [...]float64{0.15, 0.05}

const (
	// evidence is the log likelihood ratio at which a candidate counts as bad: by Wald's bound
	// a look errs once in e^9, some 8,000. About a hundred looks on ten hypotheses and eight
	// spans, which depend on each other, stay below the one good version in a hundred that may
	// be reverted.
	findingThreshold = 9
	// mostDoubt is the log likelihood ratio up to which a candidate gets more of a route, and
	// may be completed: e^2 is some seven to one that it is bad. What is still in doubt near the
	// deadline is reverted, since a bad version that serves alone harms every caller and a good
	// one that has to wait harms none.
	maxDoubt = 2
	// worseMargin and worseFactor are what a candidate may be worse by without being bad: the
	// standing version is measured too, and its part varies from one machine to another.
	toleranceMargin = 0.01
	toleranceFactor = 1.5
	// spanDoubt is how much more must speak against a candidate in a span than over the whole
	// time to count as doubt: one of eight spans holds a run of bad luck more often than not.
	spanDiscount = 3
	// priorAnswers and priorBad stand for what is known of a standing version without answers.
	priorAnswers = 10
	priorBad     = 0.5
	// momentPriorBad is added to the failures of the standing version in a short span: thirty
	// answers without one bear out 5 in 100, and must not convict a candidate with hundreds.
	latestPriorBad = 1.5
	// leastControl is how many answers of the standing version in the last seconds let it be
	// compared by these alone.
	minControlAnswers = 30
	// mostBad is the part of bad answers of the standing version above which nothing is judged:
	// the service is in trouble, whatever its version.
	maxJudgedRate = 0.6
	// mostExcused is the part of bad answers above which no candidate gets more, whatever the
	// standing version does: trouble of the whole service, while it lasts, says nothing good of
	// either, and afterwards the standing version may have no answers left to compare with.
	maxAcceptableRate = 0.3
)

// proportion is so many bad ones of so many answers.
type proportion struct {
	bad   float64
	total float64
}

func (p proportion) plus(other proportion) proportion {
	return proportion{bad: p.bad + other.bad, total: p.total + other.total}
}

func (p proportion) minus(other proportion) proportion {
	return proportion{bad: p.bad - other.bad, total: p.total - other.total}
}

// rate returns the part that is bad, with the prior.
func (p proportion) rate() float64 { return (p.bad + priorBad) / (p.total + priorAnswers) }

// likelihoodRatio returns, as a logarithm, how much better the candidate's bad answers are
// explained by a bad version than by the standing version's part of them.
func logLikelihoodRatio(candidate, standing proportion) float64 {
	standingRate := standing.rate()
	if standingRate > maxJudgedRate {
		return 0
	}
	return logRatioAbove(candidate, standingRate*toleranceFactor+toleranceMargin)
}

// ratioAbove returns the same for a part of bad answers that is bearable.
func logRatioAbove(candidate proportion, acceptable float64) float64 {
	highest := 0.0
	for _, increase := range rateIncreases {
		unacceptable := min(acceptable+increase, 1-toleranceMargin)
		ratio := candidate.bad*math.Log(unacceptable/acceptable) + (candidate.total-candidate.bad)*math.Log((1-unacceptable)/(1-acceptable))
		highest = max(highest, ratio)
	}
	return highest
}

// Finding is why a candidate counts as bad.
type Finding struct {
	// Route is the route's key, 0 for all routes together.
	Route uint32 `json:"route"`
	// What is "failed" or "slow".
	Measure string `json:"what"`
	// Bad of Answers are the candidate's, without the back end that is left out; UsualBad of
	// UsualAnswers the standing version's.
	Bad             int `json:"bad"`
	Answers         int `json:"answers"`
	StandingBad     int `json:"usual_bad"`
	StandingAnswers int `json:"usual_answers"`
	// Ratio is the logarithm of the likelihood ratio.
	Ratio float64 `json:"likelihood_ratio"`
}

// measure is what is tested.
type measure uint8

// The measures.
const (
	failed measure = iota
	slow
	measureCount
)

// String names the measure in findings.
func (m measure) String() string { return [...]string{"failed", "slow"}[m] }

// pick returns what a tally says of the measure.
func (m measure) proportionOf(t Tally) proportion {
	if m == failed {
		return proportion{bad: float64(t.Failed), total: float64(t.Answers)}
	}
	return proportion{bad: float64(t.Slow), total: float64(t.Timed)}
}

// span is what was counted in a span of time, added up for the test: by route, with 0 for all
// together, and by group.
type span map[uint32]*groupSums

// groupSums are the sums of each group of back ends, by measure.
type groupSums [standingGroups + candidateGroups][measureCount]proportion

func newSpan(tallies []Tally) span {
	sums := span{0: {}}
	for _, each := range tallies {
		if sums[each.Key.Route] == nil {
			sums[each.Key.Route] = &groupSums{}
		}
		for m := range measureCount {
			picked := m.proportionOf(each)
			for _, route := range []uint32{0, each.Key.Route} {
				group := &sums[route][each.Key.Group][m]
				*group = group.plus(picked)
			}
		}
	}
	return sums
}

// withoutWorst adds up the groups of one side of a route but the one with the most bad answers. A
// group that is alone is the version.
func (s span) withoutWorst(route uint32, m measure, side Side) proportion {
	groups := s[route]
	if groups == nil {
		return proportion{}
	}
	first, last := 0, standingGroups
	if side == Candidate {
		first, last = standingGroups, standingGroups+candidateGroups
	}
	var sum, worst proportion
	present := 0
	for _, group := range groups[first:last] {
		each := group[m]
		if each.total == 0 {
			continue
		}
		present++
		sum = sum.plus(each)
		if each.bad > worst.bad || each.bad == worst.bad && each.total < worst.total {
			worst = each
		}
	}
	if present > 1 {
		sum = sum.minus(worst)
	}
	return sum
}

// find returns what speaks against the candidate by the tallies of several spans, of which the
// first is the whole time: the first finding that suffices, or nil, and the doubt on each route,
// with 0 for all routes together.
func evaluateSpans(spans []span) (finding *Finding, doubts map[uint32]float64) {
	doubts = map[uint32]float64{}
	for _, route := range slices.Sorted(maps.Keys(spans[0])) {
		for m := range measureCount {
			overall := spans[0].withoutWorst(route, m, Standing)
			for i, each := range spans {
				result := testSpan(each, route, m, overall)
				doubt := result.Ratio
				if i > 0 {
					doubt -= spanDiscount
				}
				doubts[route] = max(doubts[route], doubt)
				if finding == nil && result.Ratio >= findingThreshold {
					finding = &result
				}
			}
			if m == failed {
				latest := spans[len(spans)-1]
				doubts[route] = max(doubts[route], latest.latestDoubt(route, overall))
			}
		}
	}
	return finding, doubts
}

// doubtOfTheMoment is what speaks against the candidate by its failures in the latest span alone,
// where that is as much as a finding needs. The standing version's are those of the same span, if
// there are enough: trouble that is over excuses nothing. It is no finding, since so short a span
// may hold a moment's bad luck, but while it lasts the candidate gets no more and isn't completed.
func (s span) latestDoubt(route uint32, overall proportion) float64 {
	standing := s.withoutWorst(route, failed, Standing)
	standing.bad += latestPriorBad
	if standing.total < minControlAnswers {
		standing = overall
	}
	acceptable := min(standing.rate()*toleranceFactor+toleranceMargin, maxAcceptableRate)
	ratio := logRatioAbove(s.withoutWorst(route, failed, Candidate), acceptable)
	if ratio < findingThreshold {
		return 0
	}
	return ratio
}

// test compares the sides in a span. In a short one, above all once most requests are moved, a
// few answers without a bad one say little of what is usual: then what always was counts.
func testSpan(s span, route uint32, m measure, overall proportion) Finding {
	standing := s.withoutWorst(route, m, Standing)
	if standing.total < minControlAnswers || standing.rate() < overall.rate() {
		standing = overall
	}
	candidate := s.withoutWorst(route, m, Candidate)
	return Finding{
		Route: route, Measure: m.String(), Ratio: logLikelihoodRatio(candidate, standing),
		Bad: int(candidate.bad), Answers: int(candidate.total),
		StandingBad: int(standing.bad), StandingAnswers: int(standing.total),
	}
}
