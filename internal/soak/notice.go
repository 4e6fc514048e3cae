package soak

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/harriernotch/harriernotch/internal/soak/wire"
)

// Back ends send two kinds of notices in their answers: that they are leaving, and, with a refusal,
// for how long they want no requests from that gateway (Retry-After), which is called rest.

const (
	// announceDelay is how long a back end announces only in its answers that it is leaving,
	// before the store lists it as leaving.
	announceDelay = 3 * time.Second
	// restTime is the rest that a back end asks for. A gateway may continue to send for restGrace,
	// and may send restExtra requests in the remaining time.
	restTime  = 2 * time.Second
	restGrace = 500 * time.Millisecond
	restExtra = 2
)

// silenced is the place of connections that were silenced: answers on them never arrive.
const silenced = "silenced"

// leaveUnannounced drains a back end that for announceDelay announces it only in its answers.
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

// isLeaving returns whether the back end currently has the ID and is leaving.
func (b *backEnd) isLeaving(id string) bool {
	if b.id() != id {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.leaving
}

// writeNotices adds the notice that the back end is leaving to an answer, if it is.
func (b *backEnd) writeNotices(header http.Header, forwarded wire.Forwarded) {
	if id := b.id(); b.isLeaving(id) {
		b.fleet.environment.Protocol().WriteLeaving(header)
		b.fleet.check.leavingAnnounced(forwarded.Request, id)
	}
}

// refuseWithRetryAfter refuses a request and asks its gateway for rest with a Retry-After.
func (b *backEnd) refuseWithRetryAfter(w http.ResponseWriter, forwarded wire.Forwarded) {
	b.fleet.environment.Protocol().WriteNotRun(w.Header(), forwarded.Request)
	w.Header().Set("Retry-After", strconv.Itoa(int(restTime/time.Second)))
	b.fleet.check.restRequested(forwarded.Request, b.id())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// noticeKey identifies a back end's notices to one gateway.
type noticeKey struct{ backEnd, gateway string }

// restPeriod is the time in which a back end wants no requests from a gateway. It begins restGrace
// and slack after the refusal; until then the gateway may continue to send.
type restPeriod struct {
	noticeKey
	from, to time.Time
	// got counts the requests in this time.
	got int
}

// notices records the notices that back ends sent to gateways.
type notices struct {
	// leavingAnnounced is the ID of the back end whose answer to a request announced that it is
	// leaving, by request. passedOnAt is when a caller first received such an answer through a
	// gateway.
	leavingAnnounced map[string]string
	passedOnAt       map[noticeKey]time.Time
	rests            []*restPeriod
}

func newNotices() notices {
	return notices{leavingAnnounced: map[string]string{}, passedOnAt: map[noticeKey]time.Time{}}
}

// leavingAnnounced records that the answer to the request announces that the back end is leaving.
func (c *checker) leavingAnnounced(request, backEnd string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.notices.leavingAnnounced[request] = backEnd
}

// notePassedOn records that a caller received an answer which announces that its back end is
// leaving. The mutex is held.
func (c *checker) notePassedOn(s sentRequest, r reply) {
	if r.stamp == "" || c.notices.leavingAnnounced[s.request] != r.stamp {
		return
	}
	key := noticeKey{backEnd: r.stamp, gateway: s.gateway}
	if _, before := c.notices.passedOnAt[key]; !before && c.fleet.backEndOf(r.stamp).isLeaving(r.stamp) {
		c.notices.passedOnAt[key] = r.at
	}
}

// restRequested records that the back end refuses the request and asks for rest.
func (c *checker) restRequested(request, backEnd string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	c.notices.rests = append(c.notices.rests, &restPeriod{
		noticeKey: noticeKey{backEnd: backEnd, gateway: c.sentRequests[request].gateway},
		from:      now.Add(restGrace + slack), to: now.Add(restTime),
	})
}

// forgetNotices drops the notices of an earlier incarnation of the back end. The mutex is held.
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

// checkNotices checks that a request didn't go to a back end whose notices forbade its gateway to
// send it. Unlike for the other bounds, a disturbance of the store or of the gateway's link to it is
// no excuse, since the gateway received the notice itself. The mutex is held.
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

// mayHaveMissedRest returns whether the gateway may not have received the request for rest, or may
// have lost it since.
func (c *checker) mayHaveMissedRest(a arrival, asked *restPeriod) bool {
	from := asked.from.Add(-restGrace - slack)
	return c.interrupted(asked.gateway, from, a.at) || c.disturbed(from, a.at, linkPlace(nameOf(a.backEnd)), silenced)
}

// interrupted returns whether the gateway was stopped or paused in the time, so that it may have lost
// the notices that it received. A fault of its link to the store is no interruption.
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
