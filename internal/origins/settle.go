package origins

import (
	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// settleRoutes asks a few gateways about the routes that this one hasn't known for long enough, so that what
// the fleet knows outlasts restarts of all gateways one after the other. It returns false once that is over.
func (s *Service) settleRoutes() bool {
	if s.config.Clock.Since(s.startedAt) > settleTime {
		return false
	}
	for _, question := range s.config.Source.UnsettledRoutes() {
		peers := firstInOrder(dispatch.OriginKeyOf("", s.config.ID), settlePeers, members(0, 1, s.config.ID, s.config.Source.Live()))
		for _, peer := range peers {
			s.spawn("ask_about_route", func() {
				if answer, _ := s.ask(peer, question); answer != nil {
					s.config.Source.SettleRoute(question, *answer)
				}
			})
		}
	}
	return true
}
