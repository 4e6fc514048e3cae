package simulation

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/admission"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/hop"
	"github.com/harriernotch/harriernotch/internal/router"
	"github.com/harriernotch/harriernotch/internal/routing"
)

// request is one HTTP request of a caller to one router.
type request struct {
	id           string
	call         *call
	tenant       string
	pool         string
	chat         *chat
	promptTokens int
	outputTokens int
	priority     admission.Priority
	// key is the idempotency key, keyIssued its time of issue by the caller's clock.
	key       string
	keyIssued time.Time
	startedAt time.Time
	timeout   time.Duration

	router   *node
	exchange *router.Exchange
	current  *attempt
	done     bool
	// paused reports that a frozen process held the request.
	paused bool
}

// attempt is one attempt of a request, from a router to an agent.
type attempt struct {
	request          *request
	router           *node
	routerGeneration int
	agent            *node
	agentGeneration  int
	head             hop.Head
	id               admission.RequestID
	arrived          bool
	arrivedAt        time.Time
	started          bool
	// answering is set when the answer begins, ended when the run ends.
	answering bool
	ended     bool
	// abandoned is set when the router no longer waits for the attempt.
	abandoned bool
	timing    runTiming
}

// beginRequest passes a caller's request to the router's core.
func (n *node) beginRequest(r *request) {
	n.exchanges[r] = true
	r.router = n
	deadline := n.clock().Add(r.timeout)
	exchange, decision := n.router.Begin(n.clock(), router.Request{
		ID: r.id, Tenant: r.tenant, Pool: r.pool, Priority: r.priority, Deadline: deadline,
		ChatKey: r.chatKey(), Token: r.token(), Key: r.key, KeyIssued: r.keyIssued, KeyDigest: 1,
	})
	r.exchange = exchange
	generation := n.process.generation
	n.s.loop.after(r.timeout, func() {
		n.process.deliver(generation, func() { n.deadlinePassed(r) })
	})
	n.applyDecision(r, decision)
}

func (r *request) chatKey() string {
	if r.chat == nil {
		return r.id
	}
	return r.chat.key
}

func (r *request) token() *routing.ChatToken {
	if r.chat == nil {
		return nil
	}
	return r.chat.token
}

// deadlinePassed abandons the current attempt of a request unless its answer has begun.
func (n *node) deadlinePassed(r *request) {
	a := r.current
	if r.done || a == nil || a.abandoned || a.answering {
		return
	}
	a.abandoned = true
	n.s.disconnect(a)
	n.applyDecision(r, n.router.ConnectionLost(n.clock(), r.exchange))
}

// applyDecision performs a router's decision: it gives the request up or sends an attempt.
func (n *node) applyDecision(r *request, decision router.Decision) {
	if decision.GiveUp != nil {
		n.s.measure.requestGivenUp(n, r, decision.GiveUp.Kind)
		n.s.checks.checkGivenUp(n, r, decision.GiveUp)
		n.answer(r, outcome{kind: decision.GiveUp.Kind, wait: decision.GiveUp.RetryDelay()})
		return
	}
	n.dispatch(r, decision.Send)
}

// dispatch sends one attempt to its agent.
func (n *node) dispatch(r *request, send *router.Send) {
	target := n.s.nodes[send.BackEnd]
	a := &attempt{request: r, router: n, routerGeneration: n.process.generation, agent: target, agentGeneration: target.process.generation, head: send.Head}
	r.current = a
	n.s.measure.attemptSent(send.Head)
	oneWay := n.s.network.latency(&n.process, &target.process)
	switch {
	case n.s.network.blocked(&n.process, &target.process) || n.s.network.blocked(&target.process, &n.process):
		n.dispatchIntoCut(a)
	case !target.process.up && target.machineDown:
		n.afterDelay(a, dialTimeout, n.notSent)
	case !target.process.up:
		n.afterDelay(a, 2*oneWay, n.notSent)
	default:
		n.s.loop.after(oneWay, func() {
			r.paused = r.paused || target.process.frozen
			target.process.deliver(a.agentGeneration, func() { target.attemptArrived(a) })
			if !target.process.up || target.process.generation != a.agentGeneration {
				n.afterDelay(a, oneWay, n.connectionLost) // the agent ended while the attempt was on its way
			}
		})
	}
}

