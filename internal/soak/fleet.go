package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// Environment is where the gateways run.
type Environment interface {
	// Protocol is what the stand-ins speak.
	Protocol() wire.Protocol
	// Listen opens a listener at a free address.
	Listen() (net.Listener, error)
	// Address returns a free address for a gateway to listen on.
	Address() (string, error)
	// Dial connects to an address.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	// Gateway prepares a gateway with settings in TOML.
	Gateway(id, settings string) (Gateway, error)
}

// Gateway is one gateway as faults and callers see it.
type Gateway interface {
	// Start begins it, after its end too.
	Start() error
	// Kill ends it at once, Stop as planned; both return when it has ended.
	Kill()
	Stop()
	// Reload tells it that its settings changed.
	Reload()
	// Pause freezes it and Resume lets it go on.
	Pause()
	Resume()
}

// Names of what the stand-ins serve.
const (
	service  = "s"
	host     = "chat.example"
	tenant   = "tenant-1"
	spareKey = "key-spare"
)

// zones are those of the back ends, by turns; gateways run in the first.
var zones = []string{"z", "y"}

// keys are the keys of the tenant; the last may be taken away.
var keys = []string{"key-1", "key-2", spareKey}

// Prefixes of the routes.
const (
	prefixOnce      = "/once/"
	prefixRepeat    = "/repeat/"
	prefixResumable = "/resumable/"
	prefixStream    = "/stream/"
	prefixSpare     = "/spare/"
)

func isStream(path string) bool {
	return prefixOf(path) == prefixResumable || prefixOf(path) == prefixStream
}

func prefixOf(path string) string {
	for _, prefix := range []string{prefixOnce, prefixRepeat, prefixResumable, prefixStream, prefixSpare} {
		if len(path) >= len(prefix) && path[:len(prefix)] == prefix {
			return prefix
		}
	}
	return ""
}

// Bounds of the deployment: what the checks hold the gateways to.
const (
	// applyBound is the time within which a configuration is in force, and
	// leavingBound that after which a leaving back end gets nothing more.
	applyBound   = 2 * time.Second
	leavingBound = 2 * time.Second
	// evacuationBound is the same for the zones that are evacuated.
	evacuationBound = 2 * time.Second
	// warmUpRate is what a back end bears in a second for warmUpTime after its start, and
	// warmUpOverage times it plus warmUpExtra what it may get.
	warmUpRate    = 4
	warmUpTime    = 2 * time.Second
	warmUpOverage = 1.5
	warmUpExtra   = 2
	// contact is how long a gateway must have been untouched to be held to a bound.
	quietTime = 3 * time.Second
	// routeTimeout bounds each request.
	routeTimeout = 4 * time.Second
	// retryRatio, retryExtra and retryWindow bound further attempts.
	retryRatio  = 0.2
	retryExtra  = 30
	retryWindow = 10 * time.Second
	// drainDelay and drainTimeout are the gateways' settings.
	drainDelay   = 2300 * time.Millisecond
	drainTimeout = 8 * time.Second
)

// gatewayState is a gateway with its link to the store.
type gatewayState struct {
	id        string
	callers   string
	gateway   Gateway
	storeLink *link
	// busy is held while a fault owns the gateway's life.
	busy sync.Mutex
}

// fleet is everything of one run.
type fleet struct {
	options     Options
	environment Environment
	store       *store
	backEnds    []*backEnd
	// candidates are the back ends of the version that the service is moved to, which stand
	// by until an order is given; moving is held while one stands.
	candidates []*backEnd
	moving     sync.Mutex
	gateways   []*gatewayState
	servers    []*http.Server
	serving    conc.WaitGroup
	check      *checker
	faultLog   *faultLog

	mutex   sync.Mutex
	version uint64
	// noSpareRoute and noSpareKey count the faults that took them away.
	noSpareRoute, noSpareKey int
	// evacuated counts the faults that evacuate a zone.
	evacuated map[string]int
}

func newFleet(options Options, environment Environment) (*fleet, error) {
	f := &fleet{options: options, environment: environment, store: newStore(environment.Protocol()), faultLog: &faultLog{}, evacuated: map[string]int{}}
	f.check = newChecker(f)
	storeListener, err := environment.Listen()
	if err != nil {
		return nil, err
	}
	f.serve(storeListener, f.store)
	for i := range options.BackEnds {
		b, err := f.newBackEnd(i)
		if err != nil {
			return nil, err
		}
		f.backEnds = append(f.backEnds, b)
		f.store.putBackEnd(b.entry())
	}
	if options.includes(MoveService) {
		if err := f.addCandidates(); err != nil {
			return nil, err
		}
	}
	f.changeConfiguration()
	var seeds []string
	for i := range options.Gateways {
		if seeds, err = f.addGateway(i, storeListener.Addr().String(), seeds); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ErrorLog: discardLog()}
	f.servers = append(f.servers, server)
	f.serving.Go(func() { _ = server.Serve(listener) })
}

