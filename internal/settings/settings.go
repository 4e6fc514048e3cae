// Package settings reads the daemon's settings file.
package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/membership"
	"github.com/harriernotch/harriernotch/internal/tomlfile"
)

// Roles in a settings file.
const (
	RoleRouter  = "router"
	RoleAgent   = "agent"
	RoleGateway = "gateway"
)

// Settings is the daemon's TOML file.
type Settings struct {
	// Role is "router", "agent" or "gateway". A gateway is a router that sends
	// requests directly to back ends. It reads the routes and back ends from the
	// platform's store and needs neither agents nor bundles, and hence neither
	// ClusterKey nor TrustedKeys.
	Role string `toml:"role"`
	// ID is the node's ID, unique in the fleet. An agent has the ID of its back end
	// in the bundle.
	ID string `toml:"id"`
	// Region and Zone are the location of the machine.
	Region string `toml:"region"`
	Zone   string `toml:"zone"`
	// ClusterKey is the secret that all nodes share: 64 hex digits.
	ClusterKey string `toml:"cluster_key"`
	// TrustedKeys are the operators' Ed25519 public keys in base64. A bundle
	// that none of them signed is refused.
	TrustedKeys []string `toml:"trusted_keys"`
	// Seeds are the peer addresses that a node contacts first after it starts.
	Seeds []string `toml:"seeds"`
	// HopProtocol is the HTTP version between routers and agents: "http1" or
	// "http2". Default "http1"; see docs/DESIGN.md for the measurement.
	HopProtocol hop.Protocol `toml:"hop_protocol"`
	// Listen are the addresses to serve on.
	Listen Listen `toml:"listen"`
	// Platform locates the platform's services.
	Platform Platform `toml:"platform"`
	// Router is for routers; gateways use its MaxBodyBytes too.
	Router Router `toml:"router"`
	// Agent is for agents only.
	Agent Agent `toml:"agent"`
	// Gateway is for gateways only.
	Gateway Gateway `toml:"gateway"`
	// Log configures the node's log.
	Log Log `toml:"log"`
	// DrainDelay is how long a stopping router or gateway keeps accepting requests
	// after its readiness check fails, so that the load balancer can notice.
	// Default 5s.
	DrainDelay tomlfile.Duration `toml:"drain_delay"`
	// DrainTimeout bounds a stop, including DrainDelay. Requests that are still in
	// flight then are cut off; a gateway cuts them off 400ms earlier, so that it ends
	// within DrainTimeout. Default 10m.
	DrainTimeout tomlfile.Duration `toml:"drain_timeout"`
}

// Listen are IP addresses with ports.
type Listen struct {
	// Callers is the listener of a router or gateway for callers.
	Callers string `toml:"callers"`
	// Peers is the listener for other nodes.
	Peers string `toml:"peers"`
	// Admin serves health, metrics, status and commands of operators. Keep it off
	// public networks.
	Admin string `toml:"admin"`
	// Metrics is an additional listener of a gateway that serves only /metrics, for
	// scrapers that use the same port on every machine. If it can't be opened, the
	// gateway serves without it. Default none.
	Metrics string `toml:"metrics"`
}

// Platform locates the platform's services.
type Platform struct {
	// URL is the base URL of the object API and the machine list; empty if there is
	// no platform.
	URL string `toml:"url"`
}

// Router tunes a router.
type Router struct {
	// MaxBodyBytes limits the body of a caller's request. A gateway uses it if the
	// platform's configuration sets no limit. Default 8 MiB.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// DefaultTimeout is the timeout of a request that doesn't set one. Default 60s.
	DefaultTimeout tomlfile.Duration `toml:"default_timeout"`
	// MaxTimeout limits the timeout that a caller may set. Default 10m.
	MaxTimeout tomlfile.Duration `toml:"max_timeout"`
}

// Agent tunes an agent.
type Agent struct {
	// BackEnd is the base URL of the engine or plain service.
	BackEnd string `toml:"back_end"`
}

