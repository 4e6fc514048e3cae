package daemon

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/clock"
	"github.com/harriernotch/harriernotch/internal/collect"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/draining"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/follower"
	"github.com/harriernotch/harriernotch/internal/gateway"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/relay"
	"github.com/harriernotch/harriernotch/internal/rollout"
	"github.com/harriernotch/harriernotch/internal/settings"
	"github.com/harriernotch/harriernotch/internal/telemetry"
)

// Adapter joins a gateway to the platform that it runs on.
type Adapter interface {
	// Dialect returns the headers of the platform's callers and back ends.
	Dialect() gateway.Dialect
	// Source returns the platform's store at the base URL. unreadable is told of objects
	// that can't be used.
	Source(url string, transport http.RoundTripper, unreadable func(catalog.Unreadable)) follower.Source
}

// GatewayEnvironment is what a gateway takes from its surroundings.
type GatewayEnvironment struct {
	// Adapter joins the gateway to the platform.
	Adapter Adapter
	// Listen opens listeners; nil uses net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// Dial opens connections; nil uses TCP.
	Dial hop.DialFunc
	// Clock tells ages, across suspensions of the machine; nil is the monotonic one.
	Clock *clock.Clock
	// Log takes the gateway's decisions.
	Log *eventlog.Log
}

// Gateway is one running gateway.
type Gateway struct {
	settings      *settings.Settings
	log           *eventlog.Log
	metrics       *telemetry.Metrics
	state         *gateway.State
	follower      *follower.Follower
	relay         *relay.Relay
	loadCollector *collect.Service

	callers *http.Server
	// connections are those of callers.
	connections  *draining.Connections
	otherServers []*http.Server
	tasks        conc.WaitGroup
	// reporting is closed to end the reports of gauges.
	done chan struct{}
	// transports are closed with the gateway.
	transports []*http.Transport
}

const (
	// lapseTenths is the part of the bound on leaving, in tenths, for which lapsed
	// back ends are used; the rest is for news that travels.
	lapseTimeTenths = 7
	// longestLapse is how long after the store's return a back end that lives is
	// listed again.
	maxLapseTime = 2 * time.Second
	// callerIdleTimeout is how long a caller's connection may rest.
	callerIdleTimeout = 60 * time.Second
	// callerHeaderTimeout bounds a caller's headers.
	gatewayHeaderTimeout = 5 * time.Second
	// killMargin is how long before the platform's kill a stop ends.
	killMargin = 400 * time.Millisecond
)

// StartGateway opens the listeners and begins to serve.
func StartGateway(s *settings.Settings, environment GatewayEnvironment) (*Gateway, error) {
	if environment.Listen == nil {
		environment.Listen = net.Listen
	}
	config := dispatch.DefaultConfig()
	config.Zone = s.Zone
	config.RetryRatio = *s.Gateway.RetryRatio
	config.RetryExtra = *s.Gateway.RetryExtra
	config.LoadMultiple = s.Gateway.LoadMultiple
	config.LoadSlack = *s.Gateway.LoadSlack
	config.WarmUpOverage = *s.Gateway.WarmUpOverage
	config.WarmUpExtra = s.Gateway.WarmUpExtra
	config.Rollout = rollout.Limits{Share: s.Gateway.ExposureShare, Extra: s.Gateway.ExposureExtra}
	config.LapseTime = min(s.Gateway.LeavingBound.Std()*lapseTimeTenths/10, maxLapseTime)
	config.Disabled = s.Gateway.Disabled()
	g := &Gateway{
		settings: s,
		log:      environment.Log,
		metrics:  telemetry.NewMetrics(),
		state:    gateway.NewState(dispatch.New(config), environment.Log),

		done: make(chan struct{}),
	}
	g.state.UseClock(environment.Clock)
	if config.Disabled[dispatch.FollowConfiguration] {
		g.state.FreezeConfiguration()
	}
	if config.Disabled[dispatch.FollowEras] {
		g.state.IgnoreEras()
	}
	if s.Gateway.EvacuationBound > 0 {
		g.state.AwaitEvacuations()
	}
	if s.Gateway.RolloutsEnabled() {
		g.state.AwaitRollouts()
	}
	if err := g.serve(environment); err != nil {
		return nil, err
	}
	g.startFollower(environment)
	g.log.Urgent(eventlog.Started, logrus.Fields{
		"callers": s.Listen.Callers, "peers": s.Listen.Peers, "admin": s.Listen.Admin, "zone": s.Zone,
	})
	return g, nil
}

