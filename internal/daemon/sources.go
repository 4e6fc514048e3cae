package daemon

import (
	"github.com/harriernotch/harriernotch/internal/collect"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/gateway"
	"github.com/harriernotch/harriernotch/internal/origins"
	"github.com/harriernotch/harriernotch/internal/relay"
)

// collectSource implements collect.Source with the gateway's state and relay.
type collectSource struct {
	*gateway.State
	relay *relay.Relay
}

// Live implements collect.Source.
func (s collectSource) Live() ([]collect.Gateway, bool) {
	peers := s.relay.Live()
	gateways := make([]collect.Gateway, len(peers))
	for i, each := range peers {
		gateways[i] = collect.Gateway{ID: each.ID, Address: each.Address, Zone: each.Zone, Capacity: each.Capacity}
	}
	return gateways, relay.IsLarge(len(gateways))
}

// originSource implements origins.Source with the gateway's state and relay.
type originSource struct {
	*gateway.State
	relay *relay.Relay
}

// Live implements origins.Source.
func (s originSource) Live() []origins.Gateway {
	peers := s.relay.Live()
	gateways := make([]origins.Gateway, len(peers))
	for i, each := range peers {
		gateways[i] = origins.Gateway{ID: each.ID, Address: each.Address}
	}
	return gateways
}

// AnswerOrigin implements origins.Source.
func (s originSource) AnswerOrigin(question dispatch.OriginQuestion) dispatch.OriginAnswer {
	return s.State.AnswerOrigin(question, s.relay.StoreAge(), s.relay.ContactAge())
}
