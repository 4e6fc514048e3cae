package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/fairshare"
	"github.com/harriernotch/harriernotch/internal/packed"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// In a large fleet a gateway can't exchange loads with all others. Instead, the counts of all
// gateways are summed up hierarchically (package collect), and each gateway gets the totals.
// Its estimate of a load is the other gateways' part of the totals plus its own current load.

// Count holds the counts of one gateway, or the sums of several, for one back end.
type Count struct {
	// Key identifies the back end; see CountKey.
	Key uint32
	// Requests counts the requests in flight, and Demand is the rate of requests for which
	// the back end is considered, in units of 1/demandUnits per second.
	Requests uint32
	Demand   uint32
	// Ended counts the requests that ended since the last report, and ResidenceMillis is the
	// total time that those without prompts spent there, in milliseconds.
	Ended           uint32
	ResidenceMillis uint32
	// Unread is the number of prompt tokens that were sent there and, as far as is known, aren't
	// prefilled yet, in units of UnreadUnit. It is 0 without an engine; see unread.go.
	Unread uint32
}

// SumKey returns the key under which counts are summed up.
func (c Count) SumKey() uint32 { return c.Key }

// Plus returns the sum of two counts for the same back end.
func (c Count) Plus(other Count) Count {
	c.Requests += other.Requests
	c.Demand += other.Demand
	c.Ended += other.Ended
	c.ResidenceMillis += other.ResidenceMillis
	c.Unread += other.Unread
	return c
}

// Minus subtracts what Plus added.
func (c Count) Minus(other Count) Count {
	c.Requests -= other.Requests
	c.Demand -= other.Demand
	c.Ended -= other.Ended
	c.ResidenceMillis -= other.ResidenceMillis
	c.Unread -= other.Unread
	return c
}

// IsZero reports whether all counts are zero.
func (c Count) IsZero() bool { return c == Count{Key: c.Key} }

// demandUnits is the resolution of Count.Demand, in fractions of one request per second. It is
// fine enough for a gateway among hundreds, which requests a back end only every few seconds.
const demandUnits = 16

// CountKeyBits is the length of a key. Among 660 back ends, two have the same key with a
// probability of 1 in 77; each of them then seems to have the load of both.
const CountKeyBits = 8 * packed.KeyBytes

// CountKey returns the key that identifies a back end in counts.
func CountKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) % (1 << CountKeyBits) }

// Counts returns this gateway's counts for all back ends where any of them isn't zero. Ended
// requests are reported once: each call resets their counts.
func (c *Core) Counts(now time.Time) []Count {
	var counts []Count
	c.forEachMember(func(m *member) {
		count := Count{
			Key: m.key, Requests: uint32(m.own), Demand: uint32(m.demand.perSecond(now)*demandUnits + 0.5),
			Ended: uint32(m.ended), ResidenceMillis: uint32(m.residenceSum.Milliseconds()), Unread: m.unreadUnits(),
		}
		m.ended, m.residenceSum = 0, 0
		if !count.IsZero() {
			counts = append(counts, count)
		}
	})
	return counts
}

// Totals are the summed counts of all gateways.
type Totals struct {
	// Counts holds one entry for each back end.
	Counts []Count
	// Tallies are the summed tallies of rollouts.
	Tallies []rollout.Tally
	// Tenants are the summed demands of the largest tenants.
	Tenants []fairshare.Demand
	// Counted is the number of gateways included, and Expected the number that should be.
	Counted  int
	Expected int
}

// othersLoad is the load of all other gateways together at a back end.
type othersLoad struct {
	requests float64
	// demand is in requests per second.
	demand float64
	// unread is in tokens, at the time of the totals.
	unread float64
}

// maxTotalsAge is the age up to which totals are used: several of their intervals.
const maxTotalsAge = 1500 * time.Millisecond

// minCountedDivisor sets the part of the fleet that totals must include: one in
// minCountedDivisor gateways. Sums over fewer say little about the others.
const minCountedDivisor = 3

// ApplyTotals sets the totals of all gateways, unless they include too few gateways. They include
// the counts that this gateway reported, which are subtracted.
func (c *Core) ApplyTotals(now time.Time, reported []Count, totals Totals) {
	if totals.Counted < 1 || totals.Counted*minCountedDivisor < c.gateways {
		return
	}
	elapsed := now.Sub(c.totalsAt)
	if elapsed <= maxTotalsAge {
		c.totalsInterval += time.Duration(intervalWeight * float64(elapsed-c.totalsInterval))
	}
	c.noteLocalResidences(elapsed)
	c.totalsAt = now
	c.setTenantTotals(now, totals.Tenants, totals.Counted)
	// Gateways that weren't counted are assumed to have the mean load of the others.
	scale := 1.0
	if totals.Counted > 1 && totals.Expected > totals.Counted {
		scale = float64(totals.Expected-1) / float64(totals.Counted-1)
	}
	total, own := byKey[uint32](totals.Counts), byKey[uint32](reported)
	c.forEachMember(func(m *member) {
		all, mine := total[m.key], own[m.key]
		m.others = othersLoad{
			requests: scale * max(0, float64(all.Requests)-float64(mine.Requests)),
			demand:   scale * max(0, float64(all.Demand)-float64(mine.Demand)) / demandUnits,
			unread:   scale * max(0, float64(all.Unread)-float64(mine.Unread)) * UnreadUnit,
		}
		m.residenceTime.note(float64(all.ResidenceMillis)/1000, float64(all.Ended), residenceWeight)
		m.endedPerSecond += residenceWeight * (scale*float64(all.Ended)/c.totalsInterval.Seconds() - m.endedPerSecond)
	})
}

// byKey indexes counts or tallies by the key under which they are summed up.
func byKey[K comparable, C interface{ SumKey() K }](list []C) map[K]C {
	index := make(map[K]C, len(list))
	for _, each := range list {
		index[each.SumKey()] = each
	}
	return index
}

// totalsAreFresh reports whether the last totals are recent enough to be used.
func (c *Core) totalsAreFresh(now time.Time) bool { return now.Sub(c.totalsAt) <= maxTotalsAge }

// forEachMember calls visit for the listed and the lapsed members.
func (c *Core) forEachMember(visit func(m *member)) {
	for _, pool := range c.pools {
		for _, m := range pool.members {
			visit(m)
		}
	}
	for _, each := range c.lapsed {
		visit(each.member)
	}
}
