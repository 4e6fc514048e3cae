package agent

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/admission"
	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/membership"
)

// observePool lists the loads of the pool's other members. One that is gone or
// taken for dead doesn't count towards the mean.
func (c *Core) observePool(now time.Time) admission.PoolObserved {
	var observed admission.PoolObserved
	pool := c.Pool()
	if pool == nil {
		return observed
	}
	for _, id := range pool.MemberIDs() {
		if id == c.config.Identity.ID {
			continue
		}
		if load, counts := c.observeMember(now, pool, id); counts {
			observed.Others = append(observed.Others, load)
		}
	}
	return observed
}

// observeMember returns a member's load, and whether it counts. A member that
// was not heard of since this process woke or started may be there with any
// load: it counts as idle, which keeps the bound low, until its silence has
// lasted long enough to mean something.
func (c *Core) observeMember(now time.Time, pool *bundle.Pool, id string) (load admission.ObservedLoad, counts bool) {
	runningSince := c.node.RunningSince()
	inGrace := now.Sub(runningSince) <= c.silenceGrace(pool)
	table := c.node.Table()
	entry := table.Entry(id)
	if entry == nil {
		return admission.ObservedLoad{Member: id, At: now}, inGrace
	}
	if table.Liveness(now, entry) == membership.Leaving {
		return admission.ObservedLoad{}, false
	}
	if inGrace && entry.RecordedAt.Before(runningSince) {
		return admission.ObservedLoad{Member: id, At: now}, true
	}
	if c.isPresumedDead(now, pool, entry) {
		return admission.ObservedLoad{}, false
	}
	return admission.ObservedLoad{Member: id, Load: int(entry.Load), At: entry.RecordedAt}, true
}

// settlePerMember stretches the time that a process takes to learn of its pool.
const silenceGracePerMember = 30 * time.Millisecond

// settleTime is how long after a start or a pause silence means nothing yet.
func (c *Core) silenceGrace(pool *bundle.Pool) time.Duration {
	return c.config.Coordination.Membership.SilentAfter + time.Duration(len(pool.BackEnds))*silenceGracePerMember
}

// isSilent tells whether a member is taken for dead: it was silent for long, or
// for one window while a router could not reach it either. Neither sign alone
// is enough within that time: a router may be cut off, and gossip may be late.
// Nor are both where routers reach hardly any member: then it is the routers
// that are cut off.
func (c *Core) isPresumedDead(now time.Time, pool *bundle.Pool, entry *membership.Entry) bool {
	age := now.Sub(entry.RecordedAt)
	if age > c.config.Coordination.Membership.SilentAfter {
		return true
	}
	return age > pool.MeanWindow.Std() && c.node.Table().IsUnreachable(now, entry) && !c.routersCutOff(now, pool)
}

// routersCutOff tells whether half of the pool's other members or more count as
// unreachable.
func (c *Core) routersCutOff(now time.Time, pool *bundle.Pool) bool {
	table := c.node.Table()
	others, unreachable := 0, 0
	for _, id := range pool.MemberIDs() {
		if id == c.config.Identity.ID {
			continue
		}
		others++
		if entry := table.Entry(id); entry != nil && table.IsUnreachable(now, entry) {
			unreachable++
		}
	}
	return others > 2 && 2*unreachable >= others
}
