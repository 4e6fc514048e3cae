package simulation

import (
	"context"
	"time"

	"github.com/harriernotch/harriernotch/internal/coordination"
	"github.com/harriernotch/harriernotch/internal/failure"
	"github.com/harriernotch/harriernotch/internal/membership"
	"github.com/harriernotch/harriernotch/internal/objectstore"
)

const (
	platformLatency = 3 * time.Millisecond
	// callTimeout is how long a client waits for a platform that doesn't answer.
	callTimeout = 3 * time.Second
	// machineLag is the delay until the machine list shows a machine as leaving.
	machineLag = 2 * time.Second
)

// simPlatform models the object API and the machine list. It implements
// objectstore.Objects for the operators, whose calls take no virtual time.
type simPlatform struct {
	s       *Simulation
	objects map[string]objectstore.Object
	version uint64
	down    bool
	slow    bool
	// loseWriteAnswers is the number of the next writes whose answer is lost.
	loseWriteAnswers int
	watches          []*watch
	// leavingSince is when each machine was marked as leaving.
	leavingSince map[string]time.Time
	// beforeWrite runs once before the next write, to simulate a concurrent operator.
	beforeWrite func()
}

// watch is a read that waits for a new version.
type watch struct {
	done  bool
	reply func()
}

// read answers a node's read of the bundle.
func (p *simPlatform) read(n *node, action coordination.ReadPlatform) {
	p.s.measure.platformCall(p.s.loop.now)
	requestedAt := n.clock()
	generation := n.process.generation
	deliver := func(event coordination.Event) {
		n.process.deliver(generation, func() { n.control(event) })
	}
	fail := func(wait time.Duration) {
		p.s.loop.after(wait, func() { deliver(coordination.PlatformFailed{}) })
	}
	switch {
	case n.platformCut:
		fail(callTimeout)
		return
	case p.down:
		fail(platformLatency)
		return
	case p.slow:
		fail(callTimeout)
		return
	}
	w := &watch{}
	w.reply = func() {
		if w.done {
			return
		}
		w.done = true
		object := p.objects[objectstore.BundleKey]
		unchanged := action.After != 0 && object.Version == action.After
		if p.down || n.platformCut {
			fail(platformLatency)
			return
		}
		p.s.loop.after(platformLatency, func() {
			deliver(coordination.PlatformBundle{Raw: object.Value, Unchanged: unchanged, Version: object.Version, RequestedAt: requestedAt})
		})
	}
	if action.Wait == 0 || p.objects[objectstore.BundleKey].Version != action.After {
		p.s.loop.after(platformLatency, w.reply)
		return
	}
	p.watches = append(p.watches, w)
	p.s.loop.after(action.Wait, w.reply)
}

// answerWatches answers all waiting watches.
func (p *simPlatform) answerWatches() {
	waiting := p.watches
	p.watches = nil
	for _, w := range waiting {
		w.reply()
	}
}

// setDown begins or ends an outage. The beginning of an outage fails the waiting watches.
func (p *simPlatform) setDown(down bool) {
	p.down = down
	p.s.loop.log("platform down %v", down)
	if down {
		p.answerWatches()
	}
}

// readMachines answers a node's read of the machine list, which holds all routers and those
// agents that are leaving. A read that fails gets no answer.
func (p *simPlatform) readMachines(n *node) {
	p.s.measure.platformCall(p.s.loop.now)
	if p.down || p.slow || n.platformCut {
		return
	}
	var list []coordination.Machine
	for _, id := range p.s.ids {
		other := p.s.nodes[id]
		since, isLeaving := p.leavingSince[id]
		leaving := isLeaving && p.s.loop.now.Sub(since) >= machineLag
		if !leaving && other.identity.Role != membership.RoleRouter {
			continue
		}
		list = append(list, coordination.Machine{
			ID: id, Role: other.identity.Role, Address: other.identity.Address, Zone: other.identity.Zone, Leaving: leaving,
		})
	}
	generation := n.process.generation
	p.s.loop.after(platformLatency, func() {
		n.process.deliver(generation, func() {
			p.s.checks.markLeavingMachines(list)
			n.control(coordination.MachineList{Machines: list})
		})
	})
}

// Get implements objectstore.Objects for operators.
func (p *simPlatform) Get(_ context.Context, key string) (objectstore.Object, error) {
	if p.down || p.slow {
		return objectstore.Object{}, failure.New(failure.PlatformUnavailable, "the platform is down")
	}
	return p.objects[key], nil
}

// Watch implements objectstore.Objects. It returns immediately, since operators don't
// watch.
func (p *simPlatform) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (objectstore.Object, error) {
	return p.Get(ctx, key)
}

// Put implements objectstore.Objects for operators.
func (p *simPlatform) Put(_ context.Context, key string, value []byte, expected uint64) (uint64, error) {
	if otherWrite := p.beforeWrite; otherWrite != nil {
		p.beforeWrite = nil
		otherWrite()
	}
	if p.down || p.slow {
		return 0, failure.New(failure.PlatformUnavailable, "the platform is down")
	}
	if p.objects[key].Version != expected {
		return 0, failure.New(failure.Conflict, "the version differs")
	}
	p.version++
	p.objects[key] = objectstore.Object{Value: value, Version: p.version}
	if key == objectstore.BundleKey {
		p.answerWatches()
	}
	if p.loseWriteAnswers > 0 {
		p.loseWriteAnswers--
		return 0, failure.New(failure.PlatformUnavailable, "the answer was lost")
	}
	return p.version, nil
}
