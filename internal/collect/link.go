package collect

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// query sends the request to the collector and returns the totals in its answer.
func (s *Service) query(collector Gateway, request queryMessage) (dispatch.Totals, error) {
	ctx, cancel := context.WithTimeout(s.ctx, answerTimeout)
	defer cancel()
	raw, err := cbor.Marshal(request)
	if err != nil {
		return dispatch.Totals{}, err
	}
	answer, err := s.links.Query(ctx, collector.ID, collector.Address, raw)
	if err != nil {
		return dispatch.Totals{}, err
	}
	return decodeAnswer(answer)
}
