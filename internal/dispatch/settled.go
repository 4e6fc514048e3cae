package dispatch

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// While at least one gateway lives, the others learn from it which routes are uniform. If all are lost
// together, that knowledge would be, too. So the platform's store has a record of each service whose
// resumable routes are uniform, from when they are until something changes: one write for each change, not
// for each stream.

// SettledService is a service whose resumable routes are uniform.
type SettledService struct {
	Service string
	Version string
	// Identity identifies the version together with all routes whose streams may be resumed there. What
	// changes while no gateway runs gives another identity.
	Identity string
	// Era is the era of the store in which it was recorded. A record of an earlier era is one of the copy from
	// which the store was restored, and what has changed since then is unknown.
	Era uint64
}

// settledNames are the names of records of settled services, of which each is an identity.
var settledNames = regexp.MustCompile(`^[0-9a-z-]+$`)

// IsSettledName reports whether a record of a settled service may have the name.
func IsSettledName(name string) bool { return settledNames.MatchString(name) }

// SettledServices returns the settled services, ordered by name.
func (c *Core) SettledServices(now time.Time) []SettledService {
	return c.servicesOf(func(u uniformity) bool { return u.lasted(now) })
}

// UnchangedServices returns the services, ordered by name, that run one version and of which this gateway has
// seen no change that their streams may have outlasted. Each is as its record has to describe it: the settled
// ones, and those that this gateway hasn't known for long enough to tell. Any other record in the store is
// outdated, also one of a service to which no route leads any more: its streams began elsewhere since.
func (c *Core) UnchangedServices(now time.Time) []SettledService {
	return c.servicesOf(func(u uniformity) bool { return !u.isMixed(now) })
}

// servicesOf returns the services, ordered by name, to which resumable routes lead that all fulfil the condition.
func (c *Core) servicesOf(fulfils func(u uniformity) bool) []SettledService {
	var services []SettledService
	for _, service := range slices.Sorted(maps.Keys(c.streamLives)) {
		routes := c.resumableRoutesTo(service)
		isExcluded := func(route string) bool { return !fulfils(c.uniformity(route, service)) }
		if len(routes) > 0 && !slices.ContainsFunc(routes, isExcluded) {
			services = append(services, c.settledService(service, routes))
		}
	}
	return services
}

// resumableRoutesTo returns the names of the routes whose streams may be resumed at the service, in order.
func (c *Core) resumableRoutesTo(service string) []string {
	var routes []string
	for name := range c.routeHistories {
		if c.uniformity(name, service).known {
			routes = append(routes, name)
		}
	}
	slices.Sort(routes)
	return routes
}

func (c *Core) settledService(service string, routes []string) SettledService {
	version := c.versionHistories[service].version
	var text strings.Builder
	fmt.Fprintf(&text, "%q %q", service, version)
	for _, route := range routes {
		fmt.Fprintf(&text, " %q", route)
		for _, target := range c.routeHistories[route].targets {
			fmt.Fprintf(&text, " %q %d", target.Service, target.Weight)
		}
	}
	return SettledService{Service: service, Version: version, Identity: fmt.Sprintf("%016x", xxhash.Sum64String(text.String()))}
}

// SettleRecorded settles the services whose record the store has, unless this gateway has seen a change.
func (c *Core) SettleRecorded(now time.Time, recorded []SettledService) {
	for service := range c.streamLives {
		routes := c.resumableRoutesTo(service)
		known := c.settledService(service, routes)
		isRecorded := slices.ContainsFunc(recorded, func(each SettledService) bool { return each.Identity == known.Identity })
		if !isRecorded {
			continue
		}
		for _, route := range routes {
			c.SettleRoute(now, OriginQuestion{Route: route, Service: service}, OriginAnswer{Uniform: true, OnlyVersion: known.Version})
		}
	}
}

// AssumeFirstStart makes the core count everything that it learns of first, and has learned so far, as unchanged
// for long: the fleet starts for the first time, so no stream has begun before.
func (c *Core) AssumeFirstStart(now time.Time) {
	c.isFirstStart = true
	if c.routeHistories != nil {
		c.configuredSince = c.firstSince(now)
	}
	for name, history := range c.routeHistories {
		if history.first {
			history.since = c.firstSince(now)
			c.routeHistories[name] = history
		}
	}
	for service, history := range c.versionHistories {
		if history.first {
			history.since = c.firstSince(now)
			c.versionHistories[service] = history
		}
	}
}

// firstSince returns since when what is learned of first counts as unchanged.
func (c *Core) firstSince(now time.Time) time.Time {
	if c.isFirstStart {
		return now.Add(-maxOriginLife)
	}
	return now
}
