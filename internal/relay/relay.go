package relay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/gateway"
	"github.com/harriernotch/harriernotch/internal/hop"
)

// Path is where a gateway takes connections of its peers.
const Path = "/relay"

// Config sets up a Relay.
type Config struct {
	// ID and Address name this gateway and its listener for peers.
	ID      string
	Address string
	// Zone is where this gateway runs, and Capacity its share of a processor in
	// hundredths of a core.
	Zone     string
	Capacity int
	// Seeds are addresses to try first.
	Seeds []string
	// State has the knowledge.
	State *gateway.State
	// Dial opens connections; nil uses TCP.
	Dial hop.DialFunc
	// Log and Metrics take what operators should know.
	Log     *eventlog.Log
	Metrics tally.Scope
}

// Relay runs the connections to peers.
type Relay struct {
	config Config
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup

	mutex  sync.Mutex
	closed bool
	peers  *PeerTable
	// askedVersion is the document last asked for, and askedAt when.
	requestedVersion uint64
	requestedAt      time.Time
	// opened ends the connections that this gateway opened, by peer.
	opened map[string]openedLink
	// questions are those to peers for back ends.
	pending pendingRequests
}

// Start begins to connect.
func Start(config Config) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		config: config,
		client: &http.Client{Transport: &http.Transport{DialContext: config.Dial, DisableKeepAlives: true}},
		ctx:    ctx,
		cancel: cancel,
		peers:  NewPeerTable(config.ID, config.Address, config.Seeds),
		opened: map[string]openedLink{},
	}
	r.spawn(r.maintainLinks)
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

// Live returns the live gateways, this one included.
func (r *Relay) Live() []Peer {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	self := Peer{ID: r.config.ID, Address: r.config.Address, Zone: r.config.Zone, Capacity: r.config.Capacity}
	return append(r.peers.LivePeers(r.config.State.Clock().Now()), self)
}

// SetSeeds replaces the seeds.
func (r *Relay) SetSeeds(seeds []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.peers.SetSeeds(seeds)
}

func (r *Relay) spawn(task func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.closed {
		r.tasks.Go(task)
	}
}
