package dispatch

import (
	"testing"

	"github.com/matryer/is"
)

// The heap yields the order of a complete sort, preferred members first.
func TestRankingYieldsRendezvousOrder(t *testing.T) {
	is := is.New(t)
	core := newCore(backEnds(37, 6))
	order := rendezvousOrder(core, "part")
	var r ranking
	r.rank("part", core.pools["s"].members, func(m *member) bool { return m.backEnd.ID == order[9] || m.backEnd.ID == order[4] })
	var yielded []string
	for m := r.next(); m != nil; m = r.next() {
		yielded = append(yielded, m.backEnd.ID)
	}
	want := append([]string{order[4], order[9]}, order[:4]...)
	want = append(append(want, order[5:9]...), order[10:]...)
	is.Equal(yielded, want)
}
