package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/gateway"
	"github.com/harriernotch/harriernotch/internal/hop"
)

// Path is where a gateway takes connections of its peers.
const Path = "/relay"

// Message is what a gateway tells a peer.
type Message struct {
	// From and Address name the sender and its listener for peers.
	From    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	// Peers are the live gateways that the sender knows.
	Peers []Peer `cbor:"3,keyasint,omitempty"`
	// Version is the sender's configuration. A receiver with an older one asks for
	// the document with Want; so it crosses one link, not every one.
	Version  uint64          `cbor:"4,keyasint"`
	Document cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	Want     bool            `cbor:"9,keyasint,omitempty"`
	// Entries are the back ends that changed since the last message.
	Entries []catalog.Entry `cbor:"6,keyasint,omitempty"`
	// Loads are the sender's requests under way.
	Loads []dispatch.Load `cbor:"7,keyasint,omitempty"`
	// StoreAgeMillis is how long ago the store last answered the sender.
	StoreAgeMillis int64 `cbor:"8,keyasint"`
	// Holdings are prompt parts that back ends hold, as far as it is news.
	Holdings []dispatch.Holdings `cbor:"10,keyasint,omitempty"`
	// Digest sums up the back ends that the sender knows; it stands in the first
	// message on a connection alone, which has no entries.
	Digest catalog.Digest `cbor:"11,keyasint,omitempty"`
}

const (
	// period is the time between two messages on a connection; a change is told
	// at once. It stretches beyond quickGateways gateways, where a few neighbours'
	// loads tell little and back ends' own reports count, to longestPeriod.
	period        = 200 * time.Millisecond
	quickGateways = 30
	longestPeriod = time.Second
	// silence is how long a connection may be without a message.
	silence = 2 * time.Second
	// dialTimeout and writeTimeout bound one step.
	dialTimeout  = 600 * time.Millisecond
	writeTimeout = time.Second
	// maxMessageBytes bounds a message: a configuration and all back ends.
	maxMessageBytes = 16 << 20
	// longestGather bounds the wait for further changes before one is told. News
	// crosses a fleet of 340 in some five steps, so that is a quarter of a second on
	// top of the way itself.
	longestGather = 100 * time.Millisecond
	// listTime is how long the store may take to tell a list of thousands of back
	// ends, and this process to read it.
	listTime = 400 * time.Millisecond
	// askAgain is how long a question for a document may go without an answer.
	askAgain = 400 * time.Millisecond
	// holdingsPerSecond bounds the holdings that a gateway tells all of its
	// neighbours together, at about 12 bytes each: a part of the 16 KB a second that
	// control may cost. Beyond quickGateways, where more links share the bytes, it
	// falls with their number; leastHoldings is told in each message all the same.
	holdingsPerSecond = 500
	leastHoldings     = 4
	// peersPeriod is the time between two messages with the peers that read the store;
	// every othersEvery of them names some others too.
	peersPeriod = time.Second
	othersEvery = 3
)

// Config sets up a Relay.
type Config struct {
	// ID and Address name this gateway and its listener for peers.
	ID      string
	Address string
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
	book   *Book
	// askedVersion is the document last asked for, and askedAt when.
	askedVersion uint64
	askedAt      time.Time
	// opened ends the connections that this gateway opened, by peer.
	opened map[string]openedLink
	// listAsked is set once a peer was greeted while no list of back ends was known.
	listAsked bool
}

// Start begins to connect.
func Start(config Config) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		config: config,
		client: &http.Client{Transport: &http.Transport{DialContext: config.Dial, DisableKeepAlives: true}},
		ctx:    ctx,
		cancel: cancel,
		book:   NewBook(config.ID, config.Address, config.Seeds),
		opened: map[string]openedLink{},
	}
	r.spawn(r.connect)
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

// SetSeeds replaces the seeds.
func (r *Relay) SetSeeds(seeds []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.book.SetSeeds(seeds)
}

func (r *Relay) spawn(task func()) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.closed {
		r.tasks.Go(task)
	}
}

// connect opens the connections that the book wants.
func (r *Relay) connect() {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		r.mutex.Lock()
		due := r.book.Dial(time.Now())
		live := r.book.Live(time.Now())
		reader := r.book.IsReader(time.Now())
		r.closeSurplus(time.Now())
		r.mutex.Unlock()
		r.config.State.SetFleet(live, reader)
		for _, address := range due {
			r.spawn(func() { r.dial(address) })
		}
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			return
		}
	}
}

// openedLink is a connection that this gateway opened.
type openedLink struct {
	at  time.Time
	end context.CancelFunc
}

// surplusAge is how long a connection is kept that is needed no more: both sides have
// told each other what they know by then.
const surplusAge = 2 * time.Second

