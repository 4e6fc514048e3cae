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

// Headers that an agent adds to requests to its back end.
const (
	headerRequestID = "X-Request-Id"
	headerPriority  = "X-Priority"
)

// maxStoredReply bounds the body of an answer that is stored for replay, in bytes.
const maxStoredReply = 64 << 10

// storedReplyOverhead is an estimate of the memory that a stored answer takes in
// addition to its body, in bytes.
const storedReplyOverhead = 1 << 10

// storedReply is the complete answer to a request with an idempotency key.
type storedReply struct {
	status int
	header http.Header
	body   []byte
}

// forward sends a started request to the back end and passes the answer on.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, head hop.Head, id admission.RequestID) {
	finished := admission.Finished{ID: id}
	// Deferred, so that it also runs when passOn panics to abort the answer.
	defer func() { s.finish(finished) }()
	ctx := r.Context()
	if head.Key != "" {
		// A keyed request continues when its caller disconnects: a repeat by the
		// caller then gets the stored outcome.
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

// answerBackEndFailure answers the router when the back end gave no answer. If notRun,
// the request certainly wasn't sent, and the router may try another back end.
func (s *Server) answerBackEndFailure(w http.ResponseWriter, head hop.Head, cause error, notRun bool) {
	s.config.Log.WithFields(logrus.Fields{"request": head.RequestID, "not_run": notRun}).WithError(cause).Warn("no answer from the back end")
	if notRun {
		s.answerRefusal(w, admission.Refuse{Kind: failure.BackendUnreachable})
		return
	}
	s.setReply(w.Header(), nil)
	failure.WriteHTTP(w, failure.New(failure.BackendFailed, "the back end broke off before it answered; the request may have run"))
}

// passOn copies the answer to the router and returns the outcome to store. If the
// answer is incomplete, it aborts the connection to the router, so that a truncated
// answer can't be taken for a complete one. If only the router is gone, it reads the
// rest of the answer to a keyed request, for the outcome.
func (s *Server) passOn(w http.ResponseWriter, response *http.Response, path string, head hop.Head) admission.Outcome {
	hop.CopyAnswerHeaders(w.Header(), response)
	s.setReply(w.Header(), nil)
	w.WriteHeader(response.StatusCode)
	recorder := &replyRecorder{enabled: head.Key != ""}
	copier := hop.NewCopier(path, response.Header)
	copier.Observe = recorder.observe
	if err := copier.Copy(w, response.Body); err != nil {
		s.config.Log.WithField("request", head.RequestID).WithError(err).Info("answer to the router interrupted")
		if head.Key != "" && hop.ReceiverGone(err) {
			// The request continues without its caller: store the rest of the answer.
			if _, err := io.Copy(recorder, response.Body); err == nil {
				return recorder.outcome(response)
			}
		}
		panic(http.ErrAbortHandler)
	}
	return recorder.outcome(response)
}

// replyRecorder records an answer's body for replay. A body over maxStoredReply is
// discarded.
type replyRecorder struct {
	enabled  bool
	overflow bool
	body     bytes.Buffer
}

func (r *replyRecorder) observe(chunk []byte) { _, _ = r.Write(chunk) }

// Write implements io.Writer. It never fails.
func (r *replyRecorder) Write(chunk []byte) (int, error) {
	if !r.enabled || r.overflow {
		return len(chunk), nil
	}
	if r.body.Len()+len(chunk) > maxStoredReply {
		r.overflow = true
		r.body.Reset()
		return len(chunk), nil
	}
	return r.body.Write(chunk)
}

func (r *replyRecorder) outcome(response *http.Response) admission.Outcome {
	outcome := admission.Outcome{Known: true}
	if r.enabled && !r.overflow {
		header := http.Header{}
		hop.CopyHeaders(header, response.Header)
		outcome.Reply = &storedReply{status: response.StatusCode, header: header, body: r.body.Bytes()}
		outcome.Size = r.body.Len() + storedReplyOverhead
	}
	return outcome
}

// answerReplay answers with the stored answer of the key's first run, or with an error
// if that answer isn't stored.
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
