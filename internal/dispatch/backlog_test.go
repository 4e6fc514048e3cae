package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// refuseFor refuses and admits requests at the given rates per second for the time, and returns the
// time to come back of the last one refused.
func refuseFor(b *backlog, from time.Time, span time.Duration, refused, admitted int) time.Duration {
	var wait time.Duration
	const steps = 100
	for i := range int(span.Seconds() * steps) {
		now := from.Add(time.Duration(i) * time.Second / steps)
		if i*admitted/steps != (i+1)*admitted/steps {
			b.admit(now)
		}
		if i*refused/steps != (i+1)*refused/steps {
			wait = b.refuse(now)
		}
	}
	return wait
}

// Guards against a constant Retry-After: it must grow with the share that is refused and with the
// time that the overload lasts, within its limits.
func TestRetryAfterGrowsWithTheBacklog(t *testing.T) {
	is := is.New(t)
	few := refuseFor(&backlog{}, start, 3*time.Second, 10, 90)
	half := refuseFor(&backlog{}, start, 3*time.Second, 50, 50)
	longer := refuseFor(&backlog{}, start, 6*time.Second, 50, 50)
	most := refuseFor(&backlog{}, start, 6*time.Second, 90, 10)
	is.Equal(few, minRetryAfter)
	is.True(half > few)
	is.True(longer > half)
	is.True(most > longer)
	is.True(most <= maxRetryAfter)
}

// Guards against a backlog that outlives the callers in it when nobody asks any more.
func TestBacklogEmptiesWithoutRequests(t *testing.T) {
	is := is.New(t)
	b := &backlog{}
	refuseFor(b, start, 5*time.Second, 90, 10)
	is.True(!b.isEmpty(start.Add(5 * time.Second)))
	is.True(b.isEmpty(start.Add(2 * time.Minute)))
}

// Guards against callers that are refused together and come back together.
func TestReturnsAreSpread(t *testing.T) {
	is := is.New(t)
	earliest, latest := time.Hour, time.Duration(0)
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		wait := spreadReturn(&Exchange{request: Request{ID: id}}, 2*time.Second)
		earliest, latest = min(earliest, wait), max(latest, wait)
	}
	is.True(earliest >= 2*time.Second && latest <= 3*time.Second)
	is.True(latest-earliest > 500*time.Millisecond)
}
