package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// A route is uniform if, for longer than any of its streams lasts, it has led to the same services and
// each of them has run one software version only. Then every stream that can be resumed began at that
// version, and its origin needs no record.

// MaxRequestTime is the upper bound on the time of a request. It also applies if the timeouts of the route and of
// the caller are longer.
const MaxRequestTime = time.Minute

// longestStreamLife is the longest time after its beginning at which any stream may be resumed. A gateway that has
// just started doesn't know what earlier configurations allowed.
const longestStreamLife = MaxRequestTime + originMargin

// versionHistory is what a gateway has seen of the versions of a service.
type versionHistory struct {
	// version is the only version of its back ends, if isOnly.
	version string
	isOnly  bool
	// since is when it became that, and first is set if it has been so since this gateway first knew
	// of the service.
	since time.Time
	first bool
}

// routeHistory is what a gateway has seen of a route whose streams may be resumed.
type routeHistory struct {
	targets []catalog.Target
	// since is when the route began to lead to the targets, and first is set if it has done so since
	// this gateway first knew of a configuration.
	since time.Time
	first bool
}

// uniformity is the history of a route and a service to which it leads.
type uniformity struct {
	known   bool
	version string
	isOnly  bool
	// since is when the route and the service last changed, and first is set if neither has, as far as
	// this gateway knows.
	since time.Time
	first bool
	// streamLife is the longest time after its beginning at which a stream may be resumed, by the
	// configurations that this gateway has seen since configuredSince.
	streamLife      time.Duration
	configuredSince time.Time
}

// lasted reports whether the route is uniform.
func (u uniformity) lasted(now time.Time) bool {
	return u.isUnchangedFor(now, u.streamLife) && (now.Sub(u.configuredSince) >= longestStreamLife || u.isUnchangedFor(now, longestStreamLife))
}

// isMixed reports whether the route is known not to be uniform.
func (u uniformity) isMixed(now time.Time) bool {
	return u.known && (!u.isOnly || !u.first && !u.isUnchangedFor(now, u.streamLife))
}

func (u uniformity) isUnchangedFor(now time.Time, span time.Duration) bool {
	return u.known && u.isOnly && now.Sub(u.since) >= span
}

func (c *Core) uniformity(route, service string) uniformity {
	ofRoute, knowsRoute := c.routeHistories[route]
	ofService, knowsService := c.versionHistories[service]
	if !knowsRoute || !knowsService || !slices.ContainsFunc(ofRoute.targets, func(each catalog.Target) bool { return each.Service == service }) {
		return uniformity{}
	}
	result := uniformity{
		known: true, version: ofService.version, isOnly: ofService.isOnly, since: ofService.since,
		first: ofRoute.first && ofService.first, streamLife: c.streamLives[service], configuredSince: c.configuredSince,
	}
	if ofRoute.since.After(result.since) {
		result.since = ofRoute.since
	}
	return result
}

// needsOrigin reports whether the exchange's stream, which has begun, needs a record of its origin. A back
// end that isn't listed any more may still begin streams for a while; see lapse.go.
func (c *Core) needsOrigin(now time.Time, x *Exchange) bool {
	history := c.uniformity(x.request.Route.Name, x.service)
	return !history.lasted(now) || history.version != x.origin.Version
}

// SetRoutes records the routes of a new configuration.
func (c *Core) SetRoutes(now time.Time, routes []catalog.Route) {
	isFirst := c.routeHistories == nil
	if isFirst {
		c.configuredSince = c.firstSince(now)
	}
	histories := map[string]routeHistory{}
	for _, route := range routes {
		if !route.Stream || !route.Resumable {
			continue
		}
		history, known := c.routeHistories[route.Name]
		if !known || !slices.Equal(history.targets, route.Targets) {
			history = routeHistory{targets: route.Targets, since: now, first: isFirst}
			if isFirst {
				history.since = c.firstSince(now)
			}
		}
		histories[route.Name] = history
		for _, target := range route.Targets {
			// A shorter timeout doesn't shorten the streams that have begun.
			c.streamLives[target.Service] = max(c.streamLives[target.Service], route.Timeout+originMargin)
		}
	}
	c.routeHistories = histories
	c.recordOpenStreams(now)
}

// UnsettledRoutes returns questions about the routes of which this gateway can't tell whether they are
// uniform, because it hasn't known them for long enough.
func (c *Core) UnsettledRoutes(now time.Time) []OriginQuestion {
	var questions []OriginQuestion
	for name, route := range c.routeHistories {
		for _, target := range route.targets {
			history := c.uniformity(name, target.Service)
			if history.isOnly && history.first && !history.lasted(now) {
				questions = append(questions, OriginQuestion{Route: name, Service: target.Service})
			}
		}
	}
	slices.SortFunc(questions, func(a, b OriginQuestion) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Service, b.Service))
	})
	return questions
}

// SettleRoute adopts what another gateway knows of an unsettled route: that it is uniform, at the version
// that is the only one here as well.
func (c *Core) SettleRoute(now time.Time, question OriginQuestion, answer OriginAnswer) {
	history := c.uniformity(question.Route, question.Service)
	if !answer.Uniform || !history.isOnly || !history.first || answer.OnlyVersion != history.version {
		return
	}
	settledSince := now.Add(-max(history.streamLife, longestStreamLife))
	route, service := c.routeHistories[question.Route], c.versionHistories[question.Service]
	if route.since.After(settledSince) {
		route.since = settledSince
	}
	if service.since.After(settledSince) {
		service.since = settledSince
	}
	c.routeHistories[question.Route], c.versionHistories[question.Service] = route, service
}

// observeVersions updates the histories of all services by the listed back ends.
func (c *Core) observeVersions(now time.Time) {
	versions := map[string][]string{}
	for _, m := range c.members {
		service, version := m.backEnd.Service, m.backEnd.Version
		if !slices.Contains(versions[service], version) {
			versions[service] = append(versions[service], version)
		}
	}
	for service := range c.versionHistories {
		if len(versions[service]) == 0 {
			c.versionHistories[service] = versionHistory{}
		}
	}
	for service, running := range versions {
		current := versionHistory{isOnly: len(running) == 1, since: now}
		if current.isOnly {
			current.version = running[0]
		}
		known, isKnown := c.versionHistories[service]
		if isKnown && known.isOnly == current.isOnly && known.version == current.version {
			continue
		}
		if current.first = !isKnown; current.first {
			current.since = c.firstSince(now)
		}
		c.versionHistories[service] = current
	}
	c.recordOpenStreams(now)
}
