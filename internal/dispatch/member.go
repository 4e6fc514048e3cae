package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// member is what the gateway knows of one back end.
type member struct {
	backEnd catalog.BackEnd
	// listed is set once backEnd was taken from a list.
	listed bool
	// hash is that of its ID, and key stands for it in counts.
	hash uint64
	key  uint32
	// others is what the other gateways have at it by the last totals.
	others othersLoad
	// ended counts this gateway's requests that ended since it last told its counts, and
	// took is the time there of those without prompts.
	ended        int
	residenceSum time.Duration
	// endedPerSecond is the mean rate at which all gateways' requests end there.
	endedPerSecond float64
	residenceTime  residenceTime
	// since is when this gateway first heard of it.
	firstSeen time.Time
	// own counts this gateway's requests under way.
	own    int
	health health
	demand demand
	// noted is the health that was last told.
	loggedHealth Health
	// reported is the load that the back end told last, reportedAt when, and
	// reportedOwn this gateway's share in it.
	reported    int
	reportedOwn int
	reportedAt  time.Time
	// evacuated is set while an operator wants nothing new to be sent to its zone.
	evacuated bool
	// coldUntil is when it is warm, as far as is known, and warmUpSends are the times of
	// this gateway's last requests to it before.
	coldUntil   time.Time
	warmUpSends []time.Time
	// mayStartAgain is set from its crash until it answers, from when it is cold.
	mayHaveRestarted bool
	// drawn is the outcome of the draw among so many gateways of a version of the list.
	selected         bool
	selectionCount   int
	selectionVersion int
}

func newMember(now time.Time, id string) *member {
	return &member{firstSeen: now, hash: xxhash.Sum64String(id), key: CountKey(id)}
}

// report takes the load that came with an answer.
func (m *member) report(now time.Time, load int) {
	m.reported = load
	m.reportedOwn = m.own
	m.reportedAt = now
}

// freshReport is the age to which a reported load counts.
const maxReportAge = time.Second

// reportedEstimate returns the load by the last report and this gateway's own
// requests since; ok is false when the report is too old.
func (m *member) reportedEstimate(now time.Time) (load float64, ok bool) {
	if m.reportedAt.IsZero() || now.Sub(m.reportedAt) > maxReportAge {
		return 0, false
	}
	return max(float64(m.reported+m.own-m.reportedOwn), float64(m.own)), true
}

// peerLoads holds what the other gateways told of their requests under way.
type peerLoads struct {
	byPeer map[string]peerLoad
	// interval is the mean time between two words of the same peer.
	interval time.Duration
}

type peerLoad struct {
	at time.Time
	// loads is what the peer told, and own this gateway's loads at that moment.
	loads map[string]int
	own   map[string]int
}

func newPeerLoads() peerLoads {
	return peerLoads{byPeer: map[string]peerLoad{}, interval: initialInterval}
}

const (
	// firstInterval is taken for the interval of news before any was heard: the
	// shortest that peers keep.
	initialInterval = 200 * time.Millisecond
	// intervalWeight is the weight of the newest interval in the mean.
	intervalWeight = 0.1
)

// freshPeer is the age to which a peer's loads count.
const maxPeerLoadAge = 1500 * time.Millisecond

func (p *peerLoads) set(now time.Time, peer string, loads, own []Load) {
	if before, known := p.byPeer[peer]; known && now.Sub(before.at) <= maxPeerLoadAge {
		p.interval += time.Duration(intervalWeight * float64(now.Sub(before.at)-p.interval))
	}
	p.byPeer[peer] = peerLoad{at: now, loads: byBackEnd(loads), own: byBackEnd(own)}
}

// oldest returns the age of the oldest loads that still count.
func (p peerLoads) oldestAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, peer := range p.byPeer {
		if age := now.Sub(peer.at); age <= maxPeerLoadAge {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

func byBackEnd(loads []Load) map[string]int {
	result := make(map[string]int, len(loads))
	for _, load := range loads {
		result[load.BackEnd] = load.Requests
	}
	return result
}

// clumpAllowance is how many times as much as its demand on average a gateway may send
// to a member in the short time since a peer's word. Higher values keep further from
// the bound, and send more chats away from their holders for a clump of requests at
// one gateway that the others don't see.
const burstFactor = 3

// sum returns the requests that the peers heard of late told of, how many more
// they may have sent since, and how many peers these are. All gateways see the
// same prompt parts asked for and choose alike, so each peer is taken to have sent
// since its word as many more as this gateway did, as far as the demand for the member
// explains them.
func (p peerLoads) sum(now time.Time, m *member) (reported int, unreported float64, peers int) {
	id := m.backEnd.ID
	demand := burstFactor * m.demand.perSecond(now)
	for _, peer := range p.byPeer {
		if now.Sub(peer.at) > maxPeerLoadAge {
			continue
		}
		peers++
		reported += peer.loads[id]
		unreported += min(float64(max(0, m.own-peer.own[id])), demand*now.Sub(peer.at).Seconds())
	}
	return reported, unreported, peers
}

// estimate returns the load of all gateways at a back end: by the totals, where they
// are fresh; else by what the other gateways told, where every one was heard of late;
// else by the back end's own report, or by the counts at hand, scaled to the number of
// gateways.
func (c *Core) estimate(now time.Time, m *member) float64 {
	if c.totalsAreFresh(now) {
		return float64(m.own) + m.others.requests
	}
	reported, _, peers := c.peers.sum(now, m)
	return c.extrapolate(now, m, float64(m.own+reported), peers)
}

// knownLoad returns the part of the load at a back end that this gateway knows of,
// without a guess at gateways that it didn't hear of.
func (c *Core) knownLoad(now time.Time, m *member) float64 {
	if c.totalsAreFresh(now) {
		return float64(m.own) + m.others.requests
	}
	peerReported, _, _ := c.peers.sum(now, m)
	reported, _ := m.reportedEstimate(now)
	return max(float64(m.own+peerReported), reported)
}

// cautiousEstimate is estimate with what the peers may have sent since their last
// word: else all gateways would fill the same room at once. It is too high where
// requests come in clumps, so nothing is refused for it.
func (c *Core) pessimisticEstimate(now time.Time, m *member) float64 {
	if c.totalsAreFresh(now) {
		return float64(m.own) + m.others.requests
	}
	reported, unreported, peers := c.peers.sum(now, m)
	if c.config.Disabled[ExtrapolatePeers] {
		unreported = 0
	}
	return c.extrapolate(now, m, float64(m.own+reported)+unreported, peers)
}

// complete makes up for gateways that weren't heard of.
func (c *Core) extrapolate(now time.Time, m *member, counted float64, peers int) float64 {
	if peers >= c.gateways-1 {
		return counted
	}
	if load, ok := m.reportedEstimate(now); ok {
		return max(load, counted)
	}
	return counted * float64(c.gateways) / float64(peers+1)
}
