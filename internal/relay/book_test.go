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

func TestSeedsLeadToAllGateways(t *testing.T) {
	is := is.New(t)
	book := NewBook(name(1), address(1), []string{address(1), address(2)})
	is.Equal(book.Dial(start), []string{address(2)}) // not its own
	is.Equal(len(book.Dial(start.Add(time.Millisecond))), 0)
	book.LinkUp(name(2))
	book.Heard(start, Peer{ID: name(2), Address: address(2)}, []Peer{
		{ID: name(3), Address: address(3)},
		{ID: name(1), Address: address(1)},
	})
	is.Equal(book.Dial(start.Add(time.Second)), []string{address(3)})
	is.Equal(book.Live(start.Add(time.Second)), 3)
	is.Equal(book.Live(start.Add(time.Minute)), 1) // silent ones don't count
}

func TestOldNewsOfAPeerDoesNotReviveIt(t *testing.T) {
	is := is.New(t)
	book := NewBook(name(1), address(1), nil)
	book.Heard(start, Peer{ID: name(2), Address: address(2)}, []Peer{{ID: name(3), Address: address(3), AgeMillis: 5000}})
	is.Equal(book.Live(start), 3)
	is.Equal(book.Live(start.Add(2*time.Second)), 2)
}

// fleet returns the books of gateways that know each other; the store answers
// those for which answered is true.
func fleet(count int, answered func(i int) bool) []*Book {
	books := make([]*Book, count)
	for i := range books {
		books[i] = NewBook(name(i), address(i), nil)
		for j := range count {
			storeAge := int64(0)
			if !answered(j) {
				storeAge = 60_000
			}
			books[i].Heard(start, Peer{ID: name(j), Address: address(j), StoreAgeMillis: storeAge, Zone: "perth-a", Capacity: 14}, nil)
		}
	}
	return books
}

func countReaders(books []*Book, now time.Time, counts func(i int) bool) int {
	count := 0
	for i, book := range books {
		if counts(i) && isReader(book, now) {
			count++
		}
	}
	return count
}

func all(int) bool { return true }

func isReader(book *Book, now time.Time) bool {
	return book.Place(now, time.Minute).Duty == gateway.Reader
}

func TestAFewGatewaysRead(t *testing.T) {
	is := is.New(t)
	is.Equal(countReaders(fleet(340, all), start, all), mostReaders)
	is.Equal(countReaders(fleet(meshSize, all), start, all), fewestReaders)
	is.Equal(countReaders(fleet(2, all), start, all), 2) // of a tiny fleet all
}

func TestReadersTurnedAwayAreReplaced(t *testing.T) {
	is := is.New(t)
	first := fleet(40, all)
	away := map[int]bool{}
	for i, book := range first {
		away[i] = isReader(book, start)
	}
	answered := func(i int) bool { return !away[i] }
	is.Equal(countReaders(fleet(40, answered), start, answered), mostReaders)
}

func TestGatewayWithoutPeersReadsForItself(t *testing.T) {
	is := is.New(t)
	books := fleet(40, all)
	is.Equal(countReaders(books, start.Add(3*time.Second), all), 40)
}

func TestLinksGrowSlowerThanTheFleet(t *testing.T) {
	is := is.New(t)
	is.Equal(len(fleet(6, all)[0].neighbours()), 5)
	is.True(len(fleet(340, all)[0].neighbours()) <= 9)
}

// Whatever a few gateways know reaches all over the links of a large fleet.
func TestNeighboursConnectTheFleet(t *testing.T) {
	is := is.New(t)
	books := fleet(200, all)
	reached := map[string]bool{name(0): true}
	frontier := []string{name(0)}
	steps := 0
	for len(frontier) > 0 {
		steps++
		var next []string
		for i, book := range books {
			for _, neighbour := range book.neighbours() {
				for _, at := range frontier {
					next = reach(reached, next, at, name(i), neighbour)
				}
			}
		}
		frontier = next
	}
	is.Equal(len(reached), 200)
	is.True(steps <= 8)
}

