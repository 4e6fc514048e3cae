package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/harriernotch/harriernotch/internal/gateway"
)

var start = time.Unix(1_800_000_000, 0)

func name(i int) string    { return fmt.Sprint("g", i) }
func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func TestPeersAreDiscoveredThroughSeeds(t *testing.T) {
	is := is.New(t)
	table := NewPeerTable(name(1), address(1), []string{address(1), address(2)})
	is.Equal(table.DialTargets(start), []string{address(2)}) // not its own address
	is.Equal(len(table.DialTargets(start.Add(time.Millisecond))), 0)
	table.LinkUp(name(2))
	table.ObserveMessage(start, Peer{ID: name(2), Address: address(2)}, []Peer{
		{ID: name(3), Address: address(3)},
		{ID: name(1), Address: address(1)},
	})
	is.Equal(table.DialTargets(start.Add(time.Second)), []string{address(3)})
	is.Equal(table.LiveCount(start.Add(time.Second)), 3)
	is.Equal(table.LiveCount(start.Add(time.Minute)), 1) // peers that went silent don't count
}

func TestOutdatedReportDoesNotReviveAPeer(t *testing.T) {
	is := is.New(t)
	table := NewPeerTable(name(1), address(1), nil)
	table.ObserveMessage(start, Peer{ID: name(2), Address: address(2)}, []Peer{{ID: name(3), Address: address(3), AgeMillis: 5000}})
	is.Equal(table.LiveCount(start), 3)
	is.Equal(table.LiveCount(start.Add(2*time.Second)), 2)
}

// newFleet returns the peer tables of gateways that know each other. The store answers those for
// which answered is true.
func newFleet(count int, answered func(i int) bool) []*PeerTable {
	tables := make([]*PeerTable, count)
	for i := range tables {
		tables[i] = NewPeerTable(name(i), address(i), nil)
		for j := range count {
			storeAge := int64(0)
			if !answered(j) {
				storeAge = 60_000
			}
			tables[i].ObserveMessage(start, Peer{ID: name(j), Address: address(j), StoreAgeMillis: storeAge, Zone: "perth-a", Capacity: 14}, nil)
		}
	}
	return tables
}

func countReaders(tables []*PeerTable, now time.Time, included func(i int) bool) int {
	count := 0
	for i, table := range tables {
		if included(i) && isReader(table, now) {
			count++
		}
	}
	return count
}

func all(int) bool { return true }

func isReader(table *PeerTable, now time.Time) bool {
	return table.Place(now, time.Minute).Duty == gateway.Reader
}

func TestFewGatewaysReadTheStore(t *testing.T) {
	is := is.New(t)
	is.Equal(countReaders(newFleet(340, all), start, all), largeFleetReaders)
	is.Equal(countReaders(newFleet(fullMeshSize, all), start, all), smallFleetReaders)
	is.Equal(countReaders(newFleet(2, all), start, all), 2) // in a tiny fleet all gateways read
}

func TestReadersRejectedByTheStoreAreReplaced(t *testing.T) {
	is := is.New(t)
	first := newFleet(40, all)
	rejected := map[int]bool{}
	for i, table := range first {
		rejected[i] = isReader(table, start)
	}
	answered := func(i int) bool { return !rejected[i] }
	is.Equal(countReaders(newFleet(40, answered), start, answered), largeFleetReaders)
}

func TestIsolatedGatewayReadsTheStore(t *testing.T) {
	is := is.New(t)
	tables := newFleet(40, all)
	is.Equal(countReaders(tables, start.Add(3*time.Second), all), 40)
}

func TestNeighboursGrowSlowerThanTheFleet(t *testing.T) {
	is := is.New(t)
	is.Equal(len(newFleet(6, all)[0].neighbours()), 5)
	is.True(len(newFleet(340, all)[0].neighbours()) <= 9)
}

// An update from any gateway reaches the whole large fleet over the links to neighbours, in few
// steps.
func TestNeighboursConnectTheFleet(t *testing.T) {
	is := is.New(t)
	tables := newFleet(200, all)
	reached := map[string]bool{name(0): true}
	frontier := []string{name(0)}
	steps := 0
	for len(frontier) > 0 {
		steps++
		var next []string
		for i, table := range tables {
			for _, neighbour := range table.neighbours() {
				for _, at := range frontier {
					next = followLink(reached, next, at, name(i), neighbour)
				}
			}
		}
		frontier = next
	}
	is.Equal(len(reached), 200)
	is.True(steps <= 8)
}

