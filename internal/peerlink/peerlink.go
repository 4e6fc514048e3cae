// Package peerlink queries other gateways over WebSocket connections that are opened when they are
// needed and kept while they are used. A query and its answer are one binary message each.
package peerlink

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/hop"
)

// Config configures a Client.
type Config struct {
	// ID is this gateway's ID.
	ID string
	// Path is where the other gateways accept the queries.
	Path string
	// Dial opens connections; nil means TCP.
	Dial hop.DialFunc
	// MaxMessageBytes limits the size of an answer.
	MaxMessageBytes int64
}

// Client queries other gateways. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client

	mutex sync.Mutex
	// links are the open connections, by the ID of the other gateway.
	links map[string]*link
}

// ErrUnsupported means that the other gateway doesn't serve such queries: its build is older.
var ErrUnsupported = errors.New("the gateway doesn't serve these queries")

// link is a connection to another gateway. Its turn is held from a query to its answer.
type link struct {
	turn   chan struct{}
	socket *websocket.Conn
}

// dialTimeout limits a dial. http.Transport doesn't end one with the query that it was begun for.
const dialTimeout = time.Second

// NewClient returns a client without connections.
func NewClient(config Config) *Client {
	if config.Dial == nil {
		config.Dial = (&net.Dialer{}).DialContext
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return config.Dial(ctx, network, address)
	}
	return &Client{
		config: config, links: map[string]*link{},
		http: &http.Client{Transport: hop.NewControlTransport(dial, false)},
	}
}

// Query sends the message to the gateway with the ID, which listens at the address, and returns its
// answer. It opens a connection if there is none. A query may arrive twice.
func (c *Client) Query(ctx context.Context, id, address string, message []byte) ([]byte, error) {
	if existing := c.linkTo(id); existing != nil {
		answer, err := existing.roundTrip(ctx, message)
		if err == nil {
			return answer, nil
		}
		c.drop(id, existing)
		// The other side may have closed an idle connection, or restarted. Try a new connection in
		// the remaining time.
	}
	opened, err := c.open(ctx, id, address)
	if err != nil {
		return nil, err
	}
	answer, err := opened.roundTrip(ctx, message)
	if err != nil {
		c.drop(id, opened)
	}
	return answer, err
}

func (l *link) roundTrip(ctx context.Context, message []byte) ([]byte, error) {
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err := l.socket.Write(ctx, websocket.MessageBinary, message); err != nil {
		return nil, err
	}
	_, answer, err := l.socket.Read(ctx)
	return answer, err
}

// linkTo returns the connection to the gateway, or nil.
func (c *Client) linkTo(id string) *link {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.links[id]
}

func (c *Client) open(ctx context.Context, id, address string) (*link, error) {
	header := http.Header{hop.HeaderNode: []string{c.config.ID}}
	socket, response, err := websocket.Dial(ctx, "ws://"+address+c.config.Path, &websocket.DialOptions{HTTPClient: c.http, HTTPHeader: header})
	if err != nil && response != nil && response.StatusCode == http.StatusNotFound {
		return nil, ErrUnsupported
	}
	if err != nil {
		return nil, err
	}
	socket.SetReadLimit(c.config.MaxMessageBytes)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	opened := &link{turn: make(chan struct{}, 1), socket: socket}
	c.links[id] = opened
	return opened, nil
}

func (c *Client) drop(id string, broken *link) {
	_ = broken.socket.CloseNow()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.links[id] == broken {
		delete(c.links, id)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for id, each := range c.links {
		_ = each.socket.CloseNow()
		delete(c.links, id)
	}
}

// ServeConfig configures Serve.
type ServeConfig struct {
	// MaxMessageBytes limits the size of a query, and IdleTimeout how long a connection may go without one.
	MaxMessageBytes int64
	IdleTimeout     time.Duration
	// Messages reads the queries of all connections.
	Messages *Messages
	// Answer returns the answer to a query, which it must not keep.
	Answer func(query []byte) ([]byte, error)
}

// Serve answers the queries on a connection from another gateway until ctx is done, the connection
// breaks off or goes without a query for too long, or a query can't be answered.
func Serve(ctx context.Context, w http.ResponseWriter, r *http.Request, config ServeConfig) {
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer socket.CloseNow()
	socket.SetReadLimit(config.MaxMessageBytes)
	for answerQuery(ctx, socket, config) == nil {
	}
}

func answerQuery(ctx context.Context, socket *websocket.Conn, config ServeConfig) error {
	ctx, cancel := context.WithTimeout(ctx, config.IdleTimeout)
	defer cancel()
	var reply []byte
	err := config.Messages.Read(ctx, socket, func(query []byte) (err error) {
		reply, err = config.Answer(query)
		return err
	})
	if err != nil {
		return err
	}
	return socket.Write(ctx, websocket.MessageBinary, reply)
}