// serve opens the three listeners.
func (g *Gateway) serve(environment GatewayEnvironment) error {
	listeners := map[string]net.Listener{}
	for field, address := range map[string]string{
		"listen.callers": g.settings.Listen.Callers,
		"listen.peers":   g.settings.Listen.Peers,
		"listen.admin":   g.settings.Listen.Admin,
	} {
		listener, err := environment.Listen("tcp", address)
		if err != nil {
			return failure.Wrap(failure.InvalidSettings, err, field+" can't be opened; free the port or choose another")
		}
		listeners[field] = listener
	}
	g.relay = relay.Start(relay.Config{
		ID: g.settings.ID, Address: g.settings.Listen.Peers, Seeds: g.settings.Seeds,
		Zone: g.settings.Zone, Capacity: int(g.settings.Gateway.ProcessorShare * capacityPerCore),
		State: g.state, Dial: environment.Dial, Log: g.log, Metrics: g.metrics.Scope,
	})
	g.loadCollector = collect.Start(collect.Config{
		ID: g.settings.ID, Source: collectSource{g.state, g.relay}, Clock: environment.Clock, Dial: environment.Dial, Log: g.log, Metrics: g.metrics.Scope,
	})
	metrics := gateway.NewMetrics(g.metrics.Scope)
	g.tasks.Go(func() { g.reportGauges(metrics) })
	lag := gateway.NewLagMeter(environment.Clock)
	g.tasks.Go(func() { lag.Run(g.done, g.state.SetLag) })
	handler := gateway.NewHandler(gateway.Config{
		State:        g.state,
		Dialect:      environment.Adapter.Dialect(),
		Reused:       g.newTransport(environment, true),
		Fresh:        g.newTransport(environment, false),
		MaxBodyBytes: g.settings.Router.MaxBodyBytes,
		Buffers:      gateway.NewBufferLimit(g.settings.Gateway.BufferBytes()),
		Lag:          lag,
		Log:          g.log,
		Metrics:      metrics,
		Disabled:     g.settings.Gateway.Disabled(),
	})
	g.callers = g.newServer(handler)
	g.callers.IdleTimeout = callerIdleTimeout
	g.connections = draining.New()
	g.callers.ConnState = g.connections.ConnState
	g.runServer(g.callers, g.connections.Listener(listeners["listen.callers"]))
	peers := http.NewServeMux()
	peers.Handle(relay.Path, g.relay)
	peers.Handle(collect.Path, g.loadCollector)
	for field, handler := range map[string]http.Handler{"listen.peers": peers, "listen.admin": g.adminHandler()} {
		server := g.newServer(handler)
		g.otherServers = append(g.otherServers, server)
		g.runServer(server, listeners[field])
	}
	g.serveMetrics(environment)
	return nil
}

// hundredths is the unit in which gateways tell each other their processor shares.
const capacityPerCore = 100

// loadSource is what the collection of loads knows of this gateway.
type collectSource struct {
	*gateway.State
	relay *relay.Relay
}

// Live implements collect.Source.
func (s collectSource) Live() ([]collect.Gateway, bool) {
	peers := s.relay.Live()
	gateways := make([]collect.Gateway, len(peers))
	for i, each := range peers {
		gateways[i] = collect.Gateway{ID: each.ID, Address: each.Address, Zone: each.Zone, Capacity: each.Capacity}
	}
	return gateways, relay.IsLarge(len(gateways))
}

// transport returns a transport that ends with the gateway.
func (g *Gateway) newTransport(environment GatewayEnvironment, reuse bool) *http.Transport {
	transport := hop.NewDirectTransport(environment.Dial, reuse)
	g.transports = append(g.transports, transport)
	return transport
}

