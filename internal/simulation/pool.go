package simulation

import (
	"math"
	"time"

	"github.com/harriernotch/harriernotch/internal/bundle"
)

// poolState is the global state of a pool, which no single node knows.
type poolState struct {
	s       *Simulation
	pool    *bundle.Pool
	members []*node
	// recentMeans holds the pool's mean loads within the window. While the network is
	// cut, and for settleTime after, sideMeans holds for each member the mean loads that
	// it may use.
	recentMeans meanQueue
	sideMeans   map[*node]*meanQueue
}

// meanSample is the mean load at one time.
type meanSample struct {
	at   time.Time
	mean float64
}

// meanQueue is a monotonic queue of decreasing means, whose front is the highest mean
// within the window.
type meanQueue []meanSample

// add adds the current mean.
func (q *meanQueue) add(now time.Time, mean float64) {
	list := *q
	for len(list) > 0 && list[len(list)-1].mean <= mean {
		list = list[:len(list)-1]
	}
	*q = append(list, meanSample{at: now, mean: mean})
}

// highest returns the highest mean within the window. The front may be the last sample
// before the window, because its mean was valid until the next sample.
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

// isServing reports whether the member counts in the pool's mean: its process is up and
// isn't leaving.
func isServing(n *node) bool { return n.process.up && !n.agent.Gate().IsLeaving() }

// meanLoad is the current mean load over count members.
type meanLoad struct {
	mean  float64
	count int
}

// withOneMore returns the mean with one additional request.
func (p meanLoad) withOneMore() float64 {
	if p.count == 0 {
		return 0
	}
	return p.mean + 1/float64(p.count)
}

// mean returns the current mean load over the serving members that include selects.
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

// settleTime is the time after a fault began or ended at a member, during which its peers
// may still compute the mean with or without it: until they have detected its missing
// heartbeats, or received updates from it again.
const settleTime = 4 * time.Second

// isSettled reports whether the member is ready and running, and its peers have had time
// to learn its state.
func (p *poolState) isSettled(n *node) bool {
	at, hit := p.s.checks.lastStateChange[n.process.id]
	return n.ready() && !n.process.frozen && !(hit && p.s.loop.now.Sub(at) <= settleTime)
}

// allowedMeans returns the current means that a member may use for its load bound: the mean
// over all members and the mean without those whose state isn't settled. While the network
// is cut, and for settleTime after, until both sides have received updates from each other
// again, the means over the members on its side are allowed too.
func (p *poolState) allowedMeans(member *node) []meanLoad {
	means := []meanLoad{p.mean(everyMember), p.mean(p.isSettled)}
	if !p.s.network.recentlyCut() {
		return means
	}
	sameSide := func(m *node) bool { return m == member || p.s.network.sameSide(member, m) }
	settledOnSide := func(m *node) bool { return m == member || sameSide(m) && p.isSettled(m) }
	return append(means, p.mean(sameSide), p.mean(settledOnSide))
}

// sample records the current means for later admissions. Those are checked against the
// highest recent mean, which includes the request to be admitted.
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

// highest returns the highest mean that the member may use: of the recent ones, and of the
// current ones, which include its new request already.
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

// bound returns the load bound for a mean: the highest load that a member may have.
func (p *poolState) bound(mean float64) int {
	return max(1, int(math.Ceil(p.pool.LoadMultiple*mean-1e-9)))
}

// hasRoom reports whether any serving member that the router can reach, and that isn't
// frozen, could accept one more request within the load bound and its own capacity. The
// bound is that of the mean load over these members with the request.
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
