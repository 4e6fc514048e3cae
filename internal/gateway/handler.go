package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/clock"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/failure"
)

// Config sets up a Handler.
type Config struct {
	// State decides.
	State *State
	// Dialect translates headers.
	Dialect Dialect
	// Reused carries requests that may repeat, on kept connections; Fresh carries
	// the others, each on a connection of its own: a kept one may be closed by the
	// back end while a request is on its way, and the outcome is then unknown.
	Reused Transport
	Fresh  http.RoundTripper
	// MaxBodyBytes bounds a body where the configuration doesn't.
	MaxBodyBytes int64
	// Held bounds what is held for callers and back ends together.
	Buffers *BufferLimit
	// Lag tells when this process has stood still.
	Lag *LagMeter
	// Log and Metrics take what operators should know.
	Log     *eventlog.Log
	Metrics *Metrics
	// Disabled switches mechanisms off to show that checks notice.
	Disabled dispatch.Disabled
}

// Transport carries requests on connections that it keeps.
type Transport interface {
	http.RoundTripper
	// CloseIdleConnections closes those that carry no request.
	CloseIdleConnections()
}

// Handler serves callers.
type Handler struct {
	config Config
	// keptAnew is when the kept connections were last given up, in nanoseconds since 1970.
	idleClosedAt atomic.Int64
}

// NewHandler returns a handler.
func NewHandler(config Config) *Handler { return &Handler{config: config} }

// clock is the one by which ages are told.
func (h *Handler) clock() *clock.Clock { return h.config.State.Clock() }

// keptAnewPause is the least time between two times that kept connections are given up: a
// back end that has gone silent lets many requests expire, and says nothing of the others'
// connections.
const idleClosePause = 3 * time.Second

// giveUpKept closes the kept connections after a request on one of them got no answer in
// time: all may have fallen silent without a reset, and each would cost a further attempt.
func (h *Handler) closeReused() {
	now, last := time.Now().UnixNano(), h.idleClosedAt.Load()
	if now-last < int64(idleClosePause) || !h.idleClosedAt.CompareAndSwap(last, now) {
		return
	}
	h.config.Reused.CloseIdleConnections()
}

// call is one caller's request.
type call struct {
	request  *http.Request
	writer   http.ResponseWriter
	facts    RequestFacts
	tenant   string
	route    *catalog.Route
	version  uint64
	body     []byte
	began    time.Time
	deadline time.Time
	urgency  int
	exchange *dispatch.Exchange
	// heldRequest and heldAnswer are what it holds of Config.Held.
	bufferedRequest, bufferedAnswer int64
	// unlogged are the decisions that the log's budget left out.
	unloggedSends []sendDecision
}

// defaultTimeout is used for callers that don't say how long they wait and
// routes without a time-out.
const defaultTimeout = time.Minute

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{request: r, writer: w, began: h.clock().Now(), facts: h.config.Dialect.ReadRequest(r.Header)}
	defer h.releaseBuffers(c)
	h.setWriteDeadline(c, defaultTimeout)
	if h.config.State.Draining() {
		w.Header().Set("Connection", "close")
	}
	h.config.State.AwaitReady(r.Context())
	if err := h.prepare(c); err != nil {
		h.refuse(c, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.clock().Until(c.deadline))
	defer cancel()
	h.route(ctx, c)
}

// prepare finds the route and the tenant and reads the body.
func (h *Handler) prepare(c *call) error {
	index := h.config.State.Index()
	if index == nil {
		return failure.New(failure.NotReady, "this gateway has no configuration yet; ask another")
	}
	c.version = index.Version()
	path, _, _ := strings.Cut(c.request.RequestURI, "?")
	c.route = index.Route(c.request.Host, path)
	if c.route == nil {
		return failure.New(failure.UnknownRoute, "no route has the host and path")
	}
	if err := h.authenticate(c, index); err != nil {
		return err
	}
	if c.facts.ID == "" {
		return failure.New(failure.InvalidRequest, "the request's ID is missing; send one that is unique")
	}
	if !h.config.Disabled[dispatch.LoadShedding] && !h.config.State.ShouldAdmit(c.urgency, c.facts.ID) {
		return failure.New(failure.Overloaded, "this gateway has too little time for one more request; ask another")
	}
	c.deadline = c.began.Add(shortestTimeout(c.facts.Timeout, c.route.Timeout))
	h.setWriteDeadline(c, h.clock().Until(c.deadline))
	return h.readBody(c, index.Configuration().Limits.MaxBodyBytes)
}