// closeSurplus ends connections to seeds that aren't needed any more: else a fleet of
// hundreds would hang on three gateways.
func (r *Relay) closeSurplus(now time.Time) {
	for peer, link := range r.opened {
		if now.Sub(link.at) >= surplusAge && r.book.Surplus(peer) {
			link.end()
		}
	}
}

func (r *Relay) dial(address string) {
	ctx, cancel := context.WithTimeout(r.ctx, dialTimeout)
	defer cancel()
	header := http.Header{hop.HeaderNode: []string{r.config.ID}}
	socket, response, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{HTTPClient: r.client, HTTPHeader: header})
	if err != nil {
		return
	}
	peer := response.Header.Get(hop.HeaderNode)
	linked, end := context.WithCancel(r.ctx)
	defer end()
	r.mutex.Lock()
	r.opened[peer] = openedLink{at: time.Now(), end: end}
	r.mutex.Unlock()
	r.serve(linked, socket, peer)
	r.mutex.Lock()
	delete(r.opened, peer)
	r.mutex.Unlock()
}

// ServeHTTP takes a connection from a peer.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != Path {
		http.NotFound(w, request)
		return
	}
	w.Header().Set(hop.HeaderNode, r.config.ID)
	socket, err := websocket.Accept(w, request, nil)
	if err != nil {
		return
	}
	r.serve(r.ctx, socket, request.Header.Get(hop.HeaderNode))
}

// serve runs a connection until it ends or the context does.
func (r *Relay) serve(ctx context.Context, socket *websocket.Conn, peer string) {
	defer socket.CloseNow()
	if peer == "" || peer == r.config.ID {
		return
	}
	socket.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mutex.Lock()
	r.book.LinkUp(peer)
	r.mutex.Unlock()
	r.config.Log.Urgent(eventlog.PeerRegained, logrus.Fields{"peer": peer})
	opened := newLink(socket)
	var writer conc.WaitGroup
	writer.Go(func() { defer cancel(); r.write(ctx, opened) })
	err := r.read(ctx, opened)
	cancel()
	_ = socket.CloseNow()
	writer.Wait()
	r.mutex.Lock()
	r.book.LinkDown(peer)
	r.mutex.Unlock()
	r.config.Log.Urgent(eventlog.PeerLost, logrus.Fields{"peer": peer, "cause": err.Error()})
}

func (r *Relay) read(ctx context.Context, from *link) error {
	for count := 0; ; count++ {
		message, err := r.readOne(ctx, from.socket)
		if err != nil {
			return err
		}
		if count == 0 {
			from.first <- message.Digest
		}
		from.note(message.Entries)
		from.noteHoldings(message.Holdings)
		r.take(message)
		if message.Want {
			from.give.Store(true)
			from.wakeUp()
		}
		if r.shouldAsk(message.Version) {
			from.ask.Store(true)
			from.wakeUp()
		}
	}
}

