package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/task"
)

const (
	// idleTimeout is how long a connection may go without a message from the peer.
	idleTimeout = 2 * time.Second
	// dialTimeout and writeTimeout limit one dial and one write.
	dialTimeout  = 600 * time.Millisecond
	writeTimeout = time.Second
	// compressionThreshold is the size in bytes from which a message is compressed. Lists of back
	// ends and configurations, which repeat the same words, are longer; the regular messages of
	// each period, which aren't worth the processor time, are shorter. With compression, 298
	// gateways in front of 2,998 back ends send half as many bytes (143 instead of 296 KB/s over a
	// day with all faults).
	compressionThreshold = 2048
)

// maintainLinks opens and closes connections as the peer table demands, and updates this gateway's
// place and the known fleet in the state.
func (r *Relay) maintainLinks() {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		for _, address := range r.updateFleet() {
			r.spawn("dial_peer", func() { r.dial(address) })
		}
		select {
		case <-ticker.C:
		case <-r.ctx.Done():
			return
		}
	}
}

// updateFleet updates this gateway's place and the known fleet in the state, closes connections that aren't needed any
// more, and returns the addresses to connect to.
func (r *Relay) updateFleet() (due []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.config.State.Clock().Now()
	due = r.peers.DialTargets(now)
	place := r.peers.Place(now, r.config.State.StoreAge())
	r.closeSurplus(now)
	r.config.State.SetFleet(place, r.peers.Fleet())
	return due
}

// openedLink is a connection that this gateway opened.
type openedLink struct {
	openedAt time.Time
	cancel   context.CancelFunc
}

// minLinkAge is how long a connection is kept before it may be closed as not needed: by then both
// sides have sent each other what they know.
const minLinkAge = 2 * time.Second

// closeSurplus closes connections that aren't needed any more, such as those to seeds. Otherwise a
// fleet of hundreds of gateways would stay connected to its three seeds.
func (r *Relay) closeSurplus(now time.Time) {
	var candidates []string
	for peer, link := range r.opened {
		if now.Sub(link.openedAt) >= minLinkAge {
			candidates = append(candidates, peer)
		}
	}
	for _, peer := range r.peers.Surplus(candidates) {
		r.opened[peer].cancel()
	}
}

func (r *Relay) dial(address string) {
	ctx, cancel := context.WithTimeout(r.ctx, dialTimeout)
	defer cancel()
	header := http.Header{hop.HeaderNode: []string{r.config.ID}}
	socket, response, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient: r.client, HTTPHeader: header,
		CompressionMode: websocket.CompressionNoContextTakeover, CompressionThreshold: compressionThreshold,
	})
	if err != nil {
		return
	}
	peer := response.Header.Get(hop.HeaderNode)
	linkCtx, cancelLink := context.WithCancel(r.ctx)
	defer cancelLink()
	r.mutex.Lock()
	r.opened[peer] = openedLink{openedAt: r.config.State.Clock().Now(), cancel: cancelLink}
	r.mutex.Unlock()
	defer r.forgetOpened(peer)
	r.serve(linkCtx, socket, peer, nil)
}

// forgetOpened forgets the connection to a peer that this gateway opened.
func (r *Relay) forgetOpened(peer string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.opened, peer)
}

// ServeHTTP accepts a connection from a peer.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.URL.Path != Path {
		http.NotFound(w, request)
		return
	}
	w.Header().Set(hop.HeaderNode, r.config.ID)
	socket, err := websocket.Accept(w, request, &websocket.AcceptOptions{
		CompressionMode: websocket.CompressionNoContextTakeover, CompressionThreshold: compressionThreshold,
	})
	if err != nil {
		return
	}
	defer socket.CloseNow()
	// A peer sends a message at once. Until then, the connection may be anyone's.
	socket.SetReadLimit(maxMessageBytes)
	first, err := r.readMessage(r.ctx, socket)
	if err != nil {
		r.config.Metrics.Counter("relay_strangers").Inc(1)
		return
	}
	r.serve(r.ctx, socket, request.Header.Get(hop.HeaderNode), &first)
}

// serve runs a connection until it ends or ctx is done. first is the peer's first message, or nil if it wasn't read yet.
func (r *Relay) serve(ctx context.Context, socket *websocket.Conn, peer string, first *Message) {
	defer socket.CloseNow()
	if peer == "" || peer == r.config.ID {
		return
	}
	socket.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.locked(func() { r.peers.LinkUp(peer) })
	r.config.Log.Warn(eventlog.PeerRegained, logrus.Fields{"peer": peer})
	cause := errors.New("the connection's task panicked")
	defer func() { r.noteLinkDown(peer, cause) }()
	opened := newLink(socket)
	if first != nil {
		r.processMessage(opened, *first)
	}
	writer := task.NewGroup(r.config.Log.Entry(), r.config.Metrics)
	defer writer.Wait()
	defer socket.CloseNow()
	defer cancel()
	writer.Go("write_to_peer", func() { defer cancel(); r.writeLoop(ctx, opened) })
	cause = r.readLoop(ctx, opened)
}

// noteLinkDown records that a connection to a peer has ended.
func (r *Relay) noteLinkDown(peer string, cause error) {
	r.locked(func() { r.peers.LinkDown(peer) })
	r.config.Log.Warn(eventlog.PeerLost, logrus.Fields{"peer": peer, "cause": cause.Error()})
}
