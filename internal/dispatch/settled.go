package dispatch

import (
	"fmt"
	"maps"
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
}

// SettledServices returns the settled services, ordered by name.
func (c *Core) SettledServices(now time.Time) []SettledService {
	var settled []SettledService
	for _, service := range slices.Sorted(maps.Keys(c.streamLives)) {
		isSettled := true
		routes := c.resumableRoutesTo(service)
		for _, route := range routes {
			isSettled = isSettled && c.uniformity(route, service).lasted(now)
		}
		if isSettled && len(routes) > 0 {
			settled = append(settled, c.settledService(service, routes))
		}
	}
	return settled
}

// ChangedServices returns the services that aren't settled because of a change that this gateway has seen,
// or because they run several versions.
func (c *Core) ChangedServices(now time.Time) []string {
	var changed []string
	for _, service := range slices.Sorted(maps.Keys(c.streamLives)) {
		isMixed := func(route string) bool { return c.uniformity(route, service).isMixed(now) }
		if slices.ContainsFunc(c.resumableRoutesTo(service), isMixed) {
			changed = append(changed, service)
		}
	}
	return changed
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

// AssumeFirstStart makes the core count everything that it learns of first as unchanged for long: the fleet
// starts for the first time, so no stream has begun before.
func (c *Core) AssumeFirstStart() { c.isFirstStart = true }

// firstSince returns since when what is learned of first counts as unchanged.
func (c *Core) firstSince(now time.Time) time.Time {
	if c.isFirstStart {
		return now.Add(-maxOriginLife)
	}
	return now
}