// shouldAsk tells whether a document is newer than this gateway's, and nobody
// was asked for it of late.
func (r *Relay) shouldAsk(version uint64) bool {
	if version <= r.config.State.Version() {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	if version <= r.askedVersion && now.Sub(r.askedAt) < askAgain {
		return false
	}
	r.askedVersion = version
	r.askedAt = now
	return true
}

func (r *Relay) readOne(ctx context.Context, socket *websocket.Conn) (Message, error) {
	ctx, cancel := context.WithTimeout(ctx, silence)
	defer cancel()
	_, raw, err := socket.Read(ctx)
	if err != nil {
		return Message{}, err
	}
	r.config.Metrics.Counter("relay_bytes_received").Inc(int64(len(raw)))
	return decode(raw)
}

// decode parses a peer's message.
func decode(raw []byte) (Message, error) {
	var message Message
	err := cbor.Unmarshal(raw, &message)
	return message, err
}

func (r *Relay) take(message Message) {
	now := time.Now()
	r.mutex.Lock()
	r.book.Heard(now, Peer{ID: message.From, Address: message.Address, StoreAgeMillis: message.StoreAgeMillis}, message.Peers)
	r.mutex.Unlock()
	if message.Document != nil && message.Version > r.config.State.Version() {
		r.takeDocument(message)
	}
	r.config.State.OfferEntries(message.Entries, gateway.SourcePeer)
	r.config.State.PeerLoads(message.From, message.Loads)
	r.config.State.PeerHoldings(message.Holdings)
}

func (r *Relay) takeDocument(message Message) {
	var configuration catalog.Configuration
	if err := cbor.Unmarshal(message.Document, &configuration); err != nil {
		r.config.Log.Urgent(eventlog.Misconfigured, logrus.Fields{"version": message.Version, "source": message.From, "cause": err.Error()})
		return
	}
	r.config.State.OfferConfiguration(&configuration, gateway.SourcePeer)
}

// greet sends the first message, waits for the peer's, and tells it the back ends that
// it may lack. It returns the number of changes to go on from.
func (r *Relay) greet(ctx context.Context, to *link) (change uint64, ok bool) {
	greeting := r.message(gateway.News{Version: r.config.State.Version(), StoreAge: r.config.State.StoreAge()}, 0)
	greeting.Digest = r.digestToTell(ctx)
	if err := r.writeOne(ctx, to.socket, greeting); err != nil {
		return 0, false
	}
	select {
	case digest := <-to.first:
		entries, change := r.config.State.Differing(digest)
		lacking := r.message(gateway.News{Version: r.config.State.Version(), StoreAge: r.config.State.StoreAge(), Entries: entries}, 1)
		return change, r.writeOne(ctx, to.socket, lacking) == nil
	case <-ctx.Done():
		return 0, false
	}
}

// digestToTell returns what this gateway knows. One that has just started tells one peer
// at once that it knows nothing; the others only when it still has no list a while
// later: else each of them would tell it all that the store is telling it meanwhile.
func (r *Relay) digestToTell(ctx context.Context) catalog.Digest {
	timer := time.NewTimer(listTime + rand.N(listTime))
	defer timer.Stop()
	for {
		digest, listed, changed := r.config.State.Digest()
		if listed || r.mayAskForList() {
			return digest
		}
		select {
		case <-changed:
		case <-timer.C:
			return digest
		case <-ctx.Done():
			return digest
		}
	}
}

// mayAskForList returns true once.
func (r *Relay) mayAskForList() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	first := !r.listAsked
	r.listAsked = true
	return first
}

// write tells the peer what it lacks, at once after a change and every period.
func (r *Relay) write(ctx context.Context, to *link) {
	change, ok := r.greet(ctx, to)
	if !ok {
		return
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	var holding uint64
	for count := 0; ; count++ {
		gateways, _ := r.config.State.Fleet()
		news := r.config.State.NewsSince(change, holding, holdingsPerMessage(gateways))
		news.Entries = to.untold(news.Entries)
		news.Holdings = to.untoldHoldings(news.Holdings)
		message := r.message(news, count)
		message.Want = to.ask.Swap(false)
		if to.give.Swap(false) {
			message.Document = r.config.State.Document()
		}
		if err := r.writeOne(ctx, to.socket, message); err != nil {
			return
		}
		change, holding = news.Change, news.Holding
		timer.Reset(periodFor(gateways))
		select {
		case <-to.wake:
		case <-news.Changed:
			r.gather(ctx, gateways)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// gather waits for more changes to tell with the one at hand, and for the peer to tell
// it itself. In a small fleet a change is told at once.
func (r *Relay) gather(ctx context.Context, gateways int) {
	if gateways <= meshSize {
		return
	}
	timer := time.NewTimer(rand.N(longestGather))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// periodFor returns the time between two messages in a fleet of so many gateways.
func periodFor(gateways int) time.Duration {
	stretched := period * time.Duration(gateways) / quickGateways
	return max(period, min(stretched, longestPeriod))
}

// holdingsPerMessage returns how many holdings a message may tell in a fleet of so
// many gateways.
func holdingsPerMessage(gateways int) int {
	messages := float64(linksIn(gateways)) / periodFor(gateways).Seconds()
	perSecond := holdingsPerSecond * min(1, quickGateways/float64(gateways))
	return max(leastHoldings, int(perSecond/max(1, messages)))
}

func (r *Relay) message(news gateway.News, count int) Message {
	message := Message{
		From:    r.config.ID,
		Address: r.config.Address,
		Version: news.Version,
		Entries: news.Entries,
		Loads:   news.Loads,

		Holdings:       news.Holdings,
		StoreAgeMillis: min(news.StoreAge, forgetAge).Milliseconds(),
	}
	gateways, _ := r.config.State.Fleet()
	due := max(1, int(peersPeriod/periodFor(gateways)))
	if count%due == 0 {
		r.mutex.Lock()
		if count%(due*othersEvery) == 0 {
			message.Peers = r.book.Known(time.Now())
		} else {
			message.Peers = r.book.Readers(time.Now())
		}
		r.mutex.Unlock()
	}
	return message
}

func (r *Relay) writeOne(ctx context.Context, socket *websocket.Conn, message Message) error {
	raw, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	r.config.Metrics.Counter("relay_bytes_sent").Inc(int64(len(raw)))
	return socket.Write(ctx, websocket.MessageBinary, raw)
}
