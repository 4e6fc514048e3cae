// Package fairshare divides what the back ends of a service admit among its tenants, over all
// gateways, by weighted max-min fairness.
//
// It answers the load pattern of one or a few tenants that bring many times their usual load while
// capacity is short. Without it, all tenants are refused in proportion to what they ask for, so the
// one that asks for most displaces the others. Here, part of the requests of each tenant beyond its
// share is marked as excess, and excess requests get only the room that no other request needs.
//
// Share is a state machine without I/O: callers pass in the time.
package fairshare

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxTotalsAge is the age up to which the sums over all gateways are used: several of the
	// intervals at which they arrive. Without them this gateway's own figures are used.
	maxTotalsAge = 1500 * time.Millisecond
	// assessmentInterval is how long an assessment of this gateway's own figures is used.
	assessmentInterval = 50 * time.Millisecond
)

// Share counts the work that tenants ask a service for and that it admits, and determines which
// requests are beyond their tenant's share. Work is in tokens. It is not safe for concurrent use.
type Share struct {
	service uint32
	tenants map[string]*tenant
	weights map[uint32]float64
	// demand and admitted are the rates of all tenants together. refused and unserved are what was
	// refused recently, in total and without excess requests.
	demand, admitted  rate
	refused, unserved rate
	// squares is the rate of the squares of the requests' work.
	squares rate
	// total is the demand at all gateways, for Part.
	total totalDemand
	// assessment is the last one. assessedAt is when it was made, and isOwn is set if it is based
	// on this gateway's own figures only.
	assessment assessment
	assessedAt time.Time
	isOwn      bool
}

// tenant holds this gateway's figures of a tenant.
type tenant struct {
	key              uint32
	demand, admitted rate
}

// New returns the Share of a service at a gateway.
func New(service string) *Share {
	return &Share{
		service: Key(service), tenants: map[string]*tenant{}, isOwn: true,
		demand: newRate(timeConstant), admitted: newRate(timeConstant), squares: newRate(timeConstant),
		refused: newRate(recentTimeConstant), unserved: newRate(recentTimeConstant),
	}
}

// SetWeights sets the weights of tenants by name. Tenants without a weight above 0 have weight 1.
func (s *Share) SetWeights(weights map[string]float64) {
	s.weights = make(map[uint32]float64, len(weights))
	for name, weight := range weights {
		s.weights[Key(name)] = weight
	}
}

// Request is a request as it was counted.
type Request struct {
	// Excess is set if it is beyond its tenant's share.
	Excess bool

	tenant              string
	work                float64
	arrivedAt, admitted time.Time
}

// Begin counts a request of the given work as asked for and, until Admit, as refused. Requests
// without a tenant count as those of the tenant "". See Excess for the key.
func (s *Share) Begin(now time.Time, name, key string, work float64) Request {
	request := Request{Excess: s.Excess(now, name, key), tenant: name, work: work, arrivedAt: now}
	s.tenant(name).demand.note(now, work)
	s.demand.note(now, work)
	s.squares.note(now, work*work)
	s.refused.note(now, work)
	if !request.Excess {
		s.unserved.note(now, work)
	}
	return request
}

// Admit counts the request as admitted: it is sent to a back end. It has no effect on one that
// counts as admitted.
func (s *Share) Admit(now time.Time, request *Request) {
	if !request.admitted.IsZero() {
		return
	}
	request.admitted = now
	s.tenant(request.tenant).admitted.note(now, request.work)
	s.admitted.note(now, request.work)
	s.refused.withdraw(now, request.arrivedAt, request.work)
	if !request.Excess {
		s.unserved.withdraw(now, request.arrivedAt, request.work)
	}
}

// Withdraw undoes Admit: no back end took the request.
func (s *Share) Withdraw(now time.Time, request *Request) {
	if request.admitted.IsZero() {
		return
	}
	s.tenant(request.tenant).admitted.withdraw(now, request.admitted, request.work)
	s.admitted.withdraw(now, request.admitted, request.work)
	request.admitted = time.Time{}
	s.refused.note(now, request.work)
	if !request.Excess {
		s.unserved.note(now, request.work)
	}
}

func (s *Share) tenant(name string) *tenant {
	known := s.tenants[name]
	if known == nil {
		known = &tenant{key: Key(name), demand: newRate(timeConstant), admitted: newRate(timeConstant)}
		s.tenants[name] = known
	}
	return known
}

