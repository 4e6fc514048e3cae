package gateway

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/clock"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
)

// State combines the view of back ends and configuration with the dispatch core, and guards
// both with one lock. Its methods are short and do no I/O.
type State struct {
	log   *eventlog.Log
	clock *clock.Clock

	mutex sync.Mutex
	view  *catalog.View
	core  *dispatch.Core
	// listed is set once all back ends are known, either from the store or, bucket by bucket,
	// from peers that have a complete list. syncedBuckets are the buckets known from peers.
	listed        bool
	syncedBuckets catalog.Buckets
	draining      bool
	// stopsAt is when a draining gateway cuts off what it still does; zero if it isn't draining. isClosing is
	// set once load balancers have had the time to notice that it drains. stopping ends shortly before stopsAt.
	stopsAt   time.Time
	isClosing bool
	stopping  context.Context
	endStop   context.CancelFunc
	// knowsEvacuations is set once it is known which zones are evacuated.
	knowsEvacuations bool
	// knowsRestorations is set once it is known which zones were recently restored.
	knowsRestorations bool
	// knowsRollouts is set once it is known which services are being rolled out.
	knowsRollouts bool
	// eraChanged is closed and replaced when a new era of the store is observed.
	eraChanged chan struct{}
	// startedAt is when the gateway started. wasReady is set once it has been ready.
	startedAt time.Time
	wasReady  bool
	// document is the configuration with the version documentVersion, encoded for peers.
	document        []byte
	documentVersion uint64
	// storeAnsweredAt is when the store last answered this gateway.
	storeAnsweredAt time.Time
	// place is this gateway's position in the fleet. dutyChanged is closed and replaced when
	// its duty changes.
	place       Place
	dutyChanged chan struct{}
	// configurationFrozen keeps the first configuration; see FreezeConfiguration.
	configurationFrozen bool
	// lag is how late this process runs due work; sustainedLag leaves single pauses out.
	lag, sustainedLag time.Duration
	// changed is closed and replaced when there is something new for peers.
	changed chan struct{}
	// unreadable holds the store's objects that could not be used when last read.
	unreadable unreadable
	// announcedIncarnations is the number of incarnation updates announced to peers.
	announcedIncarnations uint64
	// announcedCrashChanges is the number of crash updates announced to peers.
	announcedCrashChanges uint64
	// unrecorded are changes of withheld requests that this gateway observed and that are not
	// in the store yet. unrecordedReady is signalled with each.
	unrecorded      []dispatch.WithheldChange
	unrecordedReady chan struct{}
	// keyPolicyMissing is signalled when the configuration doesn't say whether requests need a key.
	keyPolicyMissing chan struct{}
	// originsReady is signalled when the core has new origins of streams for other gateways.
	originsReady chan struct{}
}

// NewState returns an empty state. It counts evacuations, restorations and rollouts as known,
// namely none, unless AwaitEvacuations or AwaitRollouts is called.
func NewState(core *dispatch.Core, log *eventlog.Log) *State {
	stopping, endStop := context.WithCancel(context.Background())
	return &State{
		stopping: stopping, endStop: endStop,
		log: log, view: catalog.NewView(), core: core, changed: make(chan struct{}), startedAt: time.Now(),
		place: Place{Gateways: 1, Duty: Reader}, dutyChanged: make(chan struct{}), knowsEvacuations: true, knowsRestorations: true,
		knowsRollouts: true, eraChanged: make(chan struct{}),
		unrecordedReady: make(chan struct{}, 1), originsReady: make(chan struct{}, 1), keyPolicyMissing: make(chan struct{}, 1),
	}
}

// signal sends a value on a channel with room for one, unless one waits there already.
func signal(ready chan<- struct{}) {
	select {
	case ready <- struct{}{}:
	default:
	}
}

// UseClock sets the clock by which ages are measured; the default is the monotonic clock. It
// must be called before any other method.
func (s *State) UseClock(clock *clock.Clock) {
	s.clock = clock
	s.startedAt = clock.Now()
}

