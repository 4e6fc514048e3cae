package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Back ends of several software versions serve side by side, and each that is replaced comes back with the
// next version. Callers whose stream breaks off take it up at another gateway.

const (
	// maxVersions is the largest number of versions that a seed draws.
	maxVersions = 3
	// versionPrefix is the beginning of the versions that rotate; a move of the service has others.
	versionPrefix = "s"
	// maxTakeUps is how often a caller takes a stream up, and takeUpPause the time until it does.
	maxTakeUps  = 2
	takeUpPause = 20 * time.Millisecond
	// shortestTakeUp is the time that must be left for a caller to take a stream up.
	shortestTakeUp = time.Second
	// minTakenUp is the number of streams from which the share that goes on is judged, and
	// minTakenUpShare that share, relative to the share of new streams that begin.
	minTakenUp      = 12
	minTakenUpShare = 0.5
	// servingBackEnds is the number of back ends of a stream's version that must serve for it to count.
	servingBackEnds = 2
)

// versions returns the number of versions of the back ends.
func (o Options) versions() int {
	switch {
	case o.Versions > 0:
		return o.Versions
	case o.Backups:
		return 1
	default:
		return 1 + int(o.Seed%maxVersions)
	}
}

// versionOf returns the version of the numbered back end at the beginning.
func (f *fleet) versionOf(number int) string {
	if f.options.versions() == 1 {
		return ""
	}
	return fmt.Sprint(versionPrefix, number%f.options.versions())
}

// rotateVersion installs the next version, unless the service was moved to another one. The mutex is held.
func (b *backEnd) rotateVersion() {
	var number int
	if _, err := fmt.Sscanf(b.version, versionPrefix+"%d", &number); err == nil && strings.HasPrefix(b.version, versionPrefix) {
		b.version = b.fleet.versionOf(number + 1)
	}
}

// takeUp sends requests for the rest of a stream that broke off, each at the next gateway.
func (c *caller) takeUp(ctx context.Context, first sentRequest, got reply) {
	at := slices.IndexFunc(c.fleet.gateways, func(g *gatewayState) bool { return g.id == first.gateway })
	for range maxTakeUps {
		sleep(ctx, takeUpPause)
		complete := got.events >= eventsOf(first.stream)
		if got.left || got.whole && got.status == http.StatusOK || got.events == 0 || complete || time.Since(first.at) > routeTimeout-shortestTakeUp {
			return
		}
		at = (at + 1) % len(c.fleet.gateways)
		again := first
		again.request, again.gateway = c.nextRequest(), c.fleet.gateways[at].id
		again.at, again.firstAt, again.events = time.Now(), first.at, got.events
		c.fleet.check.noteTakeUp(again.request, c.fleet.isServed(c.fleet.check.versionOf(first.stream)))
		next := c.sendChecked(ctx, c.fleet.gateways[at], again)
		next.events = max(next.events, again.events)
		got = next
	}
}

// isServed reports whether at least servingBackEnds back ends of the version are in service. Those of an
// evacuated zone aren't: they must get no requests.
func (f *fleet) isServed(version string) bool {
	serving := 0
	for _, b := range f.everyBackEnd() {
		if running, _ := b.software(); running == version && b.serves() && !f.isEvacuated(b.zone) && !f.check.isDisturbed(b) {
			serving++
		}
	}
	return serving >= servingBackEnds
}

// serves reports whether the back end is up, not leaving and not silent.
func (b *backEnd) serves() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return !b.starting && !b.leaving && b.silent == 0
}

// isDisturbed reports whether a fault has affected the back end or its link within quietTime.
func (c *checker) isDisturbed(b *backEnd) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	return c.disturbed(now.Add(-quietTime), now, b.name, linkPlace(b.name))
}

// takenUp is what the checker knows of streams and their versions.
type takenUp struct {
	// versions are the versions of the events that callers have, by the attempt that began the stream.
	versions map[string][]string
	// counts holds the requests that take a stream up whose version was served.
	counts map[string]bool
}

// noteTakeUp records a request that takes a stream up, before it is sent.
func (c *checker) noteTakeUp(request string, isServed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.takenUp.counts[request] = isServed
}

// versionOf returns the version that began the stream.
func (c *checker) versionOf(stream string) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if versions := c.takenUp.versions[stream]; len(versions) > 0 {
		return versions[0]
	}
	return ""
}

// checkVersions checks that all events of a stream come from one version. The mutex is held.
func (c *checker) checkVersions(s sentRequest, r reply) {
	known := c.takenUp.versions[s.stream]
	for _, version := range r.versions {
		if slices.Contains(known, version) {
			continue
		}
		known = append(known, version)
		if len(known) > 1 {
			c.failLocked(PromiseVersion, "%s through %s, of the stream that %s began, has events of %v", s.request, s.gateway, s.stream, known)
		}
	}
	if len(known) > 0 {
		c.takenUp.versions[s.stream] = known
	}
}

// judgeTakenUp checks that streams which callers take up go on at gateways that no fault affects, relative
// to the new streams that begin there.
func (c *checker) judgeTakenUp(result *Result) {
	var begun, refused, resumed, refusedAgain int
	for id, s := range c.sentRequests {
		r, answered := c.replies[id]
		if !answered || s.prefix != prefixResumable || !c.undisturbed(s.gateway, s.at, r.at) {
			continue
		}
		goesOn := r.status == http.StatusOK && r.events > s.events
		switch {
		case s.events == 0 && goesOn:
			begun++
		case s.events == 0:
			refused++
		case c.takenUp.counts[id] && goesOn:
			resumed++
		case c.takenUp.counts[id]:
			refusedAgain++
		}
	}
	result.TakenUp, result.WentOn = resumed+refusedAgain, resumed
	if resumed+refusedAgain < minTakenUp || begun == 0 {
		return
	}
	beginShare := float64(begun) / float64(begun+refused)
	if share := float64(resumed) / float64(resumed+refusedAgain); share < minTakenUpShare*beginShare {
		c.failLocked(PromiseTakenUp, "%d of %d streams went on, and %d of %d new ones began", resumed, resumed+refusedAgain, begun, begun+refused)
	}
}
