package daemon

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/clock"
	"github.com/harriernotch/harriernotch/internal/collect"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/draining"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/follower"
	"github.com/harriernotch/harriernotch/internal/gateway"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/intake"
	"github.com/harriernotch/harriernotch/internal/keepalive"
	"github.com/harriernotch/harriernotch/internal/origins"
	"github.com/harriernotch/harriernotch/internal/relay"
	"github.com/harriernotch/harriernotch/internal/rollout"
	"github.com/harriernotch/harriernotch/internal/settings"
	"github.com/harriernotch/harriernotch/internal/task"
	"github.com/harriernotch/harriernotch/internal/telemetry"
)

// Adapter connects a gateway to the platform on which it runs.
type Adapter interface {
	// Dialect returns the platform's conventions for the headers of callers and back ends.
	Dialect() gateway.Dialect
	// Source returns a client of the platform's store at the base URL. It calls unreadable
	// for each object that can't be used.
	Source(url string, transport http.RoundTripper, unreadable func(catalog.Unreadable)) follower.Source
}

// GatewayEnvironment holds a gateway's external dependencies.
type GatewayEnvironment struct {
	// Adapter connects the gateway to the platform.
	Adapter Adapter
	// Listen opens listeners; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// Dial opens connections; nil means TCP.
	Dial hop.DialFunc
	// Clock measures ages and includes the time for which the machine was suspended; nil
	// means the monotonic clock.
	Clock *clock.Clock
	// Log receives the gateway's events.
	Log *eventlog.Log
	// Starting ends when the start is to be given up; nil means never.
	Starting context.Context
}

// Gateway is a running gateway.
type Gateway struct {
	settings      *settings.Settings
	log           *eventlog.Log
	metrics       *telemetry.Metrics
	pages         *pages
	state         *gateway.State
	follower      *follower.Follower
	relay         *relay.Relay
	loadCollector *collect.Service
	origins       *origins.Service

	// callers is the server for callers, and connections tracks its connections.
	// otherServers are those for peers, the admin endpoints and metrics.
	callers      *http.Server
	connections  *draining.Connections
	otherServers []*http.Server
	// intake bounds the connections of all servers.
	intake *intake.Intake
	tasks  *task.Group
	// done is closed to stop the goroutines that report gauges and measure lag.
	done chan struct{}
	// running ends, by endRunning, when the gateway stops.
	running    context.Context
	endRunning context.CancelFunc
	// transports are the transports whose idle connections are closed when the gateway
	// stops.
	transports []*hop.Transport
}

const (
	// lapseTimeTenths is dispatch.Config.LapseTime in tenths of leaving_bound. The rest of
	// leaving_bound is for the propagation of updates through the fleet.
	lapseTimeTenths = 7
	// maxLapseTime limits LapseTime, however long leaving_bound is. A store that recovers lists
	// a back end that is alive again with one of its next heartbeats, and this is the time
	// allowed for them: a back end that is still missing after it is considered gone.
	maxLapseTime = 2 * time.Second
	// killMargin is how much earlier than drain_timeout a stopping gateway cuts off the requests
	// that remain. The platform is expected to kill a process that still runs drain_timeout after
	// it was told to stop, and the gateway needs the margin to close its connections and to write
	// its last log lines before that.
	killMargin = 400 * time.Millisecond
)

// StartGateway opens the listeners and starts the gateway.
func StartGateway(s *settings.Settings, environment GatewayEnvironment) (*Gateway, error) {
	if environment.Listen == nil {
		environment.Listen = net.Listen
	}
	if environment.Starting == nil {
		environment.Starting = context.Background()
	}
	g := &Gateway{
		settings: s,
		log:      environment.Log,
		metrics:  telemetry.NewMetrics(),
		state:    newGatewayState(s, environment),

		done: make(chan struct{}),
	}
	g.pages = newPages(g.metrics.Scope)
	g.tasks = task.NewGroup(g.log.Entry(), g.metrics.Scope)
	g.running, g.endRunning = context.WithCancel(environment.Starting)
	g.intake = intake.New(intake.Config{HeadMemory: g.capacity().HeadMemory(), Ended: newIntakeReport(g.log, g.metrics.Scope).ended})
	if err := g.serve(environment); err != nil {
		return nil, err
	}
	g.startFollower(environment)
	g.log.Warn(eventlog.Started, logrus.Fields{
		"callers": s.Listen.Callers, "peers": s.Listen.Peers, "admin": s.Listen.Admin, "zone": s.Zone,
	})
	return g, nil
}

// dispatchConfig returns the configuration of the dispatch core according to the settings.
func dispatchConfig(s *settings.Settings) dispatch.Config {
	config := dispatch.DefaultConfig()
	config.Zone = s.Zone
	config.RetryRatio = *s.Gateway.RetryRatio
	config.RetryExtra = *s.Gateway.RetryExtra
	config.LoadMultiple = s.Gateway.LoadMultiple
	config.LoadSlack = *s.Gateway.LoadSlack
	config.WarmUpOverage = *s.Gateway.WarmUpOverage
	config.WarmUpExtra = s.Gateway.WarmUpExtra
	config.BackupShare = s.Gateway.BackupShare
	config.Rollout = rollout.Limits{Share: s.Gateway.ExposureShare, Extra: s.Gateway.ExposureExtra}
	config.LapseTime = min(s.Gateway.LeavingBound.Std()*lapseTimeTenths/10, maxLapseTime)
	config.Disabled = s.Gateway.Disabled()
	return config
}

