package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// Promise names what is checked.
type Promise string

// The promises, as they are named in reports.
const (
	PromiseOwn           Promise = "whole and own answers"
	PromiseOrder         Promise = "streams in order"
	PromiseUnaltered     Promise = "only what was asked"
	PromiseNotRun        Promise = "not run is true"
	PromiseOnce          Promise = "at most once"
	PromiseAttempts      Promise = "attempts within the route"
	PromiseBudget        Promise = "retries within the budget"
	PromiseLeaving       Promise = "leaving"
	PromiseNotice        Promise = "leaving, told in answers"
	PromiseRetryAfter    Promise = "rest that was asked for"
	PromiseEvacuation    Promise = "evacuations"
	PromiseWarmUp        Promise = "warm-up"
	PromiseConfiguration Promise = "configuration"
	PromiseNoneLost      Promise = "no request lost"
	PromiseTimely        Promise = "given up in time, with a time to come back"
	PromiseRecovery      Promise = "recovery"
	PromiseWithheld      Promise = "what crashes back ends is withheld"
	PromiseStart         Promise = "gateways start"
	PromiseExposure      Promise = "a bad version gets little"
	PromiseVerdict       Promise = "one verdict on a version"
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise
	Detail  string
	// At is the time from the start of the run.
	At time.Duration
}

// sending is a request as its caller sent it.
type sentRequest struct {
	request, gateway, prefix, key string
	at                            time.Time
	// crashes is the path of a crashing request, or "".
	crashes string
}

// reply is what a caller got. status is 0 when there was no answer.
type reply struct {
	at         time.Time
	status     int
	retryAfter string
	stamp      string
	body       string
	events     int
	// fault is the first event out of order.
	orderError string
	// whole is false when the answer broke off, late is true when the caller's
	// patience ended first.
	whole, timedOut bool
	cause           string
}

// arrival is a request at a back end.
type arrival struct {
	request, backEnd, tenant string
	zone, version            string
	at                       time.Time
	// ran is false when the back end refused it, changed is true when its body
	// wasn't the caller's, and resumed when it continues a stream.
	ran, changed, resumed bool
}

// everywhere is the place of a trouble that touches all gateways.
const everywhere = "everywhere"

// span is a trouble at a place. It lasts until ended is set.
type disturbance struct {
	place    string
	from, to time.Time
	ended    bool
	// planned is true for a gateway's planned stop, and stopped while a gateway doesn't run.
	planned bool
	stopped bool
}

func (d *disturbance) overlaps(from, to time.Time) bool {
	return !d.from.After(to) && (!d.ended || !d.to.Before(from))
}

// version is a published configuration.
type version struct {
	at     time.Time
	routes map[string]bool
	keys   map[string]bool
}

// checker collects what callers, back ends and the operator saw, and judges it.
type checker struct {
	fleet   *fleet
	started time.Time
	// serving are tasks of faults that outlive their strike.
	tasks conc.WaitGroup

	mutex         sync.Mutex
	sentRequests  map[string]sentRequest
	order         []string
	replies       map[string]reply
	arrivals      map[string][]arrival
	retries       []time.Time
	disturbances  []*disturbance
	gatewayStarts map[string]time.Time
	outages       map[string]*disturbance
	versions      []version
	leavingAt     map[string]time.Time
	warmUps       []warmUpPeriod
	// crashes are the times at which back ends crashed under crashing requests, by path.
	crashes map[string][]time.Time
	// evacuations are all orders on zones so far.
	evacuations []evacuation
	notices     notices
	// moves are all orders to move the service to another version.
	moveOrders []*moveOrder
	recoverAt  time.Time
	violations []Violation
	counts     map[Promise]int
}

func newChecker(f *fleet) *checker {
	return &checker{
		fleet: f, started: time.Now(), sentRequests: map[string]sentRequest{}, replies: map[string]reply{},
		arrivals: map[string][]arrival{}, gatewayStarts: map[string]time.Time{}, outages: map[string]*disturbance{},
		leavingAt: map[string]time.Time{}, counts: map[Promise]int{},
		crashes: map[string][]time.Time{}, notices: newNotices(),
	}
}

// maxViolations is how many violations of one promise are kept in full.
const maxViolations = 5

