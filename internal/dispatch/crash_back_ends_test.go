package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/harriernotch/harriernotch/internal/catalog"
)

// crash ends a back end with all its requests. It is back after crashDowntime under a new ID.
func (f *crashFleet) crash(b *crashingBackEnd) {
	b.down = true
	f.breakConnections(b)
	f.schedule(crashDowntime, func() { f.restart(b) })
}

// breakConnections breaks off all requests at a back end.
func (f *crashFleet) breakConnections(b *crashingBackEnd) {
	broken := b.requests
	b.requests = nil
	for _, r := range broken {
		r.backEnd = nil
		core := f.cores[r.gateway]
		f.schedule(time.Millisecond, func() {
			if r.answered {
				f.follow(r, breakOff(core, f.now, r.x))
			} else {
				f.follow(r, core.ConnectionLost(f.now, r.x))
			}
		})
	}
}

func (f *crashFleet) restart(b *crashingBackEnd) {
	f.restarts++
	at := slices.IndexFunc(f.list, func(each catalog.BackEnd) bool { return f.backEnds[each.Address] == b })
	b.id, b.down = fmt.Sprintf("n%03d", f.restarts), false
	f.list = slices.Clone(f.list)
	f.list[at].ID, f.list[at].Born = b.id, f.now.UnixMilli()
	byID := slices.SortedFunc(slices.Values(f.list), func(a, b catalog.BackEnd) int { return cmp.Compare(a.ID, b.ID) })
	for _, core := range f.cores {
		core.SetBackEnds(f.now, byID)
	}
}
