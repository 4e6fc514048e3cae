package collect

import (
	"context"
	"net/http"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// errNobodyTells means that a gateway was taken for a collector whose group doesn't tell
// it anything.
var errNobodyTells = errors.New("no gateway tells it its counts")

// ServeHTTP takes a connection of a member or of another collector.
func (s *Service) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	socket, err := websocket.Accept(w, request, nil)
	if err != nil {
		return
	}
	defer socket.CloseNow()
	socket.SetReadLimit(maxMessageBytes)
	for s.answerOne(socket) == nil {
	}
}

func (s *Service) answerOne(socket *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(s.ctx, idleTime)
	defer cancel()
	_, raw, err := socket.Read(ctx)
	if err != nil {
		return err
	}
	var asked question
	if err := cbor.Unmarshal(raw, &asked); err != nil {
		return err
	}
	counts, err := asked.Counts.unpack()
	if err != nil {
		return err
	}
	reply, err := encodeAnswer(s.reply(asked, counts))
	if err != nil {
		return err
	}
	return socket.Write(ctx, websocket.MessageBinary, reply)
}

func (s *Service) reply(asked question, counts []dispatch.Count) dispatch.Totals {
	now := s.config.Clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if asked.Group {
		return s.sums.Group(now)
	}
	s.sums.TakeMember(now, asked.From, counts, asked.Tallies)
	return s.sums.Totals(now, s.plan.Others)
}
