package origins

import (
	"context"
	"syscall"

	"github.com/go-faster/errors"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/peerlink"
)

// Find returns where the stream of the question began, and how that is known. It asks other gateways
// unless this one has a record, and returns as soon as one of them has.
func (s *Service) Find(ctx context.Context, question dispatch.OriginQuestion) (dispatch.StreamOrigin, dispatch.OriginSource) {
	own := s.config.Source.AnswerOrigin(question)
	if own.Recorded != nil {
		return dispatch.ResolveOrigin(question, own, nil, 0)
	}
	peers := candidates(question.Key, s.config.ID, s.config.Source.Live())
	answers := make(chan askResult, len(peers))
	for _, peer := range peers {
		if !s.spawn("ask_about_stream", func() {
			var result askResult
			defer func() { answers <- result }()
			result.answer, result.hasEnded = s.ask(peer, question)
		}) {
			answers <- askResult{}
		}
	}
	var received []dispatch.OriginAnswer
	asked := len(peers)
	for range peers {
		select {
		case result := <-answers:
			if result.hasEnded {
				asked = max(asked-1, 1) // one that isn't cut off has to answer
			}
			if result.answer == nil {
				continue
			}
			received = append(received, *result.answer)
			if result.answer.Recorded != nil {
				return dispatch.ResolveOrigin(question, own, received, asked)
			}
		case <-ctx.Done():
			return dispatch.StreamOrigin{}, dispatch.OriginUnknown
		}
	}
	return dispatch.ResolveOrigin(question, own, received, asked)
}

// askResult is what became of a question to one gateway: its answer, or nil if it gave none, and whether its process is
// known to have ended.
type askResult struct {
	answer   *dispatch.OriginAnswer
	hasEnded bool
}

// ask returns the answer of a gateway, or nil if it gives none, and whether its machine refuses the connection, as it
// does once the process has ended. A gateway of an older build knows nothing, but it shows that this one isn't cut off.
func (s *Service) ask(peer Gateway, question dispatch.OriginQuestion) (answer *dispatch.OriginAnswer, hasEnded bool) {
	message, err := s.query(peer, findTimeout, queryMessage{Question: &question})
	if errors.Is(err, peerlink.ErrUnsupported) {
		return &dispatch.OriginAnswer{}, false
	}
	if err != nil {
		return nil, errors.Is(err, syscall.ECONNREFUSED)
	}
	return message.Answer, false
}

// spawn runs a task, unless the service is closing.
func (s *Service) spawn(name string, run func()) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.tasks.Go(name, run)
	return true
}