// followLink adds the gateway at the other end of a link, if the update is at one end. Links carry
// updates in both directions.
func followLink(reached map[string]bool, next []string, at, one, other string) []string {
	for _, pair := range [][2]string{{one, other}, {other, one}} {
		if pair[0] == at && !reached[pair[1]] {
			reached[pair[1]] = true
			next = append(next, pair[1])
		}
	}
	return next
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		message, err := decode(raw)
		if err != nil {
			return
		}
		table := NewPeerTable(name(1), address(1), nil)
		table.ObserveMessage(start, Peer{ID: message.From, Address: message.Address, StoreAgeMillis: message.StoreAgeMillis}, message.Peers)
		table.DialTargets(start)
		table.Place(start, 0)
	})
}

// The seeds of a fleet of hundreds don't have to serve all of it: a gateway that is connected to
// its neighbours rarely tries a seed, and closes its connection to it.
func TestSeedsAreDialedRarelyOnceNeighboursAreConnected(t *testing.T) {
	is := is.New(t)
	table := newFleet(100, all)[0]
	seed := ""
	for id := range table.peers {
		if !slices.Contains(table.neighbours(), id) {
			seed = id
		}
	}
	table.SetSeeds([]string{table.peers[seed].address})
	due := table.DialTargets(start)
	is.True(slices.Contains(due, table.peers[seed].address)) // no peer is connected yet
	is.Equal(len(table.Surplus([]string{seed})), 0)
	for _, id := range table.neighbours() {
		table.LinkUp(id)
	}
	is.Equal(table.Surplus([]string{seed}), []string{seed})
	is.Equal(len(table.Surplus([]string{table.neighbours()[0]})), 0)
	tries := 0
	for second := 1; second <= 60; second++ {
		if len(table.DialTargets(start.Add(time.Duration(second)*time.Second))) > 0 {
			tries++
		}
	}
	is.True(tries >= 2 && tries <= 5) // fleets that started separately still join
}

// Every gateway of a large fleet counts nearly all others as live, from what a few neighbours
// report in turn. The gateways' shares of budgets depend on this count, and leave a margin of four
// tenths for errors.
func TestLargeFleetsCountLiveGateways(t *testing.T) {
	for _, gateways := range []int{30, 150} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			is := is.New(t)
			tables := newFleet(gateways, all)
			neighbours := make([][]int, gateways)
			for i, table := range tables {
				for _, id := range table.neighbours() {
					for j := range tables {
						if name(j) == id {
							neighbours[i] = append(neighbours[i], j)
							neighbours[j] = append(neighbours[j], i)
						}
					}
				}
			}
			now := start
			peersSentAt := make([]time.Time, gateways)
			for now.Sub(start) < 40*time.Second {
				now = now.Add(periodFor(gateways))
				for i, table := range tables {
					before := peersSentAt[i]
					for _, j := range neighbours[i] {
						sent := peersToSend(table, now, before, gateways)
						if sent != nil {
							peersSentAt[i] = now
						}
						tables[j].ObserveMessage(now, Peer{ID: name(i), Address: address(i)}, sent)
					}
				}
			}
			fewest := gateways
			for _, table := range tables {
				fewest = min(fewest, table.LiveCount(now))
			}
			t.Logf("at least %d gateways are counted as live", fewest)
			is.True(fewest >= gateways*9/10)
		})
	}
}

// While the store answers no gateway, a few gateways try it continuously and the others are
// standbys. A standby that gets an answer becomes a reader.
func TestOtherGatewaysStandByWhileTheStoreAnswersNone(t *testing.T) {
	is := is.New(t)
	none := func(int) bool { return false }
	duties := map[gateway.Duty]int{}
	var standby *PeerTable
	for _, table := range newFleet(40, none) {
		place := table.Place(start, time.Minute)
		duties[place.Duty]++
		if place.Duty == gateway.Standby {
			standby = table
		}
	}
	is.Equal(duties[gateway.Reader], largeFleetReaders)
	is.Equal(duties[gateway.Standby], 40-largeFleetReaders)
	is.Equal(standby.Place(start, 0).Duty, gateway.Reader)
}

// Readers are ranked in hash order, so that each one can make up for those before it.
func TestReadersAreRanked(t *testing.T) {
	is := is.New(t)
	ranks := map[int]int{}
	for _, table := range newFleet(40, all) {
		if place := table.Place(start, 0); place.Duty == gateway.Reader {
			ranks[place.Rank]++
		}
	}
	is.Equal(ranks, map[int]int{0: 1, 1: 1, 2: 1, 3: 1})
}
