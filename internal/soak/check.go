package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// Violation is a broken promise.
type Violation struct {
	Promise Promise
	Detail  string
	// At is the time since the start of the run.
	At time.Duration
}

// sentRequest is a request as its caller sent it.
type sentRequest struct {
	request, gateway, prefix, key string
	at                            time.Time
	// crashes is the cause for which the request crashes back ends: its path, a part of its prompt, or "".
	crashes string
	// parts are the shared parts of its prompt.
	parts []string
	// stream is the ID of the attempt that began the stream, which is request for a new one, and events
	// the number of its events that the caller already has.
	stream string
	events int
	// firstAt is when the attempt that began the stream was sent, if this one takes it up.
	firstAt time.Time
}

// timeout is how long the caller says that it waits. For a stream that it takes up, this is the remaining
// time of the first attempt.
func (s sentRequest) timeout() time.Duration {
	if s.firstAt.IsZero() {
		return routeTimeout
	}
	return routeTimeout - s.at.Sub(s.firstAt)
}

// reply is the answer that a caller received. status is 0 if there was none.
type reply struct {
	at         time.Time
	status     int
	retryAfter string
	stamp      string
	body       string
	// events is the number of events that the caller has of the stream, and versions are the software
	// versions that wrote those in this answer.
	events   int
	versions []string
	// orderError describes the first event out of order, or is "".
	orderError string
	// whole is false if the answer was cut off. timedOut is true if no answer began before the
	// caller stopped waiting.
	whole, timedOut bool
	// left is true if the caller gave the stream up after a gap.
	left bool
	// unread is true if the request wasn't written, so that no gateway has read it.
	unread bool
	cause  string
}

// arrival is a request at a back end.
type arrival struct {
	request, backEnd, tenant string
	zone, version            string
	at                       time.Time
	// ran is false if the back end refused the request. changed is true if its body differs from
	// the caller's, and resumed is true if it continues a stream. continued is true if it continues
	// a run from its backup.
	ran, changed, resumed, continued bool
}

// everywhere is the place of a disturbance that affects all gateways.
const everywhere = "everywhere"

// disturbance is the time in which a fault affects a place: a gateway, a back end, a back end's
// link, all gateways, or the connections that were silenced. It lasts until ended is set.
type disturbance struct {
	place    string
	from, to time.Time
	ended    bool
	// planned is true for a planned stop of a gateway. stopped is true if the gateway doesn't
	// run in this time.
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

// checker collects the observations of callers, back ends and the operator, and checks the
// promises against them.
type checker struct {
	fleet   *fleet
	started time.Time
	// tasks are the parts of faults that continue after inject has returned.
	tasks conc.WaitGroup

	mutex sync.Mutex
	// sentRequests, replies and arrivals are by request ID. order lists the IDs in the order in
	// which the requests were sent.
	sentRequests map[string]sentRequest
	order        []string
	replies      map[string]reply
	arrivals     map[string][]arrival
	// retries holds the times of all arrivals of requests except each request's first.
	retries      []time.Time
	disturbances []*disturbance
	// silences are the times in which back ends were silent, which is no disturbance.
	silences []*disturbance
	// gatewayStarts and outages hold the time of the last start and the last outage of each
	// gateway.
	gatewayStarts map[string]time.Time
	outages       map[string]*disturbance
	versions      []version
	// unframed holds the answers that ended with their connection, by request.
	unframed map[string][]unframedEnd
	// focuses are the times in which most new connections went to one gateway, and sentAgain the requests that
	// no gateway had read and that were sent again.
	focuses   []focusPeriod
	sentAgain map[string]bool
	// leavingAt is when a back end announced in the store that it is leaving, by its ID.
	leavingAt map[string]time.Time
	warmUps   []warmUpPeriod
	// crashes holds the times at which back ends crashed on crashing requests, by cause.
	crashes map[string][]time.Time
	// evacuations are all orders to evacuate a zone so far.
	evacuations []evacuation
	notices     notices
	backedUp    backedUp
	takenUp     takenUp
	// moveOrders are all orders to move the service to another version.
	moveOrders []*moveOrder
	// recoverAt is the time after which requests must be served again.
	recoverAt  time.Time
	violations []Violation
	counts     map[Promise]int
}

func newChecker(f *fleet) *checker {
	return &checker{
		fleet: f, started: time.Now(), sentRequests: map[string]sentRequest{}, replies: map[string]reply{},
		arrivals: map[string][]arrival{}, gatewayStarts: map[string]time.Time{}, outages: map[string]*disturbance{},
		leavingAt: map[string]time.Time{}, counts: map[Promise]int{},
		crashes: map[string][]time.Time{}, unframed: map[string][]unframedEnd{}, sentAgain: map[string]bool{}, notices: newNotices(),
		takenUp:  takenUp{versions: map[string][]string{}, counts: map[string]bool{}},
		backedUp: backedUp{work: map[string][]*streamWork{}, crashes: map[string][]time.Time{}},
	}
}

// maxViolations is the number of violations of one promise that are kept; the others are only
// counted.
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

// beginDisturbance records that a place is disturbed until the returned function is called.
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

// gatewayStopping records that a gateway is about to be stopped or killed, and gatewayStarting
// that it is about to start.
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
	for _, tenant := range configuration.Tenants {
		for _, key := range tenant.Keys {
			made.keys[key] = true
		}
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

// backEndRestarted records that the back end's ID belongs to another incarnation now, which isn't
// leaving.
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
	c.checkVersions(s, r)
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

// undisturbed returns whether the gateway had been started by quietTime before from and no
// disturbance of it or of all gateways overlaps the time from then until to. Only then are the time
// bounds binding for it.
func (c *checker) undisturbed(gateway string, from, to time.Time) bool {
	from = from.Add(-quietTime)
	return !c.disturbed(from, to, gateway, everywhere) && c.gatewayStarts[gateway].Before(from)
}

// linkDisturbed returns whether the link of the back end was disturbed within quietTime before
// the arrival. A request that a gateway sent in time may have waited in the link and arrive later
// than any bound.
func (c *checker) linkDisturbed(a arrival) bool {
	return c.disturbed(a.at.Add(-quietTime), a.at, linkPlace(nameOf(a.backEnd)))
}

// disturbed returns whether a disturbance of one of the places overlaps the time.
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

// backEndsDisturbed returns whether any back end was disturbed in the time or during the
// quietTime before it. The places of back ends and of their links begin with "b", and no others do.
func (c *checker) backEndsDisturbed(from, to time.Time) bool {
	for _, each := range c.disturbances {
		if strings.HasPrefix(each.place, "b") && each.overlaps(from.Add(-quietTime), to) {
			return true
		}
	}
	return false
}

// faultLog records the injected faults and the verdicts on move orders, to be printed after a
// failed run.
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
