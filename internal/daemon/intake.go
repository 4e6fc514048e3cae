package daemon

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/gateway"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/intake"
)

const (
	// defaultIdleTimeout is how long a client's connection may rest unless the configuration says otherwise.
	defaultIdleTimeout = 60 * time.Second
	// defaultHeaderTimeout is the time within which a client must send the head of a request unless the configuration
	// says otherwise.
	defaultHeaderTimeout = 5 * time.Second
)

// listenerNames name the listeners in the status, metrics and events.
var listenerNames = map[intake.Role]string{intake.Callers: "callers", intake.Peers: "peers", intake.Operators: "admin", intake.Metrics: "metrics"}

// bound returns a listener whose connections the intake bounds.
func (g *Gateway) bound(listener net.Listener, role intake.Role) *intake.Listener {
	limits := defaultLimits
	if role == intake.Callers {
		limits = g.callersLimits
	}
	return g.intake.Listener(listener, intake.ListenerConfig{Name: listenerNames[role], MaxConnections: g.capacity().MaxConnections(role), Limits: limits})
}

func defaultLimits() intake.Limits {
	return intake.Limits{HeadBytes: hop.MaxHeadBytes, HeadTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
}

// callersLimits returns the limits of the configuration in force, and defaults for those that it doesn't set.
func (g *Gateway) callersLimits() intake.Limits {
	limits := defaultLimits()
	index := g.state.Index()
	if index == nil {
		return limits
	}
	configured := index.Configuration().Limits
	if configured.MaxHeaderBytes > 0 {
		limits.HeadBytes = configured.MaxHeaderBytes
	}
	if configured.HeaderTimeout > 0 {
		limits.HeadTimeout = configured.HeaderTimeout
	}
	if configured.IdleTimeout > 0 {
		limits.IdleTimeout = configured.IdleTimeout
	}
	return limits
}

// maxDescriptorLimit stands for a process without a limit on descriptors.
const maxDescriptorLimit = 1 << 24

// capacity returns what the process may use: the settings, and the process's own limit on descriptors.
func (g *Gateway) capacity() intake.Capacity {
	descriptors := int64(maxDescriptorLimit)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < maxDescriptorLimit {
		descriptors = int64(limit.Cur)
	}
	if set := int64(g.settings.Gateway.MaxDescriptors); set > 0 {
		descriptors = min(descriptors, set)
	}
	return intake.Capacity{MemoryBytes: int64(g.settings.Gateway.MemoryMegabytes) << 20, Descriptors: descriptors}
}

// GatewayStatus is what a gateway serves at /status.
type GatewayStatus struct {
	gateway.Status
	// Connections is what the gateway holds for its clients.
	Connections intake.Status `json:"connections"`
}

func (g *Gateway) status() GatewayStatus {
	return GatewayStatus{Status: g.state.Status(), Connections: g.intake.Status()}
}

// reportIntake updates the gauges of connections.
func reportIntake(scope tally.Scope, status intake.Status) {
	scope.Gauge("head_bytes").Update(float64(status.HeadBytes))
	for _, each := range status.Listeners {
		tagged := scope.Tagged(map[string]string{"listener": each.Name})
		tagged.Gauge("connections_open").Update(float64(each.Open))
		tagged.Gauge("connections_resting").Update(float64(each.Resting))
		tagged.Gauge("connections_max").Update(float64(each.Max))
	}
}

// refusalReportPeriod is the time between two events on connections that were refused at one listener for one reason.
const refusalReportPeriod = 10 * time.Second

// intakeKind is one kind of connections that are ended.
type intakeKind struct {
	listener string
	reason   intake.Reason
}

// intakeReport tells operators of connections that are refused or ended. It is safe for concurrent use.
type intakeReport struct {
	log      *eventlog.Log
	counters map[intakeKind]tally.Counter

	mutex sync.Mutex
	// reportedAt are the times of the last events.
	reportedAt map[intakeKind]time.Time
}

func newIntakeReport(log *eventlog.Log, scope tally.Scope) *intakeReport {
	r := &intakeReport{log: log, counters: map[intakeKind]tally.Counter{}, reportedAt: map[intakeKind]time.Time{}}
	for _, listener := range listenerNames {
		for _, reason := range intake.Reasons() {
			labels := map[string]string{"listener": listener, "reason": string(reason)}
			r.counters[intakeKind{listener, reason}] = scope.Tagged(labels).Counter("connections_ended")
		}
	}
	return r
}

// ended is the hook intake.Config.Ended.
func (r *intakeReport) ended(listener string, reason intake.Reason) {
	kind := intakeKind{listener, reason}
	r.counters[kind].Inc(1)
	if !reason.IsLackOfRoom() {
		return
	}
	now := time.Now()
	r.mutex.Lock()
	isDue := now.Sub(r.reportedAt[kind]) >= refusalReportPeriod
	if isDue {
		r.reportedAt[kind] = now
	}
	r.mutex.Unlock()
	if isDue {
		r.log.Warn(eventlog.ConnectionsRefused, logrus.Fields{"listener": listener, "reason": string(reason)})
	}
}
