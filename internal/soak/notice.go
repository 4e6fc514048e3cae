package soak

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// Back ends speak of themselves in their answers: that they leave, and for how long they want
// nothing from the gateway that they refuse.

const (
	// untoldTime is how long a back end says that it leaves before the store hears of it.
	announceDelay = 3 * time.Second
	// restAsked is the time of rest that a back end asks for, restGrace how long a gateway may go
	// on sending, and restExtra how many requests it may send in the rest of that time.
	restTime  = 2 * time.Second
	restGrace = 500 * time.Millisecond
	restExtra = 2
)

// silenced is the place of connections that have gone silent: what was answered on them is never
// heard.
const silenced = "silenced"

// leaveUntold empties a back end that says so in its answers alone for a while.
func (f *fleet) leaveUnannounced(ctx context.Context, b *backEnd) {
	incarnation := b.currentIncarnation()
	b.setLeaving()
	sleep(ctx, announceDelay)
	if b.currentIncarnation() == incarnation {
		f.leave(ctx, b)
	}
}

func (b *backEnd) setLeaving() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.leaving = true
}

// isLeaving tells whether the life of the moment has the ID and leaves.
func (b *backEnd) isLeaving(id string) bool {
	if b.id() != id {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.leaving
}

// speak adds to an answer what the back end says of itself.
func (b *backEnd) writeNotices(header http.Header, forwarded wire.Forwarded) {
	if id := b.id(); b.isLeaving(id) {
		b.fleet.environment.Protocol().WriteLeaving(header)
		b.fleet.check.leavingAnnounced(forwarded.Request, id)
	}
}

// askForRest refuses a request, and wants nothing more from its gateway for a while.
func (b *backEnd) refuseWithRetryAfter(w http.ResponseWriter, forwarded wire.Forwarded) {
	b.fleet.environment.Protocol().WriteNotRun(w.Header(), forwarded.Request)
	w.Header().Set("Retry-After", strconv.Itoa(int(restTime/time.Second)))
	b.fleet.check.restRequested(forwarded.Request, b.id())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// toldPair is a back end and the gateway that it told something.
type noticeKey struct{ backEnd, gateway string }

// rest is a time for which a back end wants nothing from a gateway.
type restPeriod struct {
	noticeKey
	from, to time.Time
	// got counts the requests within it.
	got int
}

// notices is what back ends told gateways of themselves.
type notices struct {
	// said is who said that it leaves in the answer to a request, and passedOn when a gateway
	// passed the first such answer on.
	leavingAnnounced map[string]string
	passedOnAt       map[noticeKey]time.Time
	rests            []*restPeriod
}

func newNotices() notices {
	return notices{leavingAnnounced: map[string]string{}, passedOnAt: map[noticeKey]time.Time{}}
}

// saysItLeaves notes that the answer to the request says that the back end leaves.
func (c *checker) leavingAnnounced(request, backEnd string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.notices.leavingAnnounced[request] = backEnd
}

// notePassedOn notes that a caller has an answer that says that its back end leaves. The mutex is
// held.
func (c *checker) notePassedOn(s sentRequest, r reply) {
	if r.stamp == "" || c.notices.leavingAnnounced[s.request] != r.stamp {
		return
	}
	key := noticeKey{backEnd: r.stamp, gateway: s.gateway}
	if _, before := c.notices.passedOnAt[key]; !before && c.fleet.backEndOf(r.stamp).isLeaving(r.stamp) {
		c.notices.passedOnAt[key] = r.at
	}
}

// asksForRest notes that the back end refuses the request and wants rest.
func (c *checker) restRequested(request, backEnd string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	c.notices.rests = append(c.notices.rests, &restPeriod{
		noticeKey: noticeKey{backEnd: backEnd, gateway: c.sentRequests[request].gateway},
		from:      now.Add(restGrace + slack), to: now.Add(restTime),
	})
}

// forgetNotices drops what another life of the back end said.
func (c *checker) forgetNotices(backEnd string) {
	for key := range c.notices.passedOnAt {
		if key.backEnd == backEnd {
			delete(c.notices.passedOnAt, key)
		}
	}
	for _, each := range c.notices.rests {
		if each.backEnd == backEnd {
			each.to = each.from
		}
	}
}

// checkNotices checks that a request didn't come to a back end that had told its gateway not to
// send it. In touch or not, a gateway is bound by what it heard itself.
func (c *checker) checkNotices(s sentRequest, a arrival) {
	key := noticeKey{backEnd: a.backEnd, gateway: s.gateway}
	if at, leaves := c.notices.passedOnAt[key]; leaves && s.at.Sub(at) > leavingBound && !c.interrupted(s.gateway, at, a.at) {
		c.failLocked(PromiseNotice, "%s got %s, sent to %s %v after that had passed on its word that it leaves", a.backEnd, a.request, s.gateway, s.at.Sub(at).Round(time.Millisecond))
	}
	for _, each := range c.notices.rests {
		if each.noticeKey != key || !a.at.After(each.from) || !a.at.Before(each.to) {
			continue
		}
		if each.got++; each.got == restExtra+1 && !c.mayHaveMissedRest(a, each) {
			c.failLocked(PromiseRetryAfter, "%s got %d requests from %s by %s within the rest that it had asked for", a.backEnd, each.got, s.gateway, a.request)
		}
	}
}

// unheard tells whether the gateway may not have heard of the rest, or has forgotten it.
func (c *checker) mayHaveMissedRest(a arrival, asked *restPeriod) bool {
	from := asked.from.Add(-restGrace - slack)
	return c.interrupted(asked.gateway, from, a.at) || c.disturbed(from, a.at, linkPlace(nameOf(a.backEnd)), silenced)
}

// interrupted tells whether the gateway was struck since, so that it may have forgotten what it
// heard. A cut of its link to the store is no such thing.
func (c *checker) interrupted(gateway string, from, to time.Time) bool {
	if !c.gatewayStarts[gateway].Before(from) {
		return true
	}
	for _, each := range c.disturbances {
		if each.place == gateway && each.stopped && each.overlaps(from, to) {
			return true
		}
	}
	return false
}
