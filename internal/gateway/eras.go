package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// Era returns the highest era of the store that was heard of; 0 for none.
func (s *State) Era() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.view.Era()
}

// EraChanged returns a channel that is closed once a new era is heard of.
func (s *State) EraChanged() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.eraChanged
}

// HearEra takes the era that an answer of the store or a peer told; 0 where it told none.
func (s *State) ObserveEra(era uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.view.Era()
	if !s.view.HearEra(era) {
		return
	}
	close(s.eraChanged)
	s.eraChanged = make(chan struct{})
	if before > 0 {
		s.log.Urgent(eventlog.StoreRestored, logrus.Fields{"era": era, "before": before})
		s.announce()
	}
}

// SettleEra notes that operators and back ends have had the time to write theirs again.
func (s *State) SettleEra(era uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.view.SettleEra(era)
}

// WithheldRecords returns the records of the requests that are withheld here.
func (s *State) WithheldRecords() []dispatch.CrashRecord {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.WithheldRecords()
}

// Lacking returns the known records whose content isn't among the stored ones.
func MissingRecords(known, stored []dispatch.CrashRecord) []dispatch.CrashRecord {
	isStored := make(map[dispatch.Fingerprint]bool, len(stored))
	for _, each := range stored {
		isStored[each.Fingerprint] = true
	}
	var missing []dispatch.CrashRecord
	for _, each := range known {
		if !isStored[each.Fingerprint] {
			missing = append(missing, each)
		}
	}
	return missing
}
