// Package daemon builds one node from its settings and runs it: a router or agent
// with its control plane (Node), or a gateway (Gateway). It owns the listeners, the
// admin endpoints, the periodic work and the drain at a stop.
package daemon

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/agent"
	"github.com/harriernotch/harriernotch/internal/agent/agenthttp"
	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/objectstore"
	"github.com/harriernotch/harriernotch/internal/peering"
	"github.com/harriernotch/harriernotch/internal/router"
	"github.com/harriernotch/harriernotch/internal/router/routerhttp"
	"github.com/harriernotch/harriernotch/internal/routing"
	"github.com/harriernotch/harriernotch/internal/settings"
	"github.com/harriernotch/harriernotch/internal/slo"
	"github.com/harriernotch/harriernotch/internal/task"
	"github.com/harriernotch/harriernotch/internal/telemetry"
)

// Environment holds a node's external dependencies. Tests and the demo replace some
// of them.
type Environment struct {
	// Listen opens listeners; nil means net.Listen.
	Listen func(network, address string) (net.Listener, error)
	// Dial opens connections; nil means TCP.
	Dial hop.DialFunc
	// Platform is the client of the platform; nil means one for the URL in the
	// settings, if they have one.
	Platform objectstore.Client
	// Log is the node's logger.
	Log logrus.FieldLogger
	// Metrics are the node's metrics, which it closes; nil makes them.
	Metrics *telemetry.Metrics
	// Starting ends when the start is to be given up; nil means never.
	Starting context.Context
}

// roleServer is the common interface of the router's and the agent's HTTP server.
type roleServer interface {
	http.Handler
	Deliver(coordination.Event)
	SetPeering(*peering.Peering)
	Tick()
	Ready() bool
	Drain()
}

// Node is a running router or agent.
type Node struct {
	settings   *settings.Settings
	log        logrus.FieldLogger
	roleServer roleServer
	peering    *peering.Peering
	metrics    *telemetry.Metrics
	objectives *slo.Recorder
	status     func() Status
	period     time.Duration

	callers   net.Listener
	peers     net.Listener
	admin     net.Listener
	servers   []*http.Server
	tasks     *task.Group
	stopTicks context.CancelFunc
}

// Start opens the listeners and starts the node.
func Start(s *settings.Settings, environment Environment) (*Node, error) {
	if environment.Listen == nil {
		environment.Listen = net.Listen
	}
	if environment.Starting == nil {
		environment.Starting = context.Background()
	}
	if environment.Metrics == nil {
		environment.Metrics = telemetry.NewMetrics()
	}
	if environment.Platform == nil && s.Platform.URL != "" {
		environment.Platform = objectstore.NewHTTPClient(s.Platform.URL, hop.NewControlTransport(environment.Dial, true))
	}
	n := &Node{
		settings:   s,
		log:        environment.Log.WithFields(logrus.Fields{"node": s.ID, "role": s.Role}),
		metrics:    environment.Metrics,
		objectives: slo.NewRecorder(),
	}
	n.tasks = task.NewGroup(n.log, n.metrics.Scope)
	if err := n.listen(environment); err != nil {
		return nil, err
	}
	n.assemble(environment)
	n.serve()
	n.log.WithFields(logrus.Fields{"peers": s.Listen.Peers, "admin": n.AdminAddress(), "callers": n.CallersAddress()}).Info("node started")
	return n, nil
}

func (n *Node) listen(environment Environment) (err error) {
	opener := addressOpener{listen: environment.Listen, starting: environment.Starting, patience: addressPatience, log: n.log}
	if n.peers, err = opener.open("listen.peers", n.settings.Listen.Peers); err != nil {
		return err
	}
	if n.admin, err = opener.open("listen.admin", n.settings.Listen.Admin); err != nil {
		return err
	}
	if n.settings.Role == settings.RoleRouter {
		n.callers, err = opener.open("listen.callers", n.settings.Listen.Callers)
	}
	return err
}

// assemble builds the state machine and the HTTP server of the node's role and
// connects them to the control plane.
func (n *Node) assemble(environment Environment) {
	credential := hop.NewCredential(n.settings.ClusterKeyBytes())
	trusted := n.settings.PublicKeys()
	acceptor := bundle.NewAcceptor(trusted)
	open := func(raw []byte) (*bundle.Bundle, error) { return bundle.Open(raw, trusted) }
	transport := hop.NewTransport(hop.TransportConfig{Protocol: n.settings.HopProtocol, Dial: environment.Dial})
	now := time.Now()
	if n.settings.Role == settings.RoleRouter {
		config := router.DefaultConfig(n.settings.Identity())
		n.period = config.Coordination.TickPeriod
		n.assembleRouter(router.New(config, open, acceptor, now), credential, transport)
	} else {
		config := agent.DefaultConfig(n.settings.Identity())
		n.period = config.Coordination.TickPeriod
		// Back ends speak HTTP/1.1; hop_protocol applies only between nodes.
		transport = hop.NewTransport(hop.TransportConfig{Protocol: hop.HTTP1, Dial: environment.Dial})
		n.assembleAgent(agent.New(config, open, acceptor, now), credential, transport)
	}
	n.peering = peering.New(peering.Config{
		NodeID:     n.settings.ID,
		Credential: credential,
		Platform:   environment.Platform,
		Dial:       environment.Dial,
		Deliver:    n.roleServer.Deliver,
		Log:        n.log,
		Metrics:    n.metrics.Scope,
	})
	n.roleServer.SetPeering(n.peering)
}

