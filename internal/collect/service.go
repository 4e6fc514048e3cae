package collect

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/clock"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/fairshare"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/peerlink"
	"github.com/harriernotch/harriernotch/internal/rollout"
	"github.com/harriernotch/harriernotch/internal/task"
)

// Path is where a gateway accepts queries of other gateways.
const Path = "/loads"

// Source provides the counts of one gateway and receives the totals.
type Source interface {
	// Live returns the live gateways, including this one. large is true if there are so many that
	// they don't all exchange their loads directly.
	Live() (gateways []Gateway, large bool)
	// Counts returns the gateway's own counts. ApplyTotals sets the totals; own are the counts that
	// it reported and that are included in them.
	Counts() []dispatch.Count
	ApplyTotals(own []dispatch.Count, totals dispatch.Totals)
	// Tallies returns the gateway's own tallies of rollouts. SetTallyTotals sets their totals; own
	// are the tallies that it reported and that are included in them.
	Tallies() []rollout.Tally
	SetTallyTotals(own []rollout.Tally, totals dispatch.Totals)
	// Demands returns the demands of the gateway's largest tenants. ApplyTotals also sets their
	// totals.
	Demands() []fairshare.Demand
}

// Config configures a Service.
type Config struct {
	// ID is this gateway's ID.
	ID string
	// Source provides the counts and receives the totals.
	Source Source
	// Dial opens connections; nil means TCP.
	Dial hop.DialFunc
	// Clock measures ages; nil is the monotonic one.
	Clock *clock.Clock
	// Log and Metrics receive events and metrics for operators.
	Log     *eventlog.Log
	Metrics tally.Scope
}

const (
	// period is the time between two reports of a gateway. Together with the interval at which
	// collectors query each other, it bounds the age of what a gateway knows. It grows with the
	// length of an answer beyond fullRateEntries, the number of back ends and tenants in it (see
	// entriesOf), so that the traffic doesn't.
	period          = 250 * time.Millisecond
	fullRateEntries = 500
	// answerTimeout is how long a collector may take to answer, and silentSkipTime how long one
	// that didn't answer is skipped.
	answerTimeout  = 400 * time.Millisecond
	silentSkipTime = 3 * time.Second
	// noMembersSkipTime is how long a collector is skipped that answers but has no members yet.
	// Where gateways start together, its members report within a period. A shorter time would keep
	// the members after it, one of which may be the one that gets the reports, from being queried.
	noMembersSkipTime = time.Second
	// maxMessageBytes limits the size of a message.
	maxMessageBytes = 1 << 20
	// idleTimeout is how long a connection may go without a query.
	idleTimeout = 5 * time.Second
)

// Service reports this gateway's counts, and collects those of other gateways that report to it.
type Service struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	tasks  *task.Group
	links  *peerlink.Client
	// messages reads the queries of other gateways.
	messages *peerlink.Messages

	mutex      sync.Mutex
	aggregator *Aggregator
	plan       Plan
	// skippedUntil is when a gateway that failed as a collector may be queried again, by ID.
	skippedUntil map[string]time.Time
	// inFlight holds the keys of the groups that are being queried.
	inFlight map[string]bool
}

// Start starts reporting and collecting.
func Start(config Config) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		config: config, ctx: ctx, cancel: cancel, aggregator: NewAggregator(),
		messages:     peerlink.NewMessages(),
		links:        peerlink.NewClient(peerlink.Config{ID: config.ID, Path: Path, Dial: config.Dial, MaxMessageBytes: maxMessageBytes}),
		skippedUntil: map[string]time.Time{}, inFlight: map[string]bool{},
		tasks: task.NewGroup(config.Log.Entry(), config.Metrics),
	}
	s.tasks.Keep(ctx, "collect_loads", s.run)
	return s
}

// Close ends all connections.
func (s *Service) Close() {
	s.cancel()
	s.tasks.Wait()
	s.links.Close()
}

// run reports to the group's collector and queries the other groups, at the intervals that report
// returns. In a small fleet all gateways exchange their loads directly, and nothing is collected.
func (s *Service) run() {
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
			s.queryGroups()
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

// isLarge reports whether the fleet was large at the last update of the plan.
func (s *Service) isLarge() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.plan.Own.Members) > 0
}

// report reports the counts to the group's collector and applies the totals. It returns the time
// until the next report.
func (s *Service) report() time.Duration {
	counts, tallies, tenants := s.config.Source.Counts(), s.config.Source.Tallies(), s.config.Source.Demands()
	collector := s.collectorOf(s.plan.Own)
	var totals dispatch.Totals
	if collector.ID == s.config.ID {
		totals = s.addOwn(counts, tallies, tenants)
	} else {
		var err error
		totals, err = s.query(collector, queryMessage{From: s.config.ID, Counts: pack(counts), Tallies: tallies, Unread: packUnread(counts), Tenants: fairshare.Pack(tenants)})
		if err != nil {
			s.skipCollector(collector, err)
			return 0 // the next collector is tried immediately
		}
	}
	s.config.Source.ApplyTotals(counts, totals)
	s.config.Source.SetTallyTotals(tallies, totals)
	return periodFor(entriesOf(totals))
}

// addOwn records this gateway's own counts, as the collector of its group, and returns the totals.
func (s *Service) addOwn(counts []dispatch.Count, tallies []rollout.Tally, tenants []fairshare.Demand) dispatch.Totals {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.aggregator.SetMember(s.config.Clock.Now(), s.config.ID, counts, tallies, tenants)
	return s.aggregator.Totals(s.config.Clock.Now(), s.plan.Others)
}

// entriesOf returns the number of entries in an answer with the totals. The unread tokens of a back end
// take about two bytes and an entry about seven, so they count as a quarter of an entry.
func entriesOf(totals dispatch.Totals) int {
	unread := 0
	for _, each := range totals.Counts {
		if each.Unread > 0 {
			unread++
		}
	}
	return len(totals.Counts) + len(totals.Tenants) + unread/4
}

// periodFor returns the time between two reports if answers have the given number of entries.
func periodFor(entries int) time.Duration {
	return max(period, period*time.Duration(entries)/fullRateEntries)
}

// collectorOf returns the gateway that collects for the group: the first one that isn't being
// skipped, or the first of all if there is none. This gateway never skips itself.
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

// skipCollector logs that the collector failed, and skips it for a while, unless this service is
// closing.
func (s *Service) skipCollector(collector Gateway, cause error) {
	if s.ctx.Err() != nil {
		return
	}
	skipTime := silentSkipTime
	if errors.Is(cause, errNoMembers) {
		skipTime = noMembersSkipTime
	}
	s.config.Metrics.Counter("collector_silent").Inc(1)
	s.config.Log.Warn(eventlog.CollectorSilent, logrus.Fields{"peer": collector.ID, "cause": cause.Error()})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.skippedUntil[collector.ID] = s.config.Clock.Now().Add(skipTime)
}

// queryGroups queries the collectors of the other groups for their totals, while members report to
// this gateway.
func (s *Service) queryGroups() {
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
		s.tasks.Go("query_group", func() { s.queryGroup(group) })
	}
}

func (s *Service) queryGroup(group Group) {
	defer s.noteQueryEnded(group)
	collector := s.collectorOf(group)
	totals, err := s.query(collector, queryMessage{From: s.config.ID, Group: true})
	if err == nil && totals.Counted == 0 {
		err = errNoMembers
	}
	if err != nil {
		s.skipCollector(collector, err)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.aggregator.SetGroup(s.config.Clock.Now(), group.key(), totals)
}

func (s *Service) noteQueryEnded(group Group) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.inFlight, group.key())
}
