package rollout

import "time"

const (
	// freshTallies is the age to which others' tallies count: several of their periods.
	freshTallies = 1500 * time.Millisecond
	// heardThirds is the part of the fleet, in thirds, that must be heard to judge for all.
	heardThirds = 2
)

// others holds what the other gateways have counted: each one's own in a small fleet, their
// sums in a large one.
type others struct {
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

func newOthers() others { return others{gateways: 1, peers: map[string]peerTallies{}} }

func (o *others) takeTotals(now time.Time, tallies []Tally, counted, expected int) {
	o.totals, o.totalsAt = tallies, now
	o.counted, o.expected = counted, expected
}

func (o *others) takePeer(now time.Time, peer string, tallies []Tally) {
	o.peers[peer] = peerTallies{at: now, tallies: tallies}
}

func (o *others) totalsAreFresh(now time.Time) bool {
	return !o.totalsAt.IsZero() && now.Sub(o.totalsAt) <= freshTallies
}

// heard tells whether enough of the other gateways are heard.
func (o *others) heard(now time.Time) bool {
	if o.totalsAreFresh(now) {
		return 3*o.counted >= heardThirds*max(o.expected, o.gateways)
	}
	heard := 1
	for _, each := range o.peers {
		if now.Sub(each.at) <= freshTallies {
			heard++
		}
	}
	return 3*heard >= heardThirds*o.gateways
}

// sum adds up what is fresh.
func (o *others) sum(now time.Time) map[Key]Tally {
	sum := map[Key]Tally{}
	if o.totalsAreFresh(now) {
		addTo(sum, o.totals)
		return sum
	}
	for _, peer := range o.peers {
		if now.Sub(peer.at) <= freshTallies {
			addTo(sum, peer.tallies)
		}
	}
	return sum
}
