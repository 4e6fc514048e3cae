package collect

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// freshSource is the age to which counts that were told once are added up: several of
// their periods, so that a lost word takes nothing off, and a gateway that is gone
// counts no longer than what it had sent takes to run.
const sourceTimeout = 1200 * time.Millisecond

// Sums adds up the counts that a collector was told: those of its members, and the sums
// of the other groups. It is not safe for concurrent use.
type Aggregator struct {
	members sumTables
	groups  sumTables
}

// NewSums returns sums that know nothing.
func NewAggregator() *Aggregator { return &Aggregator{members: newSumTables(), groups: newSumTables()} }

// TakeMember takes a gateway's own counts and tallies, which replace those that it told before.
func (a *Aggregator) SetMember(now time.Time, id string, counts []dispatch.Count, tallies []rollout.Tally) {
	a.members.set(now, id, dispatch.Totals{Counts: counts, Tallies: tallies, Counted: 1})
}

// TakeGroup takes the sums over another group.
func (a *Aggregator) SetGroup(now time.Time, group string, totals dispatch.Totals) {
	a.groups.set(now, group, totals)
}

// Collecting tells whether a gateway told its counts of late.
func (a *Aggregator) HasMembers(now time.Time) bool {
	a.members.expire(now)
	return a.members.counted() > 0
}

// Group returns the sums over the members alone.
func (a *Aggregator) GroupTotals(now time.Time) dispatch.Totals {
	a.members.expire(now)
	return a.members.totals()
}

// Totals returns the sums over all that is known. Those of the others that should be
// known and aren't count as expected.
func (a *Aggregator) Totals(now time.Time, others []Group) dispatch.Totals {
	a.members.expire(now)
	a.groups.expire(now)
	totals, more := a.members.totals(), a.groups.totals()
	totals.Counts = addSums[uint32](totals.Counts, more.Counts)
	totals.Tallies = addSums[rollout.Key](totals.Tallies, more.Tallies)
	totals.Counted += more.Counted
	totals.Expected = totals.Counted
	for _, group := range others {
		if !a.groups.has(group.key()) {
			totals.Expected += len(group.Members)
		}
	}
	return totals
}

// ledgers add up the counts and the tallies of the same sources.
type sumTables struct {
	counts  sumTable[uint32, dispatch.Count]
	tallies sumTable[rollout.Key, rollout.Tally]
}

func newSumTables() sumTables {
	return sumTables{counts: newSumTable[uint32, dispatch.Count](), tallies: newSumTable[rollout.Key, rollout.Tally]()}
}

func (t *sumTables) set(now time.Time, id string, totals dispatch.Totals) {
	t.counts.set(now, id, totals.Counts, totals.Counted)
	t.tallies.set(now, id, totals.Tallies, totals.Counted)
}

func (t *sumTables) expire(now time.Time) {
	t.counts.expire(now)
	t.tallies.expire(now)
}

// counted returns the number of gateways in the sums.
func (t *sumTables) counted() int { return t.counts.counted() }

func (t *sumTables) has(id string) bool {
	_, known := t.counts.sources[id]
	return known
}

// totals returns the sums, of which all that are expected are counted.
func (t *sumTables) totals() dispatch.Totals {
	counted := t.counted()
	return dispatch.Totals{Counts: t.counts.totals(), Tallies: t.tallies.totals(), Counted: counted, Expected: counted}
}

// summable is what a ledger adds up by a key.
type summable[K comparable, C any] interface {
	SumKey() K
	Plus(other C) C
	Minus(other C) C
	IsZero() bool
}

// addUp returns the sums of two lists, of which each holds a key once. It extends the first.
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

// ledger adds up what sources tell, each of which may replace its own.
type sumTable[K comparable, C summable[K, C]] struct {
	sources map[string]source[C]
	sums    map[K]C
}

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

// remove takes off what the source had added.
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

// counted returns the number of gateways in the sums.
func (t *sumTable[K, C]) counted() int {
	counted := 0
	for _, each := range t.sources {
		counted += each.gateways
	}
	return counted
}
