package gateway

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// News is what a peer lacks.
type News struct {
	// Version is the configuration in force.
	Version uint64
	// Digest sums up the back ends that are known, where there is news of them beside
	// Entries, and Listing is the number to go on from.
	Digest  catalog.Digest
	Listing uint64
	// Entries are the back ends that changed since, and Change the number to go
	// on from.
	Entries []catalog.Entry
	Change  uint64
	// Evacuations are the orders that changed since, and Evacuation the number to go on
	// from; Surveyed is false while it isn't known which zones are evacuated.
	Evacuations []catalog.Evacuation
	Evacuation  uint64
	Surveyed    bool
	// Era is the store's. Rollouts are the orders to move services that changed since, and
	// Rollout the number to go on from; KnowsRollouts is false while they aren't known.
	Era           uint64
	Rollouts      []catalog.Rollout
	Rollout       uint64
	KnowsRollouts bool
	// Marks and Tallies are of the services that are being moved.
	Marks   []rollout.Mark
	Tallies []rollout.Tally
	// Displaced are lives of back ends that have ended though they are listed, and Displacement
	// the number to go on from.
	Displaced    []uint32
	Displacement uint64
	// Leaving are lives of back ends whose answers have said that they leave, and Departure the
	// number to go on from.
	Leaving   []uint32
	Departure uint64
	// Loads are this gateway's requests under way.
	Loads []dispatch.Load
	// Holdings are prompt parts that back ends hold, and Holding the number to go on
	// from.
	Holdings []dispatch.Holdings
	Holding  uint64
	// Crashes are records of crashes under requests, and Crash the number to go on from.
	Crashes []dispatch.CrashRecord
	Crash   uint64
	// StoreAge is how long ago the store last answered.
	StoreAge time.Duration
	// Changed is closed with the next change.
	Changed <-chan struct{}
}

// Compare returns the buckets in which a peer that has a list knows other back ends than
// this gateway. In the others this gateway knows all that the peer does, and counts them as
// heard.
func (s *State) Compare(peer catalog.Digest) catalog.Buckets {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	differing := s.view.Digest().Differing(peer)
	s.hear(^differing)
	return differing
}

// SumsOf returns the sums of the back ends of the buckets that this gateway knows.
func (s *State) SumsOf(buckets catalog.Buckets) catalog.Sums {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.view.SumsOf(buckets)
}

// Lacked returns the back ends of the buckets that a peer lacks which knows those of the
// sums; listed is false while this gateway has no list, and can't answer.
func (s *State) Lacked(buckets catalog.Buckets, known catalog.Sums) (entries []catalog.Entry, listed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.listed {
		return nil, false
	}
	return s.view.Lacked(buckets, known), true
}

// Told is what a peer was told: the numbers to go on from.
type Told struct {
	Listing    uint64
	Change     uint64
	Evacuation uint64
	Holding    uint64
	Crash      uint64
	Rollout    uint64
	Displaced  uint64
	Leaving    uint64
}

// mostCrashRecords bounds the records of crashes in one message, at some 25 bytes each.
const mostCrashRecords = 128

// NewsSince returns what a peer lacks that was told so much, at most so many holdings,
// and the loads of the moment.
func (s *State) NewsSince(told Told, mostHoldings int) News {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	news := News{Version: s.view.Version(), Loads: s.core.Loads(), StoreAge: s.storeAge(s.clock.Now()), Changed: s.changed}
	if s.listed {
		s.tellBackEnds(&news, told)
	}
	if s.knowsOrders() {
		news.Surveyed = true
		news.Evacuations, news.Evacuation = s.view.EvacuationsSince(told.Evacuation)
	}
	news.Era = s.view.Era()
	if s.knowsRollouts {
		now := s.clock.Now()
		news.KnowsRollouts = true
		news.Rollouts, news.Rollout = s.view.RolloutsSince(told.Rollout)
		news.Marks, news.Tallies = s.core.Marks(now), s.core.Tallies(now)
	}
	news.Displaced, news.Displacement = s.core.DisplacedSince(told.Displaced)
	news.Leaving, news.Departure = s.core.LeavingSince(told.Leaving)
	news.Crashes, news.Crash = s.core.CrashesSince(s.clock.Now(), told.Crash, mostCrashRecords)
	news.Holdings, news.Holding = s.core.HoldingsSince(told.Holding, mostHoldings)
	return news
}

// tellBackEnds adds to the news the digest, where it tells what the changes don't, and the
// changes since; the first digest tells all changes before it.
func (s *State) tellBackEnds(news *News, told Told) {
	news.Listing = 1 + s.view.Unannounced()
	if told.Listing != news.Listing {
		news.Digest = s.view.Digest()
	}
	if told.Listing == 0 {
		news.Change = s.view.Changes()
		return
	}
	news.Entries, news.Change = s.view.Since(told.Change)
}

// Document returns the configuration in force, encoded for peers, or nil. It is
// encoded once a version, and only when a peer asks.
func (s *State) Document() []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.view.Index() == nil {
		return nil
	}
	if s.documentVersion != s.view.Version() {
		encoded, err := cbor.Marshal(s.view.Index().Configuration())
		if err != nil {
			s.log.Urgent(eventlog.Misconfigured, logrus.Fields{"version": s.view.Version(), "cause": err.Error()})
			return nil
		}
		s.document, s.documentVersion = encoded, s.view.Version()
	}
	return s.document
}

// Counts returns what this gateway has at back ends, for a collector.
func (s *State) Counts() []dispatch.Count {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Counts(s.clock.Now())
}

// TakeTotals takes the counts of all gateways.
func (s *State) TakeTotals(told []dispatch.Count, totals dispatch.Totals) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.ApplyTotals(s.clock.Now(), told, totals)
}

// PeerLoads takes a peer's loads.
func (s *State) PeerLoads(peer string, loads []dispatch.Load) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.SetPeerLoads(s.clock.Now(), peer, loads)
}

// TakeCrashes takes what a peer, or the store, tells of crashes under requests.
func (s *State) TakeCrashes(records []dispatch.CrashRecord) {
	if len(records) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.MergeCrashes(s.clock.Now(), records)
	s.tellCrashes()
}

// TakeDisplaced takes lives of back ends that a peer knows to have ended.
func (s *State) TakeDisplaced(lives []uint32) {
	if len(lives) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.core.MergeDisplaced(lives) {
		s.announce()
	}
}

// TakeLeaving takes lives of back ends that a peer knows to be leaving.
func (s *State) TakeLeaving(lives []uint32) {
	if len(lives) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	news, isNews := s.core.MergeLeaving(s.clock.Now(), lives)
	for _, id := range news {
		s.log.Urgent(eventlog.BackEndNotice, logrus.Fields{"back_end": id, "leaving": true, "source": SourcePeer})
	}
	if isNews {
		s.announce()
	}
}

// tellWords wakes who tells peers of lives of back ends that have ended or are leaving.
func (s *State) tellWords() {
	if now := s.core.IncarnationUpdates(); now != s.words {
		s.words = now
		s.announce()
	}
}

// PeerHoldings takes prompt parts that a peer knows back ends to hold.
func (s *State) PeerHoldings(holdings []dispatch.Holdings) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.MergePeerHoldings(s.clock.Now(), holdings)
}
