package gateway

import (
	"math"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/fairshare"
)

// Gauges returns the current values of the gateway's gauges.
func (s *State) Gauges() Gauges {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	gauges := Gauges{
		Version: s.view.Version(), StoreAge: s.storeAge(now), PeerAge: s.core.PeerLoadAge(now),
		Lag: s.lag, Gateways: s.place.Gateways, Evacuated: len(s.view.EvacuatedZones()), LinesDropped: s.log.Dropped(), LinesUnwritten: s.log.Unwritten(),
		Era: s.view.Era(), KeyPolicy: s.keyPolicy(),
	}
	for _, each := range s.core.Rollouts(now) {
		gauges.Rollouts = append(gauges.Rollouts, RolloutGauges{Service: each.Order.Service, State: each.State, Sent: each.Sent, Exposed: each.Exposed})
	}
	for _, service := range s.core.ServiceStatuses(now) {
		gauges.Services = append(gauges.Services, ServiceGauges{
			Name: service.Name, RetryBudget: service.RetryBudget, InFlight: service.InFlight,
			BackEnds: service.BackEnds, Unusable: service.Unusable, PredictionErrors: service.PredictionErrors,
			Backlog: service.Refusals.Backlog, RetryAfter: service.Refusals.RetryAfter,
		})
	}
	return gauges
}

// keyPolicy returns whether requests need a key.
func (s *State) keyPolicy() catalog.KeyPolicy {
	if index := s.view.Index(); index != nil {
		return index.KeyPolicy()
	}
	return catalog.KeyPolicyUnknown
}

// RoleName is the role of a gateway in its status.
const RoleName = "gateway"

// Status is a gateway's state, for operators.
type Status struct {
	// Role is RoleName.
	Role string `json:"role"`
	// Gateways is the number of live gateways, including this one. Reader is true if this one
	// reads the store for the others.
	Gateways int  `json:"gateways"`
	Reader   bool `json:"reader"`
	// StoreAgeSeconds is the time since the store last answered this gateway. LoadAgeSeconds is
	// the age of the oldest loads of other gateways that are still used.
	StoreAgeSeconds float64 `json:"store_age_seconds"`
	LoadAgeSeconds  float64 `json:"load_age_seconds"`
	// Ready and Draining are the state of this gateway.
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	// Version is the version of the current configuration, or 0 without one.
	Version uint64 `json:"version"`
	// Keys is a catalog.KeyPolicy: whether requests on routes that aren't public need a tenant's key.
	Keys string `json:"keys,omitempty"`
	// Evacuated are the zones whose back ends get no new requests.
	Evacuated []string `json:"evacuated_zones,omitempty"`
	// Era is the era of the store, or 0 if it reports none. Rollouts are the services that are
	// being rolled out.
	Era      uint64          `json:"store_era,omitempty"`
	Rollouts []RolloutStatus `json:"rollouts,omitempty"`
	// Unreadable are the objects of the store that could not be used when last read.
	Unreadable []UnreadableStatus `json:"unreadable_objects,omitempty"`
	// Withheld are the fingerprints of request contents that crash back ends.
	Withheld []string `json:"withheld_requests,omitempty"`
	// Services are the services with back ends, and BackEnds the back ends in service.
	Services []ServiceStatus `json:"services"`
	BackEnds []BackEndStatus `json:"back_ends"`
}

// ServiceStatus is a gateway's assessment of one service.
type ServiceStatus struct {
	Name string `json:"name"`
	// RetryBudget is the number of retries that this gateway has left.
	RetryBudget float64 `json:"retry_budget"`
	// BackEnds counts the listed back ends, and Unusable those of them whose health isn't
	// dispatch.Healthy.
	BackEnds int `json:"back_ends"`
	Unusable int `json:"unusable"`
	// InFlight is the number of this gateway's own requests in flight.
	InFlight int `json:"under_way"`
	// Tenants are the tenants of this gateway that ask for the most work.
	Tenants []TenantStatus `json:"tenants,omitempty"`
	// Refusals are the requests that this gateway itself refuses for lack of a back end with room, by
	// reason. BacklogCallers is the estimated number of refused callers that will come back to it,
	// and RetryAfterSeconds the time to come back that a caller was last told, or 0 if none was
	// within the last ten seconds.
	Refusals          []RefusalStatus `json:"refusals,omitempty"`
	BacklogCallers    float64         `json:"backlog_callers,omitempty"`
	RetryAfterSeconds float64         `json:"retry_after_seconds,omitempty"`
}

// RefusalStatus is how often a gateway refuses requests for one reason.
type RefusalStatus struct {
	// Reason is a dispatch.RefusalReason, and PerSecond its rate in the last ten seconds or so.
	Reason    string  `json:"reason"`
	PerSecond float64 `json:"per_second"`
}

func refusalStatuses(list []dispatch.RefusalRate) []RefusalStatus {
	var statuses []RefusalStatus
	for _, each := range list {
		statuses = append(statuses, RefusalStatus{Reason: string(each.Reason), PerSecond: each.PerSecond})
	}
	return statuses
}

