package gateway

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/fairshare"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// Update is the state that a peer lacks. Each cursor is the position up to which the peer then
// knows everything; the peer's next update starts there.
type Update struct {
	// Version is the version of the current configuration.
	Version uint64
	// Digest summarizes the known back ends. It is set if there are changes that are not among
	// Entries.
	Digest       catalog.Digest
	DigestCursor uint64
	// Entries are the back ends that have changed.
	Entries       []catalog.Entry
	EntriesCursor uint64
	// Evacuations are the evacuation orders that have changed. KnowsEvacuations is false while
	// this gateway doesn't know all orders; see knowsOrders.
	Evacuations       []catalog.Evacuation
	EvacuationsCursor uint64
	KnowsEvacuations  bool
	// Era is the era of the store. Rollouts are the rollout orders that have changed.
	// KnowsRollouts is false while this gateway doesn't know all rollout orders.
	Era            uint64
	Rollouts       []catalog.Rollout
	RolloutsCursor uint64
	KnowsRollouts  bool
	// Marks and Tallies concern the services that are being rolled out.
	Marks   []rollout.Mark
	Tallies []rollout.Tally
	// Displaced are incarnations of back ends that have ended although they may still be listed.
	Displaced       []uint32
	DisplacedCursor uint64
	// Leaving are incarnations of back ends whose answers said that they are leaving.
	Leaving       []uint32
	LeavingCursor uint64
	// Loads are the numbers of requests that this gateway has in flight at each back end.
	Loads []dispatch.Load
	// Holdings are prompt parts that back ends have cached.
	Holdings       []dispatch.Holdings
	HoldingsCursor uint64
	// Crashes are records of back ends that crashed while running requests.
	Crashes       []dispatch.CrashRecord
	CrashesCursor uint64
	// StoreAge is the time since the store last answered this gateway.
	StoreAge time.Duration
	// Changed is closed at the next change.
	Changed <-chan struct{}
}

// CompareDigest returns the buckets in which a peer that has a complete list knows other back
// ends than this gateway. The remaining buckets are identical, and are marked as synced.
func (s *State) CompareDigest(peer catalog.Digest) catalog.Buckets {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	differing := s.view.Digest().Differing(peer)
	s.markSynced(^differing)
	return differing
}

// ChecksumsOf returns checksums of the known back ends in the buckets.
func (s *State) ChecksumsOf(buckets catalog.Buckets) catalog.Checksums {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.view.ChecksumsOf(buckets)
}

// MissingEntries returns the back ends in the buckets that are missing at a peer that knows
// those with the given checksums. listed is false while this gateway has no complete list and
// can't answer.
func (s *State) MissingEntries(buckets catalog.Buckets, known catalog.Checksums) (entries []catalog.Entry, listed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.listed {
		return nil, false
	}
	return s.view.MissingEntries(buckets, known), true
}

// Cursors are the positions up to which a peer has been sent the state.
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

// maxCrashRecords limits the crash records in one message; each takes about 25 bytes.
const maxCrashRecords = 128

// UpdateSince returns the state that a peer with the given cursors lacks, with at most
// maxHoldings holdings, and the current loads.
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

// addBackEnds adds the changed back ends to the update, and the digest if back ends have changed
// that aren't among them. The first update to a peer has only the digest, which covers all back
// ends.
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

// Document returns the current configuration encoded for peers, or nil. It is encoded once per
// version, when a peer first asks for it.
func (s *State) Document() []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.view.Index() == nil {
		return nil
	}
	if s.documentVersion != s.view.Version() {
		encoded, err := cbor.Marshal(s.view.Index().Configuration())
		if err != nil {
			s.log.Warn(eventlog.ConfigurationRefused, logrus.Fields{"version": s.view.Version(), "cause": err.Error()})
			return nil
		}
		s.document, s.documentVersion = encoded, s.view.Version()
	}
	return s.document
}

// Counts returns this gateway's request counts at back ends, for a collector.
func (s *State) Counts() []dispatch.Count {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Counts(s.clock.Now())
}

// ApplyTotals sets the request counts and the demands of tenants of all gateways together. own are
// the counts of this gateway that are included in them.
func (s *State) ApplyTotals(own []dispatch.Count, totals dispatch.Totals) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.ApplyTotals(s.clock.Now(), own, totals)
}

// Demands returns the demands of the largest tenants at this gateway, for a collector or a peer.
func (s *State) Demands() []fairshare.Demand {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Demands(s.clock.Now())
}

// SetPeerDemands replaces the demands of tenants at a peer, in a small fleet.
func (s *State) SetPeerDemands(peer string, demands []fairshare.Demand) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.SetPeerDemands(s.clock.Now(), peer, demands)
}

// SetPeerLoads replaces the loads of a peer.
func (s *State) SetPeerLoads(peer string, loads []dispatch.Load) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.SetPeerLoads(s.clock.Now(), peer, loads)
}

// MergeCrashes merges crash records of a peer or the store.
func (s *State) MergeCrashes(records []dispatch.CrashRecord) {
	if len(records) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.MergeCrashes(s.clock.Now(), records)
	s.announceCrashes()
}

// MergeDisplaced merges incarnations of back ends that a peer knows to have ended.
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

// MergeLeaving merges incarnations of back ends that a peer knows to be leaving.
func (s *State) MergeLeaving(incarnations []uint32) {
	if len(incarnations) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	changed, isNew := s.core.MergeLeaving(s.clock.Now(), incarnations)
	for _, id := range changed {
		s.log.Warn(eventlog.BackEndNotice, logrus.Fields{"back_end": id, "leaving": true, "source": SourcePeer})
	}
	if isNew {
		s.announce()
	}
}

// announceIncarnations announces to peers that further incarnations are known to have ended or
// to be leaving.
func (s *State) announceIncarnations() {
	if now := s.core.IncarnationUpdates(); now != s.announcedIncarnations {
		s.announcedIncarnations = now
		s.announce()
	}
}

// MergePeerHoldings merges prompt parts that a peer knows to be cached at back ends.
func (s *State) MergePeerHoldings(holdings []dispatch.Holdings) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.MergePeerHoldings(s.clock.Now(), holdings)
}
