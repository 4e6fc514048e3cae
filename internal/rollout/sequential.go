package rollout

import (
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
var worseSteps = [...]float64{0.15, 0.05}

const (
	// evidence is the log likelihood ratio at which a candidate counts as bad: by Wald's bound
	// a look errs once in e^9, some 8,000. About a hundred looks on ten hypotheses and eight
	// spans, which depend on each other, stay below the one good version in a hundred that may
	// be reverted.
	evidence = 9
	// mostDoubt is the log likelihood ratio up to which a candidate gets more of a route, and
	// may be completed: e^2 is some seven to one that it is bad. What is still in doubt near the
	// deadline is reverted, since a bad version that serves alone harms every caller and a good
	// one that has to wait harms none.
	mostDoubt = 2
	// worseMargin and worseFactor are what a candidate may be worse by without being bad: the
	// standing version is measured too, and its part varies from one machine to another.
	worseMargin = 0.01
	worseFactor = 1.5
	// spanDoubt is how much more must speak against a candidate in a span than over the whole
	// time to count as doubt: one of eight spans holds a run of bad luck more often than not.
	spanDoubt = 3
	// priorAnswers and priorBad stand for what is known of a standing version without answers.
	priorAnswers = 10
	priorBad     = 0.5
	// leastControl is how many answers of the standing version in the last seconds let it be
	// compared by these alone.
	leastControl = 30
	// mostBad is the part of bad answers of the standing version above which nothing is judged:
	// the service is in trouble, whatever its version.
	mostBad = 0.6
)

// proportion is so many bad ones of so many answers.
type proportion struct {
	bad float64
	of  float64
}

func (p proportion) plus(bad, of uint32) proportion {
	return proportion{bad: p.bad + float64(bad), of: p.of + float64(of)}
}

// likelihoodRatio returns, as a logarithm, how much better the candidate's bad answers are
// explained by a bad version than by the standing version's part of them.
func likelihoodRatio(candidate, standing proportion) float64 {
	usual := (standing.bad + priorBad) / (standing.of + priorAnswers)
	if usual > mostBad {
		return 0
	}
	bearable := usual*worseFactor + worseMargin
	highest := 0.0
	for _, step := range worseSteps {
		unbearable := min(bearable+step, 1-worseMargin)
		ratio := candidate.bad*math.Log(unbearable/bearable) + (candidate.of-candidate.bad)*math.Log((1-unbearable)/(1-bearable))
		highest = max(highest, ratio)
	}
	return highest
}

// Finding is why a candidate counts as bad.
type Finding struct {
	// Route is the route's key, 0 for all routes together.
	Route uint32 `json:"route"`
	// What is "failed" or "slow".
	What string `json:"what"`
	// Bad of Answers are the candidate's, without the back end that is left out; UsualBad of
	// UsualAnswers the standing version's.
	Bad          int `json:"bad"`
	Answers      int `json:"answers"`
	UsualBad     int `json:"usual_bad"`
	UsualAnswers int `json:"usual_answers"`
	// Ratio is the logarithm of the likelihood ratio.
	Ratio float64 `json:"likelihood_ratio"`
}

// measure picks what is tested out of a tally.
type measure struct {
	name string
	pick func(Tally) (bad, of uint32)
}

var measures = []measure{
	{"failed", func(t Tally) (bad, of uint32) { return t.Failed, t.Answers }},
	{"slow", func(t Tally) (bad, of uint32) { return t.Slow, t.Timed }},
}

// find returns what speaks against the candidate by the tallies of several spans, of which the
// first is the whole time: the first finding that suffices, or nil, and the doubt on each route,
// with 0 for all routes together.
func find(spans [][]Tally) (finding *Finding, doubts map[uint32]float64) {
	doubts = map[uint32]float64{}
	routes := append(routesOf(spans[0]), 0)
	for _, measure := range measures {
		for _, route := range routes {
			always := withoutWorst(spans[0], measure, route, Standing)
			for i, span := range spans {
				standing := withoutWorst(span, measure, route, Standing)
				if standing.of < leastControl {
					standing = always
				}
				found := testOne(span, measure, route, standing)
				doubt := found.Ratio
				if i > 0 {
					doubt -= spanDoubt
				}
				doubts[route] = max(doubts[route], doubt)
				if finding == nil && found.Ratio >= evidence {
					finding = &found
				}
			}
		}
	}
	return finding, doubts
}

func testOne(tallies []Tally, measure measure, route uint32, standing proportion) Finding {
	candidate := withoutWorst(tallies, measure, route, Candidate)
	return Finding{
		Route: route, What: measure.name, Ratio: likelihoodRatio(candidate, standing),
		Bad: int(candidate.bad), Answers: int(candidate.of),
		UsualBad: int(standing.bad), UsualAnswers: int(standing.of),
	}
}

// routesOf returns the routes that the tallies are of, in order.
func routesOf(tallies []Tally) []uint32 {
	var routes []uint32
	for _, each := range tallies {
		if !slices.Contains(routes, each.Key.Route) {
			routes = append(routes, each.Key.Route)
		}
	}
	slices.Sort(routes)
	return routes
}

// withoutWorst adds up the groups of one side, of a route or of all for route 0, but the one with
// the most bad answers. A group that is alone is the version.
func withoutWorst(tallies []Tally, measure measure, route uint32, side Side) proportion {
	groups := map[uint8]proportion{}
	for _, each := range tallies {
		if each.side() == side && (route == 0 || each.Key.Route == route) {
			groups[each.Key.Group] = groups[each.Key.Group].plus(measure.pick(each))
		}
	}
	var sum, worst proportion
	for _, each := range groups {
		sum = proportion{bad: sum.bad + each.bad, of: sum.of + each.of}
		if each.bad > worst.bad || each.bad == worst.bad && each.of < worst.of {
			worst = each
		}
	}
	if len(groups) > 1 {
		sum = proportion{bad: sum.bad - worst.bad, of: sum.of - worst.of}
	}
	return sum
}