func (n *Node) assembleRouter(core *router.Core, credential hop.Credential, transport http.RoundTripper) {
	server := routerhttp.New(routerhttp.Config{
		Core:         core,
		Credential:   credential,
		Sealer:       routing.NewTokenSealer(n.settings.ClusterKeyBytes()),
		Transport:    transport,
		MaxBodyBytes: n.settings.Router.MaxBodyBytes,
		Timeouts: routerhttp.TimeoutLimits{
			Default: n.settings.Router.DefaultTimeout.Std(),
			Max:     n.settings.Router.MaxTimeout.Std(),
		},
		Log:        n.log,
		Metrics:    n.metrics.Scope,
		Objectives: n.objectives,
	})
	n.roleServer = server
	n.status = func() (status Status) {
		server.View(func(c *router.Core) { status = statusOf(time.Now(), c.Node(), c.Ready(time.Now())) })
		return status
	}
}

func (n *Node) assembleAgent(core *agent.Core, credential hop.Credential, transport http.RoundTripper) {
	server := agenthttp.New(agenthttp.Config{
		Core:       core,
		Credential: credential,
		BackEnd:    n.settings.Agent.BackEnd,
		Transport:  transport,
		Log:        n.log,
		Metrics:    n.metrics.Scope,
	})
	n.roleServer = server
	n.status = func() (status Status) {
		server.View(func(c *agent.Core) {
			ready := c.Node().Ready(time.Now()) && !c.Gate().IsLeaving()
			status = statusOf(time.Now(), c.Node(), ready)
		})
		return status
	}
}

// serve starts the HTTP servers and the periodic ticks.
func (n *Node) serve() {
	if n.callers != nil {
		n.serveOn(n.callers, n.roleServer)
		n.serveOn(n.peers, n.peerHandler())
	} else {
		n.serveOn(n.peers, n.roleServer)
	}
	n.serveOn(n.admin, n.adminHandler())
	ctx, cancel := context.WithCancel(context.Background())
	n.stopTicks = cancel
	n.tasks.Keep(ctx, "tick", func() { n.tick(ctx) })
}

// readHeaderTimeout is the time within which a client must send its request headers.
const readHeaderTimeout = 10 * time.Second

func (n *Node) serveOn(listener net.Listener, handler http.Handler) {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		Protocols:         protocols,
		ErrorLog:          newServerLog(n.log),
	}
	n.servers = append(n.servers, server)
	n.tasks.Go("serve", func() {
		if err := server.Serve(newAcceptingListener(listener, n.log)); !errors.Is(err, http.ErrServerClosed) {
			n.log.WithError(err).Error("listener failed")
		}
	})
}

// peerHandler accepts control connections. A router's peer listener serves nothing
// else.
func (n *Node) peerHandler() http.Handler {
	credential := hop.NewCredential(n.settings.ClusterKeyBytes())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := credential.Check(r.Header); err != nil {
			n.log.WithField("remote", r.RemoteAddr).Warn("peer without the cluster key refused")
			failure.WriteHTTP(w, err)
			return
		}
		if r.URL.Path != peering.Path {
			failure.WriteHTTP(w, failure.New(failure.UnknownRoute, "a router's peer listener serves "+peering.Path+" alone"))
			return
		}
		n.peering.ServeHTTP(w, r)
	})
}

func (n *Node) tick(ctx context.Context) {
	ticker := time.NewTicker(n.period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.roleServer.Tick()
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.Handle("GET /metrics", n.metrics.Handler)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.status()) })
	mux.HandleFunc("GET /slo", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, n.objectives.Snapshot()) })
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		n.roleServer.Drain()
		w.WriteHeader(http.StatusAccepted)
	})
	return mux
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.roleServer.Ready() {
		failure.WriteHTTP(w, failure.New(failure.NotReady, "the node takes no new work"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// CallersAddress returns the address of the callers' listener, or "" for an agent.
func (n *Node) CallersAddress() string {
	if n.callers == nil {
		return ""
	}
	return n.callers.Addr().String()
}

// AdminAddress returns the address of the admin listener.
func (n *Node) AdminAddress() string { return n.admin.Addr().String() }

// Ready reports whether the node accepts new work.
func (n *Node) Ready() bool { return n.roleServer.Ready() }

// Stop drains the node and stops it. Readiness fails at once, a router accepts
// requests for drain_delay longer, and requests in flight may complete before the
// node stops. When ctx ends, the remaining requests are cut off.
func (n *Node) Stop(ctx context.Context) {
	n.log.Info("draining")
	n.roleServer.Drain()
	if n.callers != nil {
		n.waitDrainDelay(ctx)
	}
	n.shutdown(ctx)
	n.stopTicks()
	n.peering.Close()
	n.tasks.Wait()
	_ = n.metrics.Close()
	n.log.Info("stopped")
}

// waitDrainDelay keeps the node serving for drain_delay, so that the load balancer
// notices the failed readiness check. It returns early when ctx ends.
func (n *Node) waitDrainDelay(ctx context.Context) {
	timer := time.NewTimer(n.settings.DrainDelay.Std())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// shutdown closes the listeners and waits for requests in flight. The admin server
// is the last one, so that operators can observe the drain.
func (n *Node) shutdown(ctx context.Context) {
	for _, server := range n.servers {
		if err := server.Shutdown(ctx); err != nil {
			n.log.WithError(err).Warn("drain_timeout expired; requests in flight were cut off")
			_ = server.Close()
		}
	}
}

// Kill stops the node without a drain, like a crash. It is for tests and benchmarks.
func (n *Node) Kill() {
	n.stopTicks()
	for _, server := range n.servers {
		_ = server.Close()
	}
	n.peering.Close()
	n.tasks.Wait()
	_ = n.metrics.Close()
}
