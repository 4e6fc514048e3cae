package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// mostUnrecorded bounds the changes that wait for the store.
const maxUnrecorded = 256

// tellCrashes wakes who tells peers of crashes, logs which requests are withheld, and lets
// the store be told.
func (s *State) announceCrashes() {
	if now := s.core.CrashChanges(); now != s.announcedCrashChanges {
		s.announcedCrashChanges = now
		s.announce()
	}
	for _, each := range s.core.TakeWithheldChanges() {
		event, source := eventlog.RequestsReleased, SourcePeer
		if each.Withheld {
			event = eventlog.RequestsWithheld
		}
		if each.Own {
			source = SourceOwn
			s.queueUnrecorded(each)
		}
		s.log.Urgent(event, logrus.Fields{
			"fingerprint": each.Record.Fingerprint.String(), "back_ends": len(each.Record.Incarnations), "source": source,
		})
	}
}

// record keeps a change until the store has it. Where too many wait, the oldest is given up:
// peers know it all the same.
func (s *State) queueUnrecorded(change dispatch.WithheldChange) {
	if len(s.unrecorded) >= maxUnrecorded {
		s.log.Urgent(eventlog.RecordGivenUp, logrus.Fields{"fingerprint": s.unrecorded[0].Record.Fingerprint.String()})
		s.unrecorded = s.unrecorded[1:]
	}
	s.unrecorded = append(s.unrecorded, change)
	select {
	case s.unrecordedReady <- struct{}{}:
	default:
	}
}

// ReleaseWithheld releases the requests of a content at an operator's word, here and at all
// peers, and tells whether they were withheld.
func (s *State) ReleaseWithheld(fingerprint dispatch.Fingerprint) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	released := s.core.ReleaseWithheld(fingerprint)
	s.announceCrashes()
	return released
}

// Recordable returns a channel that is signalled when TakeUnrecorded has something.
func (s *State) UnrecordedReady() <-chan struct{} { return s.unrecordedReady }

// TakeUnrecorded returns the changes that the store must be told of, once.
func (s *State) TakeUnrecorded() []dispatch.WithheldChange {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := s.unrecorded
	s.unrecorded = nil
	return taken
}
