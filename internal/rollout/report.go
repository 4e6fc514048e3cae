package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Report is what a gateway knows of an order, for operators.
type Report struct {
	Order Order
	// Age is how long ago it was given, State what the store says, and Abandoned whether the
	// candidate was found bad.
	Age       time.Duration
	State     State
	Abandoned bool
	// Finding is why, where this gateway found so.
	Finding *Finding
	// Sent counts attempts at the service since the order, Exposed those at the candidate.
	Sent    int
	Exposed int
	// UnderWay are those that run at the standing version.
	InFlight int
	// Awaits is what must be before the order is completed.
	Waits []Wait
	// Routes are those with requests, by key.
	Routes []RouteReport
}

// RouteReport is what is known of one route.
type RouteReport struct {
	// Route is the route's key, and Share the part of its requests that go to the candidate.
	Route uint32
	Share float64
	// Candidate and Standing are the tallies of both sides, and Doubt how much speaks against
	// the candidate.
	Candidate Tally
	Standing  Tally
	Doubt     float64
}

// Age returns how long ago the order was given.
func (j *Judge) Age(now time.Time) time.Duration { return now.Sub(j.beganAt) }

// Finding returns why this gateway found the candidate bad, or nil.
func (j *Judge) Finding() *Finding { return j.finding }

// Report returns what is known by the last look.
func (j *Judge) Report(now time.Time) Report {
	report := Report{
		Order: j.order, Age: j.Age(now), State: j.state, Abandoned: j.abandoned, Finding: j.finding,
	}
	if !j.state.IsVerdict() {
		report.Waits = j.Waits(now)
	}
	routes := map[uint32]*RouteReport{}
	for _, each := range sortedTallies(j.latestTallies()) {
		route := routes[each.Key.Route]
		if route == nil {
			route = &RouteReport{Route: each.Key.Route, Share: j.share(now, each.Key.Route), Doubt: j.doubts[each.Key.Route]}
			routes[each.Key.Route] = route
		}
		report.Sent += int(each.Sent)
		if each.side() == Candidate {
			report.Exposed += int(each.Sent)
			route.Candidate = each.Plus(route.Candidate)
		} else {
			report.InFlight += int(each.InFlight)
			route.Standing = each.Plus(route.Standing)
		}
	}
	for _, each := range routes {
		report.Routes = append(report.Routes, *each)
	}
	slices.SortFunc(report.Routes, func(a, b RouteReport) int { return cmp.Compare(a.Route, b.Route) })
	return report
}
