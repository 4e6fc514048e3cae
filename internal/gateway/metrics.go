package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/rollout"
	"github.com/harriernotch/harriernotch/internal/workload"
)

// Metrics records a gateway's metrics. The number of label values is bounded: services come from
// the configuration, and beyond maxServices they share one label.
type Metrics struct {
	scope tally.Scope

	mutex    sync.Mutex
	services map[string]bool
}

const (
	// maxServices limits the number of services with a label of their own.
	maxServices = 64
	// otherService labels all further services, and noService requests without a route.
	otherService = "other"
	noService    = "none"
)

// NewMetrics returns metrics that are reported in the scope.
func NewMetrics(scope tally.Scope) *Metrics {
	return &Metrics{scope: scope, services: map[string]bool{}}
}

// service returns the label for a service.
func (m *Metrics) service(name string) string {
	if name == "" {
		return noService
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.services[name] && len(m.services) >= maxServices {
		return otherService
	}
	m.services[name] = true
	return name
}

// probed records whether a silent back end could be reached.
func (m *Metrics) probed(result reachability) {
	m.scope.Tagged(map[string]string{"result": result.String()}).Counter("reach_probes").Inc(1)
}

// runEndFound records what was found out about the run of a stream that broke off.
func (m *Metrics) runEndFound(c *call, end runEnd) {
	m.forCall(c).Tagged(map[string]string{"result": end.String()}).Counter("run_ends").Inc(1)
}

// forCall returns the scope tagged with the request's service and kind of answer.
func (m *Metrics) forCall(c *call) tally.Scope {
	labels := map[string]string{"service": noService, "stream": "no"}
	if c.exchange != nil {
		labels["service"] = m.service(c.exchange.Service())
	}
	if c.route != nil && c.route.Stream {
		labels["stream"] = "yes"
	}
	return m.scope.Tagged(labels)
}

// timeToHeadBuckets are the histogram buckets for the time to an answer's header.
var timeToHeadBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second,
}

// headReceived records the time until the header of an answer that is passed on.
func (m *Metrics) headReceived(c *call, after time.Duration) {
	m.forCall(c).Histogram("time_to_head", timeToHeadBuckets).RecordDuration(after)
}

// answered counts an answer that was passed on completely.
func (m *Metrics) answered(c *call, result outcome) {
	labels := map[string]string{
		"status":   strconv.Itoa(result.answer.StatusCode/100) + "xx",
		"attempts": strconv.Itoa(min(c.exchange.Attempts(), maxAttemptsLabel)),
	}
	m.forCall(c).Tagged(labels).Counter("answers").Inc(1)
}

// maxAttemptsLabel is the largest number of attempts with a label of its own.
const maxAttemptsLabel = 5

// attemptFailed counts an attempt without an answer that can be passed on, by cause.
func (m *Metrics) attemptFailed(c *call, failed attemptFailure) {
	m.forCall(c).Tagged(map[string]string{"cause": failed.label()}).Counter("attempts_failed").Inc(1)
}

// label classifies the cause of a failed attempt.
func (f attemptFailure) label() string {
	switch {
	case f.notSent:
		return "unreachable"
	case f.deadlinePassed:
		return "deadline"
	case f.expired:
		return "silent"
	case f.status >= serverFailure:
		return "failed"
	case f.status > 0:
		return "unusable"
	default:
		return "broke_off"
	}
}

// sent counts the backup that is ordered with an attempt, an attempt to continue a run from its
// backup, and an attempt to resume a stream. resumeAfter is the ID of the last event of a stream that
// the gateway resumes.
func (m *Metrics) sent(c *call, send dispatch.Send, resumeAfter string) {
	if send.BackUpTo != "" {
		m.forCall(c).Tagged(map[string]string{"reason": string(send.BackupReason)}).Counter("backups_ordered").Inc(1)
	}
	if send.ContinueFrom != "" {
		m.forCall(c).Tagged(map[string]string{"result": "tried"}).Counter("continuations").Inc(1)
		return
	}
	switch {
	case resumeAfter != "":
		m.resumption(c, resumedByGateway, "sent")
	case c.isResumption():
		m.resumption(c, resumedByCaller, "sent")
	}
}

