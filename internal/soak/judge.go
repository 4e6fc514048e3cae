package soak

import (
	"net/http"
	"time"
)

// slack is added to time bounds to allow for the delays of the run itself.
const slack = 300 * time.Millisecond

// checkAnswer checks a single answer, independently of all other observations. The mutex is held.
func (c *checker) checkAnswer(s sentRequest, r reply) {
	c.checkOdd(s, r)
	switch {
	case r.orderError != "":
		c.failLocked(PromiseOrder, "%s through %s: %s", s.request, s.gateway, r.orderError)
	case r.status != http.StatusOK || !r.whole:
	case r.stamp == "":
		c.failLocked(PromiseOwn, "%s through %s got an answer without a back end's mark", s.request, s.gateway)
	case isStream(s.prefix) && r.events != eventsOf(s.stream):
		c.failLocked(PromiseOrder, "%s through %s ended whole with %d of %d events", s.request, s.gateway, r.events, eventsOf(s.stream))
	case !isStream(s.prefix) && r.body != answerOf(s.request):
		c.failLocked(PromiseOwn, "%s through %s got %q", s.request, s.gateway, r.body)
	}
}

// checkArrival checks a request as it arrives at a back end. The mutex is held.
func (c *checker) checkArrival(a arrival) {
	s, known := c.sentRequests[a.request]
	switch {
	case !known:
		if a.ran {
			c.failLocked(PromiseUnaltered, "%s ran %s, which nobody sent", a.backEnd, a.request)
		}
		return
	case a.ran && (a.changed || a.tenant != tenant):
		c.failLocked(PromiseUnaltered, "%s ran %s with another body or as tenant %q", a.backEnd, a.request, a.tenant)
	}
	c.checkEvacuation(s, a)
	c.checkNotices(s, a)
	since, leaves := c.leavingAt[a.backEnd]
	if leaves && a.at.Sub(since) > leavingBound+slack && c.undisturbed(s.gateway, since, a.at) && !c.linkDisturbed(a) {
		c.failLocked(PromiseLeaving, "%s got %s from %s %v after its leaving", a.backEnd, a.request, s.gateway, a.at.Sub(since).Round(time.Millisecond))
	}
}

// finish runs the checks that need the whole run and returns the result.
func (c *checker) finish() Result {
	c.tasks.Wait()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	result := Result{Requests: len(c.replies)}
	expected, recovered := 0, 0
	for _, id := range c.order {
		s, known := c.sentRequests[id]
		r, answered := c.replies[id]
		if !known || !answered {
			continue
		}
		served := r.status == http.StatusOK && r.whole
		if served {
			result.Served++
		}
		if r.status == 0 || !r.whole || r.status == http.StatusBadGateway || r.status == http.StatusGatewayTimeout {
			result.Unknown++
		}
		c.judge(s, r)
		if s.at.After(c.recoverAt) && s.crashes == "" && s.key != spareKey && s.prefix != prefixSpare {
			expected++
			if served {
				recovered++
			}
		}
	}
	c.judgeBudget()
	c.judgeWarmUps()
	c.judgeCrashing()
	c.judgeSound()
	c.judgeMoves()
	c.judgeHandovers()
	c.judgeTakenUp(&result)
	c.judgeFocus(&result)
	c.countSurvivors(&result)
	if float64(recovered) < minRecovered*float64(expected) || expected == 0 {
		c.failLocked(PromiseRecovery, "%d of %d requests were served after all faults", recovered, expected)
	}
	result.Violations, result.Counts = c.violations, c.counts
	return result
}

// minRecovered is the share of the requests sent after recoverAt that must be served. Crashing
// requests and those with the spare route or key don't count.
const minRecovered = 0.95

// judge checks one request and its reply against all its arrivals at back ends.
func (c *checker) judge(s sentRequest, r reply) {
	arrivals, runs, attempts := c.arrivals[s.request], 0, 0
	for _, each := range arrivals {
		if each.ran && !each.resumed {
			runs++
		}
		// The continuation of a run that may not be repeated isn't an attempt.
		if !each.continued || s.prefix != prefixStream {
			attempts++
		}
	}
	if runs > 1 && s.prefix != prefixRepeat && s.prefix != prefixResumable {
		c.failLocked(PromiseOnce, "%s ran %d times", s.request, runs)
	}
	if most := attemptsOf(s.prefix); attempts > most {
		c.failLocked(PromiseAttempts, "%s came to %d back ends, %d are allowed", s.request, attempts, most)
	}
	switch r.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs > 0 {
			c.failLocked(PromiseNotRun, "%s was told %d and ran", s.request, r.status)
		}
		if r.retryAfter == "" {
			c.failLocked(PromiseTimely, "%s was told %d without a time to come back", s.request, r.status)
		}
	}
	c.judgeConfiguration(s, r, runs)
	c.judgeLost(s, r, runs)
}

