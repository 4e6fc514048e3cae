package dispatch

import (
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/workload"
)

// member is the state of one back end as this gateway sees it.
type member struct {
	backEnd catalog.BackEnd
	// listed is set once backEnd has been taken from a list.
	listed bool
	// hash is the hash of the back end's ID, and key identifies it in counts.
	hash uint64
	key  uint32
	// others is the load of all other gateways at the back end, according to the last totals.
	others othersLoad
	// ended counts this gateway's requests that ended since Counts was last called, and
	// residenceSum is the total time that those without prompts spent there.
	ended        int
	residenceSum time.Duration
	// endedPerSecond is the mean rate at which the requests of all gateways end there.
	endedPerSecond float64
	// endings is the rate at which this gateway's requests end there.
	endings       demand
	residenceTime residenceTime
	// firstSeen is when this gateway first learned of the back end.
	firstSeen time.Time
	// own counts this gateway's requests in flight at the back end.
	own    int
	health health
	demand demand
	// copies is the number of tokens of this gateway's backups at the back end.
	copies int
	// pace is the pace that the back end last reported, at paceAt.
	pace   float64
	paceAt time.Time
	// gaps are the times between events of this gateway's streams from the back end, and lastEventAt
	// is the time of the last event.
	gaps        gaps
	lastEventAt time.Time
	// loggedHealth is the health that was last recorded as a change.
	loggedHealth Health
	// reported is the load that the back end last reported, reportedAt the time of that
	// report, and reportedOwn this gateway's share of that load.
	reported    int
	reportedOwn int
	reportedAt  time.Time
	// evacuated is set while an operator's evacuation keeps new requests from its zone.
	evacuated bool
	// coldUntil is when the warm-up ends, as far as is known, and warmUpSends are the times
	// of this gateway's last requests to the back end during the warm-up.
	coldUntil   time.Time
	warmUpSends []time.Time
	// mayHaveRestarted is set from the back end's presumed crash until its next answer, which
	// begins its warm-up.
	mayHaveRestarted bool
	// selected caches whether this gateway is among the selectionCount gateways selected for
	// the back end, for version selectionVersion of the list of gateways.
	selected         bool
	selectionCount   int
	selectionVersion int
	// engine accounts for the work there in tokens; nil unless the service's configuration calls
	// for it.
	engine *workload.Engine
}

func newMember(now time.Time, id string) *member {
	return &member{firstSeen: now, hash: xxhash.Sum64String(id), key: CountKey(id)}
}

// report records the load that the back end reported with an answer.
func (m *member) report(now time.Time, load int) {
	m.reported = load
	m.reportedOwn = m.own
	m.reportedAt = now
}

// maxReportAge is the age up to which a load reported by a back end is used.
const maxReportAge = time.Second

// reportedEstimate returns the load of the last report, corrected by the change of this
// gateway's own load since; ok is false if the report is too old.
func (m *member) reportedEstimate(now time.Time) (load float64, ok bool) {
	if m.reportedAt.IsZero() || now.Sub(m.reportedAt) > maxReportAge {
		return 0, false
	}
	return max(float64(m.reported+m.own-m.reportedOwn), float64(m.own)), true
}

// peerLoads holds the requests in flight that the other gateways reported.
type peerLoads struct {
	byPeer map[string]peerLoad
	// interval is the mean time between two reports of the same peer.
	interval time.Duration
}

type peerLoad struct {
	at time.Time
	// loads is what the peer reported, and own this gateway's loads at that moment.
	loads map[string]int
	own   map[string]int
	// unread holds the unread tokens that the peer reported, in units of UnreadUnit, without zeros.
	unread map[string]uint32
}

func newPeerLoads() peerLoads {
	return peerLoads{byPeer: map[string]peerLoad{}, interval: initialInterval}
}

const (
	// initialInterval is assumed for the interval of updates before any has arrived. It is the
	// period at which the gateways of a small fleet send them if nothing else has changed.
	initialInterval = 200 * time.Millisecond
	// intervalWeight is the weight of the newest interval in the moving average.
	intervalWeight = 0.1
)

