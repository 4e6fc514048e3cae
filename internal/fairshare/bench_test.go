package fairshare

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkInterval measures what a gateway does for 520 tenants of a service in one interval of the
// exchange: it decides on the requests, reports its figures, and applies the sums.
func BenchmarkInterval(b *testing.B) {
	for _, requests := range []int{4, 40} {
		b.Run(fmt.Sprint(requests, " requests"), func(b *testing.B) {
			share := New("s")
			names := make([]string, 520)
			for i := range names {
				names[i] = fmt.Sprint("tenant-", i)
			}
			now := start
			for i := range b.N {
				now = now.Add(250 * time.Millisecond)
				for j := range requests {
					share.Begin(now, names[(i*requests+j)%len(names)], "key", 8000)
				}
				share.SetTotals(now, share.Demands(now))
			}
		})
	}
}
