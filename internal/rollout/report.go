package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Report is what a gateway knows about an order, for operators.
type Report struct {
	Order Order
	// Age is the time since the order was given, State the last known state in the store.
	// Abandoned is true if the candidate was found bad.
	Age       time.Duration
	State     State
	Abandoned bool
	// Finding is the reason, if this gateway found it.
	Finding *Finding
	// Sent counts the attempts of all gateways since the order, and Exposed those sent to the
	// candidate.
	Sent    int
	Exposed int
	// InFlight counts the attempts that are running at the standing version.
	InFlight int
	// Waits are the conditions that must be met before the order is completed.
	Waits []Wait
	// Routes are the routes with requests, ordered by key.
	Routes []RouteReport
}

// RouteReport is the evidence about the candidate on one route.
type RouteReport struct {
	// Route is the route's key, and Share the fraction of its requests that go to the candidate.
	Route uint32
	Share float64
	// Candidate and Standing are the tallies of the two sides. Doubt is the evidence against the
	// candidate, as a log-likelihood ratio.
	Candidate Tally
	Standing  Tally
	Doubt     float64
}

// Age returns the time since the order was given.
func (j *Judge) Age(now time.Time) time.Duration { return now.Sub(j.beganAt) }

// Finding returns why this gateway found the candidate bad, or nil.
func (j *Judge) Finding() *Finding { return j.finding }

// Report returns a report whose counts are those of the last evaluation.
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
