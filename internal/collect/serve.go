package collect

import (
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/fairshare"
	"github.com/harriernotch/harriernotch/internal/peerlink"
)

// errNoMembers means that the gateway that was queried as a collector gets no reports from its
// group.
var errNoMembers = errors.New("no gateway reports its counts to this collector")

// ServeHTTP accepts a connection from a member or from another collector.
func (s *Service) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	peerlink.Serve(s.ctx, w, request, peerlink.ServeConfig{
		MaxMessageBytes: maxMessageBytes, IdleTimeout: idleTimeout, Messages: s.messages, Answer: s.answerQuery,
	})
}

// answerQuery returns the answer to a query.
func (s *Service) answerQuery(raw []byte) ([]byte, error) {
	var query queryMessage
	if err := cbor.Unmarshal(raw, &query); err != nil {
		return nil, err
	}
	counts, err := unpackCounts(query.Counts, query.Unread)
	if err != nil {
		return nil, err
	}
	tenants, err := query.Tenants.Unpack()
	if err != nil {
		return nil, err
	}
	return encodeAnswer(s.totalsFor(query, counts, tenants))
}

func (s *Service) totalsFor(query queryMessage, counts []dispatch.Count, tenants []fairshare.Demand) dispatch.Totals {
	now := s.config.Clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if query.Group {
		return s.aggregator.GroupTotals(now)
	}
	s.aggregator.SetMember(now, query.From, counts, query.Tallies, tenants)
	return s.aggregator.Totals(now, s.plan.Others)
}
