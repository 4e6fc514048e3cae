package rollout

import "time"

const (
	// freshTallies is the age to which others' tallies count: several of their periods.
	maxTallyAge = 1500 * time.Millisecond
	// heardThirds is the part of the fleet, in thirds, that must be heard to judge for all.
	quorumThirds = 2
)

// others holds what the other gateways have counted: each one's own in a small fleet, their
// sums in a large one.
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

// heard tells whether enough of the other gateways are heard.
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

// sum adds up what is fresh.
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
