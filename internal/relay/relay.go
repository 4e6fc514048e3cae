package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/gateway"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/peerlink"
	"github.com/harriernotch/harriernotch/internal/task"
)

// Path is where a gateway accepts connections from its peers.
const Path = "/relay"

// Config configures a Relay.
type Config struct {
	// ID is this gateway's ID, and Address the address of its listener for peers.
	ID      string
	Address string
	// Zone is where this gateway runs, and Capacity its share of a processor in hundredths of a
	// core.
	Zone     string
	Capacity int
	// Seeds are addresses to try first.
	Seeds []string
	// State holds the state that is exchanged with the peers.
	State *gateway.State
	// Dial opens connections; nil means TCP.
	Dial hop.DialFunc
	// Log and Metrics receive events and metrics for operators.
	Log     *eventlog.Log
	Metrics tally.Scope
}

// Relay runs the connections to the peers.
type Relay struct {
	config Config
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	tasks  *task.Group
	// messages reads the messages of all connections.
	messages *peerlink.Messages

	mutex  sync.Mutex
	closed bool
	peers  *PeerTable
	// requestedVersion is the version of the last requested document, and requestedAt the time of
	// the request.
	requestedVersion uint64
	requestedAt      time.Time
	// opened are the connections that this gateway opened, by peer.
	opened map[string]openedLink
	// pending are the requests to peers for back ends.
	pending pendingRequests
}

// Start starts connecting to peers.
func Start(config Config) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		config:   config,
		client:   &http.Client{Transport: hop.NewControlTransport(config.Dial, false)},
		ctx:      ctx,
		cancel:   cancel,
		peers:    NewPeerTable(config.ID, config.Address, config.Seeds),
		opened:   map[string]openedLink{},
		messages: peerlink.NewMessages(),
		tasks:    task.NewGroup(config.Log.Entry(), config.Metrics),
	}
	r.tasks.Keep(ctx, "maintain_links", r.maintainLinks)
	return r
}

// Close ends all connections.
func (r *Relay) Close() {
	r.mutex.Lock()
	r.closed = true
	r.mutex.Unlock()
	r.cancel()
	r.tasks.Wait()
}

// Live returns the live gateways, including this one.
func (r *Relay) Live() []Peer {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	self := Peer{ID: r.config.ID, Address: r.config.Address, Zone: r.config.Zone, Capacity: r.config.Capacity}
	return append(r.peers.LivePeers(r.config.State.Clock().Now()), self)
}

// StoreAge returns the time since the store last answered any of the other gateways, as far as this one
// has heard.
func (r *Relay) StoreAge() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.peers.StoreAge(r.config.State.Clock().Now())
}

// ContactAge returns the time since this gateway last heard of the live gateway of which it has heard longest ago.
func (r *Relay) ContactAge() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.peers.ContactAge(r.config.State.Clock().Now())
}

// SetSeeds replaces the seeds.
func (r *Relay) SetSeeds(seeds []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peers.SetSeeds(seeds)
}

// locked runs a step under the lock, which a panic of the step releases too.
func (r *Relay) locked(step func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	step()
}

// spawn runs a task once, unless the relay is closed.
func (r *Relay) spawn(name string, run func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.closed {
		r.tasks.Go(name, run)
	}
}