// Demands returns this gateway's figures of the service and of its largest tenants, to be summed
// up over all gateways.
func (s *Share) Demands(now time.Time) []Demand { return Largest(s.ownDemands(now)) }

// ownDemands returns the figures of the service and of all its tenants. It forgets tenants that
// are gone.
func (s *Share) ownDemands(now time.Time) []Demand {
	list := []Demand{{
		Service: s.service, Tenant: allTenants, Demand: units(s.demand.at(now)), Admitted: units(s.admitted.at(now)),
		Refused: units(s.refused.at(now)), Unserved: units(s.unserved.at(now)),
	}}
	for name, each := range s.tenants {
		wanted := units(each.demand.at(now))
		if wanted > 0 {
			list = append(list, Demand{Service: s.service, Tenant: each.key, Demand: wanted})
		} else if units(each.admitted.at(now)) == 0 {
			delete(s.tenants, name)
		}
	}
	return list
}

// SetTotals sets the sums of the figures of all gateways, including this one. Figures of other
// services are ignored. Gateways that aren't included don't matter much: shares are relative to
// what the included ones admit.
func (s *Share) SetTotals(now time.Time, totals []Demand) {
	s.assessment, s.assessedAt, s.isOwn = s.assess(totals), now, false
	s.setTotal(now, totals)
}

// assessmentAt returns the assessment of the last sums, or of this gateway's own figures if those
// are outdated.
func (s *Share) assessmentAt(now time.Time) assessment {
	validity := maxTotalsAge
	if s.isOwn {
		validity = assessmentInterval
	}
	if s.assessedAt.IsZero() || now.Sub(s.assessedAt) > validity {
		s.assessment, s.assessedAt, s.isOwn = s.assess(s.ownDemands(now)), now, true
	}
	return s.assessment
}

// Excess reports whether a request is beyond its tenant's share. Of a tenant that asks for more
// than its share, that is a fraction 1 - share/demand of the requests. They are drawn by a hash of
// the request's key, so that all gateways choose the same ones, and a request that is in excess at
// one demand still is at a higher one.
func (s *Share) Excess(now time.Time, name, key string) bool {
	demand, share := s.standing(now, name)
	if demand <= share {
		return false
	}
	const scale = 1 << 32
	return float64(xxhash.Sum64String("excess/"+key)%scale) >= share/demand*scale
}

// standing returns what the tenant asks all gateways for, and its share of what they admit. The
// share is infinite while capacity isn't short.
func (s *Share) standing(now time.Time, name string) (demand, share float64) {
	assessment := s.assessmentAt(now)
	key := Key(name)
	demand = assessment.demands[key]
	if known := s.tenants[name]; known != nil {
		// A tenant that isn't among the largest ones asks at least for what it asks this gateway.
		demand = max(demand, known.demand.at(now))
	}
	return demand, max(s.weight(key)*assessment.level, assessment.smallest)
}

func (s *Share) weight(key uint32) float64 {
	if weight := s.weights[key]; weight > 0 {
		return weight
	}
	return 1
}

// TenantStatus is the state of a tenant of a service, in tokens of work per second.
type TenantStatus struct {
	Name string
	// Demand is what it asks all gateways for, as far as is known, and Share its share of what they
	// admit. The share is infinite while capacity isn't short.
	Demand, Share float64
	// OwnDemand is what it asks this gateway for, and OwnAdmitted what this gateway admits.
	OwnDemand, OwnAdmitted float64
}

// maxStatuses limits the tenants that are reported to operators.
const maxStatuses = 8

// Statuses returns the status of the largest tenants that this gateway serves.
func (s *Share) Statuses(now time.Time) []TenantStatus {
	s.assessmentAt(now) // an assessment may forget tenants, so it comes before the list of names
	var list []TenantStatus
	for _, name := range slices.Sorted(maps.Keys(s.tenants)) {
		demand, share := s.standing(now, name)
		own := s.tenants[name]
		list = append(list, TenantStatus{Name: name, Demand: demand, Share: share, OwnDemand: own.demand.at(now), OwnAdmitted: own.admitted.at(now)})
	}
	slices.SortStableFunc(list, func(a, b TenantStatus) int { return compareDescending(a.Demand, b.Demand) })
	return list[:min(len(list), maxStatuses)]
}
