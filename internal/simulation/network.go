package simulation

import (
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/coordination"
)

// One-way latencies and connection timeouts.
const (
	latencyInZone         = 300 * time.Microsecond
	latencyBetweenZones   = 1500 * time.Microsecond
	latencyBetweenRegions = 30 * time.Millisecond
	callerLatency         = 4 * time.Millisecond
	// keepAliveTimeout is how long a connection survives a cut; it follows from the
	// keep-alive settings of the hop.
	keepAliveTimeout = 8 * time.Second
	// dialTimeout is the time after which a dial without any response fails, such as one
	// across a cut or to a machine that is down.
	dialTimeout = time.Second
	// cutRetryPeriod is the time between two attempts to deliver a message that a cut
	// holds up.
	cutRetryPeriod = 250 * time.Millisecond
)

// cut blocks the traffic from one group of processes to another, in this direction only.
type cut struct {
	from, to func(*process) bool
}

// healedCut is a cut that has ended.
type healedCut struct {
	*cut
	at time.Time
}

// network carries messages between processes.
type network struct {
	s    *Simulation
	cuts []*cut
	// healed are the cuts that ended within the last settleTime; older ones are removed
	// when the next cut ends.
	healed []healedCut
	// duplicate is the share of control messages that are delivered twice, reorder the
	// share that may overtake earlier ones. TCP does neither; the cores tolerate both.
	duplicate float64
	reorder   float64
}

func (n *network) add(c *cut) { n.cuts = append(n.cuts, c) }

func (n *network) remove(c *cut) {
	n.cuts = slices.DeleteFunc(n.cuts, func(other *cut) bool { return other == c })
	n.healed = slices.DeleteFunc(n.healed, func(h healedCut) bool { return n.s.loop.now.Sub(h.at) > settleTime })
	n.healed = append(n.healed, healedCut{cut: c, at: n.s.loop.now})
}

// recentlyCut reports whether a cut is active or ended within settleTime.
func (n *network) recentlyCut() bool {
	return len(n.cuts) > 0 || len(n.healed) > 0 && n.s.loop.now.Sub(n.healed[len(n.healed)-1].at) <= settleTime
}

// sameSide reports whether no cut separates two nodes, neither an active one nor one that
// ended within settleTime.
func (n *network) sameSide(a, b *node) bool {
	separates := func(c *cut) bool {
		return c.from(&a.process) && c.to(&b.process) || c.from(&b.process) && c.to(&a.process)
	}
	if slices.ContainsFunc(n.cuts, separates) {
		return false
	}
	return !slices.ContainsFunc(n.healed, func(h healedCut) bool {
		return n.s.loop.now.Sub(h.at) <= settleTime && separates(h.cut)
	})
}

func (n *network) blocked(from, to *process) bool {
	for _, c := range n.cuts {
		if c.from(from) && c.to(to) {
			return true
		}
	}
	return false
}

func (n *network) latency(from, to *process) time.Duration {
	base := latencyInZone
	switch {
	case from.region != to.region:
		base = latencyBetweenRegions
	case from.zone != to.zone:
		base = latencyBetweenZones
	}
	return base + n.s.loop.exponential(base/5)
}

// simLink is one control connection between two nodes.
type simLink struct {
	ends         [2]*node
	ids          [2]coordination.LinkID
	open         [2]bool
	generations  [2]int
	lastArrivals [2]time.Time // the arrival of the last message towards each end
}

// connect dials a peer as the daemon's peering does.
func (n *network) connect(from *node, action coordination.Connect) {
	to := n.s.byAddress[action.Address]
	generation := from.process.generation
	fail := func(wait time.Duration) {
		n.s.loop.after(wait, func() {
			from.process.deliver(generation, func() {
				from.control(coordination.LinkDown{Address: action.Address, Peer: action.Peer})
			})
		})
	}
	if to == nil || n.blocked(&from.process, &to.process) || n.blocked(&to.process, &from.process) || to.process.frozen {
		fail(dialTimeout)
		return
	}
	wait := 2 * n.latency(&from.process, &to.process)
	if !to.process.up {
		fail(wait)
		return
	}
	n.s.loop.after(wait, func() {
		if !from.process.up || from.process.generation != generation || !to.process.up {
			return
		}
		n.open(from, to)
	})
}

