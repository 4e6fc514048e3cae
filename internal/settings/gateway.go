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
	// RetryRatio and RetryExtra bound the further attempts that all gateways make
	// for one service in any window: RetryRatio times its requests plus
	// RetryExtra. Higher values mend more failures and load a failing service
	// more. Defaults 0.2 and 20; both from 0.
	RetryRatio *float64 `toml:"retry_ratio"`
	RetryExtra *float64 `toml:"retry_extra"`
	// LoadMultiple bounds a caching back end's load in multiples of its pool's
	// mean. The gateway aims below the bound, since it hears of loads late. Lower
	// values are more even and read more prompts anew. Default 2; from 1 to 10.
	LoadMultiple float64 `toml:"load_multiple"`
	// LoadSlack is how many requests a caching back end may have beyond that.
	// Default 3; from 0 to 100.
	LoadSlack *float64 `toml:"load_slack"`
	// LeavingBound is the time after which a back end that is known to have left
	// may get no new request. One that vanished unannounced with half of its pool
	// is used for seven tenths of it, and two seconds at most. Higher values bridge longer gaps in the
	// store's list. Default 2s; from 100ms to 10m.
	LeavingBound tomlfile.Duration `toml:"leaving_bound"`
	// EvacuationBound is the time after which the back ends of a zone that operators
	// evacuate may get nothing new. 0, the default, is for platforms without such orders:
	// nobody reads or awaits them. From 100ms to 10m.
	EvacuationBound tomlfile.Duration `toml:"evacuation_bound"`
	// FirstStart is true when the fleet starts for the first time. Otherwise one of the
	// gateways that start looks in the store's history for zones that were restored of
	// late, with a call or a few. Default false.
	FirstStart bool `toml:"first_start"`
	// WarmUpOverage and WarmUpExtra bound what a back end that warms up gets from all
	// gateways together: in any second WarmUpOverage times the rate that its service
	// names plus WarmUpExtra requests. Higher values serve more while many start, and
	// may make them fall over. Defaults 1 and 0; from 0 to 100 and to 1e6.
	WarmUpOverage *float64 `toml:"warm_up_overage"`
	WarmUpExtra   float64  `toml:"warm_up_extra"`
	// ExposureShare and ExposureExtra bound what a version that turns out bad may get while a
	// service is moved to it: in the whole time of the operators' order that part of the
	// service's requests, and so many more, from all gateways together. Higher values find a
	// bad version sooner and let it harm more callers. 0 for both, the default, is for
	// platforms without such orders: nobody reads or awaits them. From 0 to 1 and to 1e6.
	ExposureShare float64 `toml:"exposure_share"`
	ExposureExtra float64 `toml:"exposure_extra"`
	// ReadPeriod is the time between two plain reads of one of the store's lists by
	// any of the gateways that read it, beside their watches. Lower values learn sooner
	// what a watch missed and cost more calls. Default two fifths of LeavingBound or of
	// EvacuationBound, whichever is shorter, so that two reads and the way through the
	// fleet fit into it; from 100ms to 1m.
	ReadPeriod tomlfile.Duration `toml:"read_period"`
	// ProcessorShare is the part of a core that the gateway may use. In a large fleet
	// the gateways of a zone with the highest share collect the loads of the others.
	// Default 1; from 0.01 to 1024.
	ProcessorShare float64 `toml:"processor_share"`
	// MemoryMegabytes is the memory that the process may use. The collector keeps below most of
	// it, and what is held for callers and back ends that read slowly to an eighth; past that,
	// back ends wait, and new requests are refused. 0, the default, sets no bound. From 32 to
	// 1048576.
	MemoryMegabytes int `toml:"memory_megabytes"`
	// Disable names mechanisms to switch off (dispatch.Mechanisms). Each breaks a
	// promise to callers or serves them worse: it is for runs that show that a check
	// notices, or what a mechanism is worth. Default none.
	Disable []string `toml:"disable"`
}

// heldPart is the part of the memory, as one in so many, for what is held for others. The
// process itself, connections and the collector's slack take the rest: 48 MB at rest in a fleet
// of hundreds, and some 20 KB a connection.
const bufferDivisor = 8

// HeldBytes bounds what the gateway holds for callers and back ends; 0 for no bound.
func (g *Gateway) BufferBytes() int64 { return int64(g.MemoryMegabytes) << 20 / bufferDivisor }

// MovesServices tells whether operators may move services to other versions.
func (g *Gateway) RolloutsEnabled() bool { return g.ExposureShare > 0 || g.ExposureExtra > 0 }

// Disabled returns Disable as a set.
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
	// defaultWarmUpOverage keeps to the rate that a service names.
	defaultWarmUpOverage = 1
	maxWarmUpOverage     = 100
	maxWarmUpExtra       = 1e6
	maxExposureExtra     = 1e6
	minMemoryMegabytes   = 32
	maxMemoryMegabytes   = 1 << 20
	// leastProcessorShare to mostProcessorShare are cores.
	defaultProcessorShare = 1
	minProcessorShare     = 0.01
	maxProcessorShare     = 1024
	maxReadPeriod         = time.Minute
	// readFifths is the default read period in fifths of the shortest bound on news.
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
	c.number("gateway.exposure_extra", g.ExposureExtra, 0, maxExposureExtra)
	if g.MemoryMegabytes != 0 {
		c.number("gateway.memory_megabytes", float64(g.MemoryMegabytes), minMemoryMegabytes, maxMemoryMegabytes)
	}
	if g.EvacuationBound != 0 {
		c.duration("gateway.evacuation_bound", g.EvacuationBound, minReadPeriod, maxLeavingBound)
	}
	c.duration("gateway.read_period", g.ReadPeriod, minReadPeriod, maxReadPeriod)
}

func (c *checker) number(field string, value, low, high float64) {
	// Written so that NaN is out of range too.
	if !(value >= low && value <= high) {
		c.add(field, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("write a value from %v to %v", low, high))
	}
}
