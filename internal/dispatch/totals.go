package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/harriernotch/harriernotch/internal/rollout"
)

// In a large fleet a gateway can't hear all others. Their counts are added up on the way
// (package collect), and each gateway gets the totals: the other gateways' part of them,
// with its own requests of the moment, is its estimate of a load.

// Count is what one gateway, or several together, have at one back end.
type Count struct {
	// Key stands for the back end's ID; see CountKey.
	Key uint32
	// Requests counts those under way, and Wanted is the rate at which requests
	// ask for it, in units of 1/wantedUnits a second.
	Requests uint32
	Demand   uint32
	// Ended counts the requests that ended since the last word, and TookMillis is the
	// time there of those without prompts, in milliseconds.
	Ended           uint32
	ResidenceMillis uint32
}

// SumKey is the key under which counts are added up.
func (c Count) SumKey() uint32 { return c.Key }

// Plus returns the sum of two counts of one back end.
func (c Count) Plus(other Count) Count {
	c.Requests += other.Requests
	c.Demand += other.Demand
	c.Ended += other.Ended
	c.ResidenceMillis += other.ResidenceMillis
	return c
}

// Minus takes off what Plus had added.
func (c Count) Minus(other Count) Count {
	c.Requests -= other.Requests
	c.Demand -= other.Demand
	c.Ended -= other.Ended
	c.ResidenceMillis -= other.ResidenceMillis
	return c
}

// IsZero tells whether nothing is counted.
func (c Count) IsZero() bool { return c == Count{Key: c.Key} }

// wantedUnits is the resolution of Count.Wanted, in parts of one request a second: a
// gateway among hundreds asks for a back end every few seconds.
const demandUnits = 16

// CountKeyBits is the length of a key. Two of 660 back ends share one with a chance of 1
// in 77; both are then believed to have the load of both.
const CountKeyBits = 24

// CountKey returns the key of a back end in counts.
func CountKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) % (1 << CountKeyBits) }

// Counts returns what this gateway has at the back ends, without those where it has
// nothing and wants nothing. What ended is told once.
func (c *Core) Counts(now time.Time) []Count {
	var counts []Count
	c.forEachMember(func(m *member) {
		count := Count{
			Key: m.key, Requests: uint32(m.own), Demand: uint32(m.demand.perSecond(now)*demandUnits + 0.5),
			Ended: uint32(m.ended), ResidenceMillis: uint32(m.residenceSum.Milliseconds()),
		}
		m.ended, m.residenceSum = 0, 0
		if !count.IsZero() {
			counts = append(counts, count)
		}
	})
	return counts
}

// Totals are the counts of all gateways together.
type Totals struct {
	// Counts holds one entry for each back end.
	Counts []Count
	// Tallies are those of moves to other versions.
	Tallies []rollout.Tally
	// Counted is the number of gateways in it, and Expected that of the gateways that
	// should be.
	Counted  int
	Expected int
}

// othersCount is what all other gateways together have at a back end.
type othersLoad struct {
	requests float64
	// wanted is in requests a second.
	demand float64
}

// freshTotals is the age to which totals count: several of their periods.
const maxTotalsAge = 1500 * time.Millisecond

// fewestCounted is the part of the fleet, as one in so many gateways, that totals must
// count: sums over fewer say little of the others.
const minCountedDivisor = 3

// TakeTotals takes the counts of all gateways, in which those that this one told, told,
// are counted in.
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
	// Gateways that weren't counted are taken to have as much as the others.
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
		}
		m.residenceTime.note(float64(all.ResidenceMillis)/1000, float64(all.Ended), residenceWeight)
		m.endedPerSecond += residenceWeight * (scale*float64(all.Ended)/c.totalsInterval.Seconds() - m.endedPerSecond)
	})
}

// byKey returns counts or tallies by the key under which they are added up.
func byKey[K comparable, C interface{ SumKey() K }](list []C) map[K]C {
	index := make(map[K]C, len(list))
	for _, each := range list {
		index[each.SumKey()] = each
	}
	return index
}

// totalsAreFresh tells whether the last totals still say what the other gateways have.
func (c *Core) totalsAreFresh(now time.Time) bool { return now.Sub(c.totalsAt) <= maxTotalsAge }

// everyMember visits the listed and the lapsed members.
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
