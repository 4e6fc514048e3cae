package collect

import (
	"context"
	"net/http"
	"sync"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/hop"
)

// link is a connection to another gateway. Its lock is held from a query to its answer.
type link struct {
	mutex  sync.Mutex
	socket *websocket.Conn
}

// query sends the request to the collector and returns the totals in its answer. It opens a
// connection if there is none.
func (s *Service) query(collector Gateway, request queryMessage) (dispatch.Totals, error) {
	ctx, cancel := context.WithTimeout(s.ctx, answerTimeout)
	defer cancel()
	if existing := s.linkTo(collector.ID); existing != nil {
		totals, err := existing.roundTrip(ctx, request)
		if err == nil {
			return totals, nil
		}
		s.dropLink(collector.ID, existing)
		// The other side may have closed an idle connection, or restarted. Try a new connection in
		// the remaining time.
	}
	opened, err := s.openLink(ctx, collector)
	if err != nil {
		return dispatch.Totals{}, err
	}
	totals, err := opened.roundTrip(ctx, request)
	if err != nil {
		s.dropLink(collector.ID, opened)
	}
	return totals, err
}

func (l *link) roundTrip(ctx context.Context, request queryMessage) (dispatch.Totals, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	raw, err := cbor.Marshal(request)
	if err != nil {
		return dispatch.Totals{}, err
	}
	if err := l.socket.Write(ctx, websocket.MessageBinary, raw); err != nil {
		return dispatch.Totals{}, err
	}
	_, raw, err = l.socket.Read(ctx)
	if err != nil {
		return dispatch.Totals{}, err
	}
	return decodeAnswer(raw)
}

// linkTo returns the connection to the gateway, or nil.
func (s *Service) linkTo(id string) *link {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.links[id]
}

func (s *Service) openLink(ctx context.Context, to Gateway) (*link, error) {
	header := http.Header{hop.HeaderNode: []string{s.config.ID}}
	socket, _, err := websocket.Dial(ctx, "ws://"+to.Address+Path, &websocket.DialOptions{HTTPClient: s.client, HTTPHeader: header})
	if err != nil {
		return nil, err
	}
	socket.SetReadLimit(maxMessageBytes)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	opened := &link{socket: socket}
	s.links[to.ID] = opened
	return opened, nil
}

func (s *Service) dropLink(id string, broken *link) {
	_ = broken.socket.CloseNow()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.links[id] == broken {
		delete(s.links, id)
	}
}

func (s *Service) closeLinks() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, each := range s.links {
		_ = each.socket.CloseNow()
	}
}
