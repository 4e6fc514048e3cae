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

// The callers' habits.
const (
	chatTimeout    = 60 * time.Second
	serviceTimeout = 10 * time.Second
	// maxContext is the context length at which a chat begins anew, in tokens.
	maxContext = 12000
	// batchShare is the share of turns that are batch work.
	batchShare = 0.1
	// keyedShare is the share of plain calls with an idempotency key; of the
	// rest half must not be repeated and half may.
	keyedShare = 0.6
	// impatientShare is how many keyed calls are sent again, through whichever
	// router, before the first attempt is answered.
	earlyRepeatShare = 0.2
	// maxRepeats is how often a caller repeats a keyed call.
	maxRepeats = 4
	// balancerLag is how late the balancer notices that a router isn't ready.
	balancerLag = time.Second
)

// chat is one returning chat.
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

// caller is one piece of work: a chat's turn or a plain call, with its repeats.
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

// callers make the traffic.
type callers struct {
	s         *Simulation
	chats     []*chat
	weights   []float64
	callCount int
	// surge multiplies the rate; surgeTenant, if not negative, is the only
	// tenant whose rate is multiplied.
	surge        float64
	surgeTenant  int
	readyRouters []*node
}

func newCallers(s *Simulation) *callers {
	c := &callers{s: s, surge: 1, surgeTenant: -1}
	total := 0.0
	for i := range s.options.Size.Tenants {
		total += 1 / float64(i+1) // a heavy tail: Zipf's law
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

// drawTenant returns a tenant by weight.
func (c *callers) drawTenant() int {
	at := c.s.loop.random.Float64() * c.weights[len(c.weights)-1]
	index, _ := slices.BinarySearch(c.weights, at)
	return min(index, len(c.weights)-1)
}

// logNormal returns a heavy-tailed length with the median.
func (c *callers) logNormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*c.s.loop.random.NormFloat64())
}

// start begins the traffic.
func (c *callers) start() {
	c.s.loop.every(0, balancerLag, c.checkRouters)
	for _, ch := range c.chats {
		c.s.loop.after(c.s.loop.between(0, c.s.options.Size.Pause), func() { c.startTurn(ch) })
	}
	if c.s.options.Size.ServiceRate > 0 {
		c.nextService()
	}
}

// lookAtRouters is the balancer's health check.
func (c *callers) checkRouters() {
	c.readyRouters = c.readyRouters[:0]
	for _, id := range c.s.ids {
		n := c.s.nodes[id]
		if n.isRouter() && n.process.up && !n.process.frozen && n.router.Ready(n.clock()) {
			c.readyRouters = append(c.readyRouters, n)
		}
	}
}

// pickRouter returns a router as the balancer would, or nil.
func (c *callers) pickRouter() *node {
	for range len(c.readyRouters) {
		n := c.readyRouters[c.s.loop.random.IntN(len(c.readyRouters))]
		if n.process.up {
			return n // a refused connection is tried elsewhere at once
		}
	}
	return nil
}

func (c *callers) pause(ch *chat) time.Duration {
	mean := c.s.options.Size.Pause
	if c.surgeTenant < 0 || c.surgeTenant == ch.tenant {
		mean = time.Duration(float64(mean) / c.surge)
	}
	// Most chats come back soon, some after long: a mixture with this mean.
	if c.s.loop.random.Float64() < 0.8 {
		return c.s.loop.exponential(mean / 2)
	}
	return c.s.loop.exponential(3 * mean)
}

// turn sends a chat's next turn.
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

// nextService sends plain calls at random moments.
func (c *callers) nextService() {
	mean := time.Duration(float64(time.Second) / c.s.options.Size.ServiceRate)
	c.s.loop.after(c.s.loop.exponential(mean), func() {
		serviceCall := c.newCall(tenantName(c.drawTenant()), servicePool)
		if c.s.loop.random.Float64() < keyedShare {
			serviceCall.key = "key-" + serviceCall.name
			// The caller's own clock is off too.
			serviceCall.keyIssued = c.s.loop.now.Add(c.s.loop.between(-c.s.options.ClockError/2, c.s.options.ClockError/2))
		}
		serviceCall.send()
		if serviceCall.key != "" && c.s.loop.random.Float64() < earlyRepeatShare {
			c.s.loop.after(c.s.loop.exponential(500*time.Millisecond), serviceCall.repeat)
		}
		c.nextService()
	})
}

// send makes one attempt of the work.
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

// answered takes the final word on an attempt.
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

// repeat sends the work again under its key.
func (c *call) repeat() {
	c.repeats++
	c.send()
}

// chatAnswered plans a chat's next turn. A refused turn comes back when told.
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

// sortedRequests returns requests in a fixed order.
func sortedRequests(set map[*request]bool) []*request {
	list := make([]*request, 0, len(set))
	for r := range set {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return list
}
