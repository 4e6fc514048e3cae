package soak

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// For some seconds most new connections go to one gateway, and to the next one once that is out, while callers
// open new connections more often. A caller whose request a gateway hasn't read tries another gateway.

const (
	// focusExtraTime is how much longer than a fault's duration the connections go to one gateway. It is longer
	// than quietTime, from which on requests are judged.
	focusExtraTime = 4 * time.Second
	// focusShare is the share of the new connections that go to one gateway, and newConnShare the share of the
	// requests for which a caller opens one.
	focusShare   = 0.9
	newConnShare = 0.6
	// noticeTime is the time from the stop of a gateway until it gets no new connections: it has then missed two
	// questions whether it is ready.
	noticeTime = 2 * time.Second
	// maxFocusTries is how often a caller sends a request that no gateway reads.
	maxFocusTries = 3
	// beforeFocus is the time before, with which the share that is served is compared. It must be at least
	// minFocusShare times as large, if there are minFocused requests in either time.
	beforeFocus   = 5 * time.Second
	minFocusShare = 0.75
	minFocused    = 20
)

// focusPeriod is a time in which most new connections go to one gateway, as far as it is known.
type focusPeriod struct {
	first    int
	from, to time.Time
}

// focusConnections sends most new connections to the gateway with the number. Only one such fault is active at a
// time.
func (f *fleet) focusConnections(ctx context.Context, fault Fault) {
	f.mutex.Lock()
	taken := f.focus != nil
	if !taken {
		f.focus = &focusPeriod{first: fault.Target % len(f.gateways), from: time.Now()}
	}
	current := f.focus
	f.mutex.Unlock()
	if taken {
		return
	}
	sleep(ctx, fault.For+focusExtraTime)
	f.mutex.Lock()
	f.focus = nil
	f.mutex.Unlock()
	current.to = time.Now()
	f.check.focused(*current)
}

// focusedGateway returns the gateway that gets most new connections, or nil.
func (f *fleet) focusedGateway() *gatewayState {
	f.mutex.Lock()
	current := f.focus
	f.mutex.Unlock()
	if current == nil {
		return nil
	}
	for i := range f.gateways {
		if g := f.gateways[(current.first+i)%len(f.gateways)]; f.check.isIn(g) {
			return g
		}
	}
	return nil
}

// isIn returns whether the gateway gets new connections: it hasn't been out for noticeTime.
func (c *checker) isIn(g *gatewayState) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	outage := c.outages[g.id]
	return outage == nil || outage.ended || time.Since(outage.from) < noticeTime
}

// chooseGateway draws a gateway for a request. While most new connections go to one gateway, it opens a new
// connection for a part of the requests.
func (c *caller) chooseGateway() *gatewayState {
	g := c.fleet.gateways[c.random.IntN(len(c.fleet.gateways))]
	focused := c.fleet.focusedGateway()
	if focused == nil || c.random.Float64() >= newConnShare {
		return g
	}
	c.client.CloseIdleConnections()
	if c.random.Float64() < focusShare {
		return focused
	}
	return g
}

// tryElsewhere sends a request that no gateway has read to other gateways, while most new connections go to one.
func (c *caller) tryElsewhere(ctx context.Context, sent sentRequest, got reply) reply {
	for range maxFocusTries - 1 {
		if !got.unread || c.fleet.focusedGateway() == nil {
			break
		}
		c.fleet.check.triedAgain(sent.request)
		g := c.fleet.gateways[c.random.IntN(len(c.fleet.gateways))]
		sent.request, sent.gateway, sent.at = c.nextRequest(), g.id, time.Now()
		sent.stream = sent.request
		got = c.sendChecked(ctx, g, sent)
	}
	return got
}

// readWatch records whether a request was written, so that its gateway may have read it. On a network without
// buffers the gateway has read it then.
type readWatch struct{ written atomic.Bool }

func (w *readWatch) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if info.Err == nil {
			w.written.Store(true)
		}
	}})
}

// focused records a time in which most new connections went to one gateway, and triedAgain that the caller of
// an unread request has sent it again.
func (c *checker) focused(period focusPeriod) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.focuses = append(c.focuses, period)
}

func (c *checker) triedAgain(request string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sentAgain[request] = true
}

// judgeFocus checks that requests are served at the first attempt that a gateway has read nearly as often while
// most new connections go to one gateway as in the seconds before, unless there was an unplanned disturbance.
func (c *checker) judgeFocus(result *Result) {
	for _, period := range c.focuses {
		from := period.from.Add(-beforeFocus)
		if c.disturbedAnywhere(from, period.to) {
			continue
		}
		before := c.servedBetween(from, period.from)
		during := c.servedBetween(period.from.Add(quietTime), period.to)
		if before.all < minFocused || during.all < minFocused {
			continue
		}
		result.Focused++
		if during.value() < minFocusShare*before.value() {
			c.failLocked(PromiseFocus, "%d of %d requests were served at the first attempt that was read from %.3f to %.3f s, and %d of %d before", during.succeeded, during.all,
				period.from.Add(quietTime).Sub(c.started).Seconds(), period.to.Sub(c.started).Seconds(), before.succeeded, before.all)
		}
	}
}

// disturbedAnywhere returns whether anything but a planned stop disturbed a place in the time or during the
// quietTime before it.
func (c *checker) disturbedAnywhere(from, to time.Time) bool {
	for _, each := range c.disturbances {
		if !each.planned && each.overlaps(from.Add(-quietTime), to) {
			return true
		}
	}
	return false
}

// servedBetween returns the share of the new requests sent in the time that were served at the first attempt
// that a gateway has read. Requests that crash back ends, and those with the spare route or key, don't count.
func (c *checker) servedBetween(from, to time.Time) (served share) {
	for id, s := range c.sentRequests {
		r, answered := c.replies[id]
		isNew := s.crashes == "" && s.events == 0 && s.firstAt.IsZero() && s.key != spareKey && s.prefix != prefixSpare
		if answered && isNew && !c.sentAgain[id] && s.at.After(from) && s.at.Before(to) {
			served.add(r.status == http.StatusOK && r.whole)
		}
	}
	return served
}