// serveMetrics opens the listener for metrics alone, where the settings name one.
// Requests are worth more than figures on them: without it, the gateway serves.
func (g *Gateway) serveMetrics(environment GatewayEnvironment) {
	if g.settings.Listen.Metrics == "" {
		return
	}
	listener, err := environment.Listen("tcp", g.settings.Listen.Metrics)
	if err != nil {
		g.log.Entry().WithError(err).Error("listen.metrics can't be opened; free the port or choose another")
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", g.metrics.Handler)
	server := g.newServer(mux)
	g.otherServers = append(g.otherServers, server)
	g.runServer(server, listener)
}

// gaugePeriod is the time between two reports of what the gateway knows.
const gaugePeriod = time.Second

func (g *Gateway) reportGauges(metrics *gateway.Metrics) {
	suspended := time.Duration(0)
	ticker := time.NewTicker(gaugePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			metrics.Report(g.state.Gauges())
			if now := g.state.Clock().Suspended(); now != suspended {
				g.log.Urgent(eventlog.Resumed, logrus.Fields{"suspended_ms": (now - suspended).Milliseconds()})
				suspended = now
			}
		case <-g.done:
			return
		}
	}
}

func (g *Gateway) newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: gatewayHeaderTimeout, ErrorLog: newServerLog(g.log.Entry())}
}

func (g *Gateway) runServer(server *http.Server, listener net.Listener) {
	g.tasks.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.log.Entry().WithError(err).Error("a listener failed")
		}
	})
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

// hasOtherSeeds tells whether the settings name gateways to meet first, and this one isn't among
// them: those read the platform's store at once.
func (g *Gateway) seedsExcludeSelf() bool {
	return len(g.settings.Seeds) > 0 && !slices.Contains(g.settings.Seeds, g.settings.Listen.Peers)
}

// noteUnreadable counts objects of the store that can't be used, each revision once.
func (g *Gateway) countUnreadable(object catalog.Unreadable) {
	if g.state.NoteUnreadable(object) {
		labels := map[string]string{"kind": string(object.Kind), "reason": string(object.Reason)}
		g.metrics.Scope.Tagged(labels).Counter("objects_unreadable").Inc(1)
	}
}

func (g *Gateway) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !g.state.Ready() {
			failure.WriteHTTP(w, failure.New(failure.NotReady, "the gateway takes no new work"))
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.Handle("GET /metrics", g.metrics.Handler)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.state.Status()) })
	mux.HandleFunc("DELETE /withheld/{fingerprint}", g.releaseWithheld)
	return mux
}

// releaseWithheld answers an operator who releases the requests of a content.
func (g *Gateway) releaseWithheld(w http.ResponseWriter, r *http.Request) {
	fingerprint, err := dispatch.ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		failure.WriteHTTP(w, failure.New(failure.InvalidRequest, "the fingerprint isn't one; give 16 hexadecimal digits, as the status shows them"))
		return
	}
	if !g.state.ReleaseWithheld(fingerprint) {
		failure.WriteHTTP(w, failure.New(failure.UnknownRoute, "no requests with this fingerprint are withheld here"))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Ready tells whether the gateway takes work.
func (g *Gateway) Ready() bool { return g.state.Ready() }

// Reload takes the settings that may change while the gateway runs: the seeds.
func (g *Gateway) Reload(s *settings.Settings) {
	g.relay.SetSeeds(s.Seeds)
	g.log.Urgent(eventlog.Reloaded, logrus.Fields{"seeds": len(s.Seeds)})
}

// Stop drains the gateway: readiness fails at once, callers that still come are
// served until the balancer has noticed, work in flight ends whole. The context
// bounds the wait.
func (g *Gateway) Stop(ctx context.Context) {
	g.log.Urgent(eventlog.Stopping, logrus.Fields{"drain_delay": g.settings.DrainDelay.Std().String()})
	g.state.Drain()
	delay, cancel := context.WithTimeout(ctx, g.settings.DrainDelay.Std())
	<-delay.Done()
	cancel()
	if err := g.connections.Shutdown(ctx, g.callers); err != nil {
		g.log.Entry().WithError(err).Warn("work in flight was cut off at the end of drain_timeout")
		_ = g.callers.Close()
		g.connections.Close()
	}
	g.follower.Close()
	g.loadCollector.Close()
	g.relay.Close()
	for _, server := range g.otherServers {
		_ = server.Close()
	}
	for _, transport := range g.transports {
		transport.CloseIdleConnections()
	}
	close(g.done)
	g.tasks.Wait()
	_ = g.metrics.Close()
	g.log.Urgent(eventlog.Stopped, nil)
}

// DrainTimeout is how long a stop may take.
func (g *Gateway) DrainTimeout() time.Duration { return g.settings.DrainTimeout.Std() - killMargin }
