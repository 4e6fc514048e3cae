package gateway

import (
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// maxUnrecorded limits the changes that wait to be written to the store.
const maxUnrecorded = 256

// announceCrashes announces new crash records to peers, logs which requests are withheld or
// released, and queues this gateway's own findings for the store.
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
		s.log.Warn(event, logrus.Fields{
			"fingerprint": each.Record.Fingerprint.String(), "subject": subjectOf(each.Record),
			"back_ends": len(each.Record.Incarnations), "source": source,
		})
	}
}

// Values of the log field "subject": what withheld requests have in common.
const (
	subjectContent = "content"
	subjectPart    = "part"
)

func subjectOf(record dispatch.CrashRecord) string {
	if record.Part {
		return subjectPart
	}
	return subjectContent
}

// queueUnrecorded queues a change that must be written to the store. If too many wait, the
// oldest is dropped; peers still receive it.
func (s *State) queueUnrecorded(change dispatch.WithheldChange) {
	if len(s.unrecorded) >= maxUnrecorded {
		s.log.Warn(eventlog.RecordAbandoned, logrus.Fields{"fingerprint": s.unrecorded[0].Record.Fingerprint.String()})
		s.unrecorded = s.unrecorded[1:]
	}
	s.unrecorded = append(s.unrecorded, change)
	signal(s.unrecordedReady)
}

// ReleaseWithheld releases withheld requests with this content or part of the prompt on an operator's command, here
// and at all peers. It reports whether they were withheld.
func (s *State) ReleaseWithheld(fingerprint dispatch.Fingerprint) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	released := s.core.ReleaseWithheld(fingerprint)
	s.announceCrashes()
	return released
}

// UnrecordedReady returns a channel that is signalled when TakeUnrecorded has changes.
func (s *State) UnrecordedReady() <-chan struct{} { return s.unrecordedReady }

// TakeUnrecorded removes and returns the changes that must be written to the store.
func (s *State) TakeUnrecorded() []dispatch.WithheldChange {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := s.unrecorded
	s.unrecorded = nil
	return taken
}
