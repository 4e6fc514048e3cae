package collect

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/rollout"
)

// freshSource is the age to which counts that were told once are added up: several of
// their periods, so that a lost word takes nothing off, and a gateway that is gone
// counts no longer than what it had sent takes to run.
const freshSource = 1200 * time.Millisecond

// Sums adds up the counts that a collector was told: those of its members, and the sums
// of the other groups. It is not safe for concurrent use.
type Sums struct {
	members ledgers
	groups  ledgers
}

// NewSums returns sums that know nothing.
func NewSums() *Sums { return &Sums{members: newLedgers(), groups: newLedgers()} }

// TakeMember takes a gateway's own counts and tallies, which replace those that it told before.
func (s *Sums) TakeMember(now time.Time, id string, counts []dispatch.Count, tallies []rollout.Tally) {
	s.members.set(now, id, dispatch.Totals{Counts: counts, Tallies: tallies, Counted: 1})
}

// TakeGroup takes the sums over another group.
func (s *Sums) TakeGroup(now time.Time, group string, sums dispatch.Totals) {
	s.groups.set(now, group, sums)
}

// Collecting tells whether a gateway told its counts of late.
func (s *Sums) Collecting(now time.Time) bool {
	s.members.expire(now)
	return s.members.counted() > 0
}

// Group returns the sums over the members alone.
func (s *Sums) Group(now time.Time) dispatch.Totals {
	s.members.expire(now)
	return s.members.totals()
}

// Totals returns the sums over all that is known. Those of the others that should be
// known and aren't count as expected.
func (s *Sums) Totals(now time.Time, others []Group) dispatch.Totals {
	s.members.expire(now)
	s.groups.expire(now)
	totals, more := s.members.totals(), s.groups.totals()
	totals.Counts = addUp[uint32](totals.Counts, more.Counts)
	totals.Tallies = addUp[rollout.Key](totals.Tallies, more.Tallies)
	totals.Counted += more.Counted
	totals.Expected = totals.Counted
	for _, group := range others {
		if !s.groups.knows(group.key()) {
			totals.Expected += len(group.Members)
		}
	}
	return totals
}

// ledgers add up the counts and the tallies of the same sources.
type ledgers struct {
	counts  ledger[uint32, dispatch.Count]
	tallies ledger[rollout.Key, rollout.Tally]
}

func newLedgers() ledgers {
	return ledgers{counts: newLedger[uint32, dispatch.Count](), tallies: newLedger[rollout.Key, rollout.Tally]()}
}

func (l *ledgers) set(now time.Time, id string, told dispatch.Totals) {
	l.counts.set(now, id, told.Counts, told.Counted)
	l.tallies.set(now, id, told.Tallies, told.Counted)
}

func (l *ledgers) expire(now time.Time) {
	l.counts.expire(now)
	l.tallies.expire(now)
}

// counted returns the number of gateways in the sums.
func (l *ledgers) counted() int { return l.counts.counted() }

func (l *ledgers) knows(id string) bool {
	_, known := l.counts.sources[id]
	return known
}

// totals returns the sums, of which all that are expected are counted.
func (l *ledgers) totals() dispatch.Totals {
	counted := l.counted()
	return dispatch.Totals{Counts: l.counts.totals(), Tallies: l.tallies.totals(), Counted: counted, Expected: counted}
}

// summable is what a ledger adds up by a key.
type summable[K comparable, C any] interface {
	SumKey() K
	Plus(other C) C
	Minus(other C) C
	IsZero() bool
}

// addUp returns the sums of two lists, of which each holds a key once. It extends the first.
func addUp[K comparable, C summable[K, C]](list, more []C) []C {
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
type ledger[K comparable, C summable[K, C]] struct {
	sources map[string]source[C]
	sum     map[K]C
}

type source[C any] struct {
	at       time.Time
	told     []C
	gateways int
}

func newLedger[K comparable, C summable[K, C]]() ledger[K, C] {
	return ledger[K, C]{sources: map[string]source[C]{}, sum: map[K]C{}}
}

func (l *ledger[K, C]) set(now time.Time, id string, told []C, gateways int) {
	l.remove(id)
	for _, each := range told {
		if known, exists := l.sum[each.SumKey()]; exists {
			each = each.Plus(known)
		}
		l.sum[each.SumKey()] = each
	}
	l.sources[id] = source[C]{at: now, told: told, gateways: gateways}
}

// remove takes off what the source had added.
func (l *ledger[K, C]) remove(id string) {
	for _, each := range l.sources[id].told {
		rest := l.sum[each.SumKey()].Minus(each)
		if rest.IsZero() {
			delete(l.sum, each.SumKey())
			continue
		}
		l.sum[each.SumKey()] = rest
	}
	delete(l.sources, id)
}

func (l *ledger[K, C]) expire(now time.Time) {
	for id, each := range l.sources {
		if now.Sub(each.at) > freshSource {
			l.remove(id)
		}
	}
}

// totals returns the sums.
func (l *ledger[K, C]) totals() []C {
	totals := make([]C, 0, len(l.sum))
	for _, each := range l.sum {
		totals = append(totals, each)
	}
	return totals
}

// counted returns the number of gateways in the sums.
func (l *ledger[K, C]) counted() int {
	counted := 0
	for _, each := range l.sources {
		counted += each.gateways
	}
	return counted
}