// notResumed counts a stream that can't be resumed because of the version that began it. Other kinds of
// errors are not counted.
func (m *Metrics) notResumed(c *call, by string, kind failure.Kind) {
	if kind == failure.StreamVersionUnknown || kind == failure.StreamVersionGone {
		m.resumption(c, by, kind.String())
	}
}

// resumption counts the result of an attempt to resume a stream.
func (m *Metrics) resumption(c *call, by, result string) {
	m.forCall(c).Tagged(map[string]string{"by": by, "result": result}).Counter("resumptions").Inc(1)
}

// continuationSucceeded counts a stream that was passed on completely after its run was continued
// from a backup.
func (m *Metrics) continuationSucceeded(c *call) {
	m.forCall(c).Tagged(map[string]string{"result": "succeeded"}).Counter("continuations").Inc(1)
}

// Values of a metric's label: how the relocation of a silent stream ended.
const (
	relocationTakenOver = "taken_over"
	relocationWithdrawn = "silent_went_on"
	relocationFailed    = "failed"
)

// relocated counts the end of a relocation during which the silent attempt was kept.
func (m *Metrics) relocated(c *call, moved *relocation) {
	result := relocationFailed
	switch {
	case moved.accepted:
		result = relocationTakenOver
	case moved.withdrawn:
		result = relocationWithdrawn
	}
	m.forCall(c).Tagged(map[string]string{"result": result}).Counter("silent_streams").Inc(1)
}

// connection says what connection to a back end an attempt took.
type connection string

const (
	// connectionNone: no connection was made.
	connectionNone connection = ""
	// connectionNew was opened for the attempt; connectionReused had carried others.
	connectionNew    connection = "new"
	connectionReused connection = "reused"
	// connectionUnsafe could no longer be used safely and was closed; nothing was sent on it.
	connectionUnsafe connection = "unsafe"
)

// connected counts the connection that an attempt took.
func (m *Metrics) connected(c *call) {
	if c.connection != connectionNone {
		m.forCall(c).Tagged(map[string]string{"connection": string(c.connection)}).Counter("back_end_connections").Inc(1)
	}
}

// refused counts an error that the gateway itself returned, and whether the request was beyond its
// tenant's fair share. Tenants have no labels: there are hundreds of them. Refusals for lack of a back
// end with room are also counted by reason.
func (m *Metrics) refused(c *call, kind failure.Kind) {
	labels := map[string]string{"kind": kind.String(), "excess": "no"}
	if c.isExcess() {
		labels["excess"] = "yes"
	}
	m.forCall(c).Tagged(labels).Counter("refusals").Inc(1)
	m.notResumed(c, resumedByCaller, kind)
	if reason := c.refusal(); reason != "" {
		m.forCall(c).Tagged(map[string]string{"reason": string(reason)}).Counter("refusals_by_reason").Inc(1)
	}
}

// bodyEnded counts a request whose body wasn't read to its end: too_large, no_room, too_slow or deadline.
func (m *Metrics) bodyEnded(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("bodies_ended").Inc(1)
}

// noticed counts a notice: what a back end's answer says about the back end itself.
func (m *Metrics) noticed(c *call, notice dispatch.Notice) {
	if notice.Leaving {
		m.forCall(c).Tagged(map[string]string{"notice": "leaving"}).Counter("back_end_notices").Inc(1)
	}
	if notice.RetryAfter > 0 {
		m.forCall(c).Tagged(map[string]string{"notice": "rest"}).Counter("back_end_notices").Inc(1)
	}
}

// cut counts an answer that ended before it was complete.
func (m *Metrics) cut(c *call) { m.forCall(c).Counter("answers_cut").Inc(1) }