// TenantStatus is a gateway's assessment of one tenant of a service. Rates are in tokens of work
// per second.
type TenantStatus struct {
	// Name is empty for requests without a tenant.
	Name string `json:"name"`
	// Demand is what it asks all gateways for, as far as is known: while nothing is refused, that
	// may be what it asks this one for. Share is its fair share of what they admit, or nil while
	// nothing is refused.
	Demand float64  `json:"demand"`
	Share  *float64 `json:"share,omitempty"`
	// OwnDemand is what it asks this gateway for, and OwnAdmitted what this gateway admits.
	OwnDemand   float64 `json:"own_demand"`
	OwnAdmitted float64 `json:"own_admitted"`
}

// tenantStatuses converts the status of tenants. An infinite share can't be written in JSON.
func tenantStatuses(list []fairshare.TenantStatus) []TenantStatus {
	var statuses []TenantStatus
	for _, each := range list {
		status := TenantStatus{Name: each.Name, Demand: each.Demand, OwnDemand: each.OwnDemand, OwnAdmitted: each.OwnAdmitted}
		if !math.IsInf(each.Share, 1) {
			status.Share = &each.Share
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// BackEndStatus is a gateway's assessment of one back end.
type BackEndStatus struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
	// Version is the version of its software, if it reports one.
	Version string `json:"version,omitempty"`
	// Evacuated is true while its zone gets no new requests. WarmsUp is true while it is warming
	// up and gets only few requests.
	Evacuated bool   `json:"evacuated,omitempty"`
	WarmsUp   bool   `json:"warms_up,omitempty"`
	Health    string `json:"health"`
	// Own is the number of this gateway's requests in flight there, and Estimate the estimated
	// number of all gateways' requests.
	Own      int     `json:"own"`
	Estimate float64 `json:"estimate"`
	// Work is the work of a model engine; nil for other back ends.
	Work *WorkStatus `json:"work,omitempty"`
	// RoomLeft is how many more of the most urgent requests it takes, as far as this gateway knows;
	// nil unless it is a model engine with a known number of slots.
	RoomLeft *float64 `json:"room_left,omitempty"`
}

// WorkStatus is the work of all gateways at a model engine, as estimated by this one.
type WorkStatus struct {
	// Streams counts the requests, UnreadTokens the prompt tokens to be prefilled, and
	// CommittedTokens the memory that the requests take. OwnUnreadTokens are those of this gateway's
	// requests.
	Streams         int `json:"streams"`
	UnreadTokens    int `json:"unread_tokens"`
	OwnUnreadTokens int `json:"own_unread_tokens"`
	CommittedTokens int `json:"committed_tokens"`
	// WaitSeconds is the predicted time to the first token of an average request, and Pace the
	// time that work takes now, relative to the mean of the service's engines.
	WaitSeconds float64 `json:"wait_seconds"`
	Pace        float64 `json:"pace"`
}

func workStatus(work dispatch.WorkStatus) *WorkStatus {
	if work == (dispatch.WorkStatus{}) {
		return nil
	}
	return &WorkStatus{
		Streams: work.All.Streams, UnreadTokens: work.All.Unread, OwnUnreadTokens: work.Own.Unread, CommittedTokens: work.All.Memory,
		WaitSeconds: work.Wait.Seconds(), Pace: work.Pace,
	}
}

// Status returns the current status.
func (s *State) Status() Status {
	ready := s.Ready()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.clock.Now()
	status := Status{
		Role: RoleName, Gateways: s.place.Gateways, Reader: s.place.Duty == Reader,
		StoreAgeSeconds: s.storeAge(now).Seconds(), LoadAgeSeconds: s.core.PeerLoadAge(now).Seconds(),
		Ready: ready, Draining: s.draining, Version: s.view.Version(), Keys: s.keyPolicy().String(), Evacuated: s.view.EvacuatedZones(),
		Services: []ServiceStatus{}, BackEnds: []BackEndStatus{},
	}
	status.Era, status.Rollouts = s.view.Era(), s.rolloutStatus(now)
	status.Unreadable = s.unreadable.status()
	for _, each := range s.core.Withheld() {
		status.Withheld = append(status.Withheld, each.String())
	}
	for _, each := range s.core.ServiceStatuses(now) {
		status.Services = append(status.Services, serviceStatus(each))
	}
	for _, each := range s.core.BackEndStatuses(now) {
		status.BackEnds = append(status.BackEnds, backEndStatus(each))
	}
	return status
}

func serviceStatus(service dispatch.ServiceStatus) ServiceStatus {
	return ServiceStatus{
		Name: service.Name, RetryBudget: service.RetryBudget, BackEnds: service.BackEnds,
		Unusable: service.Unusable, InFlight: service.InFlight, Tenants: tenantStatuses(service.Tenants),
		Refusals: refusalStatuses(service.Refusals.Rates), BacklogCallers: service.Refusals.Backlog,
		RetryAfterSeconds: service.Refusals.RetryAfter.Seconds(),
	}
}

func backEndStatus(each dispatch.BackEndStatus) BackEndStatus {
	status := BackEndStatus{
		ID: each.BackEnd.ID, Service: each.BackEnd.Service, Address: each.BackEnd.Address,
		Zone: each.BackEnd.Zone, Leaving: each.BackEnd.Leaving, Version: each.BackEnd.Version, Health: each.Health.String(),
		Evacuated: each.Evacuated, WarmsUp: each.WarmsUp, Own: each.Own, Estimate: each.Estimate,
		Work: workStatus(each.Work),
	}
	if each.IsRoomKnown {
		status.RoomLeft = &each.RoomLeft
	}
	return status
}
