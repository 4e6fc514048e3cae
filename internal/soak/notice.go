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
	untoldTime = 3 * time.Second
	// restAsked is the time of rest that a back end asks for, restGrace how long a gateway may go
	// on sending, and restExtra how many requests it may send in the rest of that time.
	restAsked = 2 * time.Second
	restGrace = 500 * time.Millisecond
	restExtra = 2
)

// silenced is the place of connections that have gone silent: what was answered on them is never
// heard.
const silenced = "silenced"

// leaveUntold empties a back end that says so in its answers alone for a while.
func (f *fleet) leaveUntold(ctx context.Context, b *backEnd) {
	life := b.lifeNow()
	b.setLeaving()
	sleep(ctx, untoldTime)
	if b.lifeNow() == life {
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
func (b *backEnd) speak(header http.Header, forwarded wire.Forwarded) {
	if id := b.id(); b.isLeaving(id) {
		b.fleet.environment.Protocol().WriteLeaving(header)
		b.fleet.check.saysItLeaves(forwarded.Request, id)
	}
}

// askForRest refuses a request, and wants nothing more from its gateway for a while.
func (b *backEnd) askForRest(w http.ResponseWriter, forwarded wire.Forwarded) {
	b.fleet.environment.Protocol().WriteNotRun(w.Header(), forwarded.Request)
	w.Header().Set("Retry-After", strconv.Itoa(int(restAsked/time.Second)))
	b.fleet.check.asksForRest(forwarded.Request, b.id())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// toldPair is a back end and the gateway that it told something.
type toldPair struct{ backEnd, gateway string }

// rest is a time for which a back end wants nothing from a gateway.
type rest struct {
	toldPair
	from, to time.Time
	// got counts the requests within it.
	got int
}

// notices is what back ends told gateways of themselves.
type notices struct {
	// said is who said that it leaves in the answer to a request, and passedOn when a gateway
	// passed the first such answer on.
	said     map[string]string
	passedOn map[toldPair]time.Time
	rests    []*rest
}

func newNotices() notices {
	return notices{said: map[string]string{}, passedOn: map[toldPair]time.Time{}}
}

// saysItLeaves notes that the answer to the request says that the back end leaves.
func (c *checker) saysItLeaves(request, backEnd string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.notices.said[request] = backEnd
}

// notePassedOn notes that a caller has an answer that says that its back end leaves. The mutex is
// held.
func (c *checker) notePassedOn(s sending, r reply) {
	if r.stamp == "" || c.notices.said[s.request] != r.stamp {
		return
	}
	told := toldPair{backEnd: r.stamp, gateway: s.gateway}
	if _, before := c.notices.passedOn[told]; !before && c.fleet.backEndOf(r.stamp).isLeaving(r.stamp) {
		c.notices.passedOn[told] = r.at
	}
}

// asksForRest notes that the back end refuses the request and wants rest.
func (c *checker) asksForRest(request, backEnd string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	c.notices.rests = append(c.notices.rests, &rest{
		toldPair: toldPair{backEnd: backEnd, gateway: c.sends[request].gateway},
		from:     now.Add(restGrace + slack), to: now.Add(restAsked),
	})
}

// forgetNotices drops what another life of the back end said.
func (c *checker) forgetNotices(backEnd string) {
	for told := range c.notices.passedOn {
		if told.backEnd == backEnd {
			delete(c.notices.passedOn, told)
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
func (c *checker) checkNotices(s sending, a arrival) {
	told := toldPair{backEnd: a.backEnd, gateway: s.gateway}
	if at, leaves := c.notices.passedOn[told]; leaves && s.at.Sub(at) > leavingBound && !c.interrupted(s.gateway, at, a.at) {
		c.failLocked(PromiseNotice, "%s got %s, sent to %s %v after that had passed on its word that it leaves", a.backEnd, a.request, s.gateway, s.at.Sub(at).Round(time.Millisecond))
	}
	for _, each := range c.notices.rests {
		if each.toldPair != told || !a.at.After(each.from) || !a.at.Before(each.to) {
			continue
		}
		if each.got++; each.got == restExtra+1 && !c.unheard(a, each) {
			c.failLocked(PromiseRest, "%s got %d requests from %s by %s within the rest that it had asked for", a.backEnd, each.got, s.gateway, a.request)
		}
	}
}

// unheard tells whether the gateway may not have heard of the rest, or has forgotten it.
func (c *checker) unheard(a arrival, asked *rest) bool {
	from := asked.from.Add(-restGrace - slack)
	return c.interrupted(asked.gateway, from, a.at) || c.disturbed(from, a.at, linkOf(nameOf(a.backEnd)), silenced)
}

// interrupted tells whether the gateway was struck since, so that it may have forgotten what it
// heard. A cut of its link to the store is no such thing.
func (c *checker) interrupted(gateway string, from, to time.Time) bool {
	if !c.lives[gateway].Before(from) {
		return true
	}
	for _, each := range c.spans {
		if each.place == gateway && each.stopped && each.overlaps(from, to) {
			return true
		}
	}
	return false
}