// Report updates the gauges.
func (m *Metrics) Report(gauges Gauges) {
	m.scope.Gauge("configuration_version").Update(float64(gauges.Version))
	m.scope.Gauge("store_age_seconds").Update(gauges.StoreAge.Seconds())
	m.scope.Gauge("peer_age_seconds").Update(gauges.PeerAge.Seconds())
	m.scope.Gauge("lag_seconds").Update(gauges.Lag.Seconds())
	m.scope.Gauge("gateways").Update(float64(gauges.Gateways))
	m.scope.Gauge("evacuated_zones").Update(float64(gauges.Evacuated))
	m.scope.Gauge("keys_not_required").Update(boolGauge(gauges.KeyPolicy == catalog.KeysNotRequired))
	m.scope.Gauge("store_era").Update(float64(gauges.Era))
	for _, progress := range gauges.Rollouts {
		scope := m.scope.Tagged(map[string]string{"service": m.service(progress.Service)})
		scope.Gauge("rollout_state").Update(float64(progress.State))
		scope.Gauge("rollout_attempts").Update(float64(progress.Sent))
		scope.Gauge("rollout_candidate_attempts").Update(float64(progress.Exposed))
	}
	m.scope.Gauge("log_lines_left_out").Update(float64(gauges.LinesDropped))
	m.scope.Gauge("log_lines_unwritten").Update(float64(gauges.LinesUnwritten))
	m.scope.Gauge("memory_bytes").Update(float64(gauges.MemoryBytes))
	for _, service := range gauges.Services {
		scope := m.scope.Tagged(map[string]string{"service": m.service(service.Name)})
		scope.Gauge("retry_budget").Update(service.RetryBudget)
		scope.Gauge("under_way").Update(float64(service.InFlight))
		scope.Gauge("back_ends").Update(float64(service.BackEnds))
		scope.Gauge("back_ends_unusable").Update(float64(service.Unusable))
		scope.Gauge("backlog_callers").Update(service.Backlog)
		scope.Gauge("retry_after_seconds").Update(service.RetryAfter.Seconds())
		if errors := service.PredictionErrors; errors.Count > 0 {
			scope.Gauge("prediction_error_median_seconds").Update(errors.Median.Seconds())
			scope.Gauge("prediction_error_95th_seconds").Update(errors.Percentile95.Seconds())
		}
	}
}

// boolGauge returns the value of a gauge that shows whether something holds.
func boolGauge(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// Gauges holds the values of a gateway's gauges at one time.
type Gauges struct {
	// Version is the version of the current configuration.
	Version uint64
	// KeyPolicy is whether requests on routes that aren't public need a tenant's key.
	KeyPolicy catalog.KeyPolicy
	// StoreAge is the time since the store last answered. PeerAge is the age of the oldest loads
	// of a live peer.
	StoreAge time.Duration
	PeerAge  time.Duration
	// Lag is how late this process runs due work.
	Lag time.Duration
	// Gateways is the number of live gateways, including this one.
	Gateways int
	// Evacuated is the number of zones whose back ends get no new requests.
	Evacuated int
	// Era is the era of the store. Rollouts are the services that are being rolled out.
	Era      uint64
	Rollouts []RolloutGauges
	// LinesDropped is the number of log lines dropped since the start.
	LinesDropped int64
	// LinesUnwritten is the number of log lines since the start that the output didn't take, as when their
	// reader has gone.
	LinesUnwritten int64
	// MemoryBytes is the memory that the Go runtime has mapped and not returned to the system.
	MemoryBytes uint64
	// Services are the services with back ends.
	Services []ServiceGauges
}

// RolloutGauges is the progress of a service's rollout: the state as a number (rollout.State),
// and the attempts of all gateways since the order, in total and at the candidate.
type RolloutGauges struct {
	Service string
	State   rollout.State
	Sent    int
	Exposed int
}

// ServiceGauges holds the gauges of one service.
type ServiceGauges struct {
	// Name is the name of the service.
	Name string
	// RetryBudget is the number of retries that this gateway may make now, and InFlight the
	// number of its requests in flight.
	RetryBudget float64
	InFlight    int
	// BackEnds counts the listed back ends, and Unusable those of them whose health isn't
	// dispatch.Healthy.
	BackEnds int
	Unusable int
	// PredictionErrors are the recent errors of the predicted times to the first token.
	PredictionErrors workload.ErrorSummary
	// Backlog is the estimated number of refused callers that will come back to this gateway, and
	// RetryAfter the time to come back that a caller was last told; 0 without recent refusals.
	Backlog    float64
	RetryAfter time.Duration
}
