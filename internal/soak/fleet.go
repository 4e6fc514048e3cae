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

// Environment is the environment in which the gateways run.
type Environment interface {
	// Protocol returns the protocol of the stand-ins.
	Protocol() wire.Protocol
	// Listen opens a listener at a free address.
	Listen() (net.Listener, error)
	// ListenAt opens a listener again at the address of one that was closed.
	ListenAt(address string) (net.Listener, error)
	// Address returns a free address for a gateway to listen on.
	Address() (string, error)
	// Dial connects to an address.
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	// Gateway prepares a gateway with the settings in TOML, without starting it.
	Gateway(id, settings string) (Gateway, error)
}

// Gateway controls one gateway.
type Gateway interface {
	// Start starts the gateway, also again after it has ended.
	Start() error
	// Kill ends the gateway at once, and Stop gracefully. Both return once it has ended.
	Kill()
	Stop()
	// Reload makes the gateway reload its settings.
	Reload()
	// Pause suspends the gateway and Resume lets it continue.
	Pause()
	Resume()
	// ReloadOften makes the gateway reload its settings all the time until end is called, also while it starts and
	// stops. LoseLogReader closes the reading end of its log until its next start. With gateways in one process
	// both have no effect.
	ReloadOften() (end func())
	LoseLogReader()
	// UnplannedEnds tells of each time how the gateway ended without having been told to, or otherwise than it was
	// told to.
	UnplannedEnds() []string
}

// Names in the configuration of the stand-ins.
const (
	service  = "s"
	host     = "chat.example"
	tenant   = "tenant-1"
	spareKey = "key-spare"
)

// zones are the zones of the back ends, in rotation. All gateways run in the first.
var zones = []string{"z", "y"}

// keys are the tenant's API keys. RevokeKey removes the last one.
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

// Bounds that the checks enforce on the gateways.
const (
	// applyBound is the time within which a new configuration must be in force. leavingBound is
	// the time after which a leaving back end must get no more requests.
	applyBound   = 2 * time.Second
	leavingBound = 2 * time.Second
	// evacuationBound is the time after which the back ends of an evacuated zone must get no more
	// requests.
	evacuationBound = 2 * time.Second
	// warmUpRate is the number of requests per second that a back end can serve while it is cold:
	// for warmUpTime after its start or after an evacuation of its zone. It may get
	// warmUpOverage times as many plus warmUpExtra.
	warmUpRate    = 4
	warmUpTime    = 2 * time.Second
	warmUpOverage = 1.5
	warmUpExtra   = 2
	// quietTime is how long a gateway must have been undisturbed before a time bound applies to
	// it.
	quietTime = 3 * time.Second
	// routeTimeout bounds each request. routeObjective and routePauseObjective are the objectives for
	// the first event of a stream and for the pauses between events.
	routeTimeout        = 4 * time.Second
	routeObjective      = 300 * time.Millisecond
	routePauseObjective = 300 * time.Millisecond
	// retryRatio, retryExtra and retryWindow bound retries: within a window, at most retryRatio
	// times the requests plus retryExtra.
	retryRatio  = 0.2
	retryExtra  = 30
	retryWindow = 10 * time.Second
	// drainDelay and drainTimeout are settings of the gateways.
	drainDelay   = 2300 * time.Millisecond
	drainTimeout = 8 * time.Second
)

// gatewayState is a gateway with its link to the store.
type gatewayState struct {
	id        string
	callers   string
	gateway   Gateway
	storeLink *link
	// busy is held while a fault restarts, reloads or pauses the gateway. Other such faults are
	// skipped in this time.
	busy sync.Mutex
}

// fleet holds the gateways, stand-ins and checks of one run.
type fleet struct {
	options     Options
	environment Environment
	store       *store
	backEnds    []*backEnd
	// candidates are the back ends of the version that the service is moved to. They are idle
	// until an order is given. moving is held while an order is in force.
	candidates []*backEnd
	moving     sync.Mutex
	gateways   []*gatewayState
	servers    []*http.Server
	serving    conc.WaitGroup
	check      *checker
	faultLog   *faultLog
	copies     copies

	mutex   sync.Mutex
	version uint64
	// noSpareRoute and noSpareKey count the active faults that remove the spare route and key.
	noSpareRoute, noSpareKey int
	// noKeys counts the active faults that remove all keys.
	noKeys int
	// focus is the time in which most new connections go to one gateway, or nil.
	focus *focusPeriod
	// evacuated counts the active faults that evacuate a zone, by zone.
	evacuated map[string]int
}

