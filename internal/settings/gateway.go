package settings

import (
	"fmt"
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/tomlfile"
)

// Gateway tunes a gateway.
type Gateway struct {
	// RetryRatio and RetryExtra bound the retries that all gateways together make
	// for one service in any time window: RetryRatio times its requests plus
	// RetryExtra. Higher values hide more failures from callers and put more load
	// on a failing service. Defaults 0.2 and 20; from 0 to 10 and to 1e6.
	RetryRatio *float64 `toml:"retry_ratio"`
	RetryExtra *float64 `toml:"retry_extra"`
	// LoadMultiple bounds the load of a back end that caches prefixes, in multiples
	// of its pool's mean load. The gateway aims lower, because the loads that it
	// knows are out of date. Lower values balance the pool more evenly, and more
	// prompts are processed again. Default 2; from 1 to 10.
	LoadMultiple float64 `toml:"load_multiple"`
	// LoadSlack is the number of requests by which the load of such a back end may
	// exceed that multiple. Default 3; from 0 to 100.
	LoadSlack *float64 `toml:"load_slack"`
	// LeavingBound is the time after which a back end that is known to have left
	// must not get new requests. If at least half of a pool, and at least two of its
	// back ends, disappear from the list unannounced, they stay in use for 7/10 of
	// this time, at most 2s. Higher values bridge longer gaps in the store's list.
	// Default 2s; from 100ms to 10m.
	LeavingBound tomlfile.Duration `toml:"leaving_bound"`
	// EvacuationBound is the time after which the back ends of a zone that operators
	// evacuate must not get new requests. 0, the default, is for platforms without
	// evacuation orders: gateways neither read them nor wait for them before they are
	// ready. Otherwise from 100ms to 10m.
	EvacuationBound tomlfile.Duration `toml:"evacuation_bound"`
	// FirstStart is true if the fleet starts for the first time. Otherwise one of the
	// gateways that start reads the store's history, in one call or a few, to find zones
	// that were restored recently. It is believed only while the store has no record of
	// an earlier start, so it may stay set. Default false.
	FirstStart bool `toml:"first_start"`
	// WarmUpOverage and WarmUpExtra bound the requests that a back end gets from all
	// gateways together while it warms up: in any second, WarmUpOverage times its
	// service's warm-up rate plus WarmUpExtra. With higher values more requests are
	// served while many back ends start, but the requests may overload them.
	// Defaults 1 and 0; from 0 to 100 and to 1e6.
	WarmUpOverage *float64 `toml:"warm_up_overage"`
	WarmUpExtra   float64  `toml:"warm_up_extra"`
	// ExposureShare and ExposureExtra bound the requests that a bad version gets from all
	// gateways together during a rollout: over the whole time of the operators' order, the
	// fraction ExposureShare of the service's requests plus ExposureExtra. With higher values
	// a bad version is found sooner and harms more callers. 0 for both, the default, is for
	// platforms without rollout orders: gateways neither read them nor wait for them before
	// they are ready. From 0 to 1 and to 1e6.
	ExposureShare float64 `toml:"exposure_share"`
	ExposureExtra float64 `toml:"exposure_extra"`
	// BackupShare is the fraction of the long streams that may not be repeated whose memory a
	// second engine gets although the first one isn't suspect. More streams survive a crash with a
	// higher value, and engines spend more on copies. Default 0; from 0 to 1.
	BackupShare float64 `toml:"backup_share"`
	// ReadPeriod is the time between two plain reads of the same list of the store by
	// any of the gateways that read it, in addition to their watches. With both
	// evacuation and rollout orders that time is half as long again, and a long list of
	// back ends is read less often; see follower.Config. Lower values find sooner what a
	// watch missed and cost more calls.
	// Default two fifths of LeavingBound or EvacuationBound, whichever is shorter: two
	// read periods and the propagation through the fleet then fit within the bound.
	// From 100ms to 1m.
	ReadPeriod tomlfile.Duration `toml:"read_period"`
	// ProcessorShare is the number of processor cores that the gateway may use, which
	// may be a fraction. In a large fleet the gateways with the highest share in a zone
	// collect the loads of the others. Default 1; from 0.01 to 1024.
	ProcessorShare float64 `toml:"processor_share"`
	// MemoryMegabytes is the memory that the process may use. The garbage collector aims to
	// keep what the Go runtime uses below 7/10 of it. The data buffered for callers and back
	// ends that read slowly is limited to 1/8 of it; beyond that limit back ends wait and new
	// requests are refused. Clients' connections and heads are bounded by it too, see MaxDescriptors. 0, the default, sets no limit. Otherwise from 32 to 1048576.
	MemoryMegabytes int `toml:"memory_megabytes"`
	// MaxDescriptors is the number of descriptors that the process may open, for files and connections. Clients'
	// connections may use a part of them; docs/OPERATIONS.md has the shares. 0, the default, means the process's
	// limit, which applies in any case. Otherwise from 64 to 16777216.
	MaxDescriptors int `toml:"max_descriptors"`
	// Disable lists mechanisms to switch off; see dispatch.Mechanisms. Switching one off
	// breaks a promise to callers or makes the service worse. It is for runs that show
	// that a check detects this, or what a mechanism contributes. Default none.
	Disable []string `toml:"disable"`
}

// bufferDivisor sets the buffer limit to 1/bufferDivisor of the memory. The rest is for the
// process itself, its connections and the slack of the garbage collector: an idle gateway in a
// fleet of hundreds uses 48 MB, and each connection some 20 KB.
const bufferDivisor = 8

// BufferBytes returns the limit on the data that the gateway buffers for callers and back ends;
// 0 means no limit.
func (g *Gateway) BufferBytes() int64 { return int64(g.MemoryMegabytes) << 20 / bufferDivisor }

