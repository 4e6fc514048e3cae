package gateway

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/rollout"
)

// RolloutStatus is the status of the rollout of a service.
type RolloutStatus struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// State is the state in the store. Abandoned is true if the candidate was found to be bad.
	State     string `json:"state"`
	Abandoned bool   `json:"abandoned,omitempty"`
	// Finding is the reason, if this gateway made the finding.
	Finding *rollout.Finding `json:"finding,omitempty"`
	// AgeSeconds is the time since the order, and DurationSeconds the ordered duration.
	AgeSeconds      float64 `json:"age_seconds"`
	DurationSeconds float64 `json:"duration_seconds"`
	// Sent counts the attempts of all gateways, Exposed those sent to the candidate version, and
	// InFlight those in flight at the standing version.
	Sent     int `json:"sent"`
	Exposed  int `json:"exposed"`
	InFlight int `json:"under_way_standing"`
	// Waits are the conditions that must be met before the rollout is completed.
	Waits  []rollout.Wait       `json:"awaits,omitempty"`
	Routes []RolloutRouteStatus `json:"routes"`
}

// RolloutRouteStatus is the evidence about the candidate on one route.
type RolloutRouteStatus struct {
	Route string `json:"route"`
	// Share is the fraction of the route's requests that go to the candidate.
	Share float64 `json:"share"`
	// Doubt is the log-likelihood ratio, given the answers, of a bad candidate to a good one.
	Doubt float64 `json:"doubt"`
	// Answers counts the candidate's judged answers, Failed those that reported a failure of the
	// back end. Timed counts the answers whose time was judged, Slow those that took several
	// times as long as the standing version's. The other fields are those of the standing version.
	Answers         uint32 `json:"answers"`
	Failed          uint32 `json:"failed"`
	Timed           uint32 `json:"timed"`
	Slow            uint32 `json:"slow"`
	StandingFailed  uint32 `json:"standing_failed"`
	StandingAnswers uint32 `json:"standing_answers"`
	StandingSlow    uint32 `json:"standing_slow"`
	StandingTimed   uint32 `json:"standing_timed"`
}

// rolloutStatus returns the status of each rollout.
func (s *State) rolloutStatus(now time.Time) []RolloutStatus {
	var list []RolloutStatus
	for _, each := range s.core.Rollouts(now) {
		status := RolloutStatus{
			Service: each.Order.Service, Target: each.Order.Target, State: each.State.String(), Abandoned: each.Abandoned,
			Finding: each.Finding, AgeSeconds: each.Age.Seconds(), DurationSeconds: each.Order.Duration.Seconds(),
			Sent: each.Sent, Exposed: each.Exposed, InFlight: each.InFlight, Waits: each.Waits, Routes: []RolloutRouteStatus{},
		}
		for _, route := range each.Routes {
			status.Routes = append(status.Routes, RolloutRouteStatus{
				Route: s.routeName(route.Route), Share: route.Share, Doubt: route.Doubt,
				Answers: route.Candidate.Answers, Failed: route.Candidate.Failed, Timed: route.Candidate.Timed, Slow: route.Candidate.Slow,
				StandingFailed: route.Standing.Failed, StandingAnswers: route.Standing.Answers, StandingSlow: route.Standing.Slow, StandingTimed: route.Standing.Timed,
			})
		}
		list = append(list, status)
	}
	return list
}
