package dispatch

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// targetShare and minShare are fractions of the load above the mean that the operators'
	// bound allows. targetShare is normally used, and minShare is used regardless of the slack,
	// so that a pool always has room. The rest is a reserve for outdated load information.
	targetShare = 0.95
	minShare    = 0.2
	// reservedSlack is the part of the operators' slack, in requests, that is reserved for
	// outdated load information.
	reservedSlack = 0.5
	// lotteryShare is the fraction of the room that the admission lottery gives away. The rest
	// absorbs the variance of the lottery.
	lotteryShare = 0.7
)

// bound returns the load that a member may have including the new request. The mean is taken
// over all members that aren't leaving. Ejected members are included, because otherwise their
// share of the load would be added to the others'. In a nearly idle pool a member may get a
// few requests regardless of the mean.
func (c *Core) bound(now time.Time, x *Exchange) float64 {
	total, count := 1.0, 0.0
	for _, m := range c.poolMembers(now, x.service) {
		if !m.backEnd.Leaving {
			total += c.estimate(now, m)
			count++
		}
	}
	mean := total / count
	above := c.config.LoadMultiple - 1
	target := (1+targetShare*above)*mean + c.config.LoadSlack - reservedSlack
	return max(target, (1+minShare*above)*mean+1)
}

// admissionChance returns the probability with which a request may take one of the places
// that the limit leaves at the member. The other gateways see the same free places, and each
// gateway decides without asking the others. If there are fewer places than requests that
// compete for them before the gateways count each other's, each gateway takes its share of the
// places by lottery. overflow is the expected number of other gateways' requests that go on to
// this member from members preferred to it, and passedOn the number that go on from this one.
func (c *Core) admissionChance(now time.Time, m *member, limit, overflow float64) (chance, passedOn float64) {
	if c.config.Disabled[LoadBound] {
		return 1, 0
	}
	ownDemand, competing := c.expectedDemand(now, m)
	competing = max(competing, overflow)
	room := limit - c.pessimisticEstimate(now, m)
	if room < 1 {
		return 0, competing
	}
	if c.totalsAreFresh(now) {
		room += reusableShare * m.endedPerSecond * c.propagationTime().Seconds()
	}
	if room >= 1+competing || c.config.Disabled[AdmissionLottery] {
		return 1, 0
	}
	chance = lotteryShare * room / c.contenders(now, ownDemand, competing)
	return chance, competing * (1 - acceptedShare*min(1, chance))
}

// contenders returns the number of requests that compete for the places of a member, given this
// gateway's and the others' expected demand. Without totals, the others' demand is the number of
// gateways that have a request for the member, each as many as this gateway. If this gateway gets more
// than its part of the demand, that counts as fewer gateways; see partOfDemand.
func (c *Core) contenders(now time.Time, ownDemand, others float64) float64 {
	own := max(1, ownDemand)
	if c.totalsAreFresh(now) {
		return own + others
	}
	return own * (1 + others)
}

// winsLottery reports whether the request wins a lottery with the given chance. The draw is a
// hash of the request and the member.
func winsLottery(x *Exchange, m *member, chance float64) bool {
	return hashFraction(x.request.ID+m.backEnd.ID) < chance
}

// hashFraction returns a fraction in [0, 1) that depends only on the key, for reproducible draws. Each
// kind of draw has a prefix of its own in the key: otherwise the requests that one draw selects would
// have a skewed chance in another.
func hashFraction(key string) float64 {
	const steps = 1 << 16
	return float64(xxhash.Sum64String(key)%steps) / steps
}

// expectedDemand returns how many requests this gateway probably has for the member before the
// other gateways learn of them, and how many all other gateways have in that time.
func (c *Core) expectedDemand(now time.Time, m *member) (own, others float64) {
	if c.totalsAreFresh(now) {
		interval := c.propagationTime().Seconds()
		return m.demand.perSecond(now) * interval, m.others.demand * interval
	}
	own = m.demand.perSecond(now) * c.peers.interval.Seconds()
	return own, (1/c.partOfDemand(now, m.backEnd.Service) - 1) * min(1, own)
}

// propagationTime is the time until all gateways count a request.
func (c *Core) propagationTime() time.Duration { return propagationIntervals * c.totalsInterval }

// reusableShare is the fraction of the requests ending within propagationTime that counts as
// room for new ones. Lower values spread a part with short requests over many times the back
// ends that it needs, which displaces the parts placed there; 1 would leave no reserve for
// counts that arrive late.
const reusableShare = 0.9

// acceptedShare is the fraction of the requests admitted to a place that is assumed to take
// it, rather than to go on to the next member. With 1, a part that hundreds of gateways
// suddenly request pushes its next members over the bound; with 0, twice as many members
// prefill it.
const acceptedShare = 0.5

// propagationIntervals is the time from a request until all other gateways count it, in
// intervals between two totals.
const propagationIntervals = 2

// demandTimeConstant is the time constant of the demand average: several update intervals,
// and short compared with changes in traffic.
const demandTimeConstant = time.Second

// demand is the rate of this gateway's requests, for example of those for which a member was
// considered, as an exponentially weighted average.
type demand struct {
	rate float64 // requests per second at the time at
	at   time.Time
	// timeConstant is demandTimeConstant if it is 0.
	timeConstant time.Duration
}

func (d *demand) seconds() float64 { return cmp.Or(d.timeConstant, demandTimeConstant).Seconds() }

// note counts a request.
func (d *demand) note(now time.Time) {
	d.rate = d.perSecond(now) + 1/d.seconds()
	d.at = now
}

func (d *demand) perSecond(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.at).Seconds()/d.seconds())
}
