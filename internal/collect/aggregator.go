package collect

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/fairshare"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// sourceTimeout is the age up to which reported counts are included in the totals. It spans several
// reporting periods, so that a lost message doesn't lower the totals. It is short enough that a
// gateway that is gone counts no longer than the requests that it sent take to run.
const sourceTimeout = 1200 * time.Millisecond

// Aggregator sums up the counts that a collector received: those of its members, and the totals of
// the other groups. It is not safe for concurrent use.
type Aggregator struct {
	members sumTables
	groups  sumTables
}

// NewAggregator returns an empty Aggregator.
func NewAggregator() *Aggregator { return &Aggregator{members: newSumTables(), groups: newSumTables()} }

// SetMember sets a gateway's own counts, tallies and demands of tenants, which replace those that
// it reported before.
func (a *Aggregator) SetMember(now time.Time, id string, counts []dispatch.Count, tallies []rollout.Tally, tenants []fairshare.Demand) {
	a.members.set(now, id, dispatch.Totals{Counts: counts, Tallies: tallies, Tenants: tenants, Counted: 1})
}

// SetGroup sets the totals of another group.
func (a *Aggregator) SetGroup(now time.Time, group string, totals dispatch.Totals) {
	a.groups.set(now, group, totals)
}

// HasMembers reports whether any gateway has reported its counts recently.
func (a *Aggregator) HasMembers(now time.Time) bool {
	a.members.expire(now)
	return a.members.counted() > 0
}

// GroupTotals returns the totals of the members only.
func (a *Aggregator) GroupTotals(now time.Time) dispatch.Totals {
	a.members.expire(now)
	totals := a.members.totals()
	totals.Tenants = fairshare.Largest(totals.Tenants)
	return totals
}

// Totals returns the totals of all members and groups. The gateways of the other groups of which no
// recent totals are known count as expected but not as counted.
func (a *Aggregator) Totals(now time.Time, others []Group) dispatch.Totals {
	a.members.expire(now)
	a.groups.expire(now)
	totals, more := a.members.totals(), a.groups.totals()
	totals.Counts = addSums[uint32](totals.Counts, more.Counts)
	totals.Tallies = addSums[rollout.Key](totals.Tallies, more.Tallies)
	totals.Tenants = fairshare.Relevant(addSums[fairshare.DemandKey](totals.Tenants, more.Tenants))
	totals.Counted += more.Counted
	totals.Expected = totals.Counted
	for _, group := range others {
		if !a.groups.has(group.key()) {
			totals.Expected += len(group.Members)
		}
	}
	return totals
}

// sumTables sums up the counts, the tallies and the demands of tenants of the same sources.
type sumTables struct {
	counts  sumTable[uint32, dispatch.Count]
	tallies sumTable[rollout.Key, rollout.Tally]
	tenants sumTable[fairshare.DemandKey, fairshare.Demand]
}

func newSumTables() sumTables {
	return sumTables{
		counts: newSumTable[uint32, dispatch.Count](), tallies: newSumTable[rollout.Key, rollout.Tally](),
		tenants: newSumTable[fairshare.DemandKey, fairshare.Demand](),
	}
}

func (t *sumTables) set(now time.Time, id string, totals dispatch.Totals) {
	t.counts.set(now, id, totals.Counts, totals.Counted)
	t.tallies.set(now, id, totals.Tallies, totals.Counted)
	t.tenants.set(now, id, totals.Tenants, totals.Counted)
}

func (t *sumTables) expire(now time.Time) {
	t.counts.expire(now)
	t.tallies.expire(now)
	t.tenants.expire(now)
}

// counted returns the number of gateways that are included in the totals.
func (t *sumTables) counted() int { return t.counts.counted() }

func (t *sumTables) has(id string) bool {
	_, known := t.counts.sources[id]
	return known
}

// totals returns the sums. All gateways that are counted are also expected.
func (t *sumTables) totals() dispatch.Totals {
	counted := t.counted()
	return dispatch.Totals{Counts: t.counts.totals(), Tallies: t.tallies.totals(), Tenants: t.tenants.totals(), Counted: counted, Expected: counted}
}

// summable is what a sumTable sums up by key.
type summable[K comparable, C any] interface {
	SumKey() K
	Plus(other C) C
	Minus(other C) C
	IsZero() bool
}

// addSums returns the sums of two lists, each of which holds a key at most once. It modifies and
// extends the first list.
func addSums[K comparable, C summable[K, C]](list, more []C) []C {
	index := make(map[K]int, len(list))
	for i, each := range list {
		index[each.SumKey()] = i
	}
	for _, each := range more {
		if i, known := index[each.SumKey()]; known {
			list[i] = list[i].Plus(each)
			continue
		}
		list = append(list, each)
	}
	return list
}

// sumTable holds the values of each source and their sums. New values of a source replace its
// previous ones.
type sumTable[K comparable, C summable[K, C]] struct {
	sources map[string]source[C]
	sums    map[K]C
}

// source holds the last values of a source, and the number of gateways that they cover.
type source[C any] struct {
	receivedAt time.Time
	values     []C
	gateways   int
}

func newSumTable[K comparable, C summable[K, C]]() sumTable[K, C] {
	return sumTable[K, C]{sources: map[string]source[C]{}, sums: map[K]C{}}
}

func (t *sumTable[K, C]) set(now time.Time, id string, values []C, gateways int) {
	t.remove(id)
	for _, each := range values {
		if known, exists := t.sums[each.SumKey()]; exists {
			each = each.Plus(known)
		}
		t.sums[each.SumKey()] = each
	}
	t.sources[id] = source[C]{receivedAt: now, values: values, gateways: gateways}
}

// remove subtracts the values of the source from the sums.
func (t *sumTable[K, C]) remove(id string) {
	for _, each := range t.sources[id].values {
		rest := t.sums[each.SumKey()].Minus(each)
		if rest.IsZero() {
			delete(t.sums, each.SumKey())
			continue
		}
		t.sums[each.SumKey()] = rest
	}
	delete(t.sources, id)
}

func (t *sumTable[K, C]) expire(now time.Time) {
	for id, each := range t.sources {
		if now.Sub(each.receivedAt) > sourceTimeout {
			t.remove(id)
		}
	}
}

// totals returns the sums.
func (t *sumTable[K, C]) totals() []C {
	totals := make([]C, 0, len(t.sums))
	for _, each := range t.sums {
		totals = append(totals, each)
	}
	return totals
}

// counted returns the number of gateways that are included in the sums.
func (t *sumTable[K, C]) counted() int {
	counted := 0
	for _, each := range t.sources {
		counted += each.gateways
	}
	return counted
}