// maxPeerLoadAge is the age up to which a peer's loads are used.
const maxPeerLoadAge = 1500 * time.Millisecond

func (p *peerLoads) set(now time.Time, peer string, loads, own []Load) {
	if before, known := p.byPeer[peer]; known && now.Sub(before.at) <= maxPeerLoadAge {
		p.interval += time.Duration(intervalWeight * float64(now.Sub(before.at)-p.interval))
	}
	p.byPeer[peer] = peerLoad{at: now, loads: byBackEnd(loads), own: byBackEnd(own), unread: unreadByBackEnd(loads)}
}

// recent yields the reports that are still in use, one for each peer.
func (p peerLoads) recent(now time.Time) iter.Seq[peerLoad] {
	return func(yield func(peerLoad) bool) {
		for _, peer := range p.byPeer {
			if now.Sub(peer.at) <= maxPeerLoadAge && !yield(peer) {
				return
			}
		}
	}
}

// oldestAge returns the age of the oldest loads that are still in use.
func (p peerLoads) oldestAge(now time.Time) time.Duration {
	var oldest time.Duration
	for peer := range p.recent(now) {
		oldest = max(oldest, now.Sub(peer.at))
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

// burstFactor limits how many requests a peer is assumed to have sent to a member since its
// last report, as a multiple of this gateway's mean demand for the member. Higher values
// stay further below the bound, and send more chats away from their holders during a burst at
// one gateway that the other gateways don't see.
const burstFactor = 3

// sum returns the number of requests that peers recently reported, an estimate of those that
// they have sent since, and the number of these peers. All gateways see requests for the same
// prompt parts and choose alike. So each peer is assumed to have as many more requests in
// flight since its report as this gateway has, limited by the demand for the member.
func (p peerLoads) sum(now time.Time, m *member) (reported int, unreported float64, peers int) {
	id := m.backEnd.ID
	demand := burstFactor * m.demand.perSecond(now)
	for peer := range p.recent(now) {
		peers++
		reported += peer.loads[id]
		unreported += min(float64(max(0, m.own-peer.own[id])), demand*now.Sub(peer.at).Seconds())
	}
	return reported, unreported, peers
}

// estimate returns the load of all gateways at a back end. It uses the totals if they are
// recent; else the peers' reports if every peer reported recently; else the back end's own
// report, or the known counts if they are higher; else the known counts, scaled up to the
// number of gateways.
func (c *Core) estimate(now time.Time, m *member) float64 {
	if c.totalsAreFresh(now) {
		return float64(m.own) + m.others.requests
	}
	reported, _, peers := c.peers.sum(now, m)
	return c.extrapolate(now, m, float64(m.own+reported), peers)
}

// knownLoad returns the part of the load at a back end that is known from reports, without
// an estimate for gateways that haven't reported. Only totals contain such an estimate, for
// the gateways that weren't counted; see ApplyTotals.
func (c *Core) knownLoad(now time.Time, m *member) float64 {
	if c.totalsAreFresh(now) {
		return float64(m.own) + m.others.requests
	}
	peerReported, _, _ := c.peers.sum(now, m)
	reported, _ := m.reportedEstimate(now)
	return max(float64(m.own+peerReported), reported)
}

// pessimisticEstimate is estimate plus the requests that peers may have sent since their last
// reports. Without these, all gateways would fill the same free capacity at once. It is too
// high when requests come in bursts, so no request is refused because of it.
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

// extrapolate raises the counted load by an estimate for gateways that haven't reported.
func (c *Core) extrapolate(now time.Time, m *member, counted float64, peers int) float64 {
	if peers >= c.gateways-1 {
		return counted
	}
	if load, ok := m.reportedEstimate(now); ok {
		return max(load, counted)
	}
	return counted * float64(c.gateways) / float64(peers+1)
}