// dispatchIntoCut loses an attempt that a cut blocks. A new connection can't be made, while
// an existing one accepts the request and is found dead later; each case has a
// probability of one half.
func (n *node) dispatchIntoCut(a *attempt) {
	if n.s.loop.random.IntN(2) == 0 {
		n.afterDelay(a, dialTimeout, n.notSent)
		return
	}
	n.afterDelay(a, keepAliveTimeout, n.connectionLost)
}

// afterDelay calls handle for an attempt at its router after a delay, unless the attempt
// is abandoned or the request done by then.
func (n *node) afterDelay(a *attempt, wait time.Duration, handle func(*attempt)) {
	n.s.loop.after(wait, func() {
		n.process.deliver(a.routerGeneration, func() {
			if !a.abandoned && !a.request.done {
				handle(a)
			}
		})
	})
}

func (n *node) notSent(a *attempt) {
	a.abandoned = true
	n.applyDecision(a.request, n.router.NotConnected(n.clock(), a.request.exchange))
}

func (n *node) connectionLost(a *attempt) {
	a.abandoned = true
	n.s.disconnect(a)
	n.applyDecision(a.request, n.router.ConnectionLost(n.clock(), a.request.exchange))
}

// attemptArrived passes an attempt to its agent's core.
func (n *node) attemptArrived(a *attempt) {
	n.lastID++
	a.id = n.lastID
	a.arrived = true
	a.arrivedAt = n.s.loop.now
	n.pending[a.id] = a
	n.perform(n.agent.Arrive(n.clock(), a.id, a.head))
	if a.abandoned {
		n.s.disconnect(a) // the router no longer waits; the agent notices a moment later
	}
}

func (n *node) startAttempt(action admission.Start) {
	a := n.pending[action.ID]
	a.started = true
	n.s.checks.checkRun(n, a)
	a.timing = n.backEnd.startRun(n.s, a.request)
	n.s.loop.log("%s runs %s at load %d", n.process.id, a.request.id, action.Load)
	n.s.measure.runStarted(a)
	generation := n.process.generation
	n.s.loop.after(a.timing.firstToken, func() {
		if !a.ended {
			n.process.deliver(generation, func() { a.answering = true })
		}
	})
	n.s.loop.after(a.timing.total, func() {
		if a.ended || !n.process.up || n.process.generation != generation {
			return
		}
		n.backEnd.endRun(a.request, true)
		a.ended = true
		n.process.deliver(generation, func() { n.finishAttempt(a) })
	})
}

// finishAttempt reports the end of a run to the agent's core and sends the answer.
func (n *node) finishAttempt(a *attempt) {
	delete(n.pending, a.id)
	n.perform(n.agent.Finished(n.clock(), admission.Finished{ID: a.id, Outcome: admission.Outcome{Known: true}}))
	n.reply(a, n.agent.Reply(n.clock(), nil))
}

func (n *node) refuseAttempt(action admission.Refuse) {
	a := n.pending[action.ID]
	delete(n.pending, action.ID)
	n.s.measure.attemptRefused(action.Kind)
	n.reply(a, n.agent.Reply(n.clock(), &action))
}

func (n *node) replayAttempt(action admission.Replay) {
	a := n.pending[action.ID]
	delete(n.pending, action.ID)
	n.reply(a, n.agent.Reply(n.clock(), nil))
}

// reply sends an answer back to the router. A cut delays it until the cut ends or the
// connection is found dead.
func (n *node) reply(a *attempt, reply hop.Reply) {
	latency := n.s.network.latency(&n.process, &a.router.process)
	deadline := n.s.loop.now.Add(keepAliveTimeout)
	n.s.loop.after(latency, func() { n.replyArrives(a, reply, deadline) })
}

func (n *node) replyArrives(a *attempt, reply hop.Reply, deadline time.Time) {
	if a.abandoned || a.request.done {
		return
	}
	if n.s.network.blocked(&n.process, &a.router.process) {
		if n.s.loop.now.After(deadline) {
			a.router.process.deliver(a.routerGeneration, func() {
				if !a.abandoned && !a.request.done {
					a.router.connectionLost(a)
				}
			})
			return
		}
		n.s.loop.after(cutRetryPeriod, func() { n.replyArrives(a, reply, deadline) })
		return
	}
	a.router.process.deliver(a.routerGeneration, func() {
		if !a.abandoned && !a.request.done {
			a.router.replyReceived(a, reply)
		}
	})
}

