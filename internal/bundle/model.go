// Package bundle holds the operators' signed and numbered configuration: its model, its checks,
// its signature, and the rule by which a node accepts it.
//
// The package does no I/O and reads no clock; times are passed in.
package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/harriernotch/harriernotch/internal/tomlfile"
)

// FormatVersion is the only document format that this version reads.
const FormatVersion = 1

// MaxSize is the maximum size of a signed bundle in bytes: the platform's limit on a value.
const MaxSize = 1 << 20

// Content is the TOML document that operators write.
type Content struct {
	// Format is the document format; it is always 1.
	Format int `toml:"format"`
	// Control holds the settings of the coordination between nodes.
	Control Control `toml:"control"`
	// Objectives are the service-level targets that the burn-rate report uses.
	Objectives Objectives `toml:"objectives"`
	// Pools group back ends that can serve the same requests.
	Pools []Pool `toml:"pools"`
	// Tenants are the callers' organisations.
	Tenants []Tenant `toml:"tenants"`

	// index maps names to positions; Parse builds it.
	index index
}

// Control holds the settings of the coordination between nodes.
type Control struct {
	// OwnershipLease is how long an agent may keep running keyed unrepeatable requests without a
	// confirmation from the platform that its bundle is the newest. A longer lease covers longer
	// platform outages, but a key that moves to another owner waits that long. Default 90m.
	OwnershipLease tomlfile.Duration `toml:"ownership_lease"`
	// ClockError is the maximum difference between two machines' clocks. Default 2s.
	ClockError tomlfile.Duration `toml:"clock_error"`
}

// Objectives are service-level targets.
type Objectives struct {
	// FirstToken is the target time to the first token. Default 1.2s.
	FirstToken tomlfile.Duration `toml:"first_token"`
	// BetweenTokens is the target time between two tokens. Default 48ms.
	BetweenTokens tomlfile.Duration `toml:"between_tokens"`
	// Fraction is the fraction of requests that must meet both targets. Default 0.95.
	Fraction float64 `toml:"fraction"`
	// AnsweredWhole is the fraction of accepted requests that must get a complete answer. Default
	// 0.999.
	AnsweredWhole float64 `toml:"answered_whole"`
}

// PoolKind is the kind of back ends in a pool.
type PoolKind string

// The kinds of pools.
const (
	// PoolEngine is a pool of model engines behind the chat API.
	PoolEngine PoolKind = "engine"
	// PoolService is a pool of plain HTTP services behind a path prefix.
	PoolService PoolKind = "service"
)

// Rounding is how a fractional load bound is rounded to an integer.
type Rounding string

// The ways to round the load bound.
const (
	// RoundUp gives more cache reuse; the load may exceed the exact multiple by less than one
	// request.
	RoundUp Rounding = "up"
	// RoundDown keeps the load at or below the exact multiple where possible, for less skew.
	RoundDown Rounding = "down"
)

// Pool is a group of back ends that can serve the same requests.
type Pool struct {
	// Name identifies the pool in logs, metrics and reports.
	Name string `toml:"name"`
	// Kind is "engine" or "service".
	Kind PoolKind `toml:"kind"`
	// Models are the model names that an engine pool serves.
	Models []string `toml:"models"`
	// PathPrefix is the path, such as "/loans/", that a service pool owns.
	PathPrefix string `toml:"path_prefix"`
	// UnrepeatableMethods are the HTTP methods of requests that a service pool must not run twice
	// unless the caller allows it. Default: POST and PATCH.
	UnrepeatableMethods []string `toml:"unrepeatable_methods"`
	// LoadMultiple is the factor c of the load bound: no back end gets more than c times the
	// pool's mean load. From 1.05 to 10; default 1.25.
	LoadMultiple float64 `toml:"load_multiple"`
	// Rounding is "up" or "down"; default "up".
	Rounding Rounding `toml:"rounding"`
	// MeanWindow is the age up to which a reported load counts fully towards the mean. An older
	// load counts as at most the mean of the loads within the window, if there are any. Default 1s.
	MeanWindow tomlfile.Duration `toml:"mean_window"`
	// AffinityWait is how long a returning chat may wait until the engine that caches its context
	// has room below the load bound. A longer wait gives more cache reuse and delays some first
	// tokens. Default 0.
	AffinityWait tomlfile.Duration `toml:"affinity_wait"`
	// MaxRunning is the number of requests that one back end runs at a time. Default 32.
	MaxRunning int `toml:"max_running"`
	// MaxQueued is the number of accepted requests that may wait at one agent. Default 64.
	MaxQueued int `toml:"max_queued"`
	// BackEnds are the pool's members.
	BackEnds []BackEnd `toml:"back_ends"`

	// memberIDs are the IDs of BackEnds; Parse fills it in.
	memberIDs []string
}

