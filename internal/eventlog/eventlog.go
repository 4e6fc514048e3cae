// Package eventlog writes a gateway's decisions as JSON lines. Logging never
// blocks a request: lines go through a bounded queue, and lines that exceed a rate
// limit or don't fit into the queue are dropped and counted; a periodic line reports
// their number. Failures and changes of state (of the configuration, the back ends,
// the store, the peers) have a rate limit of their own, so that lines about routine
// events can't use it up.
package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/harriernotch/harriernotch/internal/logqueue"
)

// Event names a kind of line. docs/OPERATIONS.md explains each.
type Event string

// The closed list of events.
const (
	Started      Event = "node.started"
	Stopping     Event = "node.stopping"
	Stopped      Event = "node.stopped"
	Reloaded     Event = "node.reloaded"
	Resumed      Event = "node.resumed"
	ReloadFailed Event = "node.reload_failed"
	Ready        Event = "node.ready"
	// StartDelayed is about a start that waits, because something that it needs can't be had yet.
	StartDelayed Event = "node.start_delayed"
	// Failed is the last line of a process that ends because of an error.
	Failed Event = "node.failed"
	// TaskPanicked is about a background task that panicked.
	TaskPanicked         Event = "node.task_panicked"
	StoreLost            Event = "store.lost"
	StoreRegained        Event = "store.regained"
	ObjectUnreadable     Event = "store.object_unreadable"
	StoreRestored        Event = "store.restored"
	PeerLost             Event = "peer.lost"
	PeerRegained         Event = "peer.regained"
	CollectorSilent      Event = "collector.silent"
	ConfigurationAdopted Event = "configuration.adopted"
	ConfigurationRefused Event = "configuration.refused"
	ZoneEvacuated        Event = "zone.evacuated"
	ZoneRestored         Event = "zone.restored"
	RolloutChanged       Event = "rollout.changed"
	RolloutStarted       Event = "rollout.began"
	RolloutAbandoned     Event = "rollout.abandoned"
	RolloutEnded         Event = "rollout.ended"
	BackEndChanged       Event = "back_end.changed"
	BackEndHealth        Event = "back_end.health"
	BackEndNotice        Event = "back_end.notice"
	RequestSent          Event = "request.sent"
	RequestAnswered      Event = "request.answered"
	AttemptFailed        Event = "request.attempt_failed"
	RequestResumed       Event = "request.resumed"
	RequestContinued     Event = "request.continued"
	RequestFailed        Event = "request.failed"
	RequestRefused       Event = "request.refused"
	CallerLeft           Event = "request.caller_left"
	// ConnectionsRefused is about connections that were closed, or heads that were refused, for lack of room.
	ConnectionsRefused Event = "connections.refused"
	LinesDropped       Event = "log.left_out"
	// RequestsWithheld and RequestsReleased are about all requests with the same content.
	RequestsWithheld Event = "requests.withheld"
	RequestsReleased Event = "requests.released"
	// RecordAbandoned is about a record of withheld or released requests that won't be
	// written to the store, because too many wait to be written. Peers still receive it.
	RecordAbandoned Event = "requests.record_given_up"
)

// Events lists every event.
func Events() []Event {
	return []Event{
		Started, Stopping, Stopped, Reloaded, Resumed, ReloadFailed, Ready,
		StartDelayed, Failed, TaskPanicked, StoreLost, StoreRegained, StoreRestored, ObjectUnreadable, PeerLost, PeerRegained, CollectorSilent,
		ConfigurationAdopted, ConfigurationRefused, ZoneEvacuated, ZoneRestored,
		RolloutChanged, RolloutStarted, RolloutAbandoned, RolloutEnded, BackEndChanged, BackEndHealth, BackEndNotice,
		RequestSent, RequestAnswered, AttemptFailed, RequestResumed, RequestContinued,
		RequestFailed, RequestRefused, CallerLeft, ConnectionsRefused, LinesDropped, RequestsWithheld, RequestsReleased, RecordAbandoned,
	}
}

