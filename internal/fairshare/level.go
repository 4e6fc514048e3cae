package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// restTolerance is the fraction of the demand that the listed tenants may leave out while the list
// still counts as complete. It covers the rounding of hundreds of gateways.
const restTolerance = 0.02

// assessment is what follows from the figures of all gateways.
type assessment struct {
	// demands is what the listed tenants ask for, by key.
	demands map[uint32]float64
	// level is the share of a tenant of weight 1; infinite while capacity isn't short.
	level float64
	// smallest is the demand of the smallest listed tenant if there are more than are listed,
	// otherwise 0. No share is lower: further tenants may ask for as much as the smallest one and
	// aren't marked, so listed ones that ask for the same must not be marked either.
	smallest float64
}

// claim is the demand of a tenant, or of several that are considered together.
type claim struct{ demand, weight float64 }

// assess determines the level from the figures of the service.
func (s *Share) assess(list []Demand) assessment {
	result := assessment{demands: map[uint32]float64{}, level: math.Inf(1)}
	var all Demand
	var claims []claim
	smallest, rest := math.Inf(1), 0.0
	for _, each := range list {
		switch {
		case each.Service != s.service:
		case each.Tenant == allTenants:
			all = each
		default:
			demand := each.Demand.perSecond()
			result.demands[each.Tenant] = demand
			claims = append(claims, claim{demand: demand, weight: s.weight(each.Tenant)})
			smallest = min(smallest, demand)
			rest -= demand
		}
	}
	rest += all.Demand.perSecond()
	if !all.refuses() {
		return result
	}
	if rest > restTolerance*all.Demand.perSecond() && len(claims) > 0 {
		// The tenants that aren't listed ask for at most as much as the smallest listed one, so there
		// are at least this many of them.
		claims = append(claims, claim{demand: rest, weight: rest / smallest})
		result.smallest = smallest
	}
	if len(claims) > 1 { // a sole tenant displaces nobody
		result.level = levelOf(claims, all.Admitted.perSecond(), all.Unserved.perSecond())
	}
	return result
}

const (
	// growth is the fraction by which the shares together exceed what is admitted while no request
	// within a share is refused. Without it, excess requests that find no room would keep the level
	// where it is after capacity has become free.
	growth = 0.04
	// correction is by how much less the shares are together, as a multiple of the work within
	// shares that was refused recently, and maxCorrection limits that to a fraction of what is
	// admitted. The work within shares varies, and without a margin some of it finds no room.
	correction    = 30
	maxCorrection = 0.2
)

// levelOf returns the level for what is admitted, and for the part of the work within shares that
// was refused. For the latter, only the shares of tenants that ask for more are lowered, and not
// below what the others ask for: these must not be marked while there is one to take from.
func levelOf(claims []claim, admitted, unserved float64) float64 {
	level, within := fairLevel(claims, (1+growth)*admitted)
	weights, largest := 0.0, 0.0
	for _, each := range claims[within:] {
		weights += each.weight
	}
	if within > 0 {
		largest = claims[within-1].demand / claims[within-1].weight
	}
	if weights == 0 {
		return level
	}
	return max(level-min(correction*unserved, maxCorrection*admitted)/weights, largest, 0)
}

// fairLevel returns the level at which the sum of min(demand, weight * level) over the claims is
// the given capacity, or infinity if that exceeds the sum of the demands. It orders the claims by
// demand for each weight and returns how many of them are within their share.
func fairLevel(claims []claim, capacity float64) (level float64, within int) {
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.demand*b.weight, b.demand*a.weight), cmp.Compare(a.weight, b.weight))
	})
	weights := 0.0
	for _, each := range claims {
		weights += each.weight
	}
	for i, each := range claims {
		if each.demand*weights > capacity*each.weight {
			return capacity / weights, i
		}
		capacity -= each.demand
		weights -= each.weight
	}
	return math.Inf(1), len(claims)
}
