package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/fairshare"
	"github.com/harriernotch/harriernotch/internal/workload"
)

// BackEndStatus is the state of one back end as this gateway sees it, for status pages and logs.
type BackEndStatus struct {
	BackEnd catalog.BackEnd
	Health  Health
	// Own is the number of this gateway's requests in flight there, and Estimate the
	// estimated number of all gateways' requests.
	Own      int
	Estimate float64
	// Evacuated is true while the back end's zone gets no new requests, and WarmsUp while
	// the back end is warming up and its request rate is limited.
	Evacuated bool
	WarmsUp   bool
	// Work is the work there; zero without an engine.
	Work WorkStatus
	// RoomLeft is how many more of the most urgent requests the back end takes, by this gateway's
	// estimate.
	RoomLeft float64
	// IsRoomKnown is false, and RoomLeft 0, unless the service's work is counted in tokens and the
	// back end's number of slots is known.
	IsRoomKnown bool
}

// BackEndStatuses returns the status of all listed back ends, ordered by service and ID.
func (c *Core) BackEndStatuses(now time.Time) []BackEndStatus {
	var statuses []BackEndStatus
	for _, service := range slices.Sorted(maps.Keys(c.pools)) {
		for _, m := range c.pools[service].members {
			roomLeft, isRoomKnown := c.roomLeft(now, m)
			statuses = append(statuses, BackEndStatus{
				BackEnd:  m.backEnd,
				Health:   m.health.status(now),
				Own:      m.own,
				Estimate: c.estimate(now, m),

				Evacuated:   m.evacuated,
				WarmsUp:     c.isWarmingUp(now, m),
				Work:        c.workStatus(now, m),
				RoomLeft:    roomLeft,
				IsRoomKnown: isRoomKnown,
			})
		}
	}
	return statuses
}

// ServiceStatus is the state of one service as this gateway sees it.
type ServiceStatus struct {
	// Name is the name of the service.
	Name string
	// RetryBudget is the number of retries that this gateway may make now, and InFlight
	// the number of its requests in flight.
	RetryBudget float64
	InFlight    int
	// BackEnds counts the listed back ends, and Unusable those of them whose health isn't
	// Healthy.
	BackEnds int
	Unusable int
	// Tenants are the tenants with the largest demand.
	Tenants []fairshare.TenantStatus
	// PredictionErrors are the recent errors of the predicted times to the first token.
	PredictionErrors workload.ErrorSummary
	// Refusals are the recent refusals.
	Refusals RefusalStatus
}

// ServiceStatuses returns the status of all services that have back ends, ordered by name.
func (c *Core) ServiceStatuses(now time.Time) []ServiceStatus {
	var statuses []ServiceStatus
	for _, name := range slices.Sorted(maps.Keys(c.pools)) {
		status := ServiceStatus{
			Name: name, RetryBudget: c.budget(name).Tokens(), BackEnds: len(c.pools[name].members), PredictionErrors: c.predictionErrors(now, name),
			Refusals: c.refusalStatus(now, name),
		}
		for _, m := range c.pools[name].members {
			status.InFlight += m.own
			if m.health.status(now) != Healthy {
				status.Unusable++
			}
		}
		if share := c.fairShares[name]; share != nil {
			status.Tenants = share.Statuses(now)
		}
		statuses = append(statuses, status)
	}
	return statuses
}
