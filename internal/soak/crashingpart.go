package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// A crashing part of a prompt crashes every back end that begins to write an answer on it, whatever else the
// request holds. Requests with it come through any gateway, and no two are alike. Sound requests share their
// callers' key and their other parts.

const (
	// crashingParts is the number of different crashing parts.
	crashingParts = 3
	// crashingPartPrefix is the beginning of the ID of every crashing part, in hexadecimal digits.
	crashingPartPrefix = "dead"
	// crashingPartTime is how long requests with the part continue after the fault's duration. It is longer
	// than soundDelay, so that sound requests beside them are judged.
	crashingPartTime = 10 * time.Second
	// partCrashesToDetect is the number of crashes under one part after which undisturbed gateways may send
	// crashingRetries more requests with it.
	partCrashesToDetect = 5
	// soundDelay is the time from the fifth crash until sound requests of the same route with the same key or
	// first part must begin again: at least minSoundShare times as often as outside disturbances, if there
	// are minSound of either.
	soundDelay    = 2 * quietTime
	minSound      = 20
	minSoundShare = 0.5
)

// crashingPartOf returns the crashing part among those of a prompt as a gateway states it, or "". The last
// part belongs to the request alone.
func crashingPartOf(prompt string) string {
	parts := strings.Split(prompt, ",")
	for _, each := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(each, ":"); strings.HasPrefix(id, crashingPartPrefix) {
			return id
		}
	}
	return ""
}

// sendCrashingParts sends requests with a crashing part, which the fault's target selects.
func (f *fleet) sendCrashingParts(ctx context.Context, fault Fault) {
	c := newCaller(f, -1-fault.Target)
	defer c.client.CloseIdleConnections()
	part := fmt.Sprint(crashingPartPrefix, fault.Target%crashingParts)
	until := time.Now().Add(fault.For + crashingPartTime)
	for ctx.Err() == nil && time.Now().Before(until) {
		c.callCrashingPart(ctx, part)
		sleep(ctx, crashingGap)
	}
}

// callCrashingPart sends one request with the part, before or after a part of sound requests.
func (c *caller) callCrashingPart(ctx context.Context, part string) {
	g := c.fleet.gateways[c.random.IntN(len(c.fleet.gateways))]
	c.count++
	prefixes := []string{prefixResumable, prefixStream}
	sent := sentRequest{
		request: fmt.Sprintf("x%d-%d", c.number, c.count), gateway: g.id, prefix: prefixes[c.random.IntN(len(prefixes))],
		key: keys[c.random.IntN(len(keys)-1)], at: time.Now(), crashes: part,
	}
	sent.stream = sent.request
	sent.parts = []string{fmt.Sprintf("%x", 1+c.random.IntN(prompts)), part}
	if c.random.IntN(2) == 0 {
		sent.parts[0], sent.parts[1] = sent.parts[1], sent.parts[0]
	}
	c.sendChecked(context.WithoutCancel(ctx), g, sent)
}

// crashesToDetect returns the number of crashes after which gateways must withhold what causes them.
func crashesToDetect(cause string) int {
	if strings.HasPrefix(cause, crashingPartPrefix) {
		return partCrashesToDetect
	}
	return contentCrashesToDetect
}

// share counts requests, and those of them that succeeded.
type share struct{ succeeded, all int }

func (s *share) add(succeeded bool) {
	s.all++
	if succeeded {
		s.succeeded++
	}
}

func (s share) value() float64 { return float64(s.succeeded) / float64(max(1, s.all)) }

// judgeSound checks that sound requests beside a crashing part go on beginning, relative to those outside
// disturbances.
func (c *checker) judgeSound() {
	for part, crashes := range c.crashes {
		if !strings.HasPrefix(part, crashingPartPrefix) {
			continue
		}
		from, to := crashes[min(len(crashes), partCrashesToDetect)-1].Add(soundDelay), c.lastWith(part)
		var beside, outside share
		for id, s := range c.sentRequests {
			r, answered := c.replies[id]
			if !answered || s.crashes != "" || s.events > 0 || !c.resembles(s, part) || !c.undisturbed(s.gateway, s.at, r.at) {
				continue
			}
			begins := r.status == http.StatusOK && r.events > 0
			switch {
			case s.at.After(from) && s.at.Before(to):
				beside.add(begins)
			case !c.backEndsDisturbed(s.at, r.at):
				outside.add(begins)
			}
		}
		if beside.all >= minSound && outside.all >= minSound && beside.value() < minSoundShare*outside.value() {
			c.failLocked(PromiseSound, "%d of %d sound requests began beside %s, and %d of %d outside disturbances", beside.succeeded, beside.all, part, outside.succeeded, outside.all)
		}
	}
}

// lastWith returns when the last request with the crashing part was sent.
func (c *checker) lastWith(part string) (last time.Time) {
	for _, s := range c.sentRequests {
		if s.crashes == part && s.at.After(last) {
			last = s.at
		}
	}
	return last
}

// resembles returns whether a request has the route and either the key or the first part of a request with
// the crashing part.
func (c *checker) resembles(s sentRequest, part string) bool {
	if !isStream(s.prefix) {
		return false
	}
	for _, other := range c.sentRequests {
		if other.crashes == part && other.prefix == s.prefix && (other.key == s.key || other.parts[0] == s.parts[0]) {
			return true
		}
	}
	return false
}
