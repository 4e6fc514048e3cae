package rollout

import "time"

const (
	// maxTallyAge is the age up to which tallies of other gateways count: several times the
	// interval at which they are sent.
	maxTallyAge = 1500 * time.Millisecond
	// quorumThirds is the part of the fleet, in thirds, whose tallies are needed to judge for all
	// of it.
	quorumThirds = 2
)

// remoteTallies holds what the other gateways have counted: the tallies of each one in a small
// fleet, their sums in a large one.
type remoteTallies struct {
	gateways int
	peers    map[string]peerTallies
	totals   []Tally
	totalsAt time.Time
	counted  int
	expected int
}

type peerTallies struct {
	at      time.Time
	tallies []Tally
}

func newRemoteTallies() remoteTallies {
	return remoteTallies{gateways: 1, peers: map[string]peerTallies{}}
}

func (r *remoteTallies) setTotals(now time.Time, tallies []Tally, counted, expected int) {
	r.totals, r.totalsAt = tallies, now
	r.counted, r.expected = counted, expected
}

func (r *remoteTallies) setPeer(now time.Time, peer string, tallies []Tally) {
	r.peers[peer] = peerTallies{at: now, tallies: tallies}
}

func (r *remoteTallies) totalsAreFresh(now time.Time) bool {
	return !r.totalsAt.IsZero() && now.Sub(r.totalsAt) <= maxTallyAge
}

// hasQuorum reports whether fresh tallies cover enough of the fleet.
func (r *remoteTallies) hasQuorum(now time.Time) bool {
	if r.totalsAreFresh(now) {
		return 3*r.counted >= quorumThirds*max(r.expected, r.gateways)
	}
	reporting := 1
	for _, each := range r.peers {
		if now.Sub(each.at) <= maxTallyAge {
			reporting++
		}
	}
	return 3*reporting >= quorumThirds*r.gateways
}

// sum returns the sums of the fresh tallies of the other gateways.
func (r *remoteTallies) sum(now time.Time) map[Key]Tally {
	total := map[Key]Tally{}
	if r.totalsAreFresh(now) {
		addTallies(total, r.totals)
		return total
	}
	for _, peer := range r.peers {
		if now.Sub(peer.at) <= maxTallyAge {
			addTallies(total, peer.tallies)
		}
	}
	return total
}
