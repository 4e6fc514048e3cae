package simulation

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/admission"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/routing"
)

// The behavior of the callers.
const (
	chatTimeout    = 60 * time.Second
	serviceTimeout = 10 * time.Second
	// maxContext is the context length, in tokens, above which a chat is replaced by a
	// new one.
	maxContext = 12000
	// batchShare is the share of turns with batch priority.
	batchShare = 0.1
	// keyedShare is the share of service calls with an idempotency key. Callers don't
	// repeat the others.
	keyedShare = 0.6
	// earlyRepeatShare is the share of keyed calls that are sent again, through any
	// router, without waiting for the answer to the first request.
	earlyRepeatShare = 0.2
	// maxRepeats is the number of repeats after which a caller gives up a keyed call.
	maxRepeats = 4
	// balancerLag is the longest delay until the balancer notices that a router isn't
	// ready.
	balancerLag = time.Second
)

// chat is one chat, which sends turn after turn.
type chat struct {
	index         int
	key           string
	model         int
	tenant        int
	contextTokens int
	turns         int
	token         *routing.ChatToken
	busy          bool
}

// call is one call of a caller, a chat's turn or a service call, with its repeats.
type call struct {
	s            *Simulation
	name         string
	chat         *chat
	tenant       string
	pool         string
	key          string
	keyIssued    time.Time
	repeats      int
	promptTokens int
	outputTokens int
	priority     admission.Priority
}

// callers generates the traffic.
type callers struct {
	s         *Simulation
	chats     []*chat
	weights   []float64
	callCount int
	// surge multiplies the rate of the chats' turns; surgeTenant, if not negative, is the
	// only tenant whose rate is multiplied.
	surge        float64
	surgeTenant  int
	readyRouters []*node
}

func newCallers(s *Simulation) *callers {
	c := &callers{s: s, surge: 1, surgeTenant: -1}
	total := 0.0
	for i := range s.options.Size.Tenants {
		total += 1 / float64(i+1) // heavy-tailed, by Zipf's law
		c.weights = append(c.weights, total)
	}
	const expectedTurnTime = 6 * time.Second
	count := int(s.options.Size.ChatRate * (s.options.Size.Pause + expectedTurnTime).Seconds())
	for i := range count {
		c.chats = append(c.chats, &chat{
			index: i, key: fmt.Sprintf("chat-%d", i), model: i % max(1, s.options.Size.Models), tenant: c.drawTenant(),
			contextTokens: int(c.logNormal(1200, 0.9)),
		})
	}
	return c
}

// drawTenant returns a random tenant by weight.
func (c *callers) drawTenant() int {
	at := c.s.loop.random.Float64() * c.weights[len(c.weights)-1]
	index, _ := slices.BinarySearch(c.weights, at)
	return min(index, len(c.weights)-1)
}

// logNormal returns a random value from the log-normal distribution with the median.
func (c *callers) logNormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*c.s.loop.random.NormFloat64())
}

// start starts the traffic.
func (c *callers) start() {
	c.s.loop.every(0, balancerLag, c.checkRouters)
	for _, ch := range c.chats {
		c.s.loop.after(c.s.loop.between(0, c.s.options.Size.Pause), func() { c.startTurn(ch) })
	}
	if c.s.options.Size.ServiceRate > 0 {
		c.nextService()
	}
}

// checkRouters is the balancer's health check of the routers.
func (c *callers) checkRouters() {
	c.readyRouters = c.readyRouters[:0]
	for _, id := range c.s.ids {
		n := c.s.nodes[id]
		if n.isRouter() && n.process.up && !n.process.frozen && n.router.Ready(n.clock()) {
			c.readyRouters = append(c.readyRouters, n)
		}
	}
}

// pickRouter returns a router as the balancer does, or nil if none is found.
func (c *callers) pickRouter() *node {
	for range len(c.readyRouters) {
		n := c.readyRouters[c.s.loop.random.IntN(len(c.readyRouters))]
		if n.process.up {
			return n // after a refused connection, the balancer tries another router at once
		}
	}
	return nil
}

func (c *callers) pause(ch *chat) time.Duration {
	mean := c.s.options.Size.Pause
	if c.surgeTenant < 0 || c.surgeTenant == ch.tenant {
		mean = time.Duration(float64(mean) / c.surge)
	}
	// Most pauses are short and some are long: a mixture of two exponential distributions
	// with this mean.
	if c.s.loop.random.Float64() < 0.8 {
		return c.s.loop.exponential(mean / 2)
	}
	return c.s.loop.exponential(3 * mean)
}

