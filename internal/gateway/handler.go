package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/clock"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/eventlog"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/keepalive"
	"github.com/harriernotch/harriernotch/internal/task"
)

// Config configures a Handler.
type Config struct {
	// State decides which back end gets each request.
	State *State
	// Dialect translates headers between callers, the gateway and back ends.
	Dialect Dialect
	// Reused sends requests that may be repeated, on pooled connections. A back end may close
	// a pooled connection while a request is on its way, and it is then unknown whether the
	// request ran. So Persistent sends all others, on connections that the back end certainly
	// keeps open, or else on new ones; where Persistent already has a connection, it also
	// sends requests that may be repeated. Fresh sends each request on a new connection, if
	// Persistent is nil or has sent nothing because a connection became unsafe.
	Reused     Transport
	Persistent *keepalive.Transport
	Fresh      http.RoundTripper
	// Dial opens connections that only find out whether a back end can be reached; nil means TCP.
	Dial hop.DialFunc
	// MaxBodyBytes limits a request body if the configuration sets no limit.
	MaxBodyBytes int64
	// Buffers limits the bytes buffered for callers and back ends together.
	Buffers *BufferLimit
	// Lag detects that this process was paused; how late it runs is State.Lag.
	Lag *LagMeter
	// Origins finds out where streams began that callers resume.
	Origins OriginFinder
	// Tasks runs what goes on beside the handler of a request.
	Tasks *task.Group
	// Log and Metrics receive what operators should know.
	Log     *eventlog.Log
	Metrics *Metrics
	// Disabled switches mechanisms off, for tests which verify that the checks detect it.
	Disabled dispatch.Disabled
}

// Transport sends requests on pooled connections.
type Transport interface {
	http.RoundTripper
	// CloseIdleConnections closes the connections that carry no request.
	CloseIdleConnections()
}

// Handler serves the callers' HTTP requests.
type Handler struct {
	config Config
	reach  *reachProbes
	// idleClosedAt is when the pooled connections were last closed, in nanoseconds since 1970.
	idleClosedAt atomic.Int64
}

// NewHandler returns a Handler.
func NewHandler(config Config) *Handler {
	return &Handler{config: config, reach: newReachProbes(config.Dial, config.Tasks, config.Metrics.probed)}
}

// clock returns the clock by which ages are measured.
func (h *Handler) clock() *clock.Clock { return h.config.State.Clock() }

// idleClosePause is the minimum time between two closings of the pooled connections. A back
// end that has stopped responding makes many requests expire, and that says nothing about
// the connections to the others.
const idleClosePause = 3 * time.Second

// closeReused closes the idle pooled connections after a request on one of them got no
// answer in time: all of them may have gone dead without a reset, and each would cost
// another attempt.
func (h *Handler) closeReused() {
	now, last := time.Now().UnixNano(), h.idleClosedAt.Load()
	if now-last < int64(idleClosePause) || !h.idleClosedAt.CompareAndSwap(last, now) {
		return
	}
	h.config.Reused.CloseIdleConnections()
	if h.config.Persistent != nil {
		h.config.Persistent.CloseIdleConnections()
	}
}

// call is one caller's request.
type call struct {
	request  *http.Request
	writer   http.ResponseWriter
	facts    RequestFacts
	tenant   string
	route    *catalog.Route
	version  uint64
	body     requestBody
	began    time.Time
	deadline time.Time
	urgency  int
	exchange *dispatch.Exchange
	// originSource is how it is known where the stream began that the caller resumes, or "".
	originSource dispatch.OriginSource
	// connection is the connection of the last attempt.
	connection connection
	// incoming is what the body uses of Config.Buffers, and bufferedAnswer the bytes that the answer uses.
	incoming       incomingBody
	bufferedAnswer int64
	// isBodyRead is true once the body was read to its end, and isBodyCut once this gateway has ended its read.
	isBodyRead, isBodyCut bool
	// unloggedSends are the decisions to send that haven't been logged; see sendDecision.
	unloggedSends []sendDecision
}

// path returns the request's path as the caller wrote it, without the query.
func (c *call) path() string {
	path, _, _ := strings.Cut(c.request.RequestURI, "?")
	return path
}

// isResumption reports whether the caller resumes a stream.
func (c *call) isResumption() bool {
	return c.route != nil && c.route.Stream && c.route.Resumable && c.facts.resumes()
}

// isExcess reports whether the request is beyond its tenant's fair share.
func (c *call) isExcess() bool { return c.exchange != nil && c.exchange.Excess() }

