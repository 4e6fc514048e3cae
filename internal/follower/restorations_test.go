package follower

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/catalog"
	"github.com/harriernotch/harriernotch/internal/dispatch"
	"github.com/harriernotch/harriernotch/internal/gateway"
)

// storeWithARestoration returns a store whose history of the last 20 changes has a restored zone.
// The back ends are in this zone and don't report yet that they are cold.
func storeWithARestoration() *source {
	return &source{
		backEnds: 3, evacuations: true, changePeriod: time.Hour, firstRevision: 200, oldestRevision: 180,
		restored:      []catalog.Evacuation{{Withdrawn: true, Revision: 195}},
		configuration: &catalog.Configuration{Version: 1, StatedKeyPolicy: catalog.KeysNotRequired, Services: []catalog.Service{{Name: "s", WarmUpRate: 2, WarmUpTime: 3 * time.Second}}},
	}
}

func countCold(state *gateway.State) int {
	cold := 0
	for _, each := range state.Status().BackEnds {
		if each.WarmsUp {
			cold++
		}
	}
	return cold
}

// If all gateways were killed together, only the store's history shows which zones were recently
// restored.
func TestRestoredZonesAreReadFromTheHistory(t *testing.T) {
	is := is.New(t)
	s := storeWithARestoration()
	follow(t, s, 23, true, func(state *gateway.State) {
		time.Sleep(2 * restorationsDelay)
		is.True(state.Ready())
		is.Equal(countCold(state), 3)
		is.Equal(s.historyMisses.Load(), int64(2)) // 100 and 30 changes back
	})
}

// Only the gateway of rank 0 reads the history. The others get the result from it.
func TestOnlyTheFirstReaderReadsTheHistory(t *testing.T) {
	is := is.New(t)
	s := storeWithARestoration()
	follow(t, s, 23, true, func(state *gateway.State) {
		state.SetFleet(gateway.Place{Gateways: 23, Duty: gateway.Reader, Rank: 1}, dispatch.Fleet{})
		time.Sleep(2 * restorationsDelay)
		is.Equal(s.historyMisses.Load(), int64(0))
	})
}
