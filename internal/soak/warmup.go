package soak

import (
	"context"
	"slices"
	"time"
)

const (
	// awayPause is the time between two tries of an operator while the store is away.
	operatorRetryPause = 50 * time.Millisecond
	// tellingPause is how long a back end that turned cold takes to tell the store.
	coldReportDelay = 600 * time.Millisecond
)

// evacuate orders that a zone gets nothing new, and takes it back. The zone's back ends
// turn cold with that.
func (f *fleet) evacuate(ctx context.Context, zone string, wait func()) {
	f.orderEvacuation(ctx, zone, 1)
	wait()
	f.orderEvacuation(ctx, zone, -1)
}

// order changes the number of faults that evacuate the zone, and tells the store where
// that makes a difference. An operator tries until the store takes it.
func (f *fleet) orderEvacuation(ctx context.Context, zone string, by int) {
	for f.store.isUnavailable() && ctx.Err() == nil {
		sleep(ctx, operatorRetryPause)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.evacuated[zone] += by
	switch {
	case by > 0 && f.evacuated[zone] == 1:
		f.store.putEvacuation(zone, false)
		f.check.evacuationOrdered(zone)
	case by < 0 && f.evacuated[zone] == 0:
		f.check.evacuationWithdrawn(zone)
		for _, b := range f.everyBackEnd() {
			if b.zone == zone {
				f.turnCold(ctx, b)
			}
		}
		f.store.putEvacuation(zone, true)
	}
}

// turnCold makes a back end cold, which tells the store of it a while later. One that is
// down doesn't: it lists itself once it is up.
func (f *fleet) turnCold(ctx context.Context, b *backEnd) {
	if b.isStarting() {
		return
	}
	id, incarnation := b.makeCold()
	f.check.warmUpBegan(id, afterEvacuation)
	f.check.tasks.Go(func() {
		sleep(ctx, coldReportDelay)
		if b.currentIncarnation() == incarnation {
			f.store.putBackEnd(b.entry())
		}
		f.listWarm(ctx, b, incarnation)
	})
}

// listCold lists a back end that has just started.
func (f *fleet) listCold(ctx context.Context, b *backEnd, cause warmUpCause) {
	id, incarnation := b.makeCold()
	f.check.warmUpBegan(id, cause)
	f.store.putBackEnd(b.entry())
	f.check.tasks.Go(func() { f.listWarm(ctx, b, incarnation) })
}

// listWarm tells the store once the back end is warm, if it is still there.
func (f *fleet) listWarm(ctx context.Context, b *backEnd, incarnation int) {
	sleep(ctx, warmUpTime)
	if b.currentIncarnation() == incarnation && b.entry().WarmUp == 0 {
		f.store.putBackEnd(b.entry())
	}
}

// makeCold begins a warm-up and returns the ID and the number of the life.
func (b *backEnd) makeCold() (id string, incarnation int) {
	id = b.id()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.coldUntil, b.starting = time.Now().Add(warmUpTime), false
	return id, b.incarnation
}

// warmUpCause is why a back end is cold.
type warmUpCause uint8

const (
	// afterStart: no gateway knows this life but as a cold one.
	afterStart warmUpCause = iota
	// afterRestart: it is back under its ID, and afterEvacuation: its zone was emptied.
	// Gateways knew it as a warm one, and must have heard of it.
	afterRestart
	afterEvacuation
)

// restartIsTold is how long the store's entry takes to reach all gateways: until then nobody
// can know that a back end which is back under its ID is another.
const restartPropagation = time.Second

// warming is a warm-up of a back end.
type warmUpPeriod struct {
	backEnd  string
	from, to time.Time
	cause    warmUpCause
}

func (c *checker) warmUpBegan(id string, cause warmUpCause) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	c.warmUps = append(c.warmUps, warmUpPeriod{backEnd: id, from: now, to: now.Add(warmUpTime), cause: cause})
}

// evacuation is an order on a zone.
type evacuation struct {
	zone     string
	from, to time.Time
}

func (c *checker) evacuationOrdered(zone string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.evacuations = append(c.evacuations, evacuation{zone: zone, from: time.Now()})
}

func (c *checker) evacuationWithdrawn(zone string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for i := range c.evacuations {
		if each := &c.evacuations[i]; each.zone == zone && each.to.IsZero() {
			each.to = time.Now()
		}
	}
}

// checkEvacuation checks that a request didn't go to a zone that is evacuated.
func (c *checker) checkEvacuation(s sentRequest, a arrival) {
	for _, each := range c.evacuations {
		if each.zone != a.zone || !each.to.IsZero() || a.at.Sub(each.from) <= evacuationBound+slack {
			continue
		}
		if c.undisturbed(s.gateway, each.from, a.at) && !c.linkDisturbed(a) {
			c.failLocked(PromiseEvacuation, "%s in %s got %s from %s %v after the order", a.backEnd, a.zone, a.request, s.gateway, a.at.Sub(each.from).Round(time.Millisecond))
		}
	}
}

// linkOf names the place of trouble at the link of a back end: what is held up there
// arrives all at once.
func linkPlace(name string) string { return name + " link" }

// judgeWarmUps checks how much each back end got in any second while it was cold.
func (c *checker) judgeWarmUps() {
	times := map[string][]time.Time{}
	for _, arrivals := range c.arrivals {
		for _, each := range arrivals {
			times[each.backEnd] = append(times[each.backEnd], each.at)
		}
	}
	for _, each := range c.warmUps {
		c.judgeWarmUp(each, times[each.backEnd])
	}
}

func (c *checker) judgeWarmUp(period warmUpPeriod, times []time.Time) {
	name := nameOf(period.backEnd)
	if period.cause != afterStart && c.disturbed(period.from.Add(-quietTime), period.to, everywhere) {
		return
	}
	if c.disturbed(period.from.Add(-quietTime), period.to, linkPlace(name)) {
		return
	}
	from := period.from
	if period.cause == afterRestart {
		from = from.Add(restartPropagation)
	}
	var cold []time.Time
	for _, at := range times {
		if !at.Before(from) && at.Before(period.to) {
			cold = append(cold, at)
		}
	}
	slices.SortFunc(cold, time.Time.Compare)
	for first, at := range cold {
		count := 0
		for count < len(cold)-first && cold[first+count].Sub(at) < time.Second {
			count++
		}
		if float64(count) > warmUpOverage*warmUpRate+warmUpExtra {
			c.failLocked(PromiseWarmUp, "%s got %d requests in one second, %v after it turned cold", period.backEnd, count, at.Sub(period.from).Round(time.Millisecond))
			return
		}
	}
}
