package soak

import "time"

// Bounds on the requests that a defective version gets.
const (
	// exposureShare is the share of the requests between the order and its deadline that a
	// defective version may get, and exposureExtra the number that it may get in addition.
	exposureShare = 0.1
	exposureExtra = 20
	// rollBackBound is how long a defective version may still get requests after it has failed
	// failuresToDetect of them.
	rollBackBound    = 5 * time.Second
	failuresToDetect = 50
)

// moveOrdered records a move order.
func (c *checker) moveOrdered(order *moveOrder) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.moveOrders = append(c.moveOrders, order)
}

// versionFailed records an answer that failed because of the version's defect.
func (c *checker) versionFailed(version string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, each := range c.moveOrders {
		if each.version == version {
			each.failuresAt = append(each.failuresAt, time.Now())
		}
	}
}

// judgeMoves checks that defective versions got few requests and that no verdict was replaced.
func (c *checker) judgeMoves() {
	if replaced := c.fleet.store.replacedVerdictCount(); replaced > 0 {
		c.failLocked(PromiseVerdict, "%d verdicts were replaced by others", replaced)
	}
	for _, each := range c.moveOrders {
		if each.defect.share > 0 {
			c.judgeExposure(each)
			c.judgeRollBack(each)
		}
	}
}

// judgeExposure checks the number of requests that undisturbed gateways sent to a defective version
// between the order and its deadline.
func (c *checker) judgeExposure(order *moveOrder) {
	all, exposed := 0, 0
	for _, id := range c.order {
		for _, each := range c.arrivals[id] {
			if each.at.Before(order.from) || each.at.After(order.from.Add(moveTime)) {
				continue
			}
			all++
			if each.version == order.version && c.undisturbed(c.sentRequests[id].gateway, each.at, each.at) {
				exposed++
			}
		}
	}
	if allowed := exposureShare*float64(all) + exposureExtra; float64(exposed) > allowed {
		c.failLocked(PromiseExposure, "%s, which is bad, got %d of %d requests, %.0f are allowed", order.version, exposed, all, allowed)
	}
}

// judgeRollBack checks that undisturbed gateways sent no requests to a defective version once its
// failures could be known to them. Failures before the end of the last disturbance of all gateways
// don't count.
func (c *checker) judgeRollBack(order *moveOrder) {
	for _, id := range c.order {
		for _, each := range c.arrivals[id] {
			known := each.at.Add(-rollBackBound - slack)
			if each.version != order.version || !c.undisturbed(c.sentRequests[id].gateway, known, each.at) {
				continue
			}
			if c.failuresBefore(order, known) >= failuresToDetect {
				c.failLocked(PromiseExposure, "%s got %s from %s %v after its bad answers were known", order.version, id, c.sentRequests[id].gateway, rollBackBound)
				return
			}
		}
	}
}

// failuresBefore counts the version's failures until the time, from the end of the last disturbance
// that affected all gateways.
func (c *checker) failuresBefore(order *moveOrder, until time.Time) int {
	var from time.Time
	for _, each := range c.disturbances {
		if each.place == everywhere && each.from.Before(until) && each.to.After(from) {
			from = each.to
		}
	}
	count := 0
	for _, at := range order.failuresAt {
		if at.After(from) && !at.After(until) {
			count++
		}
	}
	return count
}