// BackEnd is one engine or plain service with its agent.
type BackEnd struct {
	// ID is unique in the whole bundle.
	ID string `toml:"id"`
	// Agent is the agent's IP address and port.
	Agent string `toml:"agent"`
	// Region and Zone are the location of the machine.
	Region string `toml:"region"`
	Zone   string `toml:"zone"`
	// Leaving withdraws the back end: it gets no new requests.
	Leaving bool `toml:"leaving"`
}

// Tenant is one organisation that sends requests, with its keys and limits.
type Tenant struct {
	// Name identifies the tenant in logs, metrics and reports.
	Name string `toml:"name"`
	// KeySHA256 are the hexadecimal SHA-256 hashes of the tenant's bearer keys.
	KeySHA256 []string `toml:"key_sha256"`
	// Weight is the tenant's relative share of capacity when requests queue. Default 1.
	Weight float64 `toml:"weight"`
	// RequestsPerSecond limits the tenant's rate in the whole fleet; 0 means no limit.
	RequestsPerSecond float64 `toml:"requests_per_second"`
	// Burst is the number of requests that may arrive at once above the rate. Default: two
	// seconds of the rate.
	Burst float64 `toml:"burst"`
}

// Defaults of the optional fields.
const (
	defaultOwnershipLease = 90 * time.Minute
	defaultClockError     = 2 * time.Second
	defaultFirstToken     = 1200 * time.Millisecond
	defaultBetweenTokens  = 48 * time.Millisecond
	defaultFraction       = 0.95
	defaultAnsweredWhole  = 0.999
	defaultLoadMultiple   = 1.25
	defaultMeanWindow     = time.Second
	defaultMaxRunning     = 32
	defaultMaxQueued      = 64
	defaultBurstSeconds   = 2
)

// applyDefaults fills in the optional fields that the document leaves out.
func (c *Content) applyDefaults() {
	setDuration(&c.Control.OwnershipLease, defaultOwnershipLease)
	setDuration(&c.Control.ClockError, defaultClockError)
	setDuration(&c.Objectives.FirstToken, defaultFirstToken)
	setDuration(&c.Objectives.BetweenTokens, defaultBetweenTokens)
	setNumber(&c.Objectives.Fraction, defaultFraction)
	setNumber(&c.Objectives.AnsweredWhole, defaultAnsweredWhole)
	for i := range c.Pools {
		c.Pools[i].applyDefaults()
	}
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		setNumber(&tenant.Weight, 1)
		setNumber(&tenant.Burst, defaultBurstSeconds*tenant.RequestsPerSecond)
	}
}

func (p *Pool) applyDefaults() {
	setNumber(&p.LoadMultiple, defaultLoadMultiple)
	setNumber(&p.MaxRunning, defaultMaxRunning)
	setNumber(&p.MaxQueued, defaultMaxQueued)
	setDuration(&p.MeanWindow, defaultMeanWindow)
	if p.Rounding == "" {
		p.Rounding = RoundUp
	}
	if p.Kind == PoolService && p.UnrepeatableMethods == nil {
		p.UnrepeatableMethods = []string{"POST", "PATCH"}
	}
}

func setDuration(field *tomlfile.Duration, value time.Duration) {
	if *field == 0 {
		*field = tomlfile.Duration(value)
	}
}

func setNumber[T int | float64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// MemberIDs returns the IDs of the pool's back ends in the bundle's order. The caller must not
// modify the list.
func (p *Pool) MemberIDs() []string { return p.memberIDs }

// Serves reports whether the pool serves the model.
func (p *Pool) Serves(model string) bool {
	for _, name := range p.Models {
		if name == model {
			return true
		}
	}
	return false
}

// IsUnrepeatable reports whether the pool's requests with the HTTP method must run at most once
// unless the caller says otherwise.
func (p *Pool) IsUnrepeatable(method string) bool {
	for _, name := range p.UnrepeatableMethods {
		if name == method {
			return true
		}
	}
	return false
}

// HashKey returns the hash under which the bundle lists a tenant's bearer key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
