package simulation

import (
	"math"
	"time"

	"github.com/harriernotch/harriernotch/internal/bundle"
)

// poolState is the truth about a pool, which no node knows.
type poolState struct {
	s       *Simulation
	pool    *bundle.Pool
	members []*node
	// recent holds the pool's mean load at past moments; sides, while the
	// network is cut, that of the members on each member's side.
	recentMeans meanQueue
	sideMeans   map[*node]*meanQueue
}

// meanSample is the mean at a moment.
type meanSample struct {
	at   time.Time
	mean float64
}

// meanQueue holds falling means: its front is the highest within the window.
type meanQueue []meanSample

// note adds the mean of the present moment.
func (q *meanQueue) add(now time.Time, mean float64) {
	list := *q
	for len(list) > 0 && list[len(list)-1].mean <= mean {
		list = list[:len(list)-1]
	}
	*q = append(list, meanSample{at: now, mean: mean})
}

// highest returns the highest mean within the window. The front may be the last
// sample before the window: its mean held until the next one.
func (q *meanQueue) highest(now time.Time, window time.Duration) float64 {
	list := *q
	for len(list) > 1 && now.Sub(list[1].at) > window {
		list = list[1:]
	}
	*q = list
	if len(list) == 0 {
		return 0
	}
	return list[0].mean
}

// serving tells whether the member counts towards the pool's mean: its process
// is up and takes new work.
func isServing(n *node) bool { return n.process.up && !n.agent.Gate().IsLeaving() }

// present is the mean over some members at the present moment.
type meanLoad struct {
	mean  float64
	count int
}

// withOneMore returns the mean with one more request.
func (p meanLoad) withOneMore() float64 {
	if p.count == 0 {
		return 0
	}
	return p.mean + 1/float64(p.count)
}

// mean returns the present mean over the serving members that include takes.
func (p *poolState) mean(include func(*node) bool) meanLoad {
	total, count := 0, 0
	for _, member := range p.members {
		if isServing(member) && include(member) {
			total += member.agent.Gate().Load()
			count++
		}
	}
	if count == 0 {
		return meanLoad{}
	}
	return meanLoad{mean: float64(total) / float64(count), count: count}
}

func everyMember(*node) bool { return true }

// settleWithin is how long after a fault struck or left a member its peers may
// still reckon the mean without it: until they have noticed its silence, or
// heard from it again.
const settleTime = 4 * time.Second

// isSettled tells whether the pool has had time to notice the member's state.
func (p *poolState) isSettled(n *node) bool {
	at, hit := p.s.checks.lastStateChange[n.process.id]
	return n.ready() && !n.process.frozen && !(hit && p.s.loop.now.Sub(at) <= settleTime)
}

// views returns the means that a member may go by at the present moment. While
// members come and go, that is the mean with and without those whose state isn't
// settled; while the network is cut, and until the sides have heard of each other
// again, also the means over the members on its side.
func (p *poolState) allowedMeans(member *node) []meanLoad {
	means := []meanLoad{p.mean(everyMember), p.mean(p.isSettled)}
	if !p.s.network.recentlyCut() {
		return means
	}
	sameSide := func(m *node) bool { return m == member || p.s.network.sameSide(member, m) }
	settledOnSide := func(m *node) bool { return m == member || sameSide(m) && p.isSettled(m) }
	return append(means, p.mean(sameSide), p.mean(settledOnSide))
}

// sample notes the present means for admissions to come: those are judged by the
// highest mean of the last moments, with the request to be admitted counted.
func (p *poolState) sample(now time.Time) {
	for _, load := range []meanLoad{p.mean(everyMember), p.mean(p.isSettled)} {
		p.recentMeans.add(now, load.withOneMore())
	}
	if !p.s.network.recentlyCut() {
		p.sideMeans = nil
		return
	}
	if p.sideMeans == nil {
		p.sideMeans = map[*node]*meanQueue{}
	}
	for _, member := range p.members {
		if p.sideMeans[member] == nil {
			p.sideMeans[member] = &meanQueue{}
		}
		for _, load := range p.allowedMeans(member) {
			p.sideMeans[member].add(now, load.withOneMore())
		}
	}
}

// highest returns the highest mean that the member may go by: of the last
// moments, and of the present, in which its new request is counted already.
func (p *poolState) highest(n *node, now time.Time, window time.Duration) float64 {
	highest := p.recentMeans.highest(now, window)
	if side := p.sideMeans[n]; side != nil {
		highest = max(highest, side.highest(now, window))
	}
	for _, load := range p.allowedMeans(n) {
		highest = max(highest, load.mean)
	}
	return highest
}

// bound is the promise: the highest whole load under a mean.
func (p *poolState) bound(mean float64) int {
	return max(1, int(math.Ceil(p.pool.LoadMultiple*mean-1e-9)))
}

// hasRoom tells whether some serving member that the router can reach could take
// one more request under the bound and its own capacity.
func (p *poolState) hasRoom(from *node) bool {
	total, count, least := 0, 0, math.MaxInt
	for _, member := range p.members {
		if !isServing(member) || member.process.frozen {
			continue
		}
		if p.s.network.blocked(&from.process, &member.process) || p.s.network.blocked(&member.process, &from.process) {
			continue
		}
		load := member.agent.Gate().Load()
		total += load
		count++
		least = min(least, load)
	}
	if count == 0 {
		return false
	}
	mean := float64(total+1) / float64(count)
	return least+1 <= p.bound(mean) && least < p.pool.MaxRunning
}
