package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/harriernotch/harriernotch/internal/fixedseed"
)

var start = time.Unix(1_800_000_000, 0)

func newTable() *Table { return NewTable(DefaultConfig(), Record{ID: "self", Incarnation: 5}) }

func TestMergeKeepsNewestRecordInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) Record {
			return Record{
				ID:          "e1",
				Incarnation: Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
				State:       State(rapid.IntRange(0, 2).Draw(t, "state")),
				Beat:        uint32(rapid.IntRange(0, 5).Draw(t, "beat")),
			}
		})
		records := rapid.SliceOfN(draw, 1, 10).Draw(t, "records")
		table := newTable()
		best := records[0]
		for _, record := range records {
			table.Merge(start, []Record{record})
			if newer(record, best) {
				best = record
			}
		}
		if got := table.Entry("e1").Record; got != best {
			t.Fatalf("got %v, want %v", got, best)
		}
	})
}

func TestSilentNodeIsDoubtfulUntilFreshRecord(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.Merge(start, []Record{{ID: "e1", Incarnation: 1, Beat: 1}})
	is.Equal(table.Liveness(start, table.Entry("e1")), Alive)
	later := start.Add(5 * time.Second)
	is.Equal(table.Liveness(later, table.Entry("e1")), Doubtful)
	table.Merge(later, []Record{{ID: "e1", Incarnation: 1, Beat: 2}})
	is.Equal(table.Liveness(later, table.Entry("e1")), Alive)
	table.Merge(later, []Record{{ID: "e1", Incarnation: 1, Beat: 3, AgeMillis: 6000}})
	is.Equal(table.Liveness(later, table.Entry("e1")), Doubtful) // the record is newer, but too old to show that the node is alive
}

func TestFlappingNodeIsDampedUntilPenaltyDecays(t *testing.T) {
	is := is.New(t)
	table := newTable()
	now := start
	for incarnation := Incarnation(1); incarnation <= 4; incarnation++ {
		table.Merge(now, []Record{{ID: "e1", Incarnation: incarnation}})
		now = now.Add(time.Second)
	}
	is.Equal(table.Liveness(now, table.Entry("e1")), Flapping) // three restarts in three seconds
	now = now.Add(time.Minute)
	table.Merge(now, []Record{{ID: "e1", Incarnation: 4, Beat: 9}})
	is.Equal(table.Liveness(now, table.Entry("e1")), Alive)
}

func TestRepeatedSignsOfOneLossAddOnePenalty(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.Merge(start, []Record{{ID: "e1", Incarnation: 1, Beat: 1}})
	for second := range 30 {
		now := start.Add(time.Duration(second) * time.Second)
		table.MarkUnreachable(now, "e1")
		table.Expire(now)
	}
	back := start.Add(30 * time.Second)
	table.Merge(back, []Record{{ID: "e1", Incarnation: 2, Beat: 1}})
	is.Equal(table.Liveness(back.Add(3*time.Second), table.Entry("e1")), Alive)
}

func TestMergeOfOwnRecordMarksLeavingOrSuperseded(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.Merge(start, []Record{{ID: "self", Incarnation: 4, State: StateLeaving}})
	is.Equal(table.Self().State, StateServing) // the record is of an earlier incarnation
	table.Merge(start, []Record{{ID: "self", Incarnation: 5, State: StateLeaving}})
	is.Equal(table.Self().State, StateLeaving)
	is.True(!table.Superseded())
	table.Merge(start, []Record{{ID: "self", Incarnation: 6}})
	is.True(table.Superseded())
}

func TestUnreachableNodeIsDoubtfulUntilTimeout(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.MarkUnreachable(start, "e1")
	is.Equal(table.Liveness(start, table.Entry("e1")), Doubtful)
	is.Equal(table.Liveness(start.Add(3*time.Second), table.Entry("e1")), Alive)
}

func acceptAll(Record, bool) bool { return true }

func TestLinkSendsEachRecordOnce(t *testing.T) {
	is := is.New(t)
	table := newTable()
	link := NewLink()
	table.Merge(start, []Record{{ID: "e1", Incarnation: 1, Beat: 1}, {ID: "e2", Incarnation: 1, Beat: 1}})
	is.Equal(len(link.Pending(start, table, 10, acceptAll)), 3) // including the node's own record
	is.Equal(len(link.Pending(start, table, 10, acceptAll)), 0)
	link.Received([]Record{{ID: "e1", Incarnation: 1, Beat: 2}})
	table.Merge(start, []Record{{ID: "e1", Incarnation: 1, Beat: 2}})
	is.Equal(len(link.Pending(start, table, 10, acceptAll)), 0) // the peer sent this record itself
}

func TestLinkSendsStateChangesBeforeLoads(t *testing.T) {
	is := is.New(t)
	table := newTable()
	link := NewLink()
	table.Merge(start, []Record{{ID: "e1", Incarnation: 1, Beat: 1}, {ID: "e2", Incarnation: 1, Beat: 1}})
	link.Pending(start, table, 10, acceptAll)
	table.Merge(start.Add(time.Second), []Record{{ID: "e1", Incarnation: 1, Beat: 2}})
	table.MarkLeaving("e2")
	pending := link.Pending(start.Add(time.Second), table, 1, acceptAll)
	is.Equal(pending[0].ID, "e2")
	is.Equal(pending[0].State, StateLeaving)
}

func TestPendingDividesSlotsBetweenRoutersAndAgents(t *testing.T) {
	is := is.New(t)
	table := newTable()
	link := NewLink()
	for i := range 20 {
		table.Merge(start, []Record{
			{ID: fmt.Sprint("e", i), Incarnation: 1},
			{ID: fmt.Sprint("r", i), Role: RoleRouter, Incarnation: 1},
		})
	}
	pending := link.Pending(start, table, 9, acceptAll) // the node's own record and eight more
	routers := 0
	for _, record := range pending {
		if record.Role == RoleRouter {
			routers++
		}
	}
	is.Equal(len(pending), 9)
	is.Equal(routers, 2)
}

func TestFreshestReturnsLatestRecordsWithAge(t *testing.T) {
	is := is.New(t)
	table := newTable()
	for i, id := range []string{"e1", "e2", "e3"} {
		table.Merge(start.Add(time.Duration(i)*time.Second), []Record{{ID: id, Incarnation: 1}})
	}
	got := table.Freshest(start.Add(3*time.Second), 3, []string{"e1", "e2", "e3", "self"})
	is.Equal(len(got), 3)
	is.Equal(got[0].ID, "self")
	is.Equal(got[1].ID, "e3")
	is.Equal(got[1].AgeMillis, uint32(1000))
	is.Equal(got[2].ID, "e2")
}
