package origins

import (
	"context"

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
	answers := make(chan *dispatch.OriginAnswer, len(peers))
	for _, peer := range peers {
		if !s.spawn("ask_about_stream", func() {
			var answer *dispatch.OriginAnswer
			defer func() { answers <- answer }()
			answer = s.ask(peer, question)
		}) {
			answers <- nil
		}
	}
	var received []dispatch.OriginAnswer
	for range peers {
		select {
		case answer := <-answers:
			if answer == nil {
				continue
			}
			received = append(received, *answer)
			if answer.Recorded != nil {
				return dispatch.ResolveOrigin(question, own, received, len(peers))
			}
		case <-ctx.Done():
			return dispatch.StreamOrigin{}, dispatch.OriginUnknown
		}
	}
	return dispatch.ResolveOrigin(question, own, received, len(peers))
}

// ask returns the answer of a gateway, or nil if it gives none. A gateway of an older build knows nothing,
// but it shows that this one isn't cut off.
func (s *Service) ask(peer Gateway, question dispatch.OriginQuestion) *dispatch.OriginAnswer {
	message, err := s.query(peer, findTimeout, queryMessage{Question: &question})
	if errors.Is(err, peerlink.ErrUnsupported) {
		return &dispatch.OriginAnswer{}
	}
	if err != nil || message.Answer == nil {
		return nil
	}
	return message.Answer
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