// Log configures the log.
type Log struct {
	// Level is "debug", "info", "warning" or "error". Default "info".
	Level string `toml:"level"`
	// Format is "text" or "json". Default "text".
	Format string `toml:"format"`
}

// Defaults and limits of the settings.
const (
	defaultMaxBody      = 8 << 20
	maxMaxBody          = 256 << 20
	defaultTimeout      = time.Minute
	defaultMaxTimeout   = 10 * time.Minute
	defaultDrainDelay   = 5 * time.Second
	defaultDrainTimeout = 10 * time.Minute
	maxTimeout          = 24 * time.Hour
	clusterKeyBytes     = 32
)

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(failure.InvalidSettings, err, "can't read the settings file")
	}
	return Parse(path, data)
}

// Parse parses and checks settings. The error lists every problem with its file, line,
// field and remedy.
func Parse(file string, data []byte) (*Settings, error) {
	settings := &Settings{}
	document, err := tomlfile.Decode(file, data, settings)
	if err != nil {
		return nil, failure.Wrap(failure.InvalidSettings, err, "the settings can't be used")
	}
	settings.applyDefaults()
	c := &checker{document: document}
	c.checkAll(settings)
	if err := c.problems.Err(); err != nil {
		return nil, failure.Wrap(failure.InvalidSettings, err, "the settings can't be used")
	}
	return settings, nil
}

func (s *Settings) applyDefaults() {
	if s.HopProtocol == "" {
		s.HopProtocol = hop.HTTP1
	}
	if s.DrainDelay == 0 {
		s.DrainDelay = tomlfile.Duration(defaultDrainDelay)
	}
	if s.DrainTimeout == 0 {
		s.DrainTimeout = tomlfile.Duration(defaultDrainTimeout)
	}
	if s.Router.MaxBodyBytes == 0 {
		s.Router.MaxBodyBytes = defaultMaxBody
	}
	if s.Router.DefaultTimeout == 0 {
		s.Router.DefaultTimeout = tomlfile.Duration(defaultTimeout)
	}
	if s.Router.MaxTimeout == 0 {
		s.Router.MaxTimeout = tomlfile.Duration(defaultMaxTimeout)
	}
	s.Gateway.applyDefaults()
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Log.Format == "" {
		s.Log.Format = "text"
	}
}

// checker collects the problems of a settings file.
type checker struct {
	document *tomlfile.Document
	problems tomlfile.Problems
}

func (c *checker) add(field, fault, remedy string) {
	c.problems = append(c.problems, c.document.Problem(field, fault, remedy))
}

func (c *checker) checkAll(s *Settings) {
	if s.Role != RoleRouter && s.Role != RoleAgent && s.Role != RoleGateway {
		c.add("role", fmt.Sprintf("%q is unknown", s.Role), `write "router", "agent" or "gateway"`)
	}
	c.required("id", s.ID, "name this node; an agent's name is its back end's in the bundle")
	c.required("zone", s.Zone, "name the zone of this machine")
	if s.Role != RoleGateway {
		c.checkKeys(s)
	}
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.admin", s.Listen.Admin)
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("seeds.%d", i), seed)
	}
	if s.Platform.URL != "" {
		c.url("platform.url", s.Platform.URL)
	}
	if s.HopProtocol != hop.HTTP1 && s.HopProtocol != hop.HTTP2 {
		c.add("hop_protocol", fmt.Sprintf("%q is unknown", s.HopProtocol), `write "http1" or "http2"`)
	}
	c.duration("drain_delay", s.DrainDelay, time.Millisecond, maxTimeout)
	c.duration("drain_timeout", s.DrainTimeout, time.Second, maxTimeout)
	c.checkLog(s.Log)
	if s.Role == RoleRouter {
		c.checkRouter(s)
	}
	if s.Role == RoleAgent {
		c.checkAgent(s)
	}
	if s.Role == RoleGateway {
		c.checkGateway(s)
	}
}

