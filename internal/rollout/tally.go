package rollout

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies what a tally counts: an order, a route, and a group of back ends of one version.
// If there are few back ends, a group is usually one back end; in a large pool the number of
// groups limits what gateways send each other.
type Key struct {
	Order uint32 `cbor:"1,keyasint"`
	Route uint32 `cbor:"2,keyasint"`
	Group uint8  `cbor:"3,keyasint"`
}

// standingGroups and candidateGroups are the numbers of groups of each version. Leaving out the
// worst group costs one part in that many of the evidence.
const (
	standingGroups  = 16
	candidateGroups = 32
)

// RouteKey returns the key of a route: the hash of its name.
func RouteKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// groupOf returns the group of a back end. The groups of the standing version come first.
func groupOf(side Side, backEnd string) uint8 {
	hash := xxhash.Sum64String(backEnd)
	if side == Standing {
		return uint8(hash % standingGroups)
	}
	return standingGroups + uint8(hash%candidateGroups)
}

// Tally is what one gateway, or several together, have counted since the order. Only InFlight is
// a current number.
type Tally struct {
	Key Key `cbor:"1,keyasint"`
	// Sent counts attempts, and InFlight those that haven't ended.
	Sent     uint32 `cbor:"2,keyasint,omitempty"`
	InFlight uint32 `cbor:"3,keyasint,omitempty"`
	// Answers counts the first attempts that were answered, and Failed those whose answer
	// reported a failure of the back end itself. Attempts that broke off without an answer aren't
	// counted, since that says more about a machine or a link than about a version.
	Answers uint32 `cbor:"4,keyasint,omitempty"`
	Failed  uint32 `cbor:"5,keyasint,omitempty"`
	// Timed counts the answers whose processing time was recorded, and Slow those that took
	// several times as long as the standing version's mean.
	Timed uint32 `cbor:"6,keyasint,omitempty"`
	Slow  uint32 `cbor:"7,keyasint,omitempty"`
	// ProcessingMillis is the total processing time of the Timed answers. Complete counts
	// complete answers, and CompleteMillis is the total time from sending these requests to the
	// end of the answers.
	ProcessingMillis uint32 `cbor:"8,keyasint,omitempty"`
	Complete         uint32 `cbor:"9,keyasint,omitempty"`
	CompleteMillis   uint64 `cbor:"10,keyasint,omitempty"`
	// CompleteSquares is the sum of the squares of these times, in square milliseconds, for their
	// variance.
	CompleteSquares uint64 `cbor:"11,keyasint,omitempty"`
}

// SumKey returns the key by which tallies are summed.
func (t Tally) SumKey() Key { return t.Key }

// Plus returns the sum of two tallies of the same key.
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

// Minus returns the tally without other, which had been added by Plus.
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

// addTallies adds tallies to the sums of their keys.
func addTallies(sum map[Key]Tally, tallies []Tally) {
	for _, each := range tallies {
		sum[each.Key] = each.Plus(sum[each.Key])
	}
}

// compare orders the tallies of one order by their keys.
func (t Tally) compare(other Tally) int {
	return cmp.Or(cmp.Compare(t.Key.Route, other.Key.Route), cmp.Compare(t.Key.Group, other.Key.Group))
}

// IsZero reports whether nothing was counted.
func (t Tally) IsZero() bool { return t == Tally{Key: t.Key} }

// meanProcessingTime returns the mean processing time of the timed answers, or 0 if there are
// none.
func (t Tally) meanProcessingTime() time.Duration {
	if t.Timed == 0 {
		return 0
	}
	return time.Duration(t.ProcessingMillis) * time.Millisecond / time.Duration(t.Timed)
}

// side returns the side that the tally belongs to.
func (t Tally) side() Side {
	if t.Key.Group < standingGroups {
		return Standing
	}
	return Candidate
}

// increaseSince returns what was counted since an earlier snapshot. A sum may fall when a gateway
// leaves, since that gateway's counts are then missing from it. If it has fallen, the increase is
// unknown, and increaseSince returns an empty tally.
func (t Tally) increaseSince(before Tally) Tally {
	if t.Answers < before.Answers || t.Timed < before.Timed || t.Failed < before.Failed || t.Slow < before.Slow {
		return Tally{Key: t.Key}
	}
	return t.Minus(before)
}
