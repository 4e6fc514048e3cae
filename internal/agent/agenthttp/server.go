// Package agenthttp does the I/O of an agent: it accepts requests from routers over
// HTTP, passes each to the agent's Core, and forwards those that the Core starts to
// the back end.
package agenthttp

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/admission"
	"github.com/harriernotch/harriernotch/internal/agent"
	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/membership"
	"github.com/harriernotch/harriernotch/internal/peering"
)

// Config configures a Server.
type Config struct {
	// Core decides which requests are started, refused or answered from storage.
	Core *agent.Core
	// Credential proves membership of the cluster.
	Credential hop.Credential
	// BackEnd is the base URL of the engine or plain service.
	BackEnd string
	// Transport sends requests to the back end. It must come from hop.NewTransport.
	Transport http.RoundTripper
	// Log and Metrics receive log entries and metrics.
	Log     logrus.FieldLogger
	Metrics tally.Scope
}

// Server handles the requests at an agent's peer listener.
type Server struct {
	config  Config
	peering *peering.Peering

	// mutex guards the core and the pending requests.
	mutex   sync.Mutex
	core    *agent.Core
	pending map[admission.RequestID]chan decision
	lastID  admission.RequestID

	started tally.Counter
	refused tally.Counter
	load    tally.Gauge
}

// decision is the core's decision on a request and the time at which it was made.
type decision struct {
	action admission.Action
	at     time.Time
}

// New returns a server. SetPeering must be called before it serves.
func New(config Config) *Server {
	return &Server{
		config:  config,
		core:    config.Core,
		pending: map[admission.RequestID]chan decision{},
		started: config.Metrics.Counter("requests_started"),
		refused: config.Metrics.Counter("requests_refused"),
		load:    config.Metrics.Gauge("load"),
	}
}

// SetPeering sets the peering that executes control actions and accepts control
// connections.
func (s *Server) SetPeering(p *peering.Peering) { s.peering = p }

// Deliver passes an event of the control plane to the core.
func (s *Server) Deliver(event coordination.Event) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.perform(s.core.Control(time.Now(), event))
}

// Tick passes a tick to the core. It must be called once per tick period.
func (s *Server) Tick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.perform(s.core.Tick(time.Now()))
	s.load.Update(float64(s.core.Gate().Load()))
}

// View calls read with the core. read must not retain it.
func (s *Server) View(read func(*agent.Core)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	read(s.core)
}

// Ready reports whether the agent accepts new work.
func (s *Server) Ready() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Node().Ready(time.Now()) && !s.core.Gate().IsLeaving()
}

// Drain closes the gate and then announces to the peers that the agent is leaving.
// Requests in flight continue.
func (s *Server) Drain() {
	s.Deliver(coordination.LocalState{State: membership.StateLeaving})
}

// perform executes effects. The caller holds the mutex; nothing here blocks.
func (s *Server) perform(effects agent.Effects) {
	if s.peering != nil {
		s.peering.Perform(effects.Control)
	}
	now := time.Now()
	for _, action := range effects.Requests {
		switch a := action.(type) {
		case admission.Start:
			s.started.Inc(1)
			s.sendDecision(a.ID, decision{a, now})
		case admission.Refuse:
			s.refused.Inc(1)
			s.sendDecision(a.ID, decision{a, now})
		case admission.Replay:
			s.sendDecision(a.ID, decision{a, now})
		}
	}
}

func (s *Server) sendDecision(id admission.RequestID, d decision) {
	if decided, known := s.pending[id]; known {
		decided <- d // doesn't block: the channel has room for the only decision that a request gets
		delete(s.pending, id)
	}
}

// ServeHTTP implements http.Handler for the peer listener.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := s.config.Credential.Check(r.Header); err != nil {
		s.config.Log.WithField("remote", r.RemoteAddr).Warn("peer without the cluster key refused")
		failure.WriteHTTP(w, err)
		return
	}
	if r.URL.Path == peering.Path && strings.EqualFold(r.Header.Get("Upgrade"), "websocket") {
		s.peering.ServeHTTP(w, r)
		return
	}
	head, err := hop.ParseHead(r.Header)
	if err != nil {
		failure.WriteHTTP(w, err)
		return
	}
	s.serveRequest(w, r, head)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, head hop.Head) {
	id, decided := s.arrive(head)
	select {
	case d := <-decided:
		s.execute(w, r, head, id, d)
	case <-r.Context().Done():
		s.abandon(id, decided)
	}
}

// arrive passes the request to the core. The decision arrives on the returned channel.
func (s *Server) arrive(head hop.Head) (admission.RequestID, chan decision) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastID++
	id := s.lastID
	decided := make(chan decision, 1)
	s.pending[id] = decided
	s.perform(s.core.Arrive(time.Now(), id, head))
	return id, decided
}

// abandon cancels a request whose caller disconnected before it was started.
func (s *Server) abandon(id admission.RequestID, decided chan decision) {
	s.cancelPending(id)
	select {
	case d := <-decided:
		// The core started it before the cancellation: release its slot.
		if _, started := d.action.(admission.Start); started {
			s.finish(admission.Finished{ID: id, NotRun: true})
		}
	default:
	}
}

func (s *Server) cancelPending(id admission.RequestID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.pending, id)
	s.perform(s.core.Cancelled(time.Now(), id))
}

func (s *Server) finish(event admission.Finished) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.perform(s.core.Finished(time.Now(), event))
}

// maxDecisionAge is the maximum age of a decision to start a keyed request. If the
// process was paused between the decision and the call to the back end, it must not
// make the call, because its lease may have lapsed since the decision.
const maxDecisionAge = 500 * time.Millisecond

func (s *Server) execute(w http.ResponseWriter, r *http.Request, head hop.Head, id admission.RequestID, d decision) {
	switch action := d.action.(type) {
	case admission.Refuse:
		s.answerRefusal(w, action)
	case admission.Replay:
		s.answerReplay(w, action.Outcome)
	case admission.Start:
		if head.Key != "" && time.Since(d.at) > maxDecisionAge {
			s.finish(admission.Finished{ID: id, NotRun: true})
			s.answerRefusal(w, admission.Refuse{ID: id, Kind: failure.LeaseLapsed})
			return
		}
		s.forward(w, r, head, id)
	}
}

// answerRefusal answers the router that the request did not run here.
func (s *Server) answerRefusal(w http.ResponseWriter, refused admission.Refuse) {
	s.setReply(w.Header(), &refused)
	failure.WriteHTTP(w, &failure.Error{
		Kind:       refused.Kind,
		Message:    "the agent did not take the request",
		RetryAfter: refused.RetryAfter,
	})
}

func (s *Server) reply(refused *admission.Refuse) hop.Reply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Reply(time.Now(), refused)
}

func (s *Server) setReply(header http.Header, refused *admission.Refuse) {
	if err := hop.SetReply(header, s.reply(refused)); err != nil {
		s.config.Log.WithError(err).Error("encoding the reply header failed")
	}
}
