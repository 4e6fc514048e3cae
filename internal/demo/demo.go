// Package demo runs a small complete fleet in one process, with stand-ins for the platform, the
// engines and a plain service.
package demo

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/daemon"
	"github.com/harriernotch/harriernotch/internal/objectstore"
	"github.com/harriernotch/harriernotch/internal/settings"
	"github.com/harriernotch/harriernotch/internal/standin"
)

// Names in the demo's bundle.
const (
	Model       = "demo-model"
	ServicePath = "/exercises/"
	Tenant      = "demo-school"

	engineCount  = 2
	serviceCount = 1
	// readyTimeout bounds the time until the fleet is ready.
	readyTimeout = 20 * time.Second
)

// Fleet is a running demo.
type Fleet struct {
	// Key is the demo tenant's bearer key.
	Key string
	// Address is the address of the router's listener for callers.
	Address string
	// AdminAddress is the address of the router's admin listener.
	AdminAddress string

	nodes    []*daemon.Node
	standIns []*http.Server
	// opened holds the listeners of nodes that haven't started yet.
	opened openListeners
}

// backEnd is the ID and address of one stand-in, with the address of its agent.
type backEnd struct {
	id      string
	address string
	agent   string
}

// Start starts the fleet and waits until it is ready. The router listens for callers on the address.
func Start(ctx context.Context, listen string, log logrus.FieldLogger) (*Fleet, error) {
	fleet := &Fleet{Key: randomHex(16), opened: openListeners{}}
	defer fleet.opened.close()
	store := standin.NewPlatform()
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate a signing key")
	}
	engines, services, err := fleet.startBackEnds()
	if err != nil {
		return nil, err
	}
	if err := publish(ctx, store, private, document(fleet.Key, engines, services)); err != nil {
		return nil, err
	}
	common := commonSettings(randomHex(32), public)
	if err := fleet.startNodes(common, listen, append(engines, services...), store, log); err != nil {
		fleet.Stop(ctx)
		return nil, err
	}
	return fleet, fleet.awaitReady(ctx)
}

func (f *Fleet) startBackEnds() (engines, services []backEnd, err error) {
	for i := range engineCount {
		engine := standin.NewEngine(standin.EngineConfig{Models: []string{Model}})
		entry, err := f.startBackEnd(fmt.Sprintf("engine-%d", i+1), engine.Handler())
		if err != nil {
			return nil, nil, err
		}
		engines = append(engines, entry)
	}
	for i := range serviceCount {
		entry, err := f.startBackEnd(fmt.Sprintf("exercises-%d", i+1), &standin.Service{})
		if err != nil {
			return nil, nil, err
		}
		services = append(services, entry)
	}
	return engines, services, nil
}

func (f *Fleet) startBackEnd(id string, handler http.Handler) (backEnd, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return backEnd{}, errors.Wrap(err, "open a stand-in's listener")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	f.standIns = append(f.standIns, server)
	go func() { _ = server.Serve(listener) }()
	// The bundle names the agents' addresses and is published before the agents start. Their
	// listeners are therefore opened here.
	agent, err := f.opened.open(anyPort)
	if err != nil {
		return backEnd{}, err
	}
	return backEnd{id: id, address: listener.Addr().String(), agent: agent[0]}, nil
}

func document(key string, engines, services []backEnd) string {
	text := fmt.Sprintf(`format = 1

[[tenants]]
name = %q
key_sha256 = [%q]

[[pools]]
name = "model"
kind = "engine"
models = [%q]
affinity_wait = "200ms"
`, Tenant, bundle.HashKey(key), Model)
	text += backEndTables(engines)
	text += fmt.Sprintf(`
[[pools]]
name = "exercises"
kind = "service"
path_prefix = %q
`, ServicePath)
	return text + backEndTables(services)
}

func backEndTables(list []backEnd) string {
	text := ""
	for _, entry := range list {
		text += fmt.Sprintf("\n[[pools.back_ends]]\nid = %q\nagent = %q\nzone = \"demo\"\n", entry.id, entry.agent)
	}
	return text
}

func publish(ctx context.Context, store objectstore.Objects, key ed25519.PrivateKey, text string) error {
	header := bundle.Header{Number: 1, Identifier: uuid.NewString(), SignedAtMillis: time.Now().UnixMilli(), Note: "demo"}
	raw, err := bundle.Sign(header, []byte(text), key)
	if err != nil {
		return errors.Wrap(err, "sign the demo's bundle")
	}
	public, _ := key.Public().(ed25519.PublicKey)
	_, err = objectstore.NewPublisher(store, []ed25519.PublicKey{public}, time.Now).Publish(ctx, raw)
	return err
}

func commonSettings(clusterKey string, public ed25519.PublicKey) string {
	return fmt.Sprintf(`region = "demo"
zone = "demo"
cluster_key = %q
trusted_keys = [%q]
drain_delay = "1s"
drain_timeout = "30s"
`, clusterKey, base64.StdEncoding.EncodeToString(public))
}

func (f *Fleet) startNodes(common, listen string, backEnds []backEnd, store objectstore.Client, log logrus.FieldLogger) error {
	routerPeers, err := f.opened.open(anyPort)
	if err != nil {
		return err
	}
	text := common + fmt.Sprintf(`role = "router"
id = "router-1"
[listen]
callers = %q
peers = %q
admin = "127.0.0.1:0"
`, listen, routerPeers[0])
	routerNode, err := f.startNode("router-1", text, store, log)
	if err != nil {
		return err
	}
	f.Address = routerNode.CallersAddress()
	f.AdminAddress = routerNode.AdminAddress()
	for _, entry := range backEnds {
		text := common + fmt.Sprintf(`role = "agent"
id = %q
seeds = [%q]
[listen]
peers = %q
admin = "127.0.0.1:0"
[agent]
back_end = "http://%s"
`, entry.id, routerPeers[0], entry.agent, entry.address)
		if _, err := f.startNode(entry.id, text, store, log); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startNode(name, text string, store objectstore.Client, log logrus.FieldLogger) (*daemon.Node, error) {
	parsed, err := settings.Parse(name, []byte(text))
	if err != nil {
		return nil, err
	}
	node, err := daemon.Start(parsed, daemon.Environment{Platform: store, Listen: f.opened.take, Log: log})
	if err != nil {
		return nil, err
	}
	f.nodes = append(f.nodes, node)
	return node, nil
}

// awaitReady waits until every node is ready.
func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		ready := 0
		for _, node := range f.nodes {
			if node.Ready() {
				ready++
			}
		}
		if ready == len(f.nodes) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Errorf("%d of %d nodes are ready after %v", ready, len(f.nodes), readyTimeout)
		}
	}
}

// Stop drains the routers first, then the agents, then ends the stand-ins.
func (f *Fleet) Stop(ctx context.Context) {
	for _, node := range f.nodes {
		node.Stop(ctx)
	}
	for _, server := range f.standIns {
		_ = server.Close()
	}
}

func randomHex(size int) string {
	raw := make([]byte, size)
	_, _ = rand.Read(raw) // never fails; see crypto/rand
	return hex.EncodeToString(raw)
}
