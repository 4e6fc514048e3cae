// Package eventlog writes a gateway's decisions as JSON lines. Writing never
// blocks a request: lines wait in a bounded queue, and what doesn't fit is
// counted and told later. Failures and changed beliefs have a budget of their
// own, so that ordinary lines can't starve them.
package eventlog

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"golang.org/x/time/rate"
)

// Event names a kind of line. docs/OPERATIONS.md explains each.
type Event string

// The closed list of events.
const (
	Started              Event = "node.started"
	Stopping             Event = "node.stopping"
	Stopped              Event = "node.stopped"
	Reloaded             Event = "node.reloaded"
	Resumed              Event = "node.resumed"
	ReloadFailed         Event = "node.reload_failed"
	Ready                Event = "node.ready"
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
	RequestFailed        Event = "request.failed"
	RequestRefused       Event = "request.refused"
	CallerLeft           Event = "request.caller_left"
	LinesDropped         Event = "log.left_out"
	// RequestsWithheld and RequestsReleased speak of all requests of one content.
	RequestsWithheld Event = "requests.withheld"
	RequestsReleased Event = "requests.released"
	RecordAbandoned  Event = "requests.record_given_up"
)

// Events lists every event.
func Events() []Event {
	return []Event{
		Started, Stopping, Stopped, Reloaded, Resumed, ReloadFailed, Ready,
		StoreLost, StoreRegained, StoreRestored, ObjectUnreadable, PeerLost, PeerRegained, CollectorSilent,
		ConfigurationAdopted, ConfigurationRefused, ZoneEvacuated, ZoneRestored,
		RolloutChanged, RolloutStarted, RolloutAbandoned, RolloutEnded, BackEndChanged, BackEndHealth, BackEndNotice,
		RequestSent, RequestAnswered, AttemptFailed, RequestResumed,
		RequestFailed, RequestRefused, CallerLeft, LinesDropped, RequestsWithheld, RequestsReleased, RecordAbandoned,
	}
}

const (
	// queueLines is the number of lines that may wait for the output.
	queueLines = 512
	// ordinaryPerSecond and urgentPerSecond bound the lines written; as many may
	// come at once.
	infoPerSecond = 20
	warnPerSecond = 100
	// summaryPeriod is the time between two lines on what was left out.
	dropReportPeriod = 5 * time.Second
)

// Log writes lines. It is safe for concurrent use.
type Log struct {
	logger    *logrus.Entry
	queue     chan []byte
	infoLimit *rate.Limiter
	warnLimit *rate.Limiter
	// leftOut counts lines left out since the last summary, leftOutEver since the
	// start.
	dropped      atomic.Int64
	droppedTotal atomic.Int64
	done         chan struct{}
	writer       conc.WaitGroup
}

// New returns a log to the output; fields stand in every line. Close ends it.
func New(output io.Writer, level logrus.Level, fields logrus.Fields) *Log {
	l := &Log{
		queue:     make(chan []byte, queueLines),
		infoLimit: rate.NewLimiter(infoPerSecond, infoPerSecond),
		warnLimit: rate.NewLimiter(warnPerSecond, warnPerSecond),
		done:      make(chan struct{}),
	}
	logger := logrus.New()
	logger.SetOutput(queueWriter{l})
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	l.logger = logger.WithFields(fields)
	l.writer.Go(func() { l.write(output) })
	return l
}

// Entry returns the logger for code that logs through logrus itself.
func (l *Log) Entry() *logrus.Entry { return l.logger }

// Ordinary writes a line on something that happens all the time, unless the
// budget for such lines is spent; then its fields aren't even made. It tells
// whether the line was taken.
func (l *Log) Info(event Event, fields func() logrus.Fields) bool {
	if !l.allows(l.infoLimit, logrus.InfoLevel) {
		return false
	}
	l.logger.WithFields(fields()).Log(logrus.InfoLevel, string(event))
	return true
}

// Urgent writes a line on a failure or a changed belief.
func (l *Log) Warn(event Event, fields logrus.Fields) {
	if l.allows(l.warnLimit, logrus.WarnLevel) {
		l.logger.WithFields(fields).Log(logrus.WarnLevel, string(event))
	}
}

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

// LeftOut returns the number of lines left out since the start.
func (l *Log) Dropped() int64 { return l.droppedTotal.Load() }

// Close writes what waits, as far as the output takes it at once.
func (l *Log) Close() {
	close(l.done)
	l.writer.Wait()
}

// queueWriter puts lines into the queue, or counts them as left out.
type queueWriter struct{ log *Log }

// Write implements io.Writer. It never blocks.
func (q queueWriter) Write(line []byte) (int, error) {
	select {
	case q.log.queue <- append([]byte(nil), line...):
	default:
		q.log.countDropped()
	}
	return len(line), nil
}

func (l *Log) write(output io.Writer) {
	report := time.NewTicker(dropReportPeriod)
	defer report.Stop()
	for {
		select {
		case line := <-l.queue:
			// A broken output leaves nobody to tell.
			_, _ = output.Write(line)
		case <-report.C:
			l.reportDropped()
		case <-l.done:
			l.drain(output)
			return
		}
	}
}

func (l *Log) reportDropped() {
	if count := l.dropped.Swap(0); count > 0 {
		l.logger.WithField("lines", count).Info(string(LinesDropped))
	}
}

func (l *Log) drain(output io.Writer) {
	l.reportDropped()
	for {
		select {
		case line := <-l.queue:
			_, _ = output.Write(line)
		default:
			return
		}
	}
}
