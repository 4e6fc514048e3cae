package agent

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/admission"
	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/membership"
)

// observePool returns the loads of the pool's other members. Members that are
// leaving, have left or are presumed dead don't count towards the mean load.
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

// observeMember returns a member's load, and whether it counts. A member without
// a record since this process started or last resumed may be running with any
// load. It counts as idle, which keeps the bound low, until silenceGrace has
// passed: before that, its silence is no evidence that it is dead.
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

// silenceGracePerMember extends the grace period with the size of the pool: a process
// takes longer to receive the records of a larger pool.
const silenceGracePerMember = 30 * time.Millisecond

// silenceGrace returns how long after a start or a pause the silence of a member is no
// evidence that it is dead.
func (c *Core) silenceGrace(pool *bundle.Pool) time.Duration {
	return c.config.Coordination.Membership.SilentAfter + time.Duration(len(pool.BackEnds))*silenceGracePerMember
}

// isPresumedDead reports whether a member is presumed dead: it has been silent for
// longer than SilentAfter, or for longer than the window of the mean load while a
// router couldn't connect to it either. Before SilentAfter, neither sign is enough
// alone: the router may be cut off, or gossip may be late. Both together aren't
// enough either if the routers can't connect to half of the pool or more: then the
// routers are probably cut off.
func (c *Core) isPresumedDead(now time.Time, pool *bundle.Pool, entry *membership.Entry) bool {
	age := now.Sub(entry.RecordedAt)
	if age > c.config.Coordination.Membership.SilentAfter {
		return true
	}
	return age > pool.MeanWindow.Std() && c.node.Table().IsUnreachable(now, entry) && !c.routersCutOff(now, pool)
}

// routersCutOff reports whether at least half of the pool's other members count as
// unreachable. In a pool with at most two other members it is always false.
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