// attemptsOf returns the number of attempts that the route with the prefix allows.
func attemptsOf(prefix string) int {
	switch prefix {
	case prefixRepeat:
		return 2
	case prefixResumable:
		return 3
	default:
		return 1
	}
}

// judgeConfiguration checks that the request was handled as allowed by at least one version of
// the configuration that may have been in force at its gateway.
func (c *checker) judgeConfiguration(s sentRequest, r reply, runs int) {
	first := 0
	if c.undisturbed(s.gateway, s.at.Add(-applyBound-slack), r.at) {
		for i, each := range c.versions {
			if each.at.Before(s.at.Add(-applyBound - slack)) {
				first = i
			}
		}
	}
	var allows, deniesRoute, deniesKey bool
	for _, each := range c.versions[first:] {
		if each.at.After(r.at) {
			break
		}
		route, key := each.routes[s.prefix], each.keys[s.key]
		allows = allows || route && key
		deniesRoute = deniesRoute || !route
		deniesKey = deniesKey || !key
	}
	switch {
	case runs > 0 && !allows:
		c.failLocked(PromiseConfiguration, "%s ran with %s through %s, which no version in force allows", s.request, s.key, s.gateway)
	case r.status == http.StatusNotFound && !deniesRoute, r.status == http.StatusUnauthorized && !deniesKey:
		c.failLocked(PromiseConfiguration, "%s, sent %.3f s after the start, was told %d by %s, and every version in force allows it", s.request, s.at.Sub(c.started).Seconds(), r.status, s.gateway)
	}
}

// judgeLost checks that a request got its final answer: it was not cut off after it had run, and
// not held beyond its time limit. A stream whose caller left, or whose time ran out while back ends were
// silent, may be cut, and so may an answer that its back end broke off. A request is exempt if any back end,
// its gateway or all gateways were disturbed during it or in the quietTime before it. A planned stop of its
// gateway is no such disturbance: it must not lose requests.
func (c *checker) judgeLost(s sentRequest, r reply, runs int) {
	if c.backEndsDisturbed(s.at, r.at) || c.disturbedUnplanned(s.gateway, s.at, r.at) {
		return
	}
	if r.timedOut {
		c.failLocked(PromiseTimely, "%s got no final answer from %s in its time", s.request, s.gateway)
		return
	}
	timeIsOver := r.left || r.at.Sub(s.at) >= s.timeout() && c.silentBetween(s.at, r.at)
	if !timeIsOver {
		c.judgeUnframed(s, r)
	}
	if c.brokenOff(s) {
		return
	}
	if runs > 0 && c.endedSooner(s, r) {
		c.failLocked(PromiseSilence, "%s%s ran and got status %d, whole %t, from %s after %v: %s", s.prefix, s.request, r.status, r.whole, s.gateway, r.at.Sub(s.at).Round(time.Millisecond), r.cause)
	}
	if !timeIsOver && runs > 0 && (r.status == 0 || !r.whole) {
		c.failLocked(PromiseNoneLost, "%s ran and was cut by %s after %v: %s", s.request, s.gateway, r.at.Sub(s.at).Round(time.Millisecond), r.cause)
	}
}

// disturbedUnplanned returns whether anything but a planned stop disturbed the gateway in the
// time or during the quietTime before it.
func (c *checker) disturbedUnplanned(gateway string, from, to time.Time) bool {
	for _, each := range c.disturbances {
		if (each.place == gateway || each.place == everywhere) && !each.planned && each.overlaps(from.Add(-quietTime), to) {
			return true
		}
	}
	return false
}

// judgeBudget checks the number of retries in every window that ends with a retry. The budget is
// computed from the busiest of three windows of requests: this one and those that end half a
// window and a whole window earlier.
func (c *checker) judgeBudget() {
	for _, at := range c.retries {
		retries := 0
		for _, each := range c.retries {
			if !each.After(at) && at.Sub(each) <= retryWindow {
				retries++
			}
		}
		requests := 0
		for _, back := range []time.Duration{0, retryWindow / 2, retryWindow} {
			requests = max(requests, c.sentBetween(at.Add(-retryWindow-back), at.Add(-back)))
		}
		if allowed := retryRatio*float64(requests) + retryExtra; float64(retries) > allowed {
			c.failLocked(PromiseBudget, "%d further attempts within %v, %.0f are allowed", retries, retryWindow, allowed)
			return
		}
	}
}

func (c *checker) sentBetween(from, to time.Time) int {
	count := 0
	for _, each := range c.sentRequests {
		if each.at.After(from) && !each.at.After(to) {
			count++
		}
	}
	return count
}
