package rollout

import "time"

// AttemptFacts holds what the judge needs to know about an attempt.
type AttemptFacts struct {
	// Route is the name of the request's route, and BackEnd the back end that the attempt is sent
	// to.
	Route   string
	BackEnd string
	// First is true for the request's first attempt. The attempt before a retry failed, often
	// because of the request itself, so the retry says nothing about the version.
	First bool
	// Stream is true if the answer is a stream of events.
	Stream bool
	// Cold is true while the back end is still slow after its start.
	Cold bool
}

// Attempt is one attempt that is tracked by a judge.
type Attempt struct {
	judge  *Judge
	key    Key
	facts  AttemptFacts
	sentAt time.Time
	// processingSince is when the timed processing began. For a stream that is its first event.
	// The time before it isn't compared, since it is longer at a back end that must process a
	// prompt that the standing version has cached.
	processingSince time.Time
	timed           bool
	ended           bool
}

const (
	// An answer is slow if it takes more than slowFactor times the standing version's mean, plus
	// slowExtra. Exponentially distributed times exceed that factor once in 12, on both sides;
	// those of a version that takes four times as long, every second time.
	slowFactor = 2.5
	// slowExtra keeps short processing from counting as slow because of delays in transit.
	slowExtra = 20 * time.Millisecond
)

// StartAttempt records an attempt that is being sent, and tracks it until it ends.
func (j *Judge) StartAttempt(now time.Time, side Side, facts AttemptFacts) *Attempt {
	key := Key{Order: j.id, Route: RouteKey(facts.Route), Group: groupOf(side, facts.BackEnd)}
	attempt := &Attempt{judge: j, key: key, facts: facts, sentAt: now}
	if !facts.Stream {
		attempt.processingSince = now
	}
	tally := j.tally(key)
	tally.Sent++
	tally.InFlight++
	j.attempts[attempt] = struct{}{}
	return attempt
}

// Failed records an answer that reports a failure of the back end itself.
func (a *Attempt) Failed(now time.Time) { a.recordAnswer(now, true) }

// Answered records the beginning of an answer that can be passed on.
func (a *Attempt) Answered(now time.Time) { a.recordAnswer(now, false) }

func (a *Attempt) recordAnswer(now time.Time, failed bool) {
	if a == nil || a.ended || !a.facts.First {
		return
	}
	tally := a.judge.tally(a.key)
	tally.Answers++
	if failed {
		tally.Failed++
		a.timed = true // the time that a failure takes says nothing about the version
		return
	}
	if a.facts.Stream {
		a.processingSince = now
		return
	}
	a.recordTime(now)
}

// End records the end of the attempt. complete is true if the whole answer arrived.
func (a *Attempt) End(now time.Time, complete bool) {
	if a == nil || a.ended {
		return
	}
	a.ended = true
	delete(a.judge.attempts, a)
	tally := a.judge.tally(a.key)
	tally.InFlight--
	if !complete {
		return
	}
	took := uint64(now.Sub(a.sentAt).Milliseconds())
	tally.Complete++
	tally.CompleteMillis += took
	tally.CompleteSquares += took * took
	if a.facts.Stream && !a.processingSince.IsZero() {
		a.recordTime(now)
	}
}

// recordTime records the processing time, once.
func (a *Attempt) recordTime(now time.Time) {
	if a.timed || a.facts.Cold || !a.facts.First {
		return
	}
	a.timed = true
	took := now.Sub(a.processingSince)
	tally := a.judge.tally(a.key)
	tally.Timed++
	tally.ProcessingMillis += uint32(took.Milliseconds())
	if a.isSlow(took) {
		tally.Slow++
	}
}

// recordIfSlow records processing that is slow already, although it hasn't ended. Otherwise a
// version that takes several times as long would be detected that much later.
func (a *Attempt) recordIfSlow(now time.Time) {
	if !a.processingSince.IsZero() && a.isSlow(now.Sub(a.processingSince)) {
		a.recordTime(now)
	}
}

func (a *Attempt) isSlow(took time.Duration) bool {
	mean, known := a.judge.meanProcessingTime(a.key.Route)
	return known && took > time.Duration(slowFactor*float64(mean))+slowExtra
}
