package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// Era returns the highest era of the store that this gateway has observed; 0 for none.
func (s *State) Era() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.view.Era()
}

// EraChanged returns a channel that is closed when a new era is observed.
func (s *State) EraChanged() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.eraChanged
}

// ObserveEra processes the era reported by the store or a peer; 0 if none was reported. If it
// is newer than an era observed before, the store was restored, and that is logged.
func (s *State) ObserveEra(era uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.view.Era()
	if !s.view.ObserveEra(era) {
		return
	}
	close(s.eraChanged)
	s.eraChanged = make(chan struct{})
	if before > 0 {
		s.log.Warn(eventlog.StoreRestored, logrus.Fields{"era": era, "before": before})
		s.announce()
	}
}

// SettleEra records that operators and back ends have had time to write their records of the
// era again.
func (s *State) SettleEra(era uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.view.SettleEra(era)
}

// WithheldRecords returns the crash records of the requests that are withheld here.
func (s *State) WithheldRecords() []dispatch.CrashRecord {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.WithheldRecords()
}

// MissingRecords returns the known records whose content isn't among the stored ones.
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