func (c *checker) fail(promise Promise, format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failLocked(promise, format, arguments...)
}

func (c *checker) failLocked(promise Promise, format string, arguments ...any) {
	c.counts[promise]++
	if c.counts[promise] <= maxViolations {
		c.violations = append(c.violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, arguments...), At: time.Since(c.started)})
	}
}

// trouble notes that a place is disturbed until the returned function is called.
func (c *checker) beginDisturbance(place string) (end func()) {
	return c.addDisturbance(&disturbance{place: place, from: time.Now()})
}

func (c *checker) addDisturbance(added *disturbance) (end func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.disturbances = append(c.disturbances, added)
	return func() { c.endDisturbance(added) }
}

func (c *checker) endDisturbance(ended *disturbance) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	ended.to, ended.ended = time.Now(), true
}

// ending notes that a gateway is being ended, began that it starts.
func (c *checker) gatewayStopping(g *gatewayState, planned bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.outages[g.id] = &disturbance{place: g.id, from: time.Now(), planned: planned, stopped: true}
	c.disturbances = append(c.disturbances, c.outages[g.id])
}

func (c *checker) gatewayStarting(g *gatewayState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.gatewayStarts[g.id] = time.Now()
	if outage := c.outages[g.id]; outage != nil {
		outage.to, outage.ended = time.Now(), true
	}
}

func (c *checker) published(configuration catalog.Configuration) {
	made := version{at: time.Now(), routes: map[string]bool{}, keys: map[string]bool{}}
	for _, route := range configuration.Routes {
		made.routes[route.Prefix] = true
	}
	for _, key := range configuration.Tenants[0].Keys {
		made.keys[key] = true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.versions = append(c.versions, made)
}

func (c *checker) leaving(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leavingAt[id] = time.Now()
}

// startedAgain notes that the back end's ID stands for another life, which isn't leaving.
func (c *checker) backEndRestarted(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.leavingAt, id)
	c.forgetNotices(id)
}

func (c *checker) sent(s sentRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sentRequests[s.request] = s
	c.order = append(c.order, s.request)
}

func (c *checker) received(s sentRequest, r reply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.replies[s.request] = r
	c.checkAnswer(s, r)
	c.notePassedOn(s, r)
}

func (c *checker) arrived(a arrival) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.arrivals[a.request]) > 0 {
		c.retries = append(c.retries, a.at)
	}
	c.arrivals[a.request] = append(c.arrivals[a.request], a)
	c.checkArrival(a)
}

func (c *checker) expectRecovery(at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recoverAt = at.Add(quietTime)
}

// inTouch tells whether nothing disturbed a gateway for the contact time before
// from and until to.
func (c *checker) undisturbed(gateway string, from, to time.Time) bool {
	from = from.Add(-quietTime)
	return !c.disturbed(from, to, gateway, everywhere) && c.gatewayStarts[gateway].Before(from)
}

// heldUp tells whether the link of the back end was in trouble of late: what a gateway sent
// before may have waited there, and arrive later than any bound.
func (c *checker) linkDisturbed(a arrival) bool {
	return c.disturbed(a.at.Add(-quietTime), a.at, linkPlace(nameOf(a.backEnd)))
}

// disturbed tells whether a trouble at one of the places overlaps the time.
func (c *checker) disturbed(from, to time.Time, places ...string) bool {
	for _, each := range c.disturbances {
		for _, place := range places {
			if each.place == place && each.overlaps(from, to) {
				return true
			}
		}
	}
	return false
}

// backEndsDisturbed tells whether any back end was in trouble in the time, or a
// moment before.
func (c *checker) backEndsDisturbed(from, to time.Time) bool {
	for _, each := range c.disturbances {
		if strings.HasPrefix(each.place, "b") && each.overlaps(from.Add(-quietTime), to) {
			return true
		}
	}
	return false
}

// strikes notes what struck, for the end of a failed run.
type faultLog struct {
	mutex sync.Mutex
	start time.Time
	lines []string
}

func (l *faultLog) add(line string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.start.IsZero() {
		l.start = time.Now()
	}
	l.lines = append(l.lines, fmt.Sprintf("%8.3f %s", time.Since(l.start).Seconds(), line))
}
