package dispatch

import "time"

// breakOff lets the stream of the exchange break off because its back end has ended.
func breakOff(core *Core, now time.Time, x *Exchange) Decision {
	decision := core.Truncated(now, x)
	if decision.Confirm != nil {
		return core.TakeUp(now, x, RunEnd{Ended: true})
	}
	return decision
}
