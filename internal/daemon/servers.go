package daemon

import (
	"net"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/intake"
)

// serveMetrics opens the listener that serves only metrics, if the settings have one. Serving
// requests matters more than metrics, so the gateway doesn't wait for it.
func (g *Gateway) serveMetrics(environment GatewayEnvironment) {
	if g.settings.Listen.Metrics == "" {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", g.pages.handler(g.metrics.Handler))
	server := g.newServer(bounded(mux))
	g.otherServers = append(g.otherServers, server)
	opener := addressOpener{listen: environment.Listen, starting: g.running, log: g.log.Entry()}
	g.tasks.Go("serve_metrics", func() {
		listener, err := opener.open("listen.metrics", g.settings.Listen.Metrics)
		if err != nil {
			g.log.Entry().WithError(err).Error("the gateway goes on without listen.metrics")
			return
		}
		g.serveOn(server, g.bound(listener, intake.Metrics))
	})
}

// newServer returns a server for listeners that the intake bounds: their time and the size of heads is bounded there.
func (g *Gateway) newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, MaxHeaderBytes: intake.MaxHeadBytes, ConnState: g.intake.ConnState, ErrorLog: newServerLog(g.log.Entry())}
}

func (g *Gateway) runServer(server *http.Server, listener net.Listener) {
	g.tasks.Go("serve", func() { g.serveOn(server, listener) })
}

// serveOn serves requests until the server is closed.
func (g *Gateway) serveOn(server *http.Server, listener net.Listener) {
	err := server.Serve(newAcceptingListener(listener, g.log.Entry()))
	isStopped := errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) && g.state.Draining()
	if !isStopped {
		g.log.Entry().WithError(err).Error("listener failed")
	}
}

// serveOther serves one of the listeners that aren't for callers.
func (g *Gateway) serveOther(handler http.Handler, listener net.Listener) {
	server := g.newServer(handler)
	g.otherServers = append(g.otherServers, server)
	g.runServer(server, listener)
}
