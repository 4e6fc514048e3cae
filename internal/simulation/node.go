package simulation

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/admission"
	"github.com/harriernotch/harriernotch/internal/agent"
	"github.com/harriernotch/harriernotch/internal/bundle"
	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/membership"
	"github.com/harriernotch/harriernotch/internal/router"
)

// node is one process of the fleet with the core of its role.
type node struct {
	s        *Simulation
	process  process
	identity coordination.Identity
	links    map[coordination.LinkID]*simLink
	lastLink coordination.LinkID

	// router is set for a router.
	router *router.Core
	// agent and backEnd are set for an agent and the back end behind it.
	agent   *agent.Core
	backEnd *backEnd
	pending map[admission.RequestID]*attempt
	lastID  admission.RequestID
	// exchanges are the requests that a router has in flight.
	exchanges map[*request]bool
	// machineDown reports that the whole machine is down, not only the process.
	// platformCut reports that the node can't reach the platform.
	machineDown bool
	platformCut bool
	// adopted is the highest bundle number that the node has had in force while ready,
	// across restarts.
	adopted uint64
	// adoptedAt is when the node first adopted each bundle number.
	adoptedAt map[uint64]time.Time
	// load is the gate's load that countLoad saw last.
	load int
}

func (n *node) isRouter() bool { return n.identity.Role == membership.RoleRouter }

func (n *node) clock() time.Time { return n.process.clock(n.s) }

// plane returns the node's control plane, or nil while the process is down.
func (n *node) plane() *coordination.Node {
	switch {
	case !n.process.up:
		return nil
	case n.isRouter():
		return n.router.Node()
	default:
		return n.agent.Node()
	}
}

// start starts the process without any state of an earlier start.
func (n *node) start() {
	n.process.up = true
	n.process.frozen = false
	n.process.inbox = nil
	n.process.generation++
	n.links = map[coordination.LinkID]*simLink{}
	acceptor := bundle.NewAcceptor(n.s.trusted)
	control := n.s.options.coordination()
	if n.isRouter() {
		config := router.DefaultConfig(n.identity)
		config.Coordination = control
		config.Policy = n.s.options.Policy.policy
		config.IgnoreLeaving = n.s.options.Disabled == MechanismLeaving
		config.RetryUnknown = n.s.options.Disabled == MechanismRetryUnknown
		config.Random = n.s.loop.random
		n.router = router.New(config, n.s.openBundle, acceptor, n.clock())
		n.exchanges = map[*request]bool{}
		n.s.measure.routerStarts++
	} else {
		config := agent.DefaultConfig(n.identity)
		config.Coordination = control
		config.Disable = n.s.options.agentDisable()
		n.agent = agent.New(config, n.s.openBundle, acceptor, n.clock())
		n.pending = map[admission.RequestID]*attempt{}
		n.countLoad()
	}
	generation := n.process.generation
	period := control.TickPeriod
	n.tickEvery(generation, n.s.loop.between(0, period), period)
	n.s.loop.log("start %s generation %d", n.process.id, generation)
}

// tickEvery ticks the core until the process ends or restarts. A process that was frozen
// gets one tick when it resumes, as from a timer.
func (n *node) tickEvery(generation int, first, period time.Duration) {
	n.s.loop.after(first, func() {
		if !n.process.up || n.process.generation != generation {
			return
		}
		if n.process.frozen {
			n.process.deliver(generation, func() { n.tickEvery(generation, 0, period) })
			return
		}
		n.tick()
		n.tickEvery(generation, period, period)
	})
}

func (n *node) tick() {
	if n.isRouter() {
		n.performControl(n.router.Tick(n.clock()))
		return
	}
	n.perform(n.agent.Tick(n.clock()))
}

// control passes a control event to the core.
func (n *node) control(event coordination.Event) {
	if n.isRouter() {
		n.performControl(n.router.Control(n.clock(), event))
		return
	}
	n.perform(n.agent.Control(n.clock(), event))
}

// performControl performs the actions of the control plane.
func (n *node) performControl(actions []coordination.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case coordination.Send:
			n.s.network.send(n, a)
		case coordination.Connect:
			n.s.network.connect(n, a)
		case coordination.Disconnect:
			if l := n.links[a.Link]; l != nil {
				n.s.network.breakLink(l)
			}
		case coordination.ReadPlatform:
			n.s.platform.read(n, a)
		case coordination.ReadMachines:
			n.s.platform.readMachines(n)
		case coordination.BundleAdopted:
			n.s.checks.checkAdopted(n, a.Bundle.Number)
		case coordination.BundleRefused:
			n.s.loop.log("%s refused a bundle from %s: %v", n.process.id, a.From, a.Err.Kind)
		}
	}
}

// perform performs the effects of an agent's core.
func (n *node) perform(effects agent.Effects) {
	n.performControl(effects.Control)
	for _, action := range effects.Requests {
		switch a := action.(type) {
		case admission.Start:
			n.startAttempt(a)
		case admission.Refuse:
			n.refuseAttempt(a)
		case admission.Replay:
			n.replayAttempt(a)
		}
	}
	n.countLoad()
}

// countLoad samples the pool's mean when the load of the agent's gate has changed, and
// first checks the load bound if the load has risen.
func (n *node) countLoad() {
	load := 0
	if n.process.up {
		load = n.agent.Gate().Load()
	}
	if load == n.load {
		return
	}
	rose := load > n.load
	n.load = load
	if rose {
		n.s.checks.checkAdmission(n, load)
		return
	}
	n.s.pools[n.backEnd.pool].sample(n.s.loop.now)
}

// stop ends the process. withMachine means that its machine and back end go down too.
func (n *node) stop(withMachine bool) {
	if !n.process.up {
		return
	}
	n.s.loop.log("stop %s machine %v", n.process.id, withMachine)
	n.process.up = false
	n.process.inbox = nil
	n.s.network.closeAll(n, withMachine)
	if n.isRouter() {
		n.s.failRouterRequests(n)
		return
	}
	n.s.failAgentAttempts(n, withMachine)
	n.countLoad()
}