// Clock returns the clock by which ages are measured.
func (s *State) Clock() *clock.Clock { return s.clock }

// HasWarmUps reports whether the back ends of any service need a warm-up.
func (s *State) HasWarmUps() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.HasWarmUps()
}

// FreezeConfiguration makes the state ignore all configurations after the first. It is for tests
// which verify that the checks detect this.
func (s *State) FreezeConfiguration() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.configurationFrozen = true
}

// IgnoreEras makes the state ignore the eras of the store. It is for tests which verify that the
// checks detect this.
func (s *State) IgnoreEras() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.view.IgnoreEras()
}

// Index returns the current configuration, or nil.
func (s *State) Index() *catalog.Index {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.view.Index()
}

// OfferConfiguration adopts a configuration from the store or a peer if it is valid and newer.
func (s *State) OfferConfiguration(configuration *catalog.Configuration, source string) {
	if err := configuration.Check(); err != nil {
		s.log.Warn(eventlog.ConfigurationRefused, logrus.Fields{"version": configuration.Version, "source": source, "cause": err.Error()})
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
	s.documentVersion = 0 // also a document of the same version is encoded anew
	if !s.view.KnowsKeyPolicy() {
		signal(s.keyPolicyMissing)
	}
	s.core.SetServices(configuration.Services)
	s.core.SetRoutes(s.clock.Now(), configuration.Routes)
	s.signalOrigins()
	s.announce()
	fields := logrus.Fields{
		"version": configuration.Version, "before": before, "source": source,
		"routes": len(configuration.Routes), "tenants": len(configuration.Tenants), "keys": configuration.KeyPolicy().String(),
	}
	if unusable := configuration.Limits.Unusable; len(unusable) > 0 {
		fields["unusable_limits"] = strings.Join(unusable, " ")
	}
	s.log.Warn(eventlog.ConfigurationAdopted, fields)
}

// KeyPolicyMissing returns a channel that receives a value when a configuration has been adopted that
// doesn't say whether requests need a key. The platform's store knows.
func (s *State) KeyPolicyMissing() <-chan struct{} { return s.keyPolicyMissing }

// KnowsKeyPolicy reports whether there is a configuration that says whether requests need a key.
func (s *State) KnowsKeyPolicy() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.view.KnowsKeyPolicy()
}

// OfferList merges a complete list of back ends.
func (s *State) OfferList(entries []catalog.Entry, at catalog.Position, source string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.listed = true
	s.applyEntries(s.view.OfferList(entries, at), source)
}

// LatestList returns the latest position of the lists that were merged.
func (s *State) LatestList() catalog.Position {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.view.LatestList()
}

// ObserveFreshList processes the position of a list that wasn't stale. before is what LatestList returned before the list
// was read.
func (s *State) ObserveFreshList(before, at catalog.Position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.view.ObserveFreshList(before, at)
}

// AddsBackEnds reports whether a list has back ends that are new to this gateway, although it knows all that a peer or
// an earlier list had of their buckets.
func (s *State) AddsBackEnds(entries []catalog.Entry) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.syncedBuckets
	if s.listed {
		known = catalog.AllBuckets
	}
	return s.view.AddsBackEnds(entries, known)
}

// OfferEntries merges changes of back ends.
func (s *State) OfferEntries(entries []catalog.Entry, source string) {
	if len(entries) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applyEntries(s.view.OfferEntries(entries), source)
}

// OfferBuckets merges the reply of a peer that has a complete list: all entries that this
// gateway lacked in some buckets.
func (s *State) OfferBuckets(buckets catalog.Buckets, entries []catalog.Entry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applyEntries(s.view.OfferEntries(entries), SourcePeer)
	s.markSynced(buckets)
}

// markSynced records buckets of which this gateway knows everything that a peer with a
// complete list knows.
func (s *State) markSynced(buckets catalog.Buckets) {
	s.syncedBuckets |= buckets
	if !s.listed && s.syncedBuckets == catalog.AllBuckets {
		s.listed = true
		s.announce()
	}
}