func (n *network) open(from, to *node) {
	l := &simLink{ends: [2]*node{from, to}, open: [2]bool{true, true}}
	for i, end := range l.ends {
		end.lastLink++
		l.ids[i] = end.lastLink
		l.generations[i] = end.process.generation
		end.links[l.ids[i]] = l
	}
	for i, end := range l.ends {
		end.process.deliver(l.generations[i], func() {
			end.control(coordination.LinkUp{Link: l.ids[i], Peer: l.ends[1-i].process.id, Dialed: i == 0})
		})
	}
}

// side returns the index of the node's end.
func (l *simLink) side(of *node) int {
	if l.ends[0] == of {
		return 0
	}
	return 1
}

// send transmits a message; the bytes counted are those of its real encoding and its frame.
func (n *network) send(from *node, action coordination.Send) {
	l := from.links[action.Link]
	if l == nil {
		return
	}
	size := n.s.measure.controlSent(from, action.Message)
	side := l.side(from)
	to := l.ends[1-side]
	n.s.measure.controlReceived(to, size)
	arrival := n.s.loop.now.Add(n.latency(&from.process, &to.process))
	if n.s.loop.random.Float64() >= n.reorder && arrival.Before(l.lastArrivals[1-side]) {
		arrival = l.lastArrivals[1-side] // TCP keeps the order
	}
	l.lastArrivals[1-side] = arrival
	deadline := n.s.loop.now.Add(keepAliveTimeout)
	n.s.loop.after(arrival.Sub(n.s.loop.now), func() { n.deliverMessage(l, side, action.Message, deadline) })
	if n.s.loop.random.Float64() < n.duplicate {
		n.s.loop.after(arrival.Sub(n.s.loop.now)+n.latency(&from.process, &to.process), func() { n.deliverMessage(l, side, action.Message, deadline) })
	}
}

// deliverMessage delivers a message. While a cut blocks the direction, it retries until
// the deadline and then breaks the connection.
func (n *network) deliverMessage(l *simLink, side int, message coordination.Message, deadline time.Time) {
	from, to := l.ends[side], l.ends[1-side]
	if !l.open[1-side] {
		return
	}
	if n.blocked(&from.process, &to.process) {
		if n.s.loop.now.After(deadline) {
			n.breakLink(l)
			return
		}
		n.s.loop.after(cutRetryPeriod, func() { n.deliverMessage(l, side, message, deadline) })
		return
	}
	to.process.deliver(l.generations[1-side], func() {
		if l.open[1-side] {
			to.control(coordination.Received{Link: l.ids[1-side], Message: message})
		}
	})
}

// breakLink closes a connection at both ends.
func (n *network) breakLink(l *simLink) {
	for i, end := range l.ends {
		if !l.open[i] {
			continue
		}
		l.open[i] = false
		delete(end.links, l.ids[i])
		end.process.deliver(l.generations[i], func() {
			end.control(coordination.LinkDown{Link: l.ids[i], Peer: l.ends[1-i].process.id})
		})
	}
}

// closeAll closes the connections of a process that ended. If its machine is lost too, no
// packet informs the peers, which notice only after keepAliveTimeout.
func (n *network) closeAll(of *node, withMachine bool) {
	var links []*simLink
	for id := coordination.LinkID(1); id <= of.lastLink; id++ {
		if l := of.links[id]; l != nil {
			links = append(links, l)
		}
	}
	of.links = map[coordination.LinkID]*simLink{}
	for _, l := range links {
		l.open[l.side(of)] = false
		wait := n.latency(&of.process, &l.ends[1-l.side(of)].process)
		if withMachine {
			wait = keepAliveTimeout
		}
		n.s.loop.after(wait, func() { n.breakLink(l) })
	}
}
