package collect

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/clock"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// Path is where a gateway takes questions of others.
const Path = "/loads"

// Source is the knowledge of one gateway.
type Source interface {
	// Live returns the live gateways, itself included, and whether they are so many
	// that not all tell each other their loads.
	Live() (gateways []Gateway, large bool)
	// Counts returns its own counts, and TakeTotals takes the sums in which those it
	// told are counted in.
	Counts() []dispatch.Count
	ApplyTotals(told []dispatch.Count, totals dispatch.Totals)
	// Tallies returns its own of moves to other versions, and TakeTallies takes the sums in
	// which those it told are counted in.
	Tallies() []rollout.Tally
	SetTallyTotals(told []rollout.Tally, totals dispatch.Totals)
}

// Config sets up a Service.
type Config struct {
	// ID names this gateway.
	ID string
	// Source knows and learns.
	Source Source
	// Dial opens connections; nil uses TCP.
	Dial hop.DialFunc
	// Clock tells ages; nil is the monotonic one.
	Clock *clock.Clock
	// Log and Metrics take what operators should know.
	Log     *eventlog.Log
	Metrics tally.Scope
}

const (
	// period is the time between two questions of a gateway. Together with the next
	// collector's it bounds the age of what a gateway knows. It stretches with the
	// number of back ends beyond quickBackEnds, since an answer tells of each.
	period           = 250 * time.Millisecond
	fullRateBackEnds = 500
	// answerTime is how long a collector may take to answer; silentTime is how long
	// one that didn't is passed over.
	answerTimeout  = 400 * time.Millisecond
	silentSkipTime = 3 * time.Second
	// untoldTime is how long a collector is passed over that answers, and that nobody of its
	// group tells yet: where gateways start together, its members do within a period. Shorter
	// times keep the members behind it, one of which may be told instead, from being asked.
	noMembersSkipTime = time.Second
	// maxMessageBytes bounds a message.
	maxMessageBytes = 1 << 20
	// idleTime is how long a connection may be without a question.
	idleTimeout = 5 * time.Second
)

// Service tells this gateway's counts, and collects those of others when they come.
type Service struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup
	client *http.Client

	mutex      sync.Mutex
	aggregator *Aggregator
	plan       Plan
	// silentUntil is when a gateway that didn't answer may be asked again, by ID.
	skippedUntil map[string]time.Time
	// links are the connections that this gateway opened, by ID of the other one.
	links map[string]*link
	// asking holds the groups that are being asked.
	inFlight map[string]bool
}

// Start begins to tell and to collect.
func Start(config Config) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		config: config, ctx: ctx, cancel: cancel, aggregator: NewAggregator(),
		client:       &http.Client{Transport: &http.Transport{DialContext: config.Dial, DisableKeepAlives: true}},
		skippedUntil: map[string]time.Time{}, links: map[string]*link{}, inFlight: map[string]bool{},
	}
	s.tasks.Go(s.run)
	return s
}

// Close ends all connections.
func (s *Service) Close() {
	s.cancel()
	s.tasks.Wait()
}

// run asks once a period. In a small fleet all gateways tell each other their loads, and
// nothing is collected.
func (s *Service) run() {
	var queries conc.WaitGroup
	defer queries.Wait()
	defer s.closeLinks()
	timer := time.NewTimer(period)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-s.ctx.Done():
			return
		}
		wait := period
		s.updatePlan()
		if s.isLarge() {
			wait = s.report()
			s.queryGroups(&queries)
		}
		timer.Reset(wait)
	}
}

func (s *Service) updatePlan() {
	gateways, large := s.config.Source.Live()
	plan := Plan{}
	if large {
		plan = NewPlan(s.config.ID, gateways)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.plan = plan
	now := s.config.Clock.Now()
	maps.DeleteFunc(s.skippedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
}

func (s *Service) isLarge() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.plan.Own.Members) > 0
}

// tell tells the counts to the group's collector and takes the sums. It returns the time
// to the next question.
func (s *Service) report() time.Duration {
	counts, tallies := s.config.Source.Counts(), s.config.Source.Tallies()
	collector := s.collectorOf(s.plan.Own)
	var totals dispatch.Totals
	if collector.ID == s.config.ID {
		s.mutex.Lock()
		s.aggregator.SetMember(s.config.Clock.Now(), s.config.ID, counts, tallies)
		totals = s.aggregator.Totals(s.config.Clock.Now(), s.plan.Others)
		s.mutex.Unlock()
	} else {
		var err error
		totals, err = s.query(collector, queryMessage{From: s.config.ID, Counts: pack(counts), Tallies: tallies})
		if err != nil {
			s.skipCollector(collector, err)
			return 0 // the next one is asked at once
		}
	}
	s.config.Source.ApplyTotals(counts, totals)
	s.config.Source.SetTallyTotals(tallies, totals)
	return periodFor(len(totals.Counts))
}

// periodFor returns the time between two questions in front of so many back ends.
func periodFor(backEnds int) time.Duration {
	return max(period, period*time.Duration(backEnds)/fullRateBackEnds)
}

// firstAnswering returns the gateway that collects for the group: the first one that
// isn't passed over. This gateway answers itself.
func (s *Service) collectorOf(group Group) Gateway {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.config.Clock.Now()
	for _, each := range group.Members {
		if each.ID == s.config.ID || !now.Before(s.skippedUntil[each.ID]) {
			return each
		}
	}
	return group.Members[0]
}

func (s *Service) skipCollector(collector Gateway, cause error) {
	if s.ctx.Err() != nil {
		return
	}
	skipTime := silentSkipTime
	if errors.Is(cause, errNoMembers) {
		skipTime = noMembersSkipTime
	}
	s.config.Metrics.Counter("collector_silent").Inc(1)
	s.config.Log.Urgent(eventlog.CollectorSilent, logrus.Fields{"peer": collector.ID, "cause": cause.Error()})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.skippedUntil[collector.ID] = s.config.Clock.Now().Add(skipTime)
}

// askGroups asks the other groups' collectors for their sums, while members come to this
// gateway.
func (s *Service) queryGroups(tasks *conc.WaitGroup) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.aggregator.HasMembers(s.config.Clock.Now()) {
		return
	}
	for _, group := range s.plan.Others {
		if s.inFlight[group.key()] {
			continue
		}
		s.inFlight[group.key()] = true
		tasks.Go(func() { s.queryGroup(group) })
	}
}

func (s *Service) queryGroup(group Group) {
	collector := s.collectorOf(group)
	totals, err := s.query(collector, queryMessage{From: s.config.ID, Group: true})
	if err == nil && totals.Counted == 0 {
		err = errNoMembers
	}
	if err != nil {
		s.skipCollector(collector, err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.inFlight, group.key())
	if err == nil {
		s.aggregator.SetGroup(s.config.Clock.Now(), group.key(), totals)
	}
}
