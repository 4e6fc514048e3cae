package agenthttp

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/admission"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
)

// Headers that an agent sets for its back end.
const (
	headerRequestID = "X-Request-Id"
	headerPriority  = "X-Priority"
)

// maxKeptReply bounds the answer that is kept for a repeat, in bytes.
const maxStoredReply = 64 << 10

// keptReplyOverhead is the rough memory of a kept answer beside its body.
const storedReplyOverhead = 1 << 10

// keptReply is a whole answer under an idempotency key.
type storedReply struct {
	status int
	header http.Header
	body   []byte
}

// forward runs a started request at the back end and passes the answer on.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, head hop.Head, id admission.RequestID) {
	finished := admission.Finished{ID: id}
	// The deferred call also runs when forwarding panics to break a stream.
	defer func() { s.finish(finished) }()
	ctx := r.Context()
	if head.Key != "" {
		// A keyed run goes on when its caller leaves: the caller's repeat gets
		// the outcome then.
		ctx = context.WithoutCancel(ctx)
	}
	response, err := s.callBackEnd(ctx, r, head)
	if err != nil {
		finished.NotRun = hop.NothingSent(err)
		s.answerBackEndFailure(w, head, err, finished.NotRun)
		return
	}
	defer response.Body.Close()
	s.applyNotice(response)
	finished.Outcome = s.passOn(w, response, r.URL.Path, head)
}

func (s *Server) callBackEnd(ctx context.Context, r *http.Request, head hop.Head) (*http.Response, error) {
	request, err := hop.NewRequest(ctx, r.Method, s.config.BackEnd+r.URL.RequestURI(), r.Body, r.ContentLength)
	if err != nil {
		return nil, err
	}
	hop.CopyHeaders(request.Header, r.Header)
	request.Header.Set(headerRequestID, head.RequestID)
	request.Header.Set(headerPriority, strconv.Itoa(int(head.Priority)))
	return s.config.Transport.RoundTrip(request)
}

// answerLost tells that the back end gave no answer.
func (s *Server) answerBackEndFailure(w http.ResponseWriter, head hop.Head, cause error, notRun bool) {
	s.config.Log.WithFields(logrus.Fields{"request": head.RequestID, "not_run": notRun}).WithError(cause).Warn("no answer from the back end")
	if notRun {
		s.answerRefusal(w, admission.Refuse{Kind: failure.BackendUnreachable})
		return
	}
	s.setReply(w.Header(), nil)
	failure.WriteHTTP(w, failure.New(failure.BackendFailed, "the back end broke off before it answered; the request may have run"))
}

// passOn copies the answer. A broken one is made visible: the connection to the
// router is cut, so that no short answer looks whole.
func (s *Server) passOn(w http.ResponseWriter, response *http.Response, path string, head hop.Head) admission.Outcome {
	hop.CopyAnswerHeaders(w.Header(), response)
	s.setReply(w.Header(), nil)
	w.WriteHeader(response.StatusCode)
	recorder := &replyRecorder{enabled: head.Key != ""}
	copier := hop.NewCopier(path, response.Header)
	copier.Observe = recorder.observe
	if err := copier.Copy(w, response.Body); err != nil {
		s.config.Log.WithField("request", head.RequestID).WithError(err).Info("answer broke off")
		if head.Key != "" && hop.ReceiverGone(err) {
			// The run went on without its caller; take the rest of the answer.
			if _, err := io.Copy(recorder, response.Body); err == nil {
				return recorder.outcome(response)
			}
		}
		panic(http.ErrAbortHandler)
	}
	return recorder.outcome(response)
}

// replyKeeper keeps an answer for a repeat, up to a limit.
type replyRecorder struct {
	enabled  bool
	overflow bool
	body     bytes.Buffer
}

func (k *replyRecorder) observe(chunk []byte) { _, _ = k.Write(chunk) }

// Write implements io.Writer; it never fails.
func (k *replyRecorder) Write(chunk []byte) (int, error) {
	if !k.enabled || k.overflow {
		return len(chunk), nil
	}
	if k.body.Len()+len(chunk) > maxStoredReply {
		k.overflow = true
		k.body.Reset()
		return len(chunk), nil
	}
	return k.body.Write(chunk)
}

func (k *replyRecorder) outcome(response *http.Response) admission.Outcome {
	outcome := admission.Outcome{Known: true}
	if k.enabled && !k.overflow {
		header := http.Header{}
		hop.CopyHeaders(header, response.Header)
		outcome.Reply = &storedReply{status: response.StatusCode, header: header, body: k.body.Bytes()}
		outcome.Size = k.body.Len() + storedReplyOverhead
	}
	return outcome
}

// answerReplay sends the first run's answer again.
func (s *Server) answerReplay(w http.ResponseWriter, outcome admission.Outcome) {
	s.setReply(w.Header(), nil)
	stored, ok := outcome.Reply.(*storedReply)
	if !ok {
		w.Header().Set(hop.HeaderReplayed, "true")
		failure.WriteHTTP(w, failure.New(failure.ReplyNotKept, "the request ran under this key; its answer was too large to keep"))
		return
	}
	hop.CopyHeaders(w.Header(), stored.header)
	w.Header().Set(hop.HeaderReplayed, "true")
	w.WriteHeader(stored.status)
	_, _ = w.Write(stored.body)
}