func (c *checker) checkKeys(s *Settings) {
	if raw, err := hex.DecodeString(s.ClusterKey); err != nil || len(raw) != clusterKeyBytes {
		c.add("cluster_key", "is not 64 hex digits", "write the same random key on every node; `openssl rand -hex 32` makes one")
	}
	if len(s.TrustedKeys) == 0 {
		c.add("trusted_keys", "there is none", "list the public key that `harriernotch bundle init` printed")
	}
	for i, text := range s.TrustedKeys {
		if raw, err := base64.StdEncoding.DecodeString(text); err != nil || len(raw) != ed25519.PublicKeySize {
			c.add(fmt.Sprintf("trusted_keys.%d", i), "is not an Ed25519 public key in base64", "copy the key that `harriernotch bundle init` printed")
		}
	}
}

func (c *checker) checkLog(log Log) {
	switch log.Level {
	case "debug", "info", "warning", "error":
	default:
		c.add("log.level", fmt.Sprintf("%q is unknown", log.Level), `write "debug", "info", "warning" or "error"`)
	}
	if log.Format != "text" && log.Format != "json" {
		c.add("log.format", fmt.Sprintf("%q is unknown", log.Format), `write "text" or "json"`)
	}
}

func (c *checker) checkRouter(s *Settings) {
	c.address("listen.callers", s.Listen.Callers)
	if s.Router.MaxBodyBytes < 1 || s.Router.MaxBodyBytes > maxMaxBody {
		c.add("router.max_body_bytes", fmt.Sprintf("%d is out of range", s.Router.MaxBodyBytes), fmt.Sprintf("write a value from 1 to %d", maxMaxBody))
	}
	c.duration("router.default_timeout", s.Router.DefaultTimeout, time.Millisecond, maxTimeout)
	c.duration("router.max_timeout", s.Router.MaxTimeout, s.Router.DefaultTimeout.Std(), maxTimeout)
	if s.Agent.BackEnd != "" {
		c.add("agent.back_end", "is for agents", "remove it")
	}
}

func (c *checker) checkAgent(s *Settings) {
	c.url("agent.back_end", s.Agent.BackEnd)
	if s.Listen.Callers != "" {
		c.add("listen.callers", "is for routers", "remove it")
	}
}

func (c *checker) required(field, value, remedy string) {
	if value == "" {
		c.add(field, "is missing", remedy)
	}
}

func (c *checker) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(field, fmt.Sprintf("%q is not an IP address and port", value), `write one such as "10.0.0.1:7300"`)
	}
}

func (c *checker) url(field, value string) {
	parsed, err := url.Parse(value)
	if err == nil {
		_, err = netip.ParseAddrPort(parsed.Host)
	}
	if err != nil || parsed.Scheme != "http" {
		c.add(field, fmt.Sprintf("%q is not an HTTP URL with an IP address and port", value), `write one such as "http://10.0.0.1:8500"`)
	}
}

func (c *checker) duration(field string, value tomlfile.Duration, low, high time.Duration) {
	if value.Std() < low || value.Std() > high {
		c.add(field, fmt.Sprintf("%v is out of range", value.Std()), fmt.Sprintf("write a duration from %v to %v", low, high))
	}
}

// ClusterKeyBytes returns the decoded cluster key.
func (s *Settings) ClusterKeyBytes() []byte {
	// Parse has verified the digits.
	raw, _ := hex.DecodeString(s.ClusterKey)
	return raw
}

// PublicKeys returns the decoded trusted keys.
func (s *Settings) PublicKeys() []ed25519.PublicKey {
	keys := make([]ed25519.PublicKey, len(s.TrustedKeys))
	for i, text := range s.TrustedKeys {
		// Parse has verified the encoding.
		raw, _ := base64.StdEncoding.DecodeString(text)
		keys[i] = raw
	}
	return keys
}

// Identity returns the identity of a router or agent in the control plane.
func (s *Settings) Identity() coordination.Identity {
	role := membership.RoleAgent
	if s.Role == RoleRouter {
		role = membership.RoleRouter
	}
	return coordination.Identity{
		ID: s.ID, Role: role, Address: s.Listen.Peers, Region: s.Region, Zone: s.Zone, Seeds: s.Seeds,
	}
}