// newGatewayState returns the state of a gateway that has read nothing yet. It awaits the kinds of orders
// that the settings name before it is ready.
func newGatewayState(s *settings.Settings, environment GatewayEnvironment) *gateway.State {
	config := dispatchConfig(s)
	state := gateway.NewState(dispatch.New(config), environment.Log)
	state.UseClock(environment.Clock)
	if config.Disabled[dispatch.FollowConfiguration] {
		state.FreezeConfiguration()
	}
	if config.Disabled[dispatch.FollowEras] {
		state.IgnoreEras()
	}
	if s.Gateway.EvacuationBound > 0 {
		state.AwaitEvacuations()
	}
	if s.Gateway.RolloutsEnabled() {
		state.AwaitRollouts()
	}
	return state
}

// serve opens the listeners and starts the gateway's servers and its exchange with other
// gateways.
func (g *Gateway) serve(environment GatewayEnvironment) error {
	opener := addressOpener{listen: environment.Listen, starting: environment.Starting, patience: addressPatience, log: g.log.Entry()}
	listeners, err := g.openListeners(opener)
	if err != nil {
		return err
	}
	g.startExchange(environment)
	metrics := gateway.NewMetrics(g.metrics.Scope)
	g.tasks.Keep(g.running, "report_gauges", func() { g.reportGauges(metrics) })
	g.tasks.Keep(g.running, "bound_connections", func() { g.intake.Run(g.done) })
	g.connections = draining.New()
	g.callers = g.newServer(g.connections.Handler(g.newCallersHandler(environment, metrics)))
	g.callers.ConnState = func(connection net.Conn, state http.ConnState) {
		g.connections.ConnState(connection, state)
		g.intake.ConnState(connection, state)
	}
	g.runServer(g.callers, g.connections.Listener(g.bound(listeners["listen.callers"], intake.Callers)))
	g.serveOther(g.peersHandler(), g.bound(listeners["listen.peers"], intake.Peers))
	g.serveOther(g.adminHandler(), g.bound(listeners["listen.admin"], intake.Operators))
	g.serveMetrics(environment)
	return nil
}

// startExchange starts the exchange of updates, loads and origins of streams with other gateways.
func (g *Gateway) startExchange(environment GatewayEnvironment) {
	g.relay = relay.Start(relay.Config{
		ID: g.settings.ID, Address: g.settings.Listen.Peers, Seeds: g.settings.Seeds,
		Zone: g.settings.Zone, Capacity: int(g.settings.Gateway.ProcessorShare * capacityPerCore),
		State: g.state, Dial: environment.Dial, Log: g.log, Metrics: g.metrics.Scope,
	})
	g.loadCollector = collect.Start(collect.Config{
		ID: g.settings.ID, Source: collectSource{g.state, g.relay}, Clock: environment.Clock, Dial: environment.Dial, Log: g.log, Metrics: g.metrics.Scope,
	})
	g.origins = origins.Start(origins.Config{
		ID: g.settings.ID, Source: originSource{g.state, g.relay}, Clock: environment.Clock, Dial: environment.Dial, Log: g.log.Entry(), Metrics: g.metrics.Scope,
	})
}

// newCallersHandler returns the handler of callers' requests, and starts measuring how late this process
// runs.
func (g *Gateway) newCallersHandler(environment GatewayEnvironment, metrics *gateway.Metrics) http.Handler {
	lag := gateway.NewLagMeter(environment.Clock)
	g.tasks.Keep(g.running, "measure_lag", func() { lag.Run(g.done, g.state.SetLag) })
	disabled := g.settings.Gateway.Disabled()
	var persistent *keepalive.Transport
	if !disabled[dispatch.PersistentConnections] {
		persistent = keepalive.New(g.newTransport(environment, true), environment.Clock, g.state.Lag)
	}
	return gateway.NewHandler(gateway.Config{
		State:        g.state,
		Dialect:      environment.Adapter.Dialect(),
		Reused:       g.newTransport(environment, true),
		Persistent:   persistent,
		Fresh:        g.newTransport(environment, false),
		Dial:         environment.Dial,
		MaxBodyBytes: g.settings.Router.MaxBodyBytes,
		Buffers:      gateway.NewBufferLimit(g.settings.Gateway.BufferBytes()),
		Origins:      g.origins,
		Lag:          lag,
		Tasks:        g.tasks,
		Log:          g.log,
		Metrics:      metrics,
		Disabled:     disabled,
	})
}

// peersHandler returns the handler of what other gateways send.
func (g *Gateway) peersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(relay.Path, g.relay)
	mux.Handle(collect.Path, g.loadCollector)
	mux.Handle(origins.Path, g.origins)
	return bounded(mux)
}

