package routerhttp

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/router"
	"github.com/harriernotch/harriernotch/internal/slo"
)

// maxRefusalBody bounds how much of a refusal's body is read before it is closed, in
// bytes.
const maxRefusalBody = 4 << 10

// route sends the request to the targets that the core chooses, until a back end
// answers it, the core gives up, or the caller has left.
func (s *Server) route(w http.ResponseWriter, r *http.Request, p *callerRequest) {
	labels := slo.Labels{Tenant: p.Tenant, Pool: p.Pool, Priority: uint8(p.Priority)}
	tracker := s.config.Objectives.Begin(time.Now(), labels, p.targets)
	exchange, decision := s.begin(p)
	for decision.Send != nil {
		s.attempts.Inc(1)
		response, err := s.send(r, p, decision.Send)
		if err != nil {
			decision = s.sendFailed(r, p, exchange, decision.Send, err)
			continue
		}
		reply, err := hop.ParseReply(response.Header)
		if err != nil {
			// The reply is missing or invalid: the answer isn't from an agent of this
			// version, so the request may have run.
			_ = response.Body.Close()
			decision = s.sendFailed(r, p, exchange, decision.Send, err)
			continue
		}
		if reply.Refused {
			discard(response)
			decision = s.decide(func(now time.Time) router.Decision { return s.core.Refused(now, exchange, reply) })
			continue
		}
		s.passOn(w, r, p, exchange, decision.Send, response, reply, tracker)
		return
	}
	tracker.Failed(decision.GiveUp.Kind)
	s.answerFailure(w, p, decision.GiveUp)
}

func (s *Server) begin(p *callerRequest) (exchange *router.Exchange, decision router.Decision) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Begin(time.Now(), p.Request)
}

func (s *Server) decide(step func(now time.Time) router.Decision) router.Decision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return step(time.Now())
}

// send makes one attempt. The attempt is cancelled if its answer hasn't begun by the
// deadline; an answer that has begun may continue after it.
func (s *Server) send(r *http.Request, p *callerRequest, target *router.Send) (*http.Response, error) {
	ctx, cancel := context.WithCancel(r.Context())
	expired := time.AfterFunc(time.Until(p.Deadline), cancel)
	defer expired.Stop()
	body := io.NopCloser(bytes.NewReader(p.body))
	url := "http://" + target.Address + r.URL.RequestURI()
	request, err := hop.NewRequest(ctx, r.Method, url, body, int64(len(p.body)))
	if err != nil {
		cancel()
		return nil, err
	}
	hop.CopyHeaders(request.Header, r.Header)
	s.config.Credential.Set(request.Header)
	if err := hop.SetHead(request.Header, target.Head); err != nil {
		cancel()
		return nil, err
	}
	response, err := s.config.Transport.RoundTrip(request)
	if err != nil {
		cancel()
		return nil, err
	}
	response.Body = &cancellingBody{ReadCloser: response.Body, cancel: cancel}
	return response, nil
}

// cancellingBody cancels an attempt's context when the body of its answer is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancellingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// sendFailed reports an attempt without a valid answer to the core and returns what to
// do next.
func (s *Server) sendFailed(r *http.Request, p *callerRequest, exchange *router.Exchange, target *router.Send, cause error) router.Decision {
	if r.Context().Err() != nil {
		return router.Decision{GiveUp: failure.Wrap(failure.CallerGone, cause, "the caller left")}
	}
	notSent := hop.NothingSent(cause)
	s.config.Log.WithFields(logrus.Fields{
		"request": p.ID, "back_end": target.BackEnd, "not_sent": notSent,
	}).WithError(cause).Info("attempt failed")
	return s.decide(func(now time.Time) router.Decision {
		if notSent {
			return s.core.NotConnected(now, exchange)
		}
		return s.core.ConnectionLost(now, exchange)
	})
}

// discard reads the short body of a refusal, so that its connection can be reused, and
// closes it.
func discard(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBody))
	_ = response.Body.Close()
}

// applyReply passes the agent's metadata to the core, and returns the token of a chat, or "".
func (s *Server) applyReply(p *callerRequest, exchange *router.Exchange, reply hop.Reply) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.core.ApplyPiggyback(time.Now(), reply)
	if !p.isChat {
		return ""
	}
	return s.config.Sealer.Seal(p.Tenant, s.core.Token(time.Now(), exchange, p.ChatKey, reply.Incarnation))
}

// passOn copies the back end's answer to the caller. If the answer turns out to be
// incomplete, the connection is aborted so that the caller notices; before that, a
// stream gets an error event.
func (s *Server) passOn(w http.ResponseWriter, r *http.Request, p *callerRequest, exchange *router.Exchange, target *router.Send, response *http.Response, reply hop.Reply, tracker *slo.Tracker) {
	defer response.Body.Close()
	token := s.applyReply(p, exchange, reply)
	header := w.Header()
	hop.CopyAnswerHeaders(header, response)
	setAnswerHeaders(header, exchange, target.BackEnd)
	copyOwnHeaders(header, response.Header)
	if token != "" {
		header.Set(HeaderChatToken, token)
	}
	w.WriteHeader(response.StatusCode)
	copier := hop.NewCopier(r.URL.Path, response.Header)
	copier.Observe = func([]byte) { tracker.Chunk(time.Now()) }
	if err := copier.Copy(w, response.Body); err != nil {
		s.abortAnswer(w, r, p, target, copier.Stream, err, tracker)
	}
	tracker.Complete()
}

// copyOwnHeaders copies those of an agent's own headers that callers get.
func copyOwnHeaders(to, from http.Header) {
	for _, name := range []string{hop.HeaderReplayed, failure.HeaderKind, failure.HeaderRan} {
		if value := from.Get(name); value != "" {
			to.Set(name, value)
		}
	}
}

// abortAnswer aborts the connection to the caller because the answer can't be
// completed. It panics with http.ErrAbortHandler and never returns.
func (s *Server) abortAnswer(w http.ResponseWriter, r *http.Request, p *callerRequest, target *router.Send, stream bool, cause error, tracker *slo.Tracker) {
	if r.Context().Err() != nil {
		tracker.Failed(failure.CallerGone)
		panic(http.ErrAbortHandler)
	}
	tracker.Failed(failure.StreamBroken)
	s.config.Metrics.Tagged(map[string]string{"kind": failure.StreamBroken.String()}).Counter("failures").Inc(1)
	s.config.Log.WithFields(logrus.Fields{"request": p.ID, "back_end": target.BackEnd}).WithError(cause).Warn("answer to the caller aborted: it is incomplete")
	if stream {
		writeErrorEvent(w)
	}
	panic(http.ErrAbortHandler)
}
