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
	PromiseAsked         Promise = "only what was asked"
	PromiseNotRun        Promise = "not run is true"
	PromiseOnce          Promise = "at most once"
	PromiseAttempts      Promise = "attempts within the route"
	PromiseBudget        Promise = "retries within the budget"
	PromiseLeaving       Promise = "leaving"
	PromiseNotice        Promise = "leaving, told in answers"
	PromiseRest          Promise = "rest that was asked for"
	PromiseEvacuation    Promise = "evacuations"
	PromiseWarmUp        Promise = "warm-up"
	PromiseConfiguration Promise = "configuration"
	PromiseKept          Promise = "no request lost"
	PromiseAtOnce        Promise = "given up in time, with a time to come back"
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
type sending struct {
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
	fault string
	// whole is false when the answer broke off, late is true when the caller's
	// patience ended first.
	whole, late bool
	cause       string
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
type span struct {
	place    string
	from, to time.Time
	ended    bool
	// planned is true for a gateway's planned stop, and stopped while a gateway doesn't run.
	planned bool
	stopped bool
}

func (s *span) overlaps(from, to time.Time) bool {
	return !s.from.After(to) && (!s.ended || !s.to.Before(from))
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
	serving conc.WaitGroup

	mutex     sync.Mutex
	sends     map[string]sending
	order     []string
	replies   map[string]reply
	arrivals  map[string][]arrival
	repeats   []time.Time
	spans     []*span
	lives     map[string]time.Time
	ends      map[string]*span
	versions  []version
	leavingAt map[string]time.Time
	warmings  []warming
	// crashes are the times at which back ends crashed under crashing requests, by path.
	crashes map[string][]time.Time
	// evacuations are all orders on zones so far.
	evacuations []evacuation
	notices     notices
	// moves are all orders to move the service to another version.
	moves      []*move
	recoverAt  time.Time
	violations []Violation
	counts     map[Promise]int
}

func newChecker(f *fleet) *checker {
	return &checker{
		fleet: f, started: time.Now(), sends: map[string]sending{}, replies: map[string]reply{},
		arrivals: map[string][]arrival{}, lives: map[string]time.Time{}, ends: map[string]*span{},
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
func (c *checker) trouble(place string) (over func()) {
	return c.note(&span{place: place, from: time.Now()})
}

func (c *checker) note(noted *span) (over func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.spans = append(c.spans, noted)
	return func() { c.end(noted) }
}

func (c *checker) end(noted *span) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	noted.to, noted.ended = time.Now(), true
}

// ending notes that a gateway is being ended, began that it starts.
func (c *checker) ending(g *gatewayState, planned bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ends[g.id] = &span{place: g.id, from: time.Now(), planned: planned, stopped: true}
	c.spans = append(c.spans, c.ends[g.id])
}

func (c *checker) began(g *gatewayState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lives[g.id] = time.Now()
	if noted := c.ends[g.id]; noted != nil {
		noted.to, noted.ended = time.Now(), true
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
func (c *checker) startedAgain(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.leavingAt, id)
	c.forgetNotices(id)
}

func (c *checker) sent(s sending) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sends[s.request] = s
	c.order = append(c.order, s.request)
}

func (c *checker) got(s sending, r reply) {
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
		c.repeats = append(c.repeats, a.at)
	}
	c.arrivals[a.request] = append(c.arrivals[a.request], a)
	c.checkArrival(a)
}

func (c *checker) expectRecovery(at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recoverAt = at.Add(contact)
}

// inTouch tells whether nothing disturbed a gateway for the contact time before
// from and until to.
func (c *checker) inTouch(gateway string, from, to time.Time) bool {
	from = from.Add(-contact)
	return !c.disturbed(from, to, gateway, everywhere) && c.lives[gateway].Before(from)
}

// heldUp tells whether the link of the back end was in trouble of late: what a gateway sent
// before may have waited there, and arrive later than any bound.
func (c *checker) heldUp(a arrival) bool {
	return c.disturbed(a.at.Add(-contact), a.at, linkOf(nameOf(a.backEnd)))
}

// disturbed tells whether a trouble at one of the places overlaps the time.
func (c *checker) disturbed(from, to time.Time, places ...string) bool {
	for _, each := range c.spans {
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
	for _, each := range c.spans {
		if strings.HasPrefix(each.place, "b") && each.overlaps(from.Add(-contact), to) {
			return true
		}
	}
	return false
}

// strikes notes what struck, for the end of a failed run.
type strikes struct {
	mutex sync.Mutex
	began time.Time
	lines []string
}

func (s *strikes) note(line string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.began.IsZero() {
		s.began = time.Now()
	}
	s.lines = append(s.lines, fmt.Sprintf("%8.3f %s", time.Since(s.began).Seconds(), line))
}