// newBackEnd makes a back end that can be reached and isn't listed.
func (f *fleet) newBackEnd(number int) (*backEnd, error) {
	b := &backEnd{fleet: f, name: fmt.Sprintf("b%02d", number), born: time.Now(), zone: zones[number%len(zones)]}
	own, err := f.environment.Listen()
	if err != nil {
		return nil, err
	}
	front, err := f.environment.Listen()
	if err != nil {
		return nil, err
	}
	f.serve(own, b)
	b.address = front.Addr().String()
	b.link = newLink(f.environment, front, own.Addr().String())
	return b, nil
}

func (f *fleet) addGateway(number int, storeAddress string, seeds []string) ([]string, error) {
	g := &gatewayState{id: fmt.Sprintf("g%d", number)}
	front, err := f.environment.Listen()
	if err != nil {
		return nil, err
	}
	g.storeLink = newLink(f.environment, front, storeAddress)
	var addresses [3]string
	for i := range addresses {
		if addresses[i], err = f.environment.Address(); err != nil {
			return nil, err
		}
	}
	g.callers = addresses[0]
	seeds = append(seeds, addresses[1])
	text := gatewaySettings(g, addresses, front.Addr().String(), seeds, f.options)
	if g.gateway, err = f.environment.Gateway(g.id, text); err != nil {
		return nil, err
	}
	f.gateways = append(f.gateways, g)
	return seeds, nil
}

func gatewaySettings(g *gatewayState, addresses [3]string, store string, seeds []string, options Options) string {
	moves := ""
	if options.includes(MoveService) {
		moves = fmt.Sprintf("exposure_share = %v\nexposure_extra = %v\n", exposureShare, exposureExtra)
	}
	return fmt.Sprintf(`role = "gateway"
id = %q
zone = "z"
seeds = %s
drain_delay = %q
drain_timeout = %q
[listen]
callers = %q
peers = %q
admin = %q
[platform]
url = "http://%s"
[gateway]
retry_ratio = %v
retry_extra = %v
leaving_bound = %q
evacuation_bound = %q
warm_up_overage = %v
warm_up_extra = %v
disable = %s
%s[log]
format = "json"
`, g.id, tomlList(seeds), drainDelay, drainTimeout, addresses[0], addresses[1], addresses[2], store,
		retryRatio, retryExtra, leavingBound, evacuationBound, warmUpOverage, warmUpExtra, tomlList(options.Disable), moves)
}

func tomlList(values []string) string {
	text := "["
	for _, value := range values {
		text += fmt.Sprintf("%q, ", value)
	}
	return text + "]"
}

func (f *fleet) start() error {
	for _, g := range f.gateways {
		f.check.gatewayStarting(g)
		if err := g.gateway.Start(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) close() {
	for _, g := range f.gateways {
		g.gateway.Kill()
		g.storeLink.close()
	}
	for _, b := range f.everyBackEnd() {
		b.link.close()
	}
	for _, server := range f.servers {
		_ = server.Close()
	}
	f.serving.Wait()
}

// changeConfiguration publishes a version with what is allowed at the moment.
func (f *fleet) changeConfiguration() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.version += 1 + f.version%3
	configuration := f.configuration()
	f.store.putConfiguration(configuration)
	f.check.published(configuration)
}

func (f *fleet) configuration() catalog.Configuration {
	base := catalog.Route{
		Host: host, Targets: []catalog.Target{{Service: service, Weight: 1}}, MaxAttempts: 1,
		Timeout: routeTimeout, Objective: 300 * time.Millisecond, PauseObjective: 300 * time.Millisecond,
	}
	route := func(prefix string, change func(*catalog.Route)) catalog.Route {
		made := base
		made.Name, made.Prefix = prefix, prefix
		change(&made)
		return made
	}
	routes := []catalog.Route{
		route(prefixOnce, func(*catalog.Route) {}),
		route(prefixRepeat, func(r *catalog.Route) { r.Repeatable, r.MaxAttempts = true, 2 }),
		route(prefixResumable, func(r *catalog.Route) { r.Stream, r.Resumable, r.MaxAttempts = true, true, 3 }),
		route(prefixStream, func(r *catalog.Route) { r.Stream = true }),
	}
	if f.noSpareRoute == 0 {
		routes = append(routes, route(prefixSpare, func(*catalog.Route) {}))
	}
	allowed := keys
	if f.noSpareKey > 0 {
		allowed = keys[:len(keys)-1]
	}
	return catalog.Configuration{
		Version: f.version, Routes: routes,
		Services: []catalog.Service{{Name: service, MaxConnections: 100, WarmUpRate: warmUpRate, WarmUpTime: warmUpTime}},
		Tenants:  []catalog.Tenant{{Name: tenant, Keys: allowed}},
		Limits:   catalog.Limits{MaxBodyBytes: 1 << 20},
	}
}
