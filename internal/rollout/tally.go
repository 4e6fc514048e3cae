package rollout

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key says what a tally counts: an order, a route, and a group of back ends of one version. A
// group is one back end where they are few; in a large pool the number of groups bounds what
// gateways tell each other.
type Key struct {
	Order uint32 `cbor:"1,keyasint"`
	Route uint32 `cbor:"2,keyasint"`
	Group uint8  `cbor:"3,keyasint"`
}

// standingGroups and candidateGroups are how many groups there are of either version. What a
// group lacks by leaving out its worst back end is one part in so many of the evidence.
const (
	standingGroups  = 16
	candidateGroups = 32
)

// RouteKey stands for a route.
func RouteKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// groupOf returns the group of a back end; those of the standing version come first.
func groupOf(side Side, backEnd string) uint8 {
	hash := xxhash.Sum64String(backEnd)
	if side == Standing {
		return uint8(hash % standingGroups)
	}
	return standingGroups + uint8(hash%candidateGroups)
}

// Tally is what one gateway, or several together, have seen since the order, but for UnderWay,
// which is of the moment.
type Tally struct {
	Key Key `cbor:"1,keyasint"`
	// Sent counts attempts, and UnderWay those that haven't ended.
	Sent     uint32 `cbor:"2,keyasint,omitempty"`
	InFlight uint32 `cbor:"3,keyasint,omitempty"`
	// Answers counts first attempts whose answer was judged, Failed those that reported a
	// failure of the back end's own. What broke off without an answer says more of a machine
	// or a link than of a version, and isn't counted.
	Answers uint32 `cbor:"4,keyasint,omitempty"`
	Failed  uint32 `cbor:"5,keyasint,omitempty"`
	// Timed counts answers whose pace was judged, Slow those that took several times as long
	// as the standing version's.
	Timed uint32 `cbor:"6,keyasint,omitempty"`
	Slow  uint32 `cbor:"7,keyasint,omitempty"`
	// WorkMillis is the time that the timed ones took at the back end, and WholeMillis that of
	// whole requests, of which there were Whole.
	ProcessingMillis uint32 `cbor:"8,keyasint,omitempty"`
	Complete         uint32 `cbor:"9,keyasint,omitempty"`
	CompleteMillis   uint64 `cbor:"10,keyasint,omitempty"`
	// WholeSquares is the sum of the squares of these times, in square milliseconds: how far
	// they spread.
	CompleteSquares uint64 `cbor:"11,keyasint,omitempty"`
}

// SumKey is the key under which tallies are added up.
func (t Tally) SumKey() Key { return t.Key }

// Plus returns the sum of two tallies of one key.
func (t Tally) Plus(other Tally) Tally {
	t.Sent += other.Sent
	t.InFlight += other.InFlight
	t.Answers += other.Answers
	t.Failed += other.Failed
	t.Timed += other.Timed
	t.Slow += other.Slow
	t.ProcessingMillis += other.ProcessingMillis
	t.Complete += other.Complete
	t.CompleteMillis += other.CompleteMillis
	t.CompleteSquares += other.CompleteSquares
	return t
}

// Minus takes off what Plus had added.
func (t Tally) Minus(other Tally) Tally {
	t.Sent -= other.Sent
	t.InFlight -= other.InFlight
	t.Answers -= other.Answers
	t.Failed -= other.Failed
	t.Timed -= other.Timed
	t.Slow -= other.Slow
	t.ProcessingMillis -= other.ProcessingMillis
	t.Complete -= other.Complete
	t.CompleteMillis -= other.CompleteMillis
	t.CompleteSquares -= other.CompleteSquares
	return t
}

// addTo adds tallies up by their keys.
func addTallies(sum map[Key]Tally, tallies []Tally) {
	for _, each := range tallies {
		sum[each.Key] = each.Plus(sum[each.Key])
	}
}

// compare orders the tallies of one order by their keys.
func (t Tally) compare(other Tally) int {
	return cmp.Or(cmp.Compare(t.Key.Route, other.Key.Route), cmp.Compare(t.Key.Group, other.Key.Group))
}

// IsZero tells whether nothing is counted.
func (t Tally) IsZero() bool { return t == Tally{Key: t.Key} }

// meanWork returns the mean time of the answers that were timed; 0 without any.
func (t Tally) meanProcessingTime() time.Duration {
	if t.Timed == 0 {
		return 0
	}
	return time.Duration(t.ProcessingMillis) * time.Millisecond / time.Duration(t.Timed)
}

// side returns which version the tally is of.
func (t Tally) side() Side {
	if t.Key.Group < standingGroups {
		return Standing
	}
	return Candidate
}

// after returns what was counted since an earlier moment. A gateway that is gone takes its
// counts with it, so a sum may have fallen: then nothing is known to have been counted.
func (t Tally) increaseSince(before Tally) Tally {
	if t.Answers < before.Answers || t.Timed < before.Timed || t.Failed < before.Failed || t.Slow < before.Slow {
		return Tally{Key: t.Key}
	}
	return t.Minus(before)
}
