package soak

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/daemon"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/pipenet"
	"github.com/harriernotch/harriernotch/internal/settings"
	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// InProcess runs gateways in this process over an in-memory network, so that whole runs can use a
// virtual clock. A kill closes all of a gateway's connections before the gateway ends. A pause
// isn't possible and has no effect.
type InProcess struct {
	protocol wire.Protocol
	adapter  daemon.Adapter
	network  *pipenet.Network

	mutex sync.Mutex
	last  int
}

// NewInProcess returns an environment with a new, separate network.
func NewInProcess(protocol wire.Protocol, adapter daemon.Adapter) *InProcess {
	return &InProcess{protocol: protocol, adapter: adapter, network: pipenet.New()}
}

// Protocol implements Environment.
func (e *InProcess) Protocol() wire.Protocol { return e.protocol }

// Address implements Environment.
func (e *InProcess) Address() (string, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.last++
	return fmt.Sprintf("10.0.%d.%d:80", e.last/250, 1+e.last%250), nil
}

// Listen implements Environment.
func (e *InProcess) Listen() (net.Listener, error) {
	address, err := e.Address()
	if err != nil {
		return nil, err
	}
	return e.network.Listen("pipe", address)
}

// ListenAt implements Environment.
func (e *InProcess) ListenAt(address string) (net.Listener, error) {
	return e.network.Listen("pipe", address)
}

// Dial implements Environment.
func (e *InProcess) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return e.network.Dial(ctx, network, address)
}

// Gateway implements Environment.
func (e *InProcess) Gateway(id, text string) (Gateway, error) {
	parsed, err := settings.Parse(id+".toml", []byte(text))
	if err != nil {
		return nil, err
	}
	return &inProcessGateway{environment: e, settings: parsed}, nil
}

type inProcessGateway struct {
	environment *InProcess
	settings    *settings.Settings
	node        *daemon.Gateway
	log         *eventlog.Log
	network     *gatewayNetwork
}

func (g *inProcessGateway) Start() error {
	g.network = &gatewayNetwork{network: g.environment.network, open: map[net.Conn]bool{}}
	g.log = eventlog.New(discard{}, logrus.InfoLevel, nil)
	node, err := daemon.StartGateway(g.settings, daemon.GatewayEnvironment{
		Adapter: g.environment.adapter, Listen: g.network.Listen, Dial: g.network.Dial, Log: g.log,
	})
	g.node = node
	return err
}

func (g *inProcessGateway) Kill() {
	if g.node == nil {
		return
	}
	g.network.disconnect()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	g.node.Stop(ended)
	g.end()
}

func (g *inProcessGateway) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), g.node.DrainTimeout())
	defer cancel()
	g.node.Stop(ctx)
	g.end()
}

func (g *inProcessGateway) end() {
	g.network.disconnect()
	g.log.Close()
	g.node = nil
}

func (g *inProcessGateway) Reload() { g.node.Reload(g.settings) }
func (g *inProcessGateway) Pause()  {}
func (g *inProcessGateway) Resume() {}

func (g *inProcessGateway) ReloadOften() (end func()) { return func() {} }
func (g *inProcessGateway) LoseLogReader()            {}
func (g *inProcessGateway) UnplannedEnds() []string   { return nil }

// discard discards log lines.
type discard struct{}

func (discard) Write(line []byte) (int, error) { return len(line), nil }

// gatewayNetwork is one gateway's access to the network. disconnect closes all of the gateway's
// connections and listeners and prevents new connections.
type gatewayNetwork struct {
	network *pipenet.Network

	mutex        sync.Mutex
	open         map[net.Conn]bool
	listeners    []net.Listener
	disconnected bool
}

var errKilled = errors.New("the gateway was killed")

func (n *gatewayNetwork) Listen(network, address string) (net.Listener, error) {
	listener, err := n.network.Listen(network, address)
	if err != nil {
		return nil, err
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.listeners = append(n.listeners, listener)
	return trackedListener{Listener: listener, network: n}, nil
}

func (n *gatewayNetwork) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	// The delay stands for the time that a real connection takes. Without it, a gateway that
	// can't connect would retry forever without the virtual clock advancing.
	sleep(ctx, time.Millisecond)
	conn, err := n.network.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return n.track(conn)
}

func (n *gatewayNetwork) track(conn net.Conn) (net.Conn, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.disconnected {
		_ = conn.Close()
		return nil, errKilled
	}
	n.open[conn] = true
	return trackedConn{Conn: conn, network: n}, nil
}

func (n *gatewayNetwork) disconnect() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.disconnected = true
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
	for conn := range n.open {
		_ = conn.Close()
	}
}

type trackedListener struct {
	net.Listener
	network *gatewayNetwork
}

func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.track(conn)
}

type trackedConn struct {
	net.Conn
	network *gatewayNetwork
}

func (c trackedConn) Close() error {
	c.network.mutex.Lock()
	delete(c.network.open, c.Conn)
	c.network.mutex.Unlock()
	return c.Conn.Close()
}