// Sources of changes, for logs.
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
	s.signalOrigins()
	s.announce()
	for _, entry := range changed {
		s.log.Warn(eventlog.BackEndChanged, logrus.Fields{
			"back_end": entry.BackEnd.ID, "service": entry.BackEnd.Service, "address": entry.BackEnd.Address,
			"leaving": entry.BackEnd.Leaving, "gone": entry.Gone, "era": entry.Era, "revision": entry.Revision, "source": source,
		})
	}
}

// announce wakes those that wait for a change, such as senders of updates to peers. It logs when
// the gateway becomes ready for the first time.
func (s *State) announce() {
	if !s.wasReady && s.canServe() {
		s.wasReady = true
		s.log.Warn(eventlog.Ready, logrus.Fields{"version": s.view.Version(), "back_ends": len(s.view.BackEnds())})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Version returns the version of the current configuration, or 0.
func (s *State) Version() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.view.Version()
}

// SetFleet sets this gateway's place in the fleet and the gateways that are known.
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

// Place returns the place that was set by SetFleet.
func (s *State) Place() Place {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.place
}

// DutyChanged returns a channel that is closed when this gateway's duty changes.
func (s *State) DutyChanged() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.dutyChanged
}

// StoreAnswered records that the store answered this gateway.
func (s *State) StoreAnswered() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.storeAnsweredAt = s.clock.Now()
}

// decide runs a step of the core under the lock, and then logs and announces its effects.
func (s *State) decide(step func(now time.Time, core *dispatch.Core) dispatch.Decision) dispatch.Decision {
	decision, changes := s.decideLocked(step)
	for _, change := range changes {
		s.log.Warn(eventlog.BackEndHealth, logrus.Fields{
			"back_end": change.BackEnd, "from": change.From.String(), "to": change.To.String(),
			"failures": change.Failures, "error_rate": change.ErrorRate,
		})
	}
	return decision
}

// decideLocked runs a step of the core under the lock, which a panic of the core releases too.
func (s *State) decideLocked(step func(now time.Time, core *dispatch.Core) dispatch.Decision) (dispatch.Decision, []dispatch.HealthChange) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	decision := step(s.clock.Now(), s.core)
	changes := s.core.TakeHealthChanges()
	s.announceCrashes()
	s.announceIncarnations()
	return decision, changes
}

// answerBegan records the first event of an attempt; see dispatch.Core.AnswerBegan.
func (s *State) answerBegan(x *dispatch.Exchange) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.AnswerBegan(s.clock.Now(), x)
	s.announceCrashes()
}

// eventPassed records an event of a stream that was passed on; see dispatch.Core.EventPassed.
func (s *State) eventPassed(x *dispatch.Exchange, waited time.Duration, numbered bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.EventPassed(s.clock.Now(), x, waited, numbered)
	s.signalOrigins()
}

// progressed records an event of a stream with the given number of tokens, or nothing for 0.
func (s *State) progressed(x *dispatch.Exchange, tokens int) {
	if tokens == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.Progressed(s.clock.Now(), x, tokens)
}

// SetLag sets how late this process runs due work: lag is the recent maximum, and sustained
// the delay that persists; see LagMeter.
func (s *State) SetLag(lag, sustained time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lag = lag
	s.sustainedLag = sustained
	s.core.SetLag(lag)
}

// ShouldAdmit reports whether this process has enough CPU time for one more request.
func (s *State) ShouldAdmit(urgency int, id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return dispatch.ShouldAdmit(s.sustainedLag, urgency, id)
}

// Lag returns the recent maximum that was set by SetLag.
func (s *State) Lag() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.lag
}

// StoreAge returns the time since the store last answered this gateway. It is long if other
// gateways read the store for this one.
func (s *State) StoreAge() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.storeAge(s.clock.Now())
}

// maxStoreAge is the largest reported age, also for a store that has never answered.
const maxStoreAge = time.Hour

func (s *State) storeAge(now time.Time) time.Duration {
	return min(now.Sub(s.storeAnsweredAt), maxStoreAge)
}
