package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// A crashing request crashes every back end that runs it. Its caller repeats it with a new ID each
// time, through random gateways. Later faults repeat requests with the same contents.

const (
	// crashingContents is the number of different contents of crashing requests.
	crashingContents = 3
	// crashingGap is the time between two repeats. They continue for crashingExtraTime after the
	// fault's duration, long enough for all gateways to learn of the crashes.
	crashingGap       = 300 * time.Millisecond
	crashingExtraTime = 5 * time.Second
	// crashingPath is part of the path of every crashing request.
	crashingPath = "crash-"
	// contentCrashesToDetect is the number of crashes on one content after which undisturbed gateways
	// may send it only crashingRetries more times.
	contentCrashesToDetect = 3
	crashingRetries        = 3
)

// crashingPathOf returns the path if a request with it crashes the back end that runs it, and otherwise "".
func crashingPathOf(path string) string {
	if strings.Contains(path, crashingPath) {
		return path
	}
	return ""
}

// repeatCrashing sends a crashing request repeatedly; the fault's target selects its content.
func (f *fleet) repeatCrashing(ctx context.Context, fault Fault) {
	c := newCaller(f, -1-fault.Target)
	defer c.client.CloseIdleConnections()
	path := fmt.Sprintf("%s%s%d", prefixRepeat, crashingPath, fault.Target%crashingContents)
	until := time.Now().Add(fault.For + crashingExtraTime)
	for ctx.Err() == nil && time.Now().Before(until) {
		c.callCrashing(ctx, path)
		sleep(ctx, crashingGap)
	}
}

// callCrashing sends a crashing request once and reports the reply to the checker.
func (c *caller) callCrashing(ctx context.Context, path string) {
	g := c.fleet.gateways[c.random.IntN(len(c.fleet.gateways))]
	c.count++
	sent := sentRequest{
		request: fmt.Sprintf("x%d-%d", c.number, c.count), gateway: g.id,
		prefix: prefixRepeat, key: keys[0], at: time.Now(), crashes: path,
	}
	c.fleet.check.sent(sent)
	got := c.sendTo(context.WithoutCancel(ctx), g, sent, http.MethodGet, path)
	got.at = time.Now()
	c.fleet.check.received(sent, got)
}

// crashDuring crashes the back end while it runs a request for the cause: the request's path or a part of its
// prompt.
func (b *backEnd) crashDuring(r *http.Request, cause string) {
	incarnation := b.currentIncarnation()
	sleep(r.Context(), plainWork)
	if b.currentIncarnation() == incarnation && r.Context().Err() == nil {
		b.fleet.check.crashed(cause)
		b.fleet.check.tasks.Go(func() {
			b.fleet.injectAtBackEnd(context.Background(), b, Fault{Kind: CrashBackEnd, For: listedAfterCrash})
		})
	}
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// crashed records that a back end crashed for the cause.
func (c *checker) crashed(cause string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.crashes[cause] = append(c.crashes[cause], time.Now())
}

// judgeCrashing checks that undisturbed gateways withheld crashing requests once they could know
// that they crash back ends.
func (c *checker) judgeCrashing() {
	late := map[string]int{}
	for _, id := range c.order {
		s := c.sentRequests[id]
		crashes := c.crashes[s.crashes]
		if s.crashes == "" || len(crashes) < crashesToDetect(s.crashes) {
			continue
		}
		slices.SortFunc(crashes, time.Time.Compare)
		known := crashes[crashesToDetect(s.crashes)-1].Add(quietTime + slack)
		for _, each := range c.arrivals[id] {
			if each.at.After(known) && c.undisturbed(s.gateway, each.at, each.at) {
				late[s.crashes]++
			}
		}
	}
	for cause, count := range late {
		if count > crashingRetries {
			c.failLocked(PromiseWithheld, "%s came to back ends %d times when it was known to crash them, %d are allowed", cause, count, crashingRetries)
		}
	}
}