func (h *Handler) authenticate(c *call, index *catalog.Index) error {
	tenant := index.Tenant(c.facts.Key)
	if tenant == nil {
		if c.route.Public || len(index.Configuration().Tenants) == 0 {
			c.urgency = urgency(0, c.route.Priority)
			return nil
		}
		return failure.New(failure.Unauthenticated, "the key is missing or unknown")
	}
	c.tenant = tenant.Name
	c.urgency = urgency(tenant.Priority, c.route.Priority)
	return nil
}

// Ranks of requests: routes within tenants.
const (
	routeRanks = 3
	lastRank   = 9
)

// urgency ranks a request by its tenant before its route.
func urgency(tenantPriority, routePriority int) int {
	rank := tenantPriority*routeRanks + min(routePriority, routeRanks-1)
	return max(0, min(rank, lastRank))
}

func shortestTimeout(times ...time.Duration) time.Duration {
	shortest := defaultTimeout
	for _, each := range times {
		if each > 0 && each < shortest {
			shortest = each
		}
	}
	return shortest
}

func (h *Handler) readBody(c *call, limit int64) error {
	if limit <= 0 {
		limit = h.config.MaxBodyBytes
	}
	// A caller that stalls in its body holds a connection no longer than it may
	// wait for its answer.
	controller := http.NewResponseController(c.writer)
	if err := controller.SetReadDeadline(time.Now().Add(h.clock().Until(c.deadline))); err != nil {
		return failure.Wrap(failure.Internal, err, "bound the time of the body")
	}
	body, err := io.ReadAll(&requestBodyReader{reader: http.MaxBytesReader(c.writer, c.request.Body, limit), handler: h, call: c})
	if errors.Is(err, errNoRoom) {
		return failure.New(failure.Overloaded, "this gateway holds too much for callers that read slowly; ask another")
	}
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return failure.Wrap(failure.TooLarge, err, "the body is too large; send less")
		}
		return failure.Wrap(failure.CallerGone, err, "the caller broke off in its body")
	}
	c.body = body
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return failure.Wrap(failure.CallerGone, err, "the caller's connection ended")
	}
	return nil
}

// route makes attempts until one of them has answered the caller.
func (h *Handler) route(ctx context.Context, c *call) {
	path, _, _ := strings.Cut(c.request.RequestURI, "?")
	decision := h.decideSend(c, func(now time.Time, core *dispatch.Core) (d dispatch.Decision) {
		c.exchange, d = core.Begin(now, dispatch.Request{
			ID: c.facts.ID, Route: c.route, Path: path, Parts: c.facts.Parts,
			Urgency: c.urgency, Deadline: c.deadline, Fingerprints: c.fingerprints,
		})
		return d
	})
	defer h.config.State.decide(func(now time.Time, core *dispatch.Core) dispatch.Decision {
		core.Done(now, c.exchange)
		return dispatch.Decision{}
	})
	for decision.Send != nil {
		outcome := h.attempt(ctx, c, *decision.Send, "")
		if outcome.answer != nil {
			h.passOn(ctx, c, outcome)
			return
		}
		decision = outcome.next
	}
	h.refuse(c, decision.GiveUp)
}

// decideSend runs a step that may decide on an attempt, once this process knows what happened
// while it stood still.
func (h *Handler) decideSend(c *call, step func(now time.Time, core *dispatch.Core) dispatch.Decision) dispatch.Decision {
	if wait := h.config.Lag.SettleWait(h.clock().Now()); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-c.request.Context().Done():
		}
	}
	return h.config.State.decide(step)
}

// refuse gives the caller its final answer at once.
func (h *Handler) refuse(c *call, err error) {
	kind := failure.KindOf(err)
	h.config.Metrics.refused(c, kind)
	h.logRefusal(c, kind, err)
	if c.request.Context().Err() != nil || kind == failure.CallerGone {
		panic(http.ErrAbortHandler)
	}
	failure.WriteHTTPWith(c.writer, err, h.config.Dialect.FormatWait)
}

func (h *Handler) fields(c *call) logrus.Fields {
	fields := logrus.Fields{
		"request":     c.facts.ID,
		"version":     c.version,
		"tenant":      c.tenant,
		"elapsed_ms":  h.clock().Since(c.began).Milliseconds(),
		"deadline_ms": c.facts.Timeout.Milliseconds(),
	}
	if c.route != nil {
		fields["route"] = c.route.Name
	}
	if c.exchange != nil {
		fields["service"] = c.exchange.Service()
		fields["attempts"] = c.exchange.Attempts()
		fields["ran"] = c.exchange.Ran()
	}
	return fields
}
