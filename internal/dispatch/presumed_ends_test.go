package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against crashes that are held against requests sent after them, and against crashes that no request is suspected
// of although the back end had answered again, or its end was presumed long ago.
func TestOnlyRequestsSentBeforeACrashAreSuspects(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	crashes := newCrashMemory()
	is.True(crashes.lost(at(100), 1, at(50)))
	is.True(crashes.lost(at(101), 1, at(99)))   // was under way as well
	is.True(!crashes.lost(at(300), 1, at(200))) // sent when it had ended
	is.True(crashes.lost(at(300), 2, at(200)))  // another back end
	crashes.answered(at(500), 1, at(60))        // sent before the loss: tells nothing
	is.True(!crashes.lost(at(600), 1, at(550)))
	crashes.answered(at(800), 1, at(700))
	is.True(crashes.lost(at(900), 1, at(850)))
	later := at(900).Add(presumedEndTime)
	is.True(crashes.lost(later.Add(time.Second), 1, later))
}

// Guards against gateways that each hold the same crash against the first request that they send there afterwards.
func TestCrashesThatPeersReportHaveNoLaterSuspects(t *testing.T) {
	is := is.New(t)
	crashes := newCrashMemory()
	report := func(found evidence) CrashRecord {
		return CrashRecord{Fingerprint: 7, Incarnations: []uint32{1}, Evidence: []uint8{uint8(found)}, LastAt: start.Unix()}
	}
	crashes.merge(start, report(presumed))
	sentAt := start.Add(100 * time.Millisecond)
	is.True(!crashes.ends.precedes(start.Add(time.Second), 1, start.Add(-time.Millisecond))) // it was under way
	is.True(crashes.ends.precedes(start.Add(time.Second), 1, sentAt))
	crashes.merge(start.Add(2*time.Second), report(survived))
	is.True(!crashes.ends.precedes(start.Add(3*time.Second), 1, sentAt))
}
