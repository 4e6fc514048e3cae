package gateway

import (
	"time"
)

// Gauges returns what the gateway knows at the moment, for metrics.
func (s *State) Gauges() Gauges {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	gauges := Gauges{
		Version: s.view.Version(), StoreAge: s.storeAge(now), PeerAge: s.core.OldestPeer(now),
		Lag: s.lag, Gateways: s.gateways, LinesLeftOut: s.log.LeftOut(),
	}
	for _, service := range s.core.Services(now) {
		gauges.Services = append(gauges.Services, ServiceGauges(service))
	}
	return gauges
}

// Status is a gateway's knowledge for operators.
type Status struct {
	// Ready and Draining are the gateway's own state.
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	// Version is the configuration in force; 0 for none.
	Version uint64 `json:"version"`
	// BackEnds are those in service.
	BackEnds []BackEndStatus `json:"back_ends"`
}

// BackEndStatus is what a gateway believes of one back end.
type BackEndStatus struct {
	ID       string  `json:"id"`
	Service  string  `json:"service"`
	Address  string  `json:"address"`
	Zone     string  `json:"zone"`
	Leaving  bool    `json:"leaving"`
	Health   string  `json:"health"`
	Own      int     `json:"own"`
	Estimate float64 `json:"estimate"`
}

// Status returns the state of the moment.
func (s *State) Status() Status {
	ready := s.Ready()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	status := Status{Ready: ready, Draining: s.draining, Version: s.view.Version(), BackEnds: []BackEndStatus{}}
	for _, belief := range s.core.Beliefs(time.Now()) {
		status.BackEnds = append(status.BackEnds, BackEndStatus{
			ID: belief.BackEnd.ID, Service: belief.BackEnd.Service, Address: belief.BackEnd.Address,
			Zone: belief.BackEnd.Zone, Leaving: belief.BackEnd.Leaving, Health: belief.Health.String(),
			Own: belief.Own, Estimate: belief.Estimate,
		})
	}
	return status
}
