// Package peering executes a node's control actions: it exchanges messages with peers
// in CBOR over WebSocket, and calls the platform. It makes no decisions of its own; it
// passes every event to the node's core.
package peering

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/objectstore"
	"github.com/harriernotch/harriernotch/internal/task"
)

// Path is the path for control connections on a node's peer listener.
const Path = "/control"

const (
	// sendQueue is the number of messages that may wait to be sent to a slow peer. When
	// the queue is full, the connection is closed.
	sendQueue = 64
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 3 * time.Second
	// writeTimeout bounds the time to send one message.
	writeTimeout = 5 * time.Second
)

// Config configures a Peering.
type Config struct {
	// NodeID is the ID of this node.
	NodeID string
	// Credential proves membership of the cluster.
	Credential hop.Credential
	// Platform is the client of the platform; nil if there is none.
	Platform objectstore.Client
	// Dial opens connections to peers; nil uses TCP.
	Dial hop.DialFunc
	// Deliver passes an event to the node's core and executes the resulting actions.
	Deliver func(coordination.Event)
	// Log receives log entries.
	Log logrus.FieldLogger
	// Metrics counts messages and bytes.
	Metrics tally.Scope
}

// Peering manages a node's control connections.
type Peering struct {
	config Config
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	tasks  *task.Group
	lastID atomic.Uint64

	mutex  sync.Mutex
	closed bool
	links  map[coordination.LinkID]*connection
}

// connection is one open control connection.
type connection struct {
	id     coordination.LinkID
	socket *websocket.Conn
	queue  chan []byte
	cancel context.CancelFunc
}

// New returns a Peering without connections.
func New(config Config) *Peering {
	ctx, cancel := context.WithCancel(context.Background())
	return &Peering{
		config: config,
		client: &http.Client{Transport: hop.NewControlTransport(config.Dial, false)},
		ctx:    ctx,
		cancel: cancel,
		links:  map[coordination.LinkID]*connection{},
		tasks:  task.NewGroup(config.Log, config.Metrics),
	}
}

// Close closes all connections that Perform opened or ServeHTTP accepted, and waits for
// the tasks that Perform started.
func (p *Peering) Close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.cancel()
	p.tasks.Wait()
}

// spawn starts a task for which Close waits. It does nothing if Close has been called.
func (p *Peering) spawn(name string, run func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.closed {
		p.tasks.Go(name, run)
	}
}

// Perform executes actions. It doesn't block.
func (p *Peering) Perform(actions []coordination.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case coordination.Send:
			p.send(a)
		case coordination.Connect:
			p.spawn("dial_peer", func() { p.dial(a) })
		case coordination.Disconnect:
			p.disconnect(a.Link)
		case coordination.ReadPlatform:
			p.spawn("read_platform", func() { p.readPlatform(a) })
		case coordination.ReadMachines:
			p.spawn("read_machines", p.readMachines)
		case coordination.BundleAdopted:
			p.config.Log.WithFields(logrus.Fields{"number": a.Bundle.Number, "note": a.Bundle.Note}).Info("bundle in force")
			p.config.Metrics.Gauge("bundle_number").Update(float64(a.Bundle.Number))
		case coordination.BundleRefused:
			p.config.Log.WithFields(logrus.Fields{"from": a.From, "kind": a.Err.Kind.String()}).WithError(a.Err).Warn("bundle refused; the old one stays in force")
			p.config.Metrics.Tagged(map[string]string{"kind": a.Err.Kind.String()}).Counter("bundles_refused").Inc(1)
		}
	}
}

func (p *Peering) lookup(id coordination.LinkID) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.links[id]
}

// send queues a message. If the peer is too slow and the queue is full, the connection is
// closed; what the peer missed is sent again on the next connection.
func (p *Peering) send(action coordination.Send) {
	link := p.lookup(action.Link)
	if link == nil {
		return
	}
	raw, err := action.Message.Encode()
	if err != nil {
		p.config.Log.WithError(err).Error("encoding a control message failed")
		return
	}
	select {
	case link.queue <- raw:
	default:
		link.cancel()
	}
}

func (p *Peering) disconnect(id coordination.LinkID) {
	if link := p.lookup(id); link != nil {
		link.cancel()
	}
}

