package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against sound parts that are withheld because their requests were sent to back ends that had crashed before:
// what accepts connections for them, such as a proxy, breaks these off.
func TestRequestsSentToCrashedBackEndsWithholdNoParts(t *testing.T) {
	for _, size := range crashFleetSizes {
		for _, parts := range []int{4, 40} {
			t.Run(fmt.Sprint(size.gateways, " gateways, ", parts, " parts"), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newCrashFleet(6, size.gateways, size.backEnds)
				f.acceptsWhileDown = true
				load := crashLoad{sound: usualCrashLoad * float64(size.backEnds), parts: parts}
				f.simulate(crashSettling, load)
				for range 2 {
					for _, each := range f.list {
						f.crash(f.backEnds[each.Address])
					}
					f.simulate(crashDowntime+crashSettling, load)
				}
				since := f.now
				f.simulate(5*time.Second, load)
				share, withheld := f.beganAtFirst(since)
				t.Logf("%d sound requests withheld; %.3f begin at the first attempt", withheld, share)
				is.Equal(withheld, 0)
			})
		}
	}
}

// Guards against a part that crashes back ends and isn't withheld because connections to them break off for other reasons
// as well: addresses of crashed ones accept connections, and all connections of the fleet break once a second at first.
func TestPartThatCrashesBackEndsIsWithheldWhileConnectionsBreak(t *testing.T) {
	for _, size := range crashFleetSizes {
		for seed, bad := range badRates {
			t.Run(fmt.Sprint(size.gateways, " gateways, ", bad, " a second"), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newCrashFleet(uint64(seed), size.gateways, size.backEnds)
				f.acceptsWhileDown = true
				load := crashLoad{sound: usualCrashLoad * float64(size.backEnds), parts: 40}
				f.simulate(crashSettling, load)
				load.bad = bad
				for range 4 {
					for _, each := range f.list {
						f.breakConnections(f.backEnds[each.Address])
					}
					f.simulate(time.Second, load)
				}
				f.simulate(6*time.Second, load)
				t.Logf("%d back ends crashed, %d late sends", len(f.crashedAt), f.lateSends())
				is.True(len(f.crashedAt) >= 1)
				is.True(f.lateSends() <= allowedLateSends)
			})
		}
	}
}
