// Package catalog holds a gateway's view of the fleet: the operators' configuration and orders,
// and the back ends in service. They come from several sources of different age (reads and
// watches of the platform's store, and peers). A View accepts only what is newer than what it
// holds.
//
// The package does no I/O and reads no clock.
package catalog

import (
	"time"

	"github.com/go-faster/errors"
)

// Target is a service of a route with its share of the requests.
type Target struct {
	// Service is the service's name.
	Service string `cbor:"1,keyasint"`
	// Weight is the share relative to the weights of the route's other targets.
	Weight int `cbor:"2,keyasint"`
}

// Route defines how requests for a host and path prefix are handled.
type Route struct {
	// Name is unique in a configuration.
	Name string `cbor:"1,keyasint"`
	// Host is the request's host without a port. Letter case doesn't matter.
	Host string `cbor:"2,keyasint"`
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string `cbor:"3,keyasint"`
	// Targets are the services that may run the request. There is at least one.
	Targets []Target `cbor:"4,keyasint"`
	// Repeatable is true if a request may run more than once. It doesn't apply to streams.
	Repeatable bool `cbor:"5,keyasint,omitempty"`
	// Stream is true if the answer is a stream of events.
	Stream bool `cbor:"6,keyasint,omitempty"`
	// Resumable is true if another back end may continue a stream.
	Resumable bool `cbor:"7,keyasint,omitempty"`
	// Timeout is the longest time that a request may take.
	Timeout time.Duration `cbor:"8,keyasint"`
	// Objective is the operators' latency objective: the time to the answer, or to the first
	// event of a stream.
	Objective time.Duration `cbor:"9,keyasint"`
	// PauseObjective is the operators' objective for the longest pause between two events of a
	// stream.
	PauseObjective time.Duration `cbor:"10,keyasint,omitempty"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int `cbor:"11,keyasint,omitempty"`
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts int `cbor:"12,keyasint"`
	// Public is true if requests need no key.
	Public bool `cbor:"13,keyasint,omitempty"`
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	if r.Stream {
		return r.Resumable
	}
	return r.Repeatable
}

// Service is a pool of interchangeable back ends.
type Service struct {
	// Name is unique in a configuration.
	Name string `cbor:"1,keyasint"`
	// MaxConnections is the number of connections that one back end accepts from all callers
	// together; 0 if unknown.
	MaxConnections int `cbor:"2,keyasint,omitempty"`
	// CachesPrefixes is true for model engines, which cache the prompts that they have processed.
	CachesPrefixes bool `cbor:"3,keyasint,omitempty"`
	// CacheTokens is the number of tokens that fit into the memory of one back end, for running
	// requests and cached prompts together; 0 if unknown.
	CacheTokens int `cbor:"4,keyasint,omitempty"`
	// WarmUpRate is the number of requests per second that one back end can serve, from all
	// gateways together, while it warms up. WarmUpTime is the length of the warm-up after a
	// start. Both are 0 if back ends need no warm-up.
	WarmUpRate float64       `cbor:"5,keyasint,omitempty"`
	WarmUpTime time.Duration `cbor:"6,keyasint,omitempty"`
	// TokenBytes is the size of one token in an engine's cache, in bytes, and EventTokens the
	// number of tokens in one event of a stream; 0 if unknown.
	TokenBytes  int `cbor:"7,keyasint,omitempty"`
	EventTokens int `cbor:"8,keyasint,omitempty"`
	// Backups is true if an engine can back up the memory of a running request to another one,
	// and Moves if it can move a running request to another one. A copy that is no longer written
	// to is kept for CopyLifetime.
	Backups      bool          `cbor:"9,keyasint,omitempty"`
	Moves        bool          `cbor:"10,keyasint,omitempty"`
	CopyLifetime time.Duration `cbor:"11,keyasint,omitempty"`
}

// Tenant owns API keys.
type Tenant struct {
	// Name is unique in a configuration.
	Name string `cbor:"1,keyasint"`
	// Keys are the valid API keys.
	Keys []string `cbor:"2,keyasint"`
	// Priority ranks tenants and takes precedence over the routes' priority; 0 is the most
	// urgent.
	Priority int `cbor:"3,keyasint,omitempty"`
}

// KeyPolicy is whether requests on routes that aren't public need a tenant's key. It is stated
// separately from the list of tenants, which is also empty after the last tenant was removed.
type KeyPolicy uint8

// The key policies. The values are part of the messages between gateways.
const (
	// KeyPolicyUnknown is the policy of a document that states none: gateways of earlier builds send
	// such documents.
	KeyPolicyUnknown KeyPolicy = 0
	// KeysRequired is the policy of a deployment with tenants, also while no tenant or key is left.
	KeysRequired KeyPolicy = 1
	// KeysNotRequired is the policy of a deployment that has no tenants.
	KeysNotRequired KeyPolicy = 2
)

// String returns the policy's name in logs and status.
func (p KeyPolicy) String() string {
	switch p {
	case KeysRequired:
		return "required"
	case KeysNotRequired:
		return "not_required"
	default:
		return "unknown"
	}
}

// Configuration is one version of the operators' configuration document.
type Configuration struct {
	// Version increases with every change, not always by one.
	Version uint64 `cbor:"1,keyasint"`
	// Routes, Services and Tenants are complete lists.
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Tenants  []Tenant  `cbor:"4,keyasint"`
	// Limits are the limits on requests of callers.
	Limits Limits `cbor:"5,keyasint"`
	// StatedKeyPolicy is the policy that the document states; see KeyPolicy.
	StatedKeyPolicy KeyPolicy `cbor:"6,keyasint,omitempty"`
}

// KeyPolicy returns whether requests need a key. A configuration with tenants requires keys
// regardless of what it states, and a policy that this build doesn't know counts as unknown.
func (c *Configuration) KeyPolicy() KeyPolicy {
	switch {
	case len(c.Tenants) > 0:
		return KeysRequired
	case c.StatedKeyPolicy == KeysRequired, c.StatedKeyPolicy == KeysNotRequired:
		return c.StatedKeyPolicy
	default:
		return KeyPolicyUnknown
	}
}

// Check returns an error that names the first invalid field and its remedy, or nil.
func (c *Configuration) Check() error {
	if c.Version == 0 {
		return errors.New("version is missing; set a number greater than 0")
	}
	for i := range c.Routes {
		if err := c.Routes[i].check(); err != nil {
			return errors.Wrapf(err, "route %q", c.Routes[i].Name)
		}
	}
	for _, tenant := range c.Tenants {
		if tenant.Name == "" {
			return errors.New("a tenant has no name; give it one")
		}
	}
	return nil
}

func (r *Route) check() error {
	if len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
		return errors.Errorf("path prefix %q doesn't begin and end with a slash; add the missing slash", r.Prefix)
	}
	if len(r.Targets) == 0 {
		return errors.New("targets are missing; name at least one service")
	}
	for _, target := range r.Targets {
		if target.Service == "" || target.Weight < 0 {
			return errors.Errorf("target %q with weight %d is invalid; name a service and set a weight of at least 0", target.Service, target.Weight)
		}
	}
	if r.Timeout <= 0 {
		return errors.Errorf("timeout %v is invalid; set one greater than 0", r.Timeout)
	}
	return nil
}
