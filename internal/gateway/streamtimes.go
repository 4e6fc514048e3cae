package gateway

import (
	"time"

	"github.com/sirupsen/logrus"
)

// streamTimes are the times of a stream as its back ends caused them: the time in which the caller
// takes an event doesn't count. Events that a resumed stream repeats count, although they aren't passed
// on again.
type streamTimes struct {
	// hasEvent is set once the first event has arrived, firstToken after its attempt began. predicted
	// is the prediction for that attempt, or 0.
	hasEvent              bool
	firstToken, predicted time.Duration
	// passedAt is when the last event had been passed on or skipped, and longestPause the longest time from
	// there to the arrival of the next one, also of one from another back end.
	passedAt     time.Time
	longestPause time.Duration
}

// arrived records that an event of the attempt has arrived.
func (t *streamTimes) arrived(now time.Time, attempt outcome) {
	if !t.hasEvent {
		t.hasEvent = true
		t.firstToken, t.predicted = now.Sub(attempt.sentAt), attempt.send.Predicted
		return
	}
	t.longestPause = max(t.longestPause, now.Sub(t.passedAt))
}

// passed records that the event has been passed on to the caller. Events that a further run repeats don't
// count: the caller gets nothing.
func (t *streamTimes) passed(now time.Time) { t.passedAt = now }

// addTo adds the times to the fields of a log line. There are none without a stream.
func (t *streamTimes) addTo(fields logrus.Fields) {
	if !t.hasEvent {
		return
	}
	fields["longest_pause_ms"] = t.longestPause.Milliseconds()
	fields["first_token_ms"] = t.firstToken.Milliseconds()
	if t.predicted > 0 {
		fields["predicted_first_token_ms"] = t.predicted.Milliseconds()
	}
}
