package collect

import (
	"context"
	"net/http"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/fairshare"
)

// errNoMembers means that the gateway that was queried as a collector gets no reports from its
// group.
var errNoMembers = errors.New("no gateway reports its counts to this collector")

// ServeHTTP accepts a connection from a member or from another collector.
func (s *Service) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	socket, err := websocket.Accept(w, request, nil)
	if err != nil {
		return
	}
	defer socket.CloseNow()
	socket.SetReadLimit(maxMessageBytes)
	for s.answerQuery(socket) == nil {
	}
}

func (s *Service) answerQuery(socket *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(s.ctx, idleTimeout)
	defer cancel()
	_, raw, err := socket.Read(ctx)
	if err != nil {
		return err
	}
	var query queryMessage
	if err := cbor.Unmarshal(raw, &query); err != nil {
		return err
	}
	counts, err := unpackCounts(query.Counts, query.Unread)
	if err != nil {
		return err
	}
	tenants, err := query.Tenants.Unpack()
	if err != nil {
		return err
	}
	reply, err := encodeAnswer(s.totalsFor(query, counts, tenants))
	if err != nil {
		return err
	}
	return socket.Write(ctx, websocket.MessageBinary, reply)
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