// startTurn sends a chat's next turn, unless one is in flight.
func (c *callers) startTurn(ch *chat) {
	if ch.busy {
		return
	}
	ch.busy = true
	if ch.contextTokens > maxContext {
		ch.contextTokens, ch.turns, ch.token = int(c.logNormal(1200, 0.9)), 0, nil
		ch.key = fmt.Sprintf("%s+", ch.key)
	}
	priority := admission.Interactive
	if c.s.loop.random.Float64() < batchShare {
		priority = admission.Batch
	}
	turn := c.newCall(tenantName(ch.tenant), poolName(ch.model))
	turn.chat = ch
	turn.priority = priority
	turn.promptTokens = ch.contextTokens + int(c.logNormal(120, 0.8))
	turn.outputTokens = max(1, int(c.logNormal(130, 0.6)))
	turn.send()
}

func (c *callers) newCall(tenant, pool string) *call {
	c.callCount++
	return &call{s: c.s, name: fmt.Sprintf("w%d", c.callCount), tenant: tenant, pool: pool}
}

// nextService schedules the next service call, at exponentially distributed intervals.
func (c *callers) nextService() {
	mean := time.Duration(float64(time.Second) / c.s.options.Size.ServiceRate)
	c.s.loop.after(c.s.loop.exponential(mean), func() {
		serviceCall := c.newCall(tenantName(c.drawTenant()), servicePool)
		if c.s.loop.random.Float64() < keyedShare {
			serviceCall.key = "key-" + serviceCall.name
			// The caller's clock has an error too.
			serviceCall.keyIssued = c.s.loop.now.Add(c.s.loop.between(-c.s.options.ClockError/2, c.s.options.ClockError/2))
		}
		serviceCall.send()
		if serviceCall.key != "" && c.s.loop.random.Float64() < earlyRepeatShare {
			c.s.loop.after(c.s.loop.exponential(500*time.Millisecond), serviceCall.repeat)
		}
		c.nextService()
	})
}

// send sends the call to a router once.
func (c *call) send() {
	r := &request{
		id: fmt.Sprintf("%s/%d", c.name, c.repeats), call: c, tenant: c.tenant, pool: c.pool, chat: c.chat,
		promptTokens: c.promptTokens, outputTokens: c.outputTokens, priority: c.priority, key: c.key, keyIssued: c.keyIssued,
		startedAt: c.s.loop.now, timeout: chatTimeout,
	}
	if c.chat == nil {
		r.timeout = serviceTimeout
	}
	c.s.measure.requestStarted(r)
	router := c.s.callers.pickRouter()
	if router == nil {
		r.done = true
		c.s.loop.after(callerLatency, func() { c.requestAnswered(r, outcome{kind: failure.NotReady, wait: time.Second}) })
		return
	}
	generation := router.process.generation
	c.s.loop.after(callerLatency, func() {
		if !router.process.up || router.process.generation != generation {
			r.done = true
			c.requestAnswered(r, outcome{kind: failure.BackendFailed})
			return
		}
		router.process.deliver(generation, func() { router.beginRequest(r) })
	})
}

// requestAnswered processes the outcome of one request of the call. It repeats an unserved
// call that has an idempotency key, unless that has been repeated maxRepeats times.
func (c *call) requestAnswered(r *request, o outcome) {
	c.s.checks.checkOutcome(r, o)
	c.s.measure.requestAnswered(r, o)
	if c.chat != nil {
		c.chatAnswered(r, o)
		return
	}
	if o.served || c.key == "" || c.repeats >= maxRepeats {
		return
	}
	c.s.loop.after(max(o.wait, 500*time.Millisecond)+c.s.loop.exponential(time.Second), c.repeat)
}

// repeat sends the call again with the same idempotency key.
func (c *call) repeat() {
	c.repeats++
	c.send()
}

// chatAnswered schedules a chat's next turn. After a refusal with a retry time, the chat
// waits at least that time.
func (c *call) chatAnswered(r *request, o outcome) {
	ch := c.chat
	ch.busy = false
	wait := c.s.callers.pause(ch)
	switch {
	case o.served:
		ch.turns++
		ch.contextTokens = r.promptTokens + r.outputTokens
		ch.token = o.token
	case o.wait > 0:
		wait = o.wait + c.s.loop.exponential(o.wait)
	}
	c.s.loop.after(wait, func() { c.s.callers.startTurn(ch) })
}

// sortedRequests returns the requests in the order of their IDs, so that runs are
// reproducible.
func sortedRequests(set map[*request]bool) []*request {
	list := make([]*request, 0, len(set))
	for r := range set {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return list
}