// refusal returns why the request was refused for lack of a back end with room, or "".
func (c *call) refusal() dispatch.RefusalReason {
	if c.exchange == nil {
		return ""
	}
	return c.exchange.Refusal()
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{request: r, writer: w, began: h.clock().Now(), facts: h.config.Dialect.ReadRequest(r.Header)}
	defer h.releaseBuffers(c)
	h.setWriteDeadline(c, dispatch.MaxRequestTime)
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

// prepare finds the route and the tenant, and reads the body.
func (h *Handler) prepare(c *call) error {
	index := h.config.State.Index()
	if index == nil {
		return failure.New(failure.NotReady, "this gateway has no configuration yet; ask another")
	}
	c.version = index.Version()
	c.route = index.Route(c.request.Host, c.path())
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
	if err := h.limitToStop(c); err != nil {
		return err
	}
	h.setWriteDeadline(c, h.clock().Until(c.deadline))
	if h.clock().Until(c.deadline) <= 0 {
		return failure.New(failure.DeadlineUnmeetable, "the deadline passed before the request was read")
	}
	return h.readBody(c, index.Configuration().Limits.MaxBodyBytes)
}

// authenticate finds the tenant that owns the request's key, and the request's urgency. A request
// without a known key passes on a public route, or if the configuration needs no keys.
func (h *Handler) authenticate(c *call, index *catalog.Index) error {
	if tenant := index.Tenant(c.facts.Key); tenant != nil {
		c.tenant = tenant.Name
		c.urgency = urgency(tenant.Priority, c.route.Priority)
		return nil
	}
	policy := index.KeyPolicy()
	switch {
	case c.route.Public, policy == catalog.KeysNotRequired:
		c.urgency = urgency(0, c.route.Priority)
		return nil
	case policy == catalog.KeyPolicyUnknown:
		return failure.New(failure.NotReady, "this gateway doesn't know yet whether the configuration requires keys; ask another")
	default:
		return failure.New(failure.Unauthenticated, "the key is missing or unknown")
	}
}

// routeRanks is the number of ranks for routes within each tenant priority. lowestUrgency is
// the rank of the least urgent requests.
const (
	routeRanks    = 3
	lowestUrgency = 9
)

// urgency ranks a request by its tenant first and then by its route.
func urgency(tenantPriority, routePriority int) int {
	rank := tenantPriority*routeRanks + min(routePriority, routeRanks-1)
	return max(0, min(rank, lowestUrgency))
}

// shortestTimeout returns the shortest of the times that are set, or the longest time of any request.
func shortestTimeout(times ...time.Duration) time.Duration {
	shortest := dispatch.MaxRequestTime
	for _, each := range times {
		if each > 0 && each < shortest {
			shortest = each
		}
	}
	return shortest
}

// route makes attempts until one of them yields an answer for the caller, or gives up.
func (h *Handler) route(ctx context.Context, c *call) {
	request := dispatch.Request{
		ID: c.facts.ID, Route: c.route, Path: c.path(), Parts: c.facts.Parts,
		PromptTokens: c.facts.PromptTokens, OutputTokens: c.facts.expectedOutput(), Tenant: c.tenant,
		Urgency: c.urgency, Deadline: c.deadline, Fingerprints: c.fingerprints,
	}
	if err := h.originOf(ctx, c, &request); err != nil {
		h.refuse(c, err)
		return
	}
	decision := h.decideSend(c, func(now time.Time, core *dispatch.Core) (d dispatch.Decision) {
		c.exchange, d = core.Begin(now, request)
		return d
	})
	defer h.config.State.decide(func(now time.Time, core *dispatch.Core) dispatch.Decision {
		core.Done(now, c.exchange)
		return dispatch.Decision{}
	})
	for decision.Send != nil {
		result := h.attempt(ctx, c, *decision.Send, "")
		if result.answer != nil {
			h.passOn(ctx, c, result)
			return
		}
		decision = result.next
	}
	h.refuse(c, decision.GiveUp)
}

// decideSend runs a step that may decide on an attempt. If this process was paused, decideSend
// first waits for the rest of settleTime, in which the process reads what happened during the
// pause.
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

// hasLeft reports whether a request ends with the given kind of failure because its caller has left. The end of a read of the
// body ends the request's context too.
func (c *call) hasLeft(kind failure.Kind) bool {
	return kind == failure.CallerGone || c.request.Context().Err() != nil && !c.isBodyCut
}

// refuse replies to the caller with a final error.
func (h *Handler) refuse(c *call, err error) {
	kind := failure.KindOf(err)
	h.config.Metrics.refused(c, kind)
	h.logRefusal(c, kind, err)
	if c.hasLeft(kind) {
		panic(http.ErrAbortHandler)
	}
	h.setWriteDeadline(c, 0)
	if c.request.Body != http.NoBody && !c.isBodyRead {
		endBody(c.writer, c.request, c.body.size, c.isBodyCut)
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