func (p *Peering) dial(action coordination.Connect) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	header := http.Header{}
	p.config.Credential.Set(header)
	header.Set(hop.HeaderNode, p.config.NodeID)
	socket, response, err := websocket.Dial(ctx, "ws://"+action.Address+Path, &websocket.DialOptions{HTTPClient: p.client, HTTPHeader: header})
	if err != nil {
		p.config.Log.WithField("address", action.Address).WithError(err).Debug("opening a control connection failed")
		p.config.Deliver(coordination.LinkDown{Address: action.Address, Peer: action.Peer})
		return
	}
	peer := response.Header.Get(hop.HeaderNode)
	if peer == "" || peer == p.config.NodeID {
		_ = socket.CloseNow()
		p.config.Deliver(coordination.LinkDown{Address: action.Address, Peer: action.Peer})
		return
	}
	p.serve(socket, peer, true)
}

// ServeHTTP accepts a control connection from a peer and runs it until it ends.
func (p *Peering) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	peer := r.Header.Get(hop.HeaderNode)
	if peer == "" || peer == p.config.NodeID {
		http.Error(w, "the header "+hop.HeaderNode+" must name another node", http.StatusBadRequest)
		return
	}
	w.Header().Set(hop.HeaderNode, p.config.NodeID)
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	p.serve(socket, peer, false)
}

// serve registers a connection and runs it until it ends.
func (p *Peering) serve(socket *websocket.Conn, peer string, dialed bool) {
	socket.SetReadLimit(coordination.MaxMessageSize)
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	link := &connection{
		id:     coordination.LinkID(p.lastID.Add(1)),
		socket: socket,
		queue:  make(chan []byte, sendQueue),
		cancel: cancel,
	}
	p.mutex.Lock()
	p.links[link.id] = link
	p.mutex.Unlock()
	p.config.Deliver(coordination.LinkUp{Link: link.id, Peer: peer, Dialed: dialed})
	defer p.noteLinkDown(link, peer)
	writer := task.NewGroup(p.config.Log, p.config.Metrics)
	defer writer.Wait()
	defer socket.CloseNow()
	defer cancel()
	writer.Go("write_to_peer", func() { p.write(ctx, link) })
	p.read(ctx, link)
}

// noteLinkDown records that a connection has ended.
func (p *Peering) noteLinkDown(link *connection, peer string) {
	p.mutex.Lock()
	delete(p.links, link.id)
	p.mutex.Unlock()
	p.config.Deliver(coordination.LinkDown{Link: link.id, Peer: peer})
}

func (p *Peering) read(ctx context.Context, link *connection) {
	for {
		_, raw, err := link.socket.Read(ctx)
		if err != nil {
			return
		}
		p.config.Metrics.Counter("control_bytes_received").Inc(int64(len(raw)))
		message, err := coordination.DecodeMessage(raw)
		if err != nil {
			p.config.Log.WithError(err).Warn("invalid control message; closing the connection")
			return
		}
		p.config.Deliver(coordination.Received{Link: link.id, Message: message})
	}
}

func (p *Peering) write(ctx context.Context, link *connection) {
	defer link.cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case raw := <-link.queue:
			if err := p.writeMessage(ctx, link, raw); err != nil {
				return
			}
			p.config.Metrics.Counter("control_bytes_sent").Inc(int64(len(raw)))
		}
	}
}

func (p *Peering) writeMessage(ctx context.Context, link *connection, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return link.socket.Write(ctx, websocket.MessageBinary, raw)
}

func (p *Peering) readPlatform(action coordination.ReadPlatform) {
	if p.config.Platform == nil {
		p.config.Deliver(coordination.PlatformFailed{})
		return
	}
	requestedAt := time.Now()
	object, err := p.readBundle(action)
	if err != nil {
		if p.ctx.Err() == nil {
			p.config.Log.WithError(err).Debug("reading the bundle from the platform failed")
			p.config.Metrics.Counter("platform_failures").Inc(1)
			p.config.Deliver(coordination.PlatformFailed{})
		}
		return
	}
	unchanged := action.After != 0 && object.Version == action.After
	p.config.Deliver(coordination.PlatformBundle{Raw: object.Value, Unchanged: unchanged, Version: object.Version, RequestedAt: requestedAt})
}

func (p *Peering) readBundle(action coordination.ReadPlatform) (objectstore.Object, error) {
	if action.Wait > 0 {
		return p.config.Platform.Watch(p.ctx, objectstore.BundleKey, action.After, action.Wait)
	}
	return p.config.Platform.Get(p.ctx, objectstore.BundleKey)
}

func (p *Peering) readMachines() {
	if p.config.Platform == nil {
		return
	}
	machines, err := p.config.Platform.Machines(p.ctx)
	if err != nil {
		p.config.Log.WithError(err).Debug("reading the machine list from the platform failed")
		return
	}
	p.config.Deliver(coordination.MachineList{Machines: machines})
}