const (
	// infoPerSecond and warnPerSecond limit the rates of lines at the two levels.
	// The burst sizes are the same numbers.
	infoPerSecond = 20
	warnPerSecond = 100
	// dropReportPeriod is the time between two reports on dropped lines.
	dropReportPeriod = 5 * time.Second
)

// Log writes lines. It is safe for concurrent use.
type Log struct {
	logger    *logrus.Entry
	queue     *logqueue.Queue
	infoLimit *rate.Limiter
	warnLimit *rate.Limiter
	// dropped counts the lines dropped since the last report, droppedTotal since the
	// start.
	dropped      atomic.Int64
	droppedTotal atomic.Int64
	// done is closed to end the reports on dropped lines, and reported once they have ended.
	done, reported chan struct{}
}

// New returns a log that writes to the output, with the given fields in every line,
// and starts its writer. Close stops it.
func New(output io.Writer, level logrus.Level, fields logrus.Fields) *Log {
	l := &Log{
		infoLimit: rate.NewLimiter(infoPerSecond, infoPerSecond),
		warnLimit: rate.NewLimiter(warnPerSecond, warnPerSecond),
		done:      make(chan struct{}),
		reported:  make(chan struct{}),
	}
	l.queue = logqueue.New(output, l.countDropped)
	logger := logrus.New()
	logger.SetOutput(l.queue)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	l.logger = logger.WithFields(fields)
	go l.reportPeriodically()
	return l
}

// Entry returns the logger for code that uses logrus directly. The rate limits don't
// apply to it, the queue does.
func (l *Log) Entry() *logrus.Entry { return l.logger }

// Info logs a routine event, which can happen at any rate. If the level is off or
// the rate limit is reached, fields isn't called and Info returns false. Otherwise
// it returns true, also if the line is dropped because the queue is full.
func (l *Log) Info(event Event, fields func() logrus.Fields) bool {
	if !l.allows(l.infoLimit, logrus.InfoLevel) {
		return false
	}
	l.logger.WithFields(fields()).Log(logrus.InfoLevel, string(event))
	return true
}

// Warn logs a failure, a change of state, or a line that explains a failure.
func (l *Log) Warn(event Event, fields logrus.Fields) {
	if l.allows(l.warnLimit, logrus.WarnLevel) {
		l.logger.WithFields(fields).Log(logrus.WarnLevel, string(event))
	}
}

// allows reports whether a line of a level may be written now. A line over the rate
// limit is counted as dropped.
func (l *Log) allows(limit *rate.Limiter, level logrus.Level) bool {
	if !l.logger.Logger.IsLevelEnabled(level) {
		return false
	}
	if !limit.Allow() {
		l.countDropped()
		return false
	}
	return true
}

func (l *Log) countDropped() {
	l.dropped.Add(1)
	l.droppedTotal.Add(1)
}

// Dropped returns the number of lines dropped since the start.
func (l *Log) Dropped() int64 { return l.droppedTotal.Load() }

// Unwritten returns the number of lines that the output didn't take since the start.
func (l *Log) Unwritten() int64 { return l.queue.Unwritten() }

// Close writes a last report on dropped lines, if the queue has room for it, and the queued lines. It doesn't wait for
// long if the output blocks.
func (l *Log) Close() {
	close(l.done)
	<-l.reported
	l.queue.Close()
}

// reportPeriodically reports on dropped lines until Close.
func (l *Log) reportPeriodically() {
	defer close(l.reported)
	report := time.NewTicker(dropReportPeriod)
	defer report.Stop()
	for {
		select {
		case <-report.C:
			l.reportDropped()
		case <-l.done:
			l.reportDropped()
			return
		}
	}
}

// reportDropped logs the number of lines dropped since the last report, if any. If the
// queue is full, the report is dropped too, and its number appears in no later report;
// Dropped still includes it.
func (l *Log) reportDropped() {
	if count := l.dropped.Swap(0); count > 0 {
		l.logger.WithField("lines", count).Info(string(LinesDropped))
	}
}
