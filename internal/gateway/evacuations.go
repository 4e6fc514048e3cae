package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// AwaitEvacuations keeps the gateway unready until it knows which zones are evacuated.
func (s *State) AwaitEvacuations() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.knowsEvacuations, s.knowsRestorations = false, false
}

// SetRestorationsKnown records that it is known which zones were recently restored.
func (s *State) SetRestorationsKnown() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.knowsRestorations {
		s.knowsRestorations = true
		s.announce()
	}
}

// knowsOrders reports whether the gateway knows the rollouts, the evacuated zones and, if back
// ends need a warm-up, the zones that were recently restored: back ends there have gone cold and
// may not have reported it yet. One gateway reads the recent restorations for all; after
// startupWait, the others no longer wait for them.
func (s *State) knowsOrders() bool {
	needsNoRestorations := s.view.Index() != nil && !s.core.HasWarmUps()
	return s.knowsEvacuations && s.knowsRollouts && (s.knowsRestorations || needsNoRestorations || s.clock.Since(s.startedAt) >= startupWait)
}

// markKnown sets known if the orders of a kind have now been received completely, and reports
// whether this call set it.
func markKnown(known *bool, isComplete bool) (first bool) {
	first = isComplete && !*known
	*known = *known || isComplete
	return first
}

// OfferEvacuationList merges the complete list of evacuated zones.
func (s *State) OfferEvacuationList(evacuations []catalog.Evacuation, at catalog.Position, source string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := markKnown(&s.knowsEvacuations, true)
	s.applyEvacuations(s.view.OfferEvacuationList(evacuations, at), first, source)
}

// AddsEvacuations reports whether a list has orders that are new to this gateway, although it has known all.
func (s *State) AddsEvacuations(evacuations []catalog.Evacuation) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.knowsEvacuations && s.view.AddsEvacuations(evacuations)
}

// OfferEvacuations merges changes of the evacuated zones. Those of a peer make the list
// complete, because a peer first sends all that it knows.
func (s *State) OfferEvacuations(evacuations []catalog.Evacuation, source string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := markKnown(&s.knowsEvacuations, source != SourceStore)
	s.knowsRestorations = s.knowsRestorations || source == SourcePeer
	s.applyEvacuations(s.view.OfferEvacuations(evacuations), first, source)
}

// applyEvacuations logs and applies changed evacuations. first is true if the gateway did not
// know before which zones are evacuated.
func (s *State) applyEvacuations(changed []catalog.Evacuation, first bool, source string) {
	if len(changed) == 0 && !first {
		return
	}
	var restored []catalog.Evacuation
	for _, each := range changed {
		event := eventlog.ZoneEvacuated
		if each.Withdrawn {
			event = eventlog.ZoneRestored
			restored = append(restored, each)
		}
		s.log.Warn(event, logrus.Fields{"zone": each.Zone, "era": each.Era, "revision": each.Revision, "source": source})
	}
	s.core.SetEvacuated(s.clock.Now(), s.view.EvacuatedZones(), restored)
	s.announce()
}
