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
type Update struct {
	// Version is the configuration in force.
	Version uint64
	// Digest sums up the back ends that are known, where there is news of them beside
	// Entries, and Listing is the number to go on from.
	Digest       catalog.Digest
	DigestCursor uint64
	// Entries are the back ends that changed since, and Change the number to go
	// on from.
	Entries       []catalog.Entry
	EntriesCursor uint64
	// Evacuations are the orders that changed since, and Evacuation the number to go on
	// from; Surveyed is false while it isn't known which zones are evacuated.
	Evacuations       []catalog.Evacuation
	EvacuationsCursor uint64
	KnowsEvacuations  bool
	// Era is the store's. Rollouts are the orders to move services that changed since, and
	// Rollout the number to go on from; KnowsRollouts is false while they aren't known.
	Era            uint64
	Rollouts       []catalog.Rollout
	RolloutsCursor uint64
	KnowsRollouts  bool
	// Marks and Tallies are of the services that are being moved.
	Marks   []rollout.Mark
	Tallies []rollout.Tally
	// Displaced are lives of back ends that have ended though they are listed, and Displacement
	// the number to go on from.
	Displaced       []uint32
	DisplacedCursor uint64
	// Leaving are lives of back ends whose answers have said that they leave, and Departure the
	// number to go on from.
	Leaving       []uint32
	LeavingCursor uint64
	// Loads are this gateway's requests under way.
	Loads []dispatch.Load
	// Holdings are prompt parts that back ends hold, and Holding the number to go on
	// from.
	Holdings       []dispatch.Holdings
	HoldingsCursor uint64
	// Crashes are records of crashes under requests, and Crash the number to go on from.
	Crashes       []dispatch.CrashRecord
	CrashesCursor uint64
	// StoreAge is how long ago the store last answered.
	StoreAge time.Duration
	// Changed is closed with the next change.
	Changed <-chan struct{}
}

// Compare returns the buckets in which a peer that has a list knows other back ends than
// this gateway. In the others this gateway knows all that the peer does, and counts them as
// heard.
func (s *State) CompareDigest(peer catalog.Digest) catalog.Buckets {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	differing := s.view.Digest().Differing(peer)
	s.markSynced(^differing)
	return differing
}

// SumsOf returns the sums of the back ends of the buckets that this gateway knows.
func (s *State) ChecksumsOf(buckets catalog.Buckets) catalog.Sums {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.view.SumsOf(buckets)
}

// Lacked returns the back ends of the buckets that a peer lacks which knows those of the
// sums; listed is false while this gateway has no list, and can't answer.
func (s *State) MissingEntries(buckets catalog.Buckets, known catalog.Sums) (entries []catalog.Entry, listed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.listed {
		return nil, false
	}
	return s.view.Lacked(buckets, known), true
}

// Told is what a peer was told: the numbers to go on from.
type Cursors struct {
	Digest      uint64
	Entries     uint64
	Evacuations uint64
	Holdings    uint64
	Crashes     uint64
	Rollouts    uint64
	Displaced   uint64
	Leaving     uint64
}

// mostCrashRecords bounds the records of crashes in one message, at some 25 bytes each.
const maxCrashRecords = 128

// NewsSince returns what a peer lacks that was told so much, at most so many holdings,
// and the loads of the moment.
func (s *State) UpdateSince(cursors Cursors, maxHoldings int) Update {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	update := Update{Version: s.view.Version(), Loads: s.core.Loads(), StoreAge: s.storeAge(s.clock.Now()), Changed: s.changed}
	if s.listed {
		s.addBackEnds(&update, cursors)
	}
	if s.knowsOrders() {
		update.KnowsEvacuations = true
		update.Evacuations, update.EvacuationsCursor = s.view.EvacuationsSince(cursors.Evacuations)
	}
	update.Era = s.view.Era()
	if s.knowsRollouts {
		now := s.clock.Now()
		update.KnowsRollouts = true
		update.Rollouts, update.RolloutsCursor = s.view.RolloutsSince(cursors.Rollouts)
		update.Marks, update.Tallies = s.core.Marks(now), s.core.Tallies(now)
	}
	update.Displaced, update.DisplacedCursor = s.core.DisplacedSince(cursors.Displaced)
	update.Leaving, update.LeavingCursor = s.core.LeavingSince(cursors.Leaving)
	update.Crashes, update.CrashesCursor = s.core.CrashesSince(s.clock.Now(), cursors.Crashes, maxCrashRecords)
	update.Holdings, update.HoldingsCursor = s.core.HoldingsSince(cursors.Holdings, maxHoldings)
	return update
}

// tellBackEnds adds to the news the digest, where it tells what the changes don't, and the
// changes since; the first digest tells all changes before it.
func (s *State) addBackEnds(update *Update, cursors Cursors) {
	update.DigestCursor = 1 + s.view.Unannounced()
	if cursors.Digest != update.DigestCursor {
		update.Digest = s.view.Digest()
	}
	if cursors.Digest == 0 {
		update.EntriesCursor = s.view.Changes()
		return
	}
	update.Entries, update.EntriesCursor = s.view.Since(cursors.Entries)
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
func (s *State) ApplyTotals(own []dispatch.Count, totals dispatch.Totals) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.ApplyTotals(s.clock.Now(), own, totals)
}

// PeerLoads takes a peer's loads.
func (s *State) SetPeerLoads(peer string, loads []dispatch.Load) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.SetPeerLoads(s.clock.Now(), peer, loads)
}

// TakeCrashes takes what a peer, or the store, tells of crashes under requests.
func (s *State) MergeCrashes(records []dispatch.CrashRecord) {
	if len(records) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.MergeCrashes(s.clock.Now(), records)
	s.announceCrashes()
}

// TakeDisplaced takes lives of back ends that a peer knows to have ended.
func (s *State) MergeDisplaced(incarnations []uint32) {
	if len(incarnations) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.core.MergeDisplaced(incarnations) {
		s.announce()
	}
}

// TakeLeaving takes lives of back ends that a peer knows to be leaving.
func (s *State) MergeLeaving(incarnations []uint32) {
	if len(incarnations) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	changed, isNew := s.core.MergeLeaving(s.clock.Now(), incarnations)
	for _, id := range changed {
		s.log.Urgent(eventlog.BackEndNotice, logrus.Fields{"back_end": id, "leaving": true, "source": SourcePeer})
	}
	if isNew {
		s.announce()
	}
}

// tellWords wakes who tells peers of lives of back ends that have ended or are leaving.
func (s *State) announceIncarnations() {
	if now := s.core.IncarnationUpdates(); now != s.announcedIncarnations {
		s.announcedIncarnations = now
		s.announce()
	}
}

// PeerHoldings takes prompt parts that a peer knows back ends to hold.
func (s *State) MergePeerHoldings(holdings []dispatch.Holdings) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.MergePeerHoldings(s.clock.Now(), holdings)
}