// reach follows one link, which carries news both ways.
func reach(reached map[string]bool, next []string, at, one, other string) []string {
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
		book := NewBook(name(1), address(1), nil)
		book.Heard(start, Peer{ID: message.From, Address: message.Address, StoreAgeMillis: message.StoreAgeMillis}, message.Peers)
		book.Dial(start)
		book.Place(start, 0)
	})
}

// A fleet of hundreds doesn't hang on its seeds: a gateway that has its neighbours tries
// a seed seldom, and gives up the connection to it.
func TestSeedsAreLeftAloneOnceNeighboursAreThere(t *testing.T) {
	is := is.New(t)
	book := fleet(100, all)[0]
	seed := ""
	for id := range book.peers {
		if !slices.Contains(book.neighbours(), id) {
			seed = id
		}
	}
	book.SetSeeds([]string{book.peers[seed].address})
	due := book.Dial(start)
	is.True(slices.Contains(due, book.peers[seed].address)) // nobody is connected yet
	is.Equal(len(book.Surplus([]string{seed})), 0)
	for _, id := range book.neighbours() {
		book.LinkUp(id)
	}
	is.Equal(book.Surplus([]string{seed}), []string{seed})
	is.Equal(len(book.Surplus([]string{book.neighbours()[0]})), 0)
	tries := 0
	for second := 1; second <= 60; second++ {
		if len(book.Dial(start.Add(time.Duration(second)*time.Second))) > 0 {
			tries++
		}
	}
	is.True(tries >= 2 && tries <= 5) // fleets that came up apart still meet
}

// Every gateway of a large fleet counts nearly all others as live, from what a few
// neighbours tell in turn: shares of budgets follow from the count, and keep four tenths
// for errors.
func TestLargeFleetsCountTheirGateways(t *testing.T) {
	for _, gateways := range []int{30, 150} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			is := is.New(t)
			books := fleet(gateways, all)
			neighbours := make([][]int, gateways)
			for i, book := range books {
				for _, id := range book.neighbours() {
					for j := range books {
						if name(j) == id {
							neighbours[i] = append(neighbours[i], j)
							neighbours[j] = append(neighbours[j], i)
						}
					}
				}
			}
			now := start
			peersAt := make([]time.Time, gateways)
			for now.Sub(start) < 40*time.Second {
				now = now.Add(periodFor(gateways))
				for i, book := range books {
					before := peersAt[i]
					for _, j := range neighbours[i] {
						told := toldPeers(book, now, before, gateways)
						if told != nil {
							peersAt[i] = now
						}
						books[j].Heard(now, Peer{ID: name(i), Address: address(i)}, told)
					}
				}
			}
			fewest := gateways
			for _, book := range books {
				fewest = min(fewest, book.Live(now))
			}
			t.Logf("%d counted as live at the least", fewest)
			is.True(fewest >= gateways*9/10)
		})
	}
}

// While the store answers nobody, a few gateways look for it at once and the rest stand by;
// one of these that is answered reads for all.
func TestRestOfAFleetStandsByWhileTheStoreAnswersNobody(t *testing.T) {
	is := is.New(t)
	nobody := func(int) bool { return false }
	duties := map[gateway.Duty]int{}
	var standing *Book
	for _, book := range fleet(40, nobody) {
		place := book.Place(start, time.Minute)
		duties[place.Duty]++
		if place.Duty == gateway.Standby {
			standing = book
		}
	}
	is.Equal(duties[gateway.Reader], mostReaders)
	is.Equal(duties[gateway.Standby], 40-mostReaders)
	is.Equal(standing.Place(start, 0).Duty, gateway.Reader)
}

// Readers rank in hash order, so that each makes up for those before it.
func TestReadersAreRanked(t *testing.T) {
	is := is.New(t)
	ranks := map[int]int{}
	for _, book := range fleet(40, all) {
		if place := book.Place(start, 0); place.Duty == gateway.Reader {
			ranks[place.Rank]++
		}
	}
	is.Equal(ranks, map[int]int{0: 1, 1: 1, 2: 1, 3: 1})
}
