package rollout

import (
	"maps"
	"math"
	"slices"
)

// The test decides whether the candidate's rate of bad answers is acceptable, given the standing
// version's rate, or exceeds the acceptable rate by one of rateIncreases. It does so for failures
// and for slow answers, for each route and for all routes together. It is a sequential probability
// ratio test. It is repeated as tallies change, over the whole order and over the spans from
// several earlier times until now, so that the good beginning of a version that turns bad late
// doesn't count in its favour.
//
// On each side the group of back ends with the most bad answers is left out. A single machine
// that fails, as machines of any version may, must neither count against its version nor excuse
// the other one; a bad version shows on all of its machines.

// rateIncreases are the differences that matter to operators. A candidate whose rate of bad
// answers is higher by the first is detected within about twenty answers. One whose rate is
// higher by the second, such as a version that fails intermittently, is detected before its
// fiftieth bad answer. Smaller differences take more answers than a rollout may expose.
var rateIncreases = [...]float64{0.15, 0.05}

const (
	// findingThreshold is the log-likelihood ratio from which a candidate counts as bad. By
	// Wald's bound the probability that one evaluation errs is at most e^-9, about 1 in 8,000. An
	// order has about a hundred evaluations of ten hypotheses over eight spans. Since these depend
	// on each other, they stay below the limit that at most one good version in a hundred may be
	// reverted.
	findingThreshold = 9
	// maxDoubt is the log-likelihood ratio up to which a candidate may get a larger share and may
	// be completed. At e^2 its answers are about seven times as likely from a bad version as from
	// an acceptable one. A candidate that is still in doubt near the deadline is reverted, since a
	// bad version that serves alone harms every caller, and a good one that has to wait harms
	// none.
	maxDoubt = 2
	// A candidate whose rate is at most toleranceFactor times the standing version's plus
	// toleranceMargin isn't bad: the standing version's rate is only an estimate, and varies
	// between machines.
	toleranceMargin = 0.01
	toleranceFactor = 1.5
	// spanDiscount is subtracted from the ratio over a span, but not from that over the whole
	// order, before it counts as doubt: more often than not, one of eight spans contains a run of
	// bad luck.
	spanDiscount = 3
	// priorAnswers and priorBad are the prior of a rate of bad answers. It is what counts for a
	// standing version without answers.
	priorAnswers = 10
	priorBad     = 0.5
	// latestPriorBad is added to the failures of the standing version in the latest span. Thirty
	// answers without a failure are consistent with a rate of 5 in 100, and must not be the
	// reason to doubt a candidate with hundreds of answers.
	latestPriorBad = 1.5
	// minControlAnswers is the number of answers of the standing version in a span that are
	// enough to compare with that span alone.
	minControlAnswers = 30
	// maxJudgedRate is the rate of bad answers of the standing version above which there is no
	// finding: the whole service is in trouble, whatever the version.
	maxJudgedRate = 0.6
	// maxAcceptableRate limits the acceptable rate of failures in the latest span: a candidate
	// that fails clearly more often gets no larger share, whatever the standing version's rate.
	// While the whole service is in trouble, the failures of one version are no evidence in favour
	// of the other; afterwards the standing version may have no answers left to compare with.
	maxAcceptableRate = 0.3
)

// proportion is a number of bad answers among a total number.
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

// rate returns the estimated rate of bad answers, including the prior.
func (p proportion) rate() float64 { return (p.bad + priorBad) / (p.total + priorAnswers) }

// logLikelihoodRatio returns the log-likelihood ratio of a bad candidate to one whose rate is
// within the tolerance of the standing version's rate. It returns 0 if the standing version's
// rate is above maxJudgedRate.
func logLikelihoodRatio(candidate, standing proportion) float64 {
	standingRate := standing.rate()
	if standingRate > maxJudgedRate {
		return 0
	}
	return logRatioAbove(candidate, standingRate*toleranceFactor+toleranceMargin)
}

// logRatioAbove returns the log-likelihood ratio, given the candidate's answers, of a rate that
// exceeds the acceptable one by one of rateIncreases to the acceptable rate itself: the highest
// for any of them, and at least 0.
func logRatioAbove(candidate proportion, acceptable float64) float64 {
	highest := 0.0
	for _, increase := range rateIncreases {
		unacceptable := min(acceptable+increase, 1-toleranceMargin)
		ratio := candidate.bad*math.Log(unacceptable/acceptable) + (candidate.total-candidate.bad)*math.Log((1-unacceptable)/(1-acceptable))
		highest = max(highest, ratio)
	}
	return highest
}

// Finding is the reason why a candidate counts as bad.
type Finding struct {
	// Route is the route's key, or 0 for all routes together.
	Route uint32 `json:"route"`
	// Measure is "failed" or "slow".
	Measure string `json:"what"`
	// Bad and Answers count the candidate's answers without the group of back ends that is left
	// out, StandingBad and StandingAnswers those of the standing version.
	Bad             int `json:"bad"`
	Answers         int `json:"answers"`
	StandingBad     int `json:"usual_bad"`
	StandingAnswers int `json:"usual_answers"`
	// Ratio is the log-likelihood ratio.
	Ratio float64 `json:"likelihood_ratio"`
}

// measure is a kind of bad answer that is tested for.
type measure uint8

// The measures.
const (
	failed measure = iota
	slow
	measureCount
)

// String returns the measure's name in findings.
func (m measure) String() string { return [...]string{"failed", "slow"}[m] }

// proportionOf returns the tally's proportion of bad answers by the measure.
func (m measure) proportionOf(t Tally) proportion {
	if m == failed {
		return proportion{bad: float64(t.Failed), total: float64(t.Answers)}
	}
	return proportion{bad: float64(t.Slow), total: float64(t.Timed)}
}

// span holds what was counted in a time span, summed up for the test: by route, with key 0 for
// all routes together, and by group.
type span map[uint32]*groupSums

// groupSums holds the sums of each group of back ends, by measure.
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

// withoutWorst returns the sum of the groups of one side of a route, without the group that has
// the most bad answers. A group that is the only one with answers isn't left out.
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

// evaluateSpans evaluates the evidence against the candidate over several spans, of which the
// first is the whole order. It returns the first sufficient finding, or nil, and the doubt on
// each route, with key 0 for all routes together.
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

// latestDoubt returns the doubt because of the candidate's failures in the latest span alone, or
// 0 if the ratio is below findingThreshold. The failures are compared with the standing version's
// rate in the same span, if it has enough answers there, so that trouble that is over excuses
// nothing. This is no finding, since so short a span may contain a run of bad luck. But while the
// doubt lasts, the candidate gets no larger share and isn't completed.
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

// testSpan compares the two sides over a span. In a short span, above all once most requests go
// to the candidate, a few answers without a bad one say little about the standing version's usual
// rate. So the rate over the whole order is used if the span has too few answers or a lower rate.
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
