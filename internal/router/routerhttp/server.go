// Package routerhttp does the I/O of a router: it serves callers over HTTP, sends each
// request to the agents that the router's Core chooses, and passes the answers on.
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

// Config configures a Server.
type Config struct {
	// Core decides where each request is sent.
	Core *router.Core
	// Credential proves membership of the cluster.
	Credential hop.Credential
	// Sealer seals and opens chat tokens.
	Sealer *routing.TokenSealer
	// Transport sends requests to agents. It must come from hop.NewTransport.
	Transport http.RoundTripper
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes int64
	// Timeouts bound the callers' deadlines.
	Timeouts TimeoutLimits
	// Log and Metrics receive log entries and metrics.
	Log     logrus.FieldLogger
	Metrics tally.Scope
	// Objectives records what the burn report of the service-level objectives needs.
	Objectives *slo.Recorder
}

// Server handles the requests at a router's listener for callers.
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

// New returns a server. SetPeering must be called before it serves.
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

// SetPeering sets the peering that executes control actions.
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
}

func (s *Server) perform(actions []coordination.Action) {
	if s.peering != nil {
		s.peering.Perform(actions)
	}
}

// View calls read with the core. read must not retain it.
func (s *Server) View(read func(*router.Core)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	read(s.core)
}

// Ready reports whether the router is ready for requests.
func (s *Server) Ready() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.core.Ready(time.Now())
}

// Drain makes the router not ready and announces to the peers that it is leaving.
// Requests that still arrive are served until the listener closes.
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

// content returns the content of the bundle in force.
func (s *Server) content() (*bundle.Content, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.core.Node().Bundle()
	if current == nil {
		return nil, failure.New(failure.NotReady, "this router has no bundle yet; ask another")
	}
	return current.Content, nil
}

// modelList is the chat API's answer to GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// modelEntry is one model of a modelList.
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

// serve reads a request, calls parse to determine its pool and key, and routes it.
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

// answerFailure logs and counts a failed request and answers it with the error.
func (s *Server) answerFailure(w http.ResponseWriter, p *callerRequest, err error) {
	kind := failure.KindOf(err)
	s.config.Metrics.Tagged(map[string]string{"kind": kind.String()}).Counter("failures").Inc(1)
	s.config.Log.WithFields(logrus.Fields{
		"request": p.ID, "tenant": p.Tenant, "pool": p.Pool, "kind": kind.String(),
	}).WithError(err).Debug("request failed")
	failure.WriteHTTP(w, err)
}

// setAnswerHeaders sets the headers that name the back end and the number of attempts.
func setAnswerHeaders(header http.Header, exchange *router.Exchange, backEnd string) {
	header.Set(HeaderBackEnd, backEnd)
	header.Set(HeaderAttempts, strconv.Itoa(exchange.Attempts()))
}
