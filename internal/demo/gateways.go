package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/daemon"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/settings"
	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// Names in the configuration of the gateways' demo.
const (
	GatewayHost   = "demo.example"
	GatewayKey    = "demo-key"
	ChatPrefix    = "/chat/"
	RecordsPrefix = "/records/"

	chatService    = "chat"
	recordsService = "records"
	gatewayCount   = 3
	chatEngines    = 3
	recordServers  = 2
	// callerTimeout is the timeout of the routes and of the printed requests.
	callerTimeout = 10 * time.Second
	// tokenPause is the time between two events of a stream.
	tokenPause = 40 * time.Millisecond
)

// Gateways is a running fleet of gateways with stand-ins for a platform's store, model engines and
// a plain service, all in this process.
type Gateways struct {
	// Callers are the addresses of the gateways' listeners for callers, and Admins those of their
	// admin listeners. Control is the address of the control listener, where POST /kill/NAME
	// kills a part.
	Callers []string
	Admins  []string
	Control string

	protocol wire.Protocol
	mutex    sync.Mutex
	// parts holds the functions that end the started parts, by name; nil once a part has ended.
	// names lists the parts in the order of their start.
	parts map[string]func()
	names []string
	log   *eventlog.Log
}

// StartGateways starts the fleet and waits until it is ready. The first gateway listens for callers
// on the address.
func StartGateways(ctx context.Context, listen string, adapter daemon.Adapter, protocol wire.Protocol, level logrus.Level, logs io.Writer) (*Gateways, error) {
	g := &Gateways{protocol: protocol, parts: map[string]func(){}, log: eventlog.New(logs, level, nil)}
	if err := g.start(listen, adapter); err != nil {
		g.Stop()
		return nil, err
	}
	return g, g.awaitReady(ctx)
}

func (g *Gateways) start(listen string, adapter daemon.Adapter) error {
	store := &fixedStore{protocol: g.protocol, configuration: gatewayConfiguration()}
	for i := range chatEngines {
		if err := g.startStandIn(store, fmt.Sprintf("engine-%d", i+1), chatService, g.chat); err != nil {
			return err
		}
	}
	for i := range recordServers {
		if err := g.startStandIn(store, fmt.Sprintf("records-%d", i+1), recordsService, g.record); err != nil {
			return err
		}
	}
	storeAddress, err := g.serve("store", anyPort, store)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range gatewayCount {
		if seeds, err = g.startGateway(fmt.Sprintf("gateway-%d", i+1), listen, storeAddress, seeds, adapter); err != nil {
			return err
		}
		listen = anyPort
	}
	g.Control, err = g.serve("control", anyPort, g.controlHandler())
	return err
}

// serve starts a server with the handler as a part and returns its address.
func (g *Gateways) serve(name, address string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrapf(err, "open the listener of %s", name)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	g.add(name, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (g *Gateways) add(name string, end func()) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.parts[name] = end
	g.names = append(g.names, name)
}

// Parts returns the names of the running parts, without the control listener.
func (g *Gateways) Parts() []string {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	var parts []string
	for _, name := range g.names {
		if name != "control" && g.parts[name] != nil {
			parts = append(parts, name)
		}
	}
	return parts
}

// Kill ends a part at once, like a crash.
func (g *Gateways) Kill(name string) error {
	g.mutex.Lock()
	end := g.parts[name]
	g.parts[name] = nil
	g.mutex.Unlock()
	if end == nil {
		return failure.New(failure.InvalidRequest, fmt.Sprintf("%q isn't running; name one of %s", name, strings.Join(g.Parts(), ", ")))
	}
	end()
	return nil
}

// Stop ends all parts, the last started first.
func (g *Gateways) Stop() {
	for i := len(g.names) - 1; i >= 0; i-- {
		_ = g.Kill(g.names[i]) // fails only for a part that has ended before
	}
	g.log.Close()
}

func (g *Gateways) startGateway(name, listen, store string, seeds []string, adapter daemon.Adapter) ([]string, error) {
	opened := openListeners{}
	addresses, err := opened.open(listen, anyPort, anyPort)
	if err != nil {
		opened.close()
		return nil, err
	}
	callers, peers, admin := addresses[0], addresses[1], addresses[2]
	seeds = append(seeds, peers)
	s, err := settings.Parse(name+".toml", []byte(fmt.Sprintf(`role = "gateway"
id = %q
zone = "demo"
seeds = [%q]
drain_delay = "1s"
drain_timeout = "10s"
[listen]
callers = %q
peers = %q
admin = %q
[platform]
url = "http://%s"
`, name, seeds[0], callers, peers, admin, store)))
	if err != nil {
		return nil, err
	}
	node, err := daemon.StartGateway(s, daemon.GatewayEnvironment{Adapter: adapter, Listen: opened.take, Log: g.log})
	if err != nil {
		opened.close()
		return nil, err
	}
	g.add(name, func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		node.Stop(ended)
	})
	g.Callers = append(g.Callers, callers)
	g.Admins = append(g.Admins, admin)
	return seeds, nil
}

func (g *Gateways) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, admin := range g.Admins {
		if err := awaitOK(ctx, "http://"+admin+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

func awaitOK(ctx context.Context, url string) error {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return failure.New(failure.NotReady, "a gateway of the demo isn't ready in time; look at its log with --log-level info")
		}
	}
}

// controlHandler serves the control listener.
func (g *Gateways) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /kill/{name}", func(w http.ResponseWriter, r *http.Request) {
		if err := g.Kill(r.PathValue("name")); err != nil {
			failure.WriteHTTP(w, err)
			return
		}
		_, _ = fmt.Fprintf(w, "killed %s\n", r.PathValue("name"))
	})
	return mux
}

// Curl returns a curl command that sends a request to the gateway with the number, with the headers
// of the platform's callers. The shell inserts a random ID for each request.
func (g *Gateways) Curl(gateway int, path string, parts ...string) string {
	const id = "REQUEST-ID"
	header := http.Header{}
	g.protocol.WriteCallerRequest(header, wire.CallerRequest{Request: id, Key: GatewayKey, Timeout: callerTimeout, Parts: parts})
	command := fmt.Sprintf("curl -sN http://%s%s -H 'Host: %s'", g.Callers[gateway], path, GatewayHost)
	for _, name := range slices.Sorted(maps.Keys(header)) {
		command += fmt.Sprintf(" -H \"%s: %s\"", name, strings.ReplaceAll(header.Get(name), id, "$RANDOM$RANDOM"))
	}
	return command
}
