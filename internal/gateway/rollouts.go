package gateway

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// AwaitRollouts keeps the gateway unready until it knows which services are being rolled out,
// that is, moved to another version.
func (s *State) AwaitRollouts() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.knowsRollouts = false
}

// OfferRolloutList merges the complete list of rollout orders.
func (s *State) OfferRolloutList(rollouts []catalog.Rollout, at catalog.Position, source string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := markKnown(&s.knowsRollouts, true)
	s.applyRollouts(s.view.OfferRolloutList(rollouts, at), first, source)
}

// AddsRollouts reports whether a list has orders that are new to this gateway, although it has known all.
func (s *State) AddsRollouts(rollouts []catalog.Rollout) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.knowsRollouts && s.view.AddsRollouts(rollouts)
}

// OfferRollouts merges changed rollout orders. Those of a peer make the list complete, because
// a peer first sends all that it knows.
func (s *State) OfferRollouts(rollouts []catalog.Rollout, source string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := markKnown(&s.knowsRollouts, source != SourceStore)
	s.applyRollouts(s.view.OfferRollouts(rollouts), first, source)
}

func (s *State) applyRollouts(changed []catalog.Rollout, first bool, source string) {
	if len(changed) == 0 && !first {
		return
	}
	for _, each := range changed {
		s.log.Warn(eventlog.RolloutChanged, logrus.Fields{
			"service": each.Service, "target": each.Target, "duration": each.Duration.String(), "state": each.State.String(),
			"withdrawn": each.Withdrawn, "era": each.Era, "revision": each.Revision, "source": source,
		})
	}
	list := s.view.Rollouts()
	s.core.SetRollouts(s.clock.Now(), list, rolloutAges(list, time.Now()))
	s.logRolloutChanges()
	s.announce()
}

// rolloutAges returns the age of each order whose start time is in the store, by the wall clock.
func rolloutAges(list []catalog.Rollout, now time.Time) map[string]time.Duration {
	ages := map[string]time.Duration{}
	for _, each := range list {
		if each.BeganAt > 0 {
			ages[each.Service] = now.Sub(time.UnixMilli(each.BeganAt))
		}
	}
	return ages
}

// logRolloutChanges logs the steps of rollouts, and for a candidate that this gateway found bad
// the figures that show it.
func (s *State) logRolloutChanges() {
	for _, each := range s.core.TakeRolloutChanges() {
		fields := logrus.Fields{"service": each.Order.Service, "target": each.Order.Target}
		event := eventlog.RolloutStarted
		switch each.Step {
		case dispatch.RolloutBegan:
			fields["duration"] = each.Order.Duration.String()
		case dispatch.RolloutAbandoned:
			event = eventlog.RolloutAbandoned
			fields["source"] = SourcePeer
			if found := each.Finding; found != nil {
				fields["source"] = SourceOwn
				fields["what"], fields["route"] = found.Measure, s.routeName(found.Route)
				fields["bad"], fields["answers"] = found.Bad, found.Answers
				fields["usual_bad"], fields["usual_answers"] = found.StandingBad, found.StandingAnswers
				fields["likelihood_ratio"] = found.Ratio
			}
		case dispatch.RolloutEnded:
			event = eventlog.RolloutEnded
		}
		s.log.Warn(event, fields)
	}
}

// routeName returns the name of the route with the key.
func (s *State) routeName(key uint32) string {
	if key == 0 {
		return "all"
	}
	if index := s.view.Index(); index != nil {
		for _, route := range index.Configuration().Routes {
			if rollout.RouteKey(route.Name) == key {
				return route.Name
			}
		}
	}
	return strconv.FormatUint(uint64(key), 16)
}

// HasRollouts reports whether any service is being rolled out.
func (s *State) HasRollouts() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.view.Rollouts()) > 0
}

// EvaluateRollouts evaluates the evidence about the candidates. It returns the records that the
// store should contain but doesn't, as far as this gateway knows.
func (s *State) EvaluateRollouts() []catalog.Rollout {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	abandoned := s.core.EvaluateRollouts(now)
	s.logRolloutChanges()
	if abandoned {
		s.announce()
	}
	due := s.core.DueRolloutStates(now)
	var unwritten []catalog.Rollout
	for _, record := range s.view.Rollouts() {
		progress, known := due[record.Service]
		if !known || record.Era != s.view.Era() || progress.State <= record.State && !record.Unwritten {
			continue
		}
		record.State = max(record.State, progress.State)
		if record.BeganAt == 0 {
			record.BeganAt = time.Now().Add(-progress.Age).UnixMilli()
		}
		unwritten = append(unwritten, record)
	}
	return unwritten
}

// Tallies returns this gateway's own tallies of the services that are being rolled out.
func (s *State) Tallies() []rollout.Tally {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Tallies(s.clock.Now())
}

// SetTallyTotals sets the tallies of all gateways together. own are the tallies of this gateway
// that are included in them.
func (s *State) SetTallyTotals(own []rollout.Tally, totals dispatch.Totals) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.SetTallyTotals(s.clock.Now(), own, totals)
}

// SetPeerTallies replaces the tallies of a peer, in a small fleet.
func (s *State) SetPeerTallies(peer string, tallies []rollout.Tally) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.SetPeerTallies(s.clock.Now(), peer, tallies)
}

// MergeMarks merges a peer's marks of rollout orders: their ages, and which candidates were
// found bad.
func (s *State) MergeMarks(marks []rollout.Mark) {
	if len(marks) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.core.MergeMarks(s.clock.Now(), marks) {
		s.logRolloutChanges()
		s.announce()
	}
}
