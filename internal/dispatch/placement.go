package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/routing"
)

// choose returns the member for the next attempt, or nil when none has room.
func (c *Core) choose(now time.Time, x *Exchange) *member {
	candidates := c.candidates(now, x)
	if len(candidates) == 0 {
		return nil
	}
	if x.request.affinity() != "" && !c.config.Disabled[Affinity] {
		return c.chooseCaching(now, x, candidates)
	}
	return c.leastLoaded(now, x, candidates)
}

// candidates returns the members that may take the request. Where fewer than half
// of those that aren't leaving are usable, the trouble is the pool's rather than a
// member's: then all that can be reached are, so that a few don't carry the load of
// all; and where none can be, all are.
func (c *Core) candidates(now time.Time, x *Exchange) []*member {
	var usable, reachable, all []*member
	for _, m := range c.poolOf(now, x.service) {
		leaves := m.backEnd.Leaving && !c.config.Disabled[RespectLeaving]
		if leaves || x.wasTried(m) {
			continue
		}
		all = append(all, m)
		isUsable := m.health.usable(now, x.request.Route.MayRepeat())
		if isUsable {
			usable = append(usable, m)
		}
		if isUsable || m.health.reachable(now) {
			reachable = append(reachable, m)
		}
	}
	switch {
	case len(usable) > 0 && (2*len(usable) >= len(all) || c.config.Disabled[WholePool]):
		return usable
	case len(reachable) > 0:
		return reachable
	default:
		return all
	}
}

// capacity is the load up to which a back end is given requests of an urgency.
// Plain services may queue for a while: their work is short. Where prompts are
// cached every further request slows all that run beside it, so there the least
// urgent requests are refused first, while the others still find room.
func (c *Core) capacity(m *member, x *Exchange) float64 {
	if m.backEnd.Slots <= 0 {
		return defaultCapacity
	}
	slots := float64(m.backEnd.Slots)
	if x.request.affinity() == "" {
		return slots * c.config.QueueFactor
	}
	rank := min(x.request.Urgency, lastUrgencyStep)
	if c.config.Disabled[UrgencySteps] {
		rank = 0
	}
	return slots * (c.config.CachingFactor - urgencyStep*float64(rank))
}

const (
	// urgencyStep is the part of a caching back end's slots that each less urgent
	// rank leaves free, up to lastUrgencyStep ranks.
	urgencyStep     = 0.08
	lastUrgencyStep = 4
)

// hasRoom tells whether the request is within the member's capacity.
func (c *Core) hasRoom(now time.Time, m *member, x *Exchange) bool {
	return c.estimate(now, m)+1 <= c.capacity(m, x)
}

// defaultCapacity is used for back ends that don't tell their slots.
const defaultCapacity = 64

// chooseCaching returns the first member within the bound on load, in the order of
// preference.
func (c *Core) chooseCaching(now time.Time, x *Exchange, candidates []*member) *member {
	bound := c.bound(now, x)
	for _, m := range c.preferred(now, x, candidates) {
		wins := c.winsRoom(now, x, m, bound)
		// Noted afterwards: a rate that counts the request itself would be too high by
		// one a second.
		m.demand.note(now)
		if wins && c.hasRoom(now, m, x) {
			return m
		}
	}
	return c.leastLoaded(now, x, candidates)
}

const (
	// homesWeighed is the number of members, first in rendezvous order, among which
	// a part gets a new home where memory is scarce: two make homes far more even
	// than one, and gateways that don't yet know of each other's choices still pick
	// one of the same two.
	homesWeighed = 2
	// scarceMemory is the share of a member's memory from which it counts as scarce.
	// Below it nothing gives way early, and the order alone decides: that is the one
	// thing that gateways agree on after all of them have restarted.
	scarceMemory = 0.5
)

// preferred returns the candidates in the order of choice: first those that are
// believed to hold the prompt's shared parts, then the others, each in rendezvous
// order. So a part is read by the same member whichever gateway a caller meets, and
// a member that joins takes over what finds no room at its holders.
func (c *Core) preferred(now time.Time, x *Exchange, candidates []*member) []*member {
	byID := make(map[string]*member, len(candidates))
	ids := make([]string, len(candidates))
	for i, m := range candidates {
		ids[i] = m.backEnd.ID
		byID[ids[i]] = m
	}
	holding := c.holders.holding(now, keyOf(x.request.affinity()))
	var holders, others []*member
	for _, id := range routing.Rank(x.request.affinity(), ids) {
		if slices.Contains(holding, id) && !c.config.Disabled[HoldersFirst] {
			holders = append(holders, byID[id])
		} else {
			others = append(others, byID[id])
		}
	}
	if len(others) > 0 && c.memoryShare(others[0]) > scarceMemory && !c.config.Disabled[EvenMemory] {
		slices.SortStableFunc(others[:min(homesWeighed, len(others))], func(a, b *member) int {
			return cmp.Compare(c.memoryShare(a), c.memoryShare(b))
		})
	}
	return append(holders, others...)
}

// memoryShare is the share of a member's memory that the prompts it is believed to
// hold would fill; 0 when its size is unknown.
func (c *Core) memoryShare(m *member) float64 {
	tokens := c.services[m.backEnd.Service].CacheTokens
	if tokens <= 0 {
		return 0
	}
	return float64(c.holders.held[m.backEnd.ID]) / float64(tokens)
}

// otherZone is added to the load of a member in another zone, so that an equal
// choice stays in the zone.
const otherZone = 0.5

// leastLoaded returns the member with the least load for its slots, or nil when
// all are full. Ties are broken by a hash of the request, so that gateways don't
// all pick the same member.
func (c *Core) leastLoaded(now time.Time, x *Exchange, candidates []*member) *member {
	var best *member
	var bestLoad float64
	var bestHash uint64
	for _, m := range candidates {
		if !c.hasRoom(now, m, x) {
			continue
		}
		load := c.estimate(now, m)
		if m.backEnd.Zone != c.config.Zone && !c.config.Disabled[OwnZone] {
			load += otherZone
		}
		load /= float64(max(m.backEnd.Slots, 1))
		hash := xxhash.Sum64String(x.request.ID + m.backEnd.ID)
		if best == nil || load < bestLoad || load == bestLoad && hash < bestHash {
			best, bestLoad, bestHash = m, load, hash
		}
	}
	return best
}

// fetchSource returns the address of a back end from which the chosen one can
// copy the prompt's shared parts instead of reading them, or "". It is the last
// one known to have read them, else the first in rendezvous order of all members,
// leaving ones included: where the chosen one has joined, that is the one whose
// place it took.
func (c *Core) fetchSource(now time.Time, x *Exchange, chosen *member) string {
	part := x.request.affinity()
	if part == "" || c.config.Disabled[Copying] {
		return ""
	}
	holding := c.holders.holding(now, keyOf(part))
	for _, id := range append(holding, c.rankAll(now, x)...) {
		m := c.present(now, id)
		if m != nil && m != chosen && m.health.reachable(now) {
			return m.backEnd.Address
		}
	}
	return ""
}

// rankAll returns all members of the request's service in rendezvous order.
func (c *Core) rankAll(now time.Time, x *Exchange) []string {
	pool := c.poolOf(now, x.service)
	ids := make([]string, len(pool))
	for i, m := range pool {
		ids[i] = m.backEnd.ID
	}
	return routing.Rank(x.request.affinity(), ids)
}
