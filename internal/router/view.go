package router

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/membership"
	"github.com/harriernotch/harriernotch/internal/routing"
)

// maxPiggybackedRecords bounds the membership records sent with one request.
const maxPiggybackedRecords = 4

// countLiveRouters returns the number of routers that are alive, including this one. Those that
// are flapping, doubtful or leaving aren't counted.
func (c *Core) countLiveRouters(now time.Time) int {
	routers := 1
	table := c.node.Table()
	table.Entries(func(entry *membership.Entry) {
		if entry.Role == membership.RoleRouter && table.Liveness(now, entry) == membership.Alive {
			routers++
		}
	})
	return routers
}

// members returns the router's view of the pool, in the bundle's order.
func (c *Core) members(now time.Time, pool *bundle.Pool) []routing.Member {
	table := c.node.Table()
	members := make([]routing.Member, 0, len(pool.BackEnds))
	for _, backEnd := range pool.BackEnds {
		member := routing.Member{ID: backEnd.ID}
		if entry := table.Entry(backEnd.ID); entry != nil {
			member.Health = c.health(table.Liveness(now, entry))
			member.Incarnation = uint32(entry.Incarnation)
			member.Load = int(entry.Load)
			member.LoadAge = now.Sub(entry.RecordedAt)
			member.LoadKnown = entry.Incarnation != 0
		}
		if backEnd.Leaving {
			member.Health = routing.HealthLeaving
		}
		members = append(members, member)
	}
	return members
}

func (c *Core) health(liveness membership.Liveness) routing.Health {
	switch liveness {
	case membership.Leaving:
		if c.config.IgnoreLeaving {
			return routing.HealthAlive
		}
		return routing.HealthLeaving
	case membership.Flapping:
		return routing.HealthFlapping
	case membership.Doubtful:
		return routing.HealthDoubtful
	default:
		return routing.HealthAlive
	}
}

// unreachable returns the members to which a connection failed recently. Without this
// information, agents would count a dead member towards the mean load, with at most its
// last load, until it has been silent for the membership's SilentAfter. This can keep
// their bound too low.
func (c *Core) unreachable(now time.Time, poolName string) []string {
	pool := c.node.Bundle().Content.Pool(poolName)
	if pool == nil {
		return nil
	}
	table := c.node.Table()
	var ids []string
	for _, id := range pool.MemberIDs() {
		if entry := table.Entry(id); entry != nil && table.IsUnreachable(now, entry) {
			ids = append(ids, id)
		}
	}
	return ids
}

// piggyback returns the control information to send with a request for the pool, with
// the pool's freshest records.
func (c *Core) piggyback(now time.Time, poolName string) hop.Piggyback {
	current := c.node.Bundle()
	piggyback := hop.Piggyback{Number: current.Number, ContactAgeMillis: c.node.ContactAge(now).Milliseconds()}
	if pool := current.Content.Pool(poolName); pool != nil {
		piggyback.Records = c.node.Table().Freshest(now, maxPiggybackedRecords, pool.MemberIDs())
	}
	return piggyback
}