// replyReceived passes an agent's reply to the router's core.
func (n *node) replyReceived(a *attempt, reply hop.Reply) {
	a.abandoned = true
	r := a.request
	if reply.Refused {
		n.applyDecision(r, n.router.Refused(n.clock(), r.exchange, reply))
		return
	}
	n.router.ApplyPiggyback(n.clock(), reply)
	o := outcome{served: true, timing: a.timing, attempt: a}
	if r.chat != nil {
		token := n.router.Token(n.clock(), r.exchange, r.chat.key, reply.Incarnation)
		o.token = &token
	}
	n.answer(r, o)
}

// outcome is the outcome of a request as its caller receives it.
type outcome struct {
	served  bool
	kind    failure.Kind
	wait    time.Duration
	token   *routing.ChatToken
	timing  runTiming
	attempt *attempt
}

// String returns "served" or the kind of the failure.
func (o outcome) String() string {
	if o.served {
		return "served"
	}
	return o.kind.String()
}

// answer ends a request at its router and sends the outcome to the caller.
func (n *node) answer(r *request, o outcome) {
	if r.done {
		n.s.checks.fail("whole and own answers", "request %s got two answers", r.id)
		return
	}
	r.done = true
	delete(n.exchanges, r)
	n.s.loop.log("%s answers %s: %s after %d attempts", n.process.id, r.id, o, r.exchange.Attempts())
	// The timer of the deadline still references the request; the exchange is released
	// now, because its route is large.
	r.exchange = nil
	n.s.loop.after(callerLatency, func() { r.call.requestAnswered(r, o) })
}

// disconnect informs the agent that the router no longer waits for an attempt. The agent
// cancels the attempt, unless it runs under an idempotency key.
func (s *Simulation) disconnect(a *attempt) {
	n := a.agent
	s.loop.after(s.network.latency(&a.router.process, &n.process), func() {
		n.process.deliver(a.agentGeneration, func() { n.cancel(a) })
	})
}

func (n *node) cancel(a *attempt) {
	if !a.arrived || a.ended || n.pending[a.id] != a {
		return
	}
	if !a.started {
		delete(n.pending, a.id)
		n.perform(n.agent.Cancelled(n.clock(), a.id))
		return
	}
	if a.request.key != "" {
		return
	}
	n.backEnd.endRun(a.request, false)
	a.ended = true
	delete(n.pending, a.id)
	n.perform(n.agent.Finished(n.clock(), admission.Finished{ID: a.id}))
}

// failRouterRequests fails the requests that a stopped router had in flight.
func (s *Simulation) failRouterRequests(n *node) {
	for _, r := range sortedRequests(n.exchanges) {
		r.done = true
		if a := r.current; a != nil && !a.abandoned {
			a.abandoned = true
			s.disconnect(a)
		}
		s.checks.checkNotCut(n, r)
		s.loop.after(callerLatency, func() { r.call.requestAnswered(r, outcome{kind: failure.BackendFailed}) })
	}
	n.exchanges = nil
}

// failAgentAttempts fails the attempts that a stopped agent held. If its machine is down
// too, the routers notice only after keepAliveTimeout, and the engine's cache is lost.
func (s *Simulation) failAgentAttempts(n *node, withMachine bool) {
	for id := admission.RequestID(1); id <= n.lastID; id++ {
		a := n.pending[id]
		if a == nil {
			continue
		}
		if a.started && !a.ended {
			n.backEnd.endRun(a.request, false)
			a.ended = true
		}
		wait := s.network.latency(&n.process, &a.router.process)
		if withMachine {
			wait = keepAliveTimeout
		}
		s.checks.checkNotCut(n, a.request)
		a.router.afterDelay(a, wait, a.router.connectionLost)
	}
	n.pending = nil
	n.lastID = 0
	if withMachine {
		n.backEnd.clearCache()
	}
}
