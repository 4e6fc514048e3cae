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

// SetRecalled notes that it is known which zones were restored of late.
func (s *State) SetRestorationsKnown() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.knowsRestorations {
		s.knowsRestorations = true
		s.announce()
	}
}

// knowsOrders tells whether the gateway knows which services are moved to another version,
// which zones are evacuated and, where back ends warm up, which were restored of late: their
// back ends turned cold and haven't said so yet. It does without the latter, which one gateway
// reads for all, after startPatience.
func (s *State) knowsOrders() bool {
	needsNoRestorations := s.view.Index() != nil && !s.core.HasWarmUps()
	return s.knowsEvacuations && s.knowsRollouts && (s.knowsRestorations || needsNoRestorations || s.clock.Since(s.startedAt) >= startupWait)
}

// learn notes that all orders of a kind are known once they were told completely, and tells
// whether they weren't before.
func markKnown(known *bool, isComplete bool) (first bool) {
	first = isComplete && !*known
	*known = *known || isComplete
	return first
}

// OfferEvacuationList takes the complete list of evacuated zones.
func (s *State) OfferEvacuationList(evacuations []catalog.Evacuation, at catalog.Position, source string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := markKnown(&s.knowsEvacuations, true)
	s.applyEvacuations(s.view.OfferEvacuationList(evacuations, at), first, source)
}

// OfferEvacuations takes changes of the evacuated zones. A peer's are complete, since it
// tells all that it knows first.
func (s *State) OfferEvacuations(evacuations []catalog.Evacuation, source string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	first := markKnown(&s.knowsEvacuations, source != SourceStore)
	s.knowsRestorations = s.knowsRestorations || source == SourcePeer
	s.applyEvacuations(s.view.OfferEvacuations(evacuations), first, source)
}

// applyEvacuations passes on what is news; first is set when the gateway hasn't known
// which zones are evacuated.
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
		s.log.Urgent(event, logrus.Fields{"zone": each.Zone, "era": each.Era, "revision": each.Revision, "source": source})
	}
	s.core.SetEvacuated(s.clock.Now(), s.view.EvacuatedZones(), restored)
	s.announce()
}
