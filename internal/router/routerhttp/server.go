// Package routerhttp is the shell of a router: it serves callers over HTTP,
// asks the core where each request goes, and passes the answers on.
package routerhttp

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/peering"
	"github.com/harriernotch/harriernotch/internal/router"
	"github.com/harriernotch/harriernotch/internal/routing"
	"github.com/harriernotch/harriernotch/internal/slo"
)

// Config sets up a Server.
type Config struct {
	// Core decides.
	Core *router.Core
	// Credential proves membership of the cluster.
	Credential hop.Credential
	// Sealer makes and opens chat tokens.
	Sealer *routing.TokenSealer
	// Transport reaches agents; it must come from hop.NewTransport.
	Transport http.RoundTripper
	// MaxBodyBytes bounds a caller's body.
	MaxBodyBytes int64
	// Timeouts bound the callers' deadlines.
	Timeouts TimeoutLimits
	// Log and Metrics take what operators should know.
	Log     logrus.FieldLogger
	Metrics tally.Scope
	// Objectives collects what the burn report needs.
	Objectives *slo.Recorder
}

// Server is a router's listener for callers.
type Server struct {
	config  Config
	routes  *httprouter.Router
	peering *peering.Peering

	// mutex guards the core.
	mutex sync.Mutex
	core  *router.Core

	attempts tally.Counter
	requests tally.Counter
}

// New returns a server. SetPeering must follow before it serves.
func New(config Config) *Server {
	s := &Server{
		config:   config,
		core:     config.Core,
		attempts: config.Metrics.Counter("attempts"),
		requests: config.Metrics.Counter("requests"),
	}
	s.routes = httprouter.New()
	s.routes.RedirectTrailingSlash = false
	s.routes.RedirectFixedPath = false
	s.routes.HandleMethodNotAllowed = false
	s.routes.HandlerFunc(http.MethodPost, "/v1/chat/completions", s.serveChat)
	s.routes.HandlerFunc(http.MethodGet, "/v1/models", s.serveModels)
	s.routes.NotFound = http.HandlerFunc(s.serveService)
	return s
}

// SetPeering connects the control plane.
func (s *Server) SetPeering(p *peering.Peering) { s.peering = p }

// Deliver passes a control event to the core.
func (s *Server) Deliver(event coordination.Event) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.perform(s.core.Control(time.Now(), event))
}

// Tick must be called once a tick period.
func (s *Server) Tick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.perform(s.core.Tick(time.Now()))
}

func (s *Server) perform(actions []coordination.Action) {
	if s.peering != nil {
		s.peering.Perform(actions)
	}
}

// View calls read with the core, which it must not keep.
func (s *Server) View(read func(*router.Core)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	read(s.core)
}

// Ready tells whether the router takes requests.
func (s *Server) Ready() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Ready(time.Now())
}

// Drain fails readiness and tells the peers. Requests that still arrive are
// served until the listener closes.
func (s *Server) Drain() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.perform(s.core.Drain(time.Now()))
}

// ServeHTTP implements http.Handler for callers.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests.Inc(1)
	s.routes.ServeHTTP(w, r)
}

// content returns the document in force.
func (s *Server) content() (*bundle.Content, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.core.Node().Bundle()
	if current == nil {
		return nil, failure.New(failure.NotReady, "this router has no bundle yet; ask another")
	}
	return current.Content, nil
}

// modelList is the chat API's list of models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// modelEntry is one model.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	content, err := s.content()
	if err == nil {
		_, err = authenticate(content, r.Header)
	}
	if err != nil {
		failure.WriteHTTP(w, err)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range content.ModelNames() {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "harriernotch"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, func(p *callerRequest, content *bundle.Content) error {
		if err := p.parseChat(content, r.Header, s.config.Sealer); err != nil {
			return err
		}
		return p.parseKey(r.Header, false, r.URL.Path)
	})
}

func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, func(p *callerRequest, content *bundle.Content) error {
		pool := content.PoolForPath(r.URL.Path)
		if pool == nil || strings.Contains(r.URL.Path, "..") {
			return failure.New(failure.UnknownRoute, "no pool owns the path; the bundle lists each service's path_prefix")
		}
		p.Pool = pool.Name
		p.ChatKey = p.ID
		return p.parseKey(r.Header, pool.IsUnrepeatable(r.Method), r.URL.RequestURI())
	})
}

// serve reads a request, lets parse find its pool, and routes it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, parse func(*callerRequest, *bundle.Content) error) {
	p := &callerRequest{}
	p.ID = uuid.NewString()
	w.Header().Set(HeaderRequestID, p.ID)
	if err := s.read(w, r, p, parse); err != nil {
		s.answerFailure(w, p, err)
		return
	}
	s.route(w, r, p)
}

func (s *Server) read(w http.ResponseWriter, r *http.Request, p *callerRequest, parse func(*callerRequest, *bundle.Content) error) error {
	content, err := s.content()
	if err != nil {
		return err
	}
	tenant, err := authenticate(content, r.Header)
	if err != nil {
		return err
	}
	p.Tenant = tenant.Name
	p.targets = slo.Targets{
		FirstToken:    content.Objectives.FirstToken.Std(),
		BetweenTokens: content.Objectives.BetweenTokens.Std(),
	}
	if err := p.parseHeaders(time.Now(), r.Header, s.config.Timeouts); err != nil {
		return err
	}
	if p.body, err = readBody(w, r, s.config.MaxBodyBytes); err != nil {
		return err
	}
	return parse(p, content)
}

// answerFailure sends a final answer.
func (s *Server) answerFailure(w http.ResponseWriter, p *callerRequest, err error) {
	kind := failure.KindOf(err)
	s.config.Metrics.Tagged(map[string]string{"kind": kind.String()}).Counter("failures").Inc(1)
	s.config.Log.WithFields(logrus.Fields{
		"request": p.ID, "tenant": p.Tenant, "pool": p.Pool, "kind": kind.String(),
	}).WithError(err).Debug("request failed")
	failure.WriteHTTP(w, err)
}

// setAnswerHeaders tells the caller who answered.
func setAnswerHeaders(header http.Header, exchange *router.Exchange, backEnd string) {
	header.Set(HeaderBackEnd, backEnd)
	header.Set(HeaderAttempts, strconv.Itoa(exchange.Attempts()))
}