// capacityPerCore converts processor shares to the capacities that gateways announce to each
// other, which are in hundredths of a core.
const capacityPerCore = 100

// newTransport returns a transport whose idle connections are closed when the gateway stops.
func (g *Gateway) newTransport(environment GatewayEnvironment, reuse bool) *hop.Transport {
	transport := hop.NewDirectTransport(environment.Dial, reuse)
	g.transports = append(g.transports, transport)
	return transport
}

// gaugePeriod is the time between two updates of the gauges.
const gaugePeriod = time.Second

// reportGauges updates the gauges every gaugePeriod. It also logs when the machine has been
// suspended.
func (g *Gateway) reportGauges(metrics *gateway.Metrics) {
	suspended := time.Duration(0)
	ticker := time.NewTicker(gaugePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			gauges := g.state.Gauges()
			gauges.MemoryBytes = memoryInUse()
			metrics.Report(gauges)
			reportIntake(g.metrics.Scope, g.intake.Status())
			if now := g.state.Clock().Suspended(); now != suspended {
				g.log.Warn(eventlog.Resumed, logrus.Fields{"suspended_ms": (now - suspended).Milliseconds()})
				suspended = now
			}
		case <-g.done:
			return
		}
	}
}

func (g *Gateway) startFollower(environment GatewayEnvironment) {
	storeTransports := follower.Transports{Plain: g.newTransport(environment, true), Watches: g.newTransport(environment, true)}
	g.follower = follower.Start(follower.Config{
		Source:     environment.Adapter.Source(g.settings.Platform.URL, storeTransports, g.countUnreadable),
		State:      g.state,
		ReadPeriod: g.settings.Gateway.ReadPeriod.Std(),

		Evacuations: g.settings.Gateway.EvacuationBound > 0,
		Rollouts:    g.settings.Gateway.RolloutsEnabled(),
		FirstStart:  g.settings.Gateway.FirstStart,
		PeersFirst:  g.settings.Gateway.FirstStart && g.seedsExcludeSelf(),
		Connections: storeTransports,
		Log:         g.log,
		Metrics:     g.metrics.Scope,
	})
}

// seedsExcludeSelf reports whether the settings list seeds and this gateway isn't one of them.
// At a first start the seeds read the platform's store at once. The other gateways first wait for
// the seeds' updates, and read all lists of the store only if these don't arrive in time.
func (g *Gateway) seedsExcludeSelf() bool {
	return len(g.settings.Seeds) > 0 && !slices.Contains(g.settings.Seeds, g.settings.Listen.Peers)
}

// countUnreadable counts objects of the store that can't be used, once per revision.
func (g *Gateway) countUnreadable(object catalog.Unreadable) {
	if g.state.NoteUnreadable(object) {
		labels := map[string]string{"kind": string(object.Kind), "reason": string(object.Reason)}
		g.metrics.Scope.Tagged(labels).Counter("objects_unreadable").Inc(1)
	}
}

// Ready reports whether the gateway accepts new requests.
func (g *Gateway) Ready() bool { return g.state.Ready() }

// Reload applies the settings that can change while the gateway runs: the seeds.
func (g *Gateway) Reload(s *settings.Settings) {
	g.relay.SetSeeds(s.Seeds)
	g.log.Warn(eventlog.Reloaded, logrus.Fields{"seeds": len(s.Seeds)})
}

// Stop drains the gateway and stops it. Readiness fails at once, new requests are accepted for
// drain_delay longer, so that the load balancer can notice, and requests in flight may complete.
// When ctx ends, the remaining requests are cut off; see DrainTimeout.
func (g *Gateway) Stop(ctx context.Context) {
	g.log.Warn(eventlog.Stopping, logrus.Fields{"drain_delay": g.settings.DrainDelay.Std().String()})
	left := g.DrainTimeout()
	if stopsAt, hasEnd := ctx.Deadline(); hasEnd {
		left = time.Until(stopsAt)
	}
	g.state.Drain(left)
	delay, cancel := context.WithTimeout(ctx, g.settings.DrainDelay.Std())
	<-delay.Done()
	cancel()
	g.state.BeginClosing()
	if err := g.connections.Shutdown(ctx, g.callers); err != nil {
		g.log.Entry().WithError(err).Warn("drain_timeout expired; requests in flight were cut off")
		_ = g.callers.Close()
	}
	g.follower.Close()
	g.loadCollector.Close()
	g.origins.Close()
	g.relay.Close()
	for _, server := range g.otherServers {
		_ = server.Close()
	}
	for _, transport := range g.transports {
		transport.CloseIdleConnections()
	}
	close(g.done)
	g.endRunning()
	g.tasks.Wait()
	_ = g.metrics.Close()
	g.log.Warn(eventlog.Stopped, nil)
}

// DrainTimeout returns how long Stop may wait for requests in flight, including drain_delay. It is
// killMargin less than drain_timeout.
func (g *Gateway) DrainTimeout() time.Duration { return g.settings.DrainTimeout.Std() - killMargin }
