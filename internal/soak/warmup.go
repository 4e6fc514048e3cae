package soak

import (
	"context"
	"slices"
	"time"
)

const (
	// operatorRetryPause is the time between two attempts of an operator to write while the
	// store is unavailable.
	operatorRetryPause = 50 * time.Millisecond
	// coldReportDelay is how long a back end that turned cold takes to update its entry in the
	// store.
	coldReportDelay = 600 * time.Millisecond
)

// evacuate orders the evacuation of a zone and withdraws it when wait returns. The zone's back ends
// turn cold with the withdrawal.
func (f *fleet) evacuate(ctx context.Context, zone string, wait func()) {
	f.orderEvacuation(ctx, zone, 1)
	wait()
	f.orderEvacuation(ctx, zone, -1)
}

// orderEvacuation changes the number of active faults that evacuate the zone, and writes the first
// order and the last withdrawal to the store. The operator retries until the store is available.
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

// isEvacuated reports whether a zone is evacuated.
func (f *fleet) isEvacuated(zone string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.evacuated[zone] > 0
}

// turnCold makes a back end cold; it updates its entry in the store a while later. A back end that is
// starting is skipped, since it lists itself as cold once it is up.
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

// listCold lists a back end that has just started, and is cold, in the store.
func (f *fleet) listCold(ctx context.Context, b *backEnd, cause warmUpCause) {
	id, incarnation := b.makeCold()
	f.check.warmUpBegan(id, cause)
	f.store.putBackEnd(b.entry())
	f.check.tasks.Go(func() { f.listWarm(ctx, b, incarnation) })
}

// listWarm updates the store's entry after the warm-up, if the back end hasn't restarted and isn't
// cold again.
func (f *fleet) listWarm(ctx context.Context, b *backEnd, incarnation int) {
	sleep(ctx, warmUpTime)
	if b.currentIncarnation() == incarnation && b.entry().WarmUp == 0 {
		f.store.putBackEnd(b.entry())
	}
}

// makeCold begins a warm-up and returns the ID and the incarnation's number.
func (b *backEnd) makeCold() (id string, incarnation int) {
	id = b.id()
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.coldUntil, b.starting = time.Now().Add(warmUpTime), false
	return id, b.incarnation
}

// warmUpCause is the reason for a warm-up.
type warmUpCause uint8

const (
	// afterStart is a start under a new ID, which no gateway has seen warm.
	afterStart warmUpCause = iota
	// afterRestart is a restart under the same ID. afterEvacuation is the end of an evacuation of
	// the zone. In both cases gateways have seen the back end warm and must first learn that it
	// is cold.
	afterRestart
	afterEvacuation
)

// restartPropagation is how long a store entry takes to reach all gateways. Until then no gateway
// can know that a back end has restarted under its ID.
const restartPropagation = time.Second

// warmUpPeriod is a warm-up of a back end.
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

// evacuation is an order to evacuate a zone. from is the time of the order and to that of its
// withdrawal, or zero while the order is in force.
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

// checkEvacuation checks that a request didn't go to a zone whose evacuation is in force. The mutex
// is held.
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

// linkPlace returns the place of disturbances of the back end's link. Requests that are blocked
// there arrive all at once later.
func linkPlace(name string) string { return name + " link" }

// judgeWarmUps checks how many requests each back end got in any second while it was cold.
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

// judgeWarmUp checks one warm-up. The warm-up is exempt if the back end's link was disturbed, since
// requests that were blocked there arrive all at once. A warm-up that gateways must first learn of is
// also exempt if all gateways were disturbed. Disturbances in the quietTime before it count too.
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