func newFleet(options Options, environment Environment) (*fleet, error) {
	f := &fleet{options: options, environment: environment, store: newStore(environment.Protocol()), faultLog: &faultLog{}, evacuated: map[string]int{}}
	f.copies.held = map[runCopy]time.Time{}
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
	if options.includesMoves() {
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
	f.serveWith(&http.Server{Handler: handler, ErrorLog: discardLog()}, listener)
}

func (f *fleet) serveWith(server *http.Server, listener net.Listener) {
	f.servers = append(f.servers, server)
	f.serving.Go(func() { _ = server.Serve(listener) })
}

// newBackEnd creates a back end that is reachable but not listed in the store.
func (f *fleet) newBackEnd(number int) (*backEnd, error) {
	b := &backEnd{fleet: f, number: number, runs: map[string]*streamRun{}, name: fmt.Sprintf("b%02d", number), version: f.versionOf(number), born: time.Now(), zone: zones[number%len(zones)], idleTime: idleTimes[number%len(idleTimes)]}
	own, err := f.environment.Listen()
	if err != nil {
		return nil, err
	}
	front, err := f.environment.Listen()
	if err != nil {
		return nil, err
	}
	f.serveWith(&http.Server{Handler: b, ErrorLog: discardLog(), IdleTimeout: b.idleTime}, own)
	b.address = front.Addr().String()
	b.link = newLink(f.environment, front, own.Addr().String(), f.options.isNamed(UnframedAnswers))
	return b, nil
}

func (f *fleet) addGateway(number int, storeAddress string, seeds []string) ([]string, error) {
	g := &gatewayState{id: fmt.Sprintf("g%d", number)}
	front, err := f.environment.Listen()
	if err != nil {
		return nil, err
	}
	g.storeLink = newLink(f.environment, front, storeAddress, false)
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
	extra := ""
	if options.includesMoves() {
		extra = fmt.Sprintf("exposure_share = %v\nexposure_extra = %v\n", exposureShare, exposureExtra)
	}
	if options.Backups {
		extra += "backup_share = 1.0\n"
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
		retryRatio, retryExtra, leavingBound, evacuationBound, warmUpOverage, warmUpExtra, tomlList(options.Disable), extra)
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

// checkEnds checks how the gateways' processes have ended.
func (f *fleet) checkEnds() {
	for _, g := range f.gateways {
		for _, how := range g.gateway.UnplannedEnds() {
			f.check.fail(PromiseAlive, "%s: %s", g.id, how)
		}
	}
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

// changeConfiguration publishes a new version of the configuration with the routes and keys that
// are currently allowed.
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
		Timeout: routeTimeout, Objective: routeObjective, PauseObjective: routePauseObjective,
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
	served := catalog.Service{Name: service, MaxConnections: 100, WarmUpRate: warmUpRate, WarmUpTime: warmUpTime}
	if f.options.Backups {
		served = engineService(served)
	}
	return catalog.Configuration{
		Version: f.version, Routes: routes,
		Services: []catalog.Service{served},
		Tenants:  f.tenants(allowed),
		Limits:   catalog.Limits{MaxBodyBytes: 1 << 20},

		StatedKeyPolicy: catalog.KeysRequired,
	}
}

// tenants returns the tenants of a configuration with the allowed keys. While all keys are removed, the
// tenant is missing in some versions and has no keys in others.
func (f *fleet) tenants(allowed []string) []catalog.Tenant {
	switch {
	case f.noKeys == 0:
		return []catalog.Tenant{{Name: tenant, Keys: allowed}}
	case f.version%2 == 0:
		return []catalog.Tenant{{Name: tenant}}
	default:
		return nil
	}
}
