package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/clock"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// State joins the view and the dispatch core and guards both. Its methods are
// short and do no I/O, so that one lock serves.
type State struct {
	log   *eventlog.Log
	clock *clock.Clock

	mutex sync.Mutex
	view  *catalog.View
	core  *dispatch.Core
	// listed is set once all back ends are known: from the store, or bucket by bucket as
	// peers know them that have a list. heard are these buckets.
	listed        bool
	syncedBuckets catalog.Buckets
	draining      bool
	// surveyed is set once it is known which zones are evacuated.
	knowsEvacuations bool
	// recalled is set once it is known which zones were restored of late.
	knowsRestorations bool
	// knowsRollouts is set once it is known which services are moved to another version.
	knowsRollouts bool
	// eraChanged is closed and replaced whenever the store begins a new era.
	eraChanged chan struct{}
	// startedAt is when the gateway started, and wasReady is set once it was ready for the
	// first time.
	startedAt time.Time
	wasReady  bool
	// document is the configuration encoded for peers, of documentVersion.
	document        []byte
	documentVersion uint64
	// storeAt is when the store last answered.
	storeAnsweredAt time.Time
	// place is this gateway's in the fleet, and dutyChanged is closed and replaced
	// whenever its duty changes.
	place       Place
	dutyChanged chan struct{}
	// frozen keeps the first configuration in force; only checks of checks set it.
	configurationFrozen bool
	// lag is how late this process runs what is due.
	lag, sustainedLag time.Duration
	// changed is closed and replaced whenever the view changes.
	changed chan struct{}
	// unreadable are the store's objects that couldn't be used when they were read last.
	unreadable unreadable
	// words is the number of lives of back ends that peers were woken for.
	announcedIncarnations uint64
	// crashChanges is the number of changes of crashes that peers were woken for.
	announcedCrashChanges uint64
	// unrecorded are contents that this gateway saw become withheld, or be released, and that
	// the store doesn't know of yet; recordable is signalled with each.
	unrecorded      []dispatch.WithheldChange
	unrecordedReady chan struct{}
}

// NewState returns a state that knows nothing yet. Zones count as not evacuated until
// AwaitEvacuations is called.
func NewState(core *dispatch.Core, log *eventlog.Log) *State {
	return &State{
		log: log, view: catalog.NewView(), core: core, changed: make(chan struct{}), startedAt: time.Now(),
		place: Place{Gateways: 1, Duty: Reader}, dutyChanged: make(chan struct{}), knowsEvacuations: true, knowsRestorations: true,
		knowsRollouts: true, eraChanged: make(chan struct{}),
		unrecordedReady: make(chan struct{}, 1),
	}
}

// UseClock sets the clock by which ages are told; without it that is the monotonic one. It must
// be called before anything else.
func (s *State) UseClock(clock *clock.Clock) {
	s.clock = clock
	s.startedAt = clock.Now()
}

// Clock returns the clock by which ages are told.
func (s *State) Clock() *clock.Clock { return s.clock }

// HasWarmUps tells whether the back ends of any service warm up.
func (s *State) HasWarmUps() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.HasWarmUps()
}

// Freeze keeps the first configuration in force, to show that checks notice.
func (s *State) FreezeConfiguration() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.configurationFrozen = true
}

// IgnoreEras passes over the eras of the store, to show that checks notice.
func (s *State) IgnoreEras() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.view.IgnoreEras()
}

// Index returns the configuration in force, or nil.
func (s *State) Index() *catalog.Index {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.view.Index()
}

// Ready tells whether the gateway knows enough to serve, and isn't draining.
func (s *State) Ready() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.canServe() && !s.draining
}

// startPatience is how long after its start a gateway lets callers wait until it is ready: as
// a rule it is within 150 ms, sooner than a caller who is refused comes back. Until then
// balancers send some callers to each gateway where most of a zone have just started.
const startupWait = 250 * time.Millisecond