// RolloutsEnabled reports whether operators may move services to other versions.
func (g *Gateway) RolloutsEnabled() bool { return g.ExposureShare > 0 || g.ExposureExtra > 0 }

// Disabled returns the mechanisms in Disable as a set.
func (g *Gateway) Disabled() dispatch.Disabled {
	set := dispatch.Disabled{}
	for _, name := range g.Disable {
		set[dispatch.Mechanism(name)] = true
	}
	return set
}

// Defaults and limits of a gateway's settings.
const (
	defaultRetryRatio   = 0.2
	defaultRetryExtra   = 20
	defaultLoadMultiple = 2
	defaultLoadSlack    = 3
	defaultLeavingBound = 2 * time.Second
	// defaultWarmUpOverage allows exactly the warm-up rate of a service.
	defaultWarmUpOverage = 1
	maxWarmUpOverage     = 100
	maxWarmUpExtra       = 1e6
	maxExposureExtra     = 1e6
	minMemoryMegabytes   = 32
	maxMemoryMegabytes   = 1 << 20
	minDescriptors       = 64
	maxDescriptors       = 1 << 24
	// The processor shares are in cores.
	defaultProcessorShare = 1
	minProcessorShare     = 0.01
	maxProcessorShare     = 1024
	maxReadPeriod         = time.Minute
	// readPeriodFifths is the default read period in fifths of LeavingBound or
	// EvacuationBound, whichever is shorter.
	readPeriodFifths = 2
	maxLeavingBound  = 10 * time.Minute
	minReadPeriod    = 100 * time.Millisecond
	maxLoadMultiple  = 10
	maxLoadSlack     = 100
	maxRetryRatio    = 10
	maxRetryExtra    = 1e6
)

func (g *Gateway) applyDefaults() {
	g.RetryRatio = withDefault(g.RetryRatio, defaultRetryRatio)
	g.RetryExtra = withDefault(g.RetryExtra, defaultRetryExtra)
	g.LoadSlack = withDefault(g.LoadSlack, defaultLoadSlack)
	g.WarmUpOverage = withDefault(g.WarmUpOverage, defaultWarmUpOverage)
	if g.LoadMultiple == 0 {
		g.LoadMultiple = defaultLoadMultiple
	}
	if g.ProcessorShare == 0 {
		g.ProcessorShare = defaultProcessorShare
	}
	if g.LeavingBound == 0 {
		g.LeavingBound = tomlfile.Duration(defaultLeavingBound)
	}
	if g.ReadPeriod == 0 {
		bound := g.LeavingBound
		if g.EvacuationBound > 0 {
			bound = min(bound, g.EvacuationBound)
		}
		g.ReadPeriod = min(max(bound*readPeriodFifths/5, tomlfile.Duration(minReadPeriod)), tomlfile.Duration(maxReadPeriod))
	}
}

func withDefault(value *float64, fallback float64) *float64 {
	if value == nil {
		return &fallback
	}
	return value
}

func (c *checker) checkGateway(s *Settings) {
	c.address("listen.callers", s.Listen.Callers)
	if s.Platform.URL == "" {
		c.add("platform.url", "is missing", "name the platform's store, which lists routes and back ends")
	}
	if s.Listen.Metrics != "" {
		c.address("listen.metrics", s.Listen.Metrics)
	}
	for _, name := range s.Gateway.Disable {
		if !slices.Contains(dispatch.Mechanisms(), dispatch.Mechanism(name)) {
			c.add("gateway.disable", fmt.Sprintf("%q is unknown", name), fmt.Sprintf("leave it empty, or name some of %v", dispatch.Mechanisms()))
		}
	}
	g := s.Gateway
	c.number("gateway.retry_ratio", *g.RetryRatio, 0, maxRetryRatio)
	c.number("gateway.retry_extra", *g.RetryExtra, 0, maxRetryExtra)
	c.number("gateway.load_multiple", g.LoadMultiple, 1, maxLoadMultiple)
	c.number("gateway.load_slack", *g.LoadSlack, 0, maxLoadSlack)
	c.number("gateway.processor_share", g.ProcessorShare, minProcessorShare, maxProcessorShare)
	c.duration("gateway.leaving_bound", g.LeavingBound, minReadPeriod, maxLeavingBound)
	c.number("gateway.warm_up_overage", *g.WarmUpOverage, 0, maxWarmUpOverage)
	c.number("gateway.warm_up_extra", g.WarmUpExtra, 0, maxWarmUpExtra)
	c.number("gateway.exposure_share", g.ExposureShare, 0, 1)
	c.number("gateway.backup_share", g.BackupShare, 0, 1)
	c.number("gateway.exposure_extra", g.ExposureExtra, 0, maxExposureExtra)
	if g.MemoryMegabytes != 0 {
		c.number("gateway.memory_megabytes", float64(g.MemoryMegabytes), minMemoryMegabytes, maxMemoryMegabytes)
	}
	if g.MaxDescriptors != 0 {
		c.number("gateway.max_descriptors", float64(g.MaxDescriptors), minDescriptors, maxDescriptors)
	}
	if g.EvacuationBound != 0 {
		c.duration("gateway.evacuation_bound", g.EvacuationBound, minReadPeriod, maxLeavingBound)
	}
	c.duration("gateway.read_period", g.ReadPeriod, minReadPeriod, maxReadPeriod)
}

func (c *checker) number(field string, value, low, high float64) {
	// The negated form also rejects NaN.
	if !(value >= low && value <= high) {
		c.add(field, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("write a value from %v to %v", low, high))
	}
}