// AwaitReady returns once the gateway is ready, or isn't about to be.
func (s *State) AwaitReady(ctx context.Context) {
	for {
		s.mutex.Lock()
		left := startupWait - s.clock.Since(s.startedAt)
		isAwaited, changed := !s.canServe() && left > 0, s.changed
		s.mutex.Unlock()
		if !isAwaited {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// complete tells whether the gateway knows enough to serve.
func (s *State) canServe() bool { return s.view.Index() != nil && s.listed && s.knowsOrders() }

// Draining tells whether the gateway is about to stop.
func (s *State) Draining() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.draining
}

// Drain makes the gateway unready.
func (s *State) Drain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
}

// OfferConfiguration takes a document from the store or a peer.
func (s *State) OfferConfiguration(configuration *catalog.Configuration, source string) {
	if err := configuration.Check(); err != nil {
		s.log.Urgent(eventlog.Misconfigured, logrus.Fields{"version": configuration.Version, "source": source, "cause": err.Error()})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.view.Version()
	if s.configurationFrozen && before > 0 {
		return
	}
	if !s.view.OfferConfiguration(configuration) {
		return
	}
	s.core.SetServices(configuration.Services)
	s.announce()
	s.log.Urgent(eventlog.Configured, logrus.Fields{
		"version": configuration.Version, "before": before, "source": source,
		"routes": len(configuration.Routes), "tenants": len(configuration.Tenants),
	})
}

// OfferList takes a complete list of back ends.
func (s *State) OfferList(entries []catalog.Entry, at catalog.Position, source string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listed = true
	s.applyEntries(s.view.OfferList(entries, at), source)
}

// OfferEntries takes changes of back ends.
func (s *State) OfferEntries(entries []catalog.Entry, source string) {
	if len(entries) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applyEntries(s.view.OfferEntries(entries), source)
}

// OfferBuckets takes the answer of a peer with a list: all that this gateway lacked of some
// buckets.
func (s *State) OfferBuckets(buckets catalog.Buckets, entries []catalog.Entry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applyEntries(s.view.OfferEntries(entries), SourcePeer)
	s.markSynced(buckets)
}

// hear notes buckets of which all back ends are known that a peer with a list knows.
func (s *State) markSynced(buckets catalog.Buckets) {
	s.syncedBuckets |= buckets
	if !s.listed && s.syncedBuckets == catalog.AllBuckets {
		s.listed = true
		s.announce()
	}
}

// Sources of news, for logs.
const (
	SourceStore = "store"
	SourcePeer  = "peer"
	// SourceOwn is this gateway's own observation.
	SourceOwn = "own"
)

func (s *State) applyEntries(changed []catalog.Entry, source string) {
	if len(changed) == 0 {
		return
	}
	s.core.SetBackEnds(s.clock.Now(), s.view.BackEnds())
	s.announce()
	for _, entry := range changed {
		s.log.Urgent(eventlog.BackEndChanged, logrus.Fields{
			"back_end": entry.BackEnd.ID, "service": entry.BackEnd.Service, "address": entry.BackEnd.Address,
			"leaving": entry.BackEnd.Leaving, "gone": entry.Gone, "era": entry.Era, "revision": entry.Revision, "source": source,
		})
	}
}

func (s *State) announce() {
	if !s.wasReady && s.canServe() {
		s.wasReady = true
		s.log.Urgent(eventlog.Ready, logrus.Fields{"version": s.view.Version(), "back_ends": len(s.view.BackEnds())})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Version returns the configuration's version in force, or 0.
func (s *State) Version() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.view.Version()
}

// SetFleet notes this gateway's place among the others, and which are known.
func (s *State) SetFleet(place Place, known dispatch.Fleet) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if place.Duty != s.place.Duty {
		close(s.dutyChanged)
		s.dutyChanged = make(chan struct{})
	}
	s.place = place
	s.core.SetGateways(place.Gateways)
	s.core.SetFleet(s.clock.Now(), known)
}

// Place returns what SetFleet noted.
func (s *State) Place() Place {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.place
}

// DutyChanged returns a channel that is closed once this gateway's duty changes.
func (s *State) DutyChanged() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.dutyChanged
}

// StoreAnswered notes an answer of the store.
func (s *State) StoreAnswered() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.storeAnsweredAt = s.clock.Now()
}

// decide runs a step of the core.
func (s *State) decide(step func(now time.Time, core *dispatch.Core) dispatch.Decision) dispatch.Decision {
	s.mutex.Lock()
	decision := step(s.clock.Now(), s.core)
	changes := s.core.TakeHealthChanges()
	s.announceCrashes()
	s.announceIncarnations()
	s.mutex.Unlock()
	for _, change := range changes {
		s.log.Urgent(eventlog.BackEndHealth, logrus.Fields{
			"back_end": change.BackEnd, "from": change.From.String(), "to": change.To.String(),
			"failures": change.Failures, "error_rate": change.ErrorRate,
		})
	}
	return decision
}

// SetLag notes how late this process runs what is due, at the worst of late and
// lastingly.
func (s *State) SetLag(lag, sustained time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lag = lag
	s.sustainedLag = sustained
	s.core.SetLag(lag)
}

// HasTime tells whether this process has time for one more request.
func (s *State) ShouldAdmit(urgency int, id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return dispatch.ShouldAdmit(s.sustainedLag, urgency, id)
}

// Lag returns the worst delay that SetLag noted.
func (s *State) Lag() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lag
}

// StoreAge returns how long ago the store last answered this gateway; it is long
// where others read the store for it.
func (s *State) StoreAge() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.storeAge(s.clock.Now())
}

// longestAge stands for a store that never answered.
const maxStoreAge = time.Hour

func (s *State) storeAge(now time.Time) time.Duration {
	return min(now.Sub(s.storeAnsweredAt), maxStoreAge)
}
