package rollout

import "time"

// Facts are what the judge needs to know of an attempt.
type AttemptFacts struct {
	// Route names the request's route, and BackEnd its target.
	Route   string
	BackEnd string
	// First is true for the request's first attempt. A further one has failed before, often by
	// the request's own doing, and says nothing of the version.
	First bool
	// Stream is true where the answer is a series of events.
	Stream bool
	// Cold is true while the back end is slow from its start.
	Cold bool
}

// Run is one attempt on its way.
type Attempt struct {
	judge  *Judge
	key    Key
	facts  AttemptFacts
	sentAt time.Time
	// workAt is when the work began whose pace is judged: for a stream its first event, which
	// comes late where a prompt must be read that the standing version has cached.
	processingSince time.Time
	timed           bool
	ended           bool
}

const (
	// slowFactor times the standing version's mean is slow. Exponentially spread times exceed
	// it once in 12, on both sides; those of a version that takes four times as long, every
	// second time.
	slowFactor = 2.5
	// slowExtra keeps short work from being slow for the time that news takes on its way.
	slowExtra = 20 * time.Millisecond
)

// Send notes an attempt.
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

// Failed notes an answer that reports a failure of the back end's own.
func (a *Attempt) Failed(now time.Time) { a.recordAnswer(now, true) }

// Answered notes the beginning of an answer that can be passed on.
func (a *Attempt) Answered(now time.Time) { a.recordAnswer(now, false) }

func (a *Attempt) recordAnswer(now time.Time, failed bool) {
	if a == nil || a.ended || !a.facts.First {
		return
	}
	tally := a.judge.tally(a.key)
	tally.Answers++
	if failed {
		tally.Failed++
		a.timed = true // how fast a failure comes says nothing
		return
	}
	if a.facts.Stream {
		a.processingSince = now
		return
	}
	a.recordTime(now)
}

// End notes that the attempt ended; whole is true for a whole answer.
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

// pace notes how long the work took.
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

// judgePace notes work that is slow already, though it hasn't ended: a version that takes
// several times as long would be found out that much later.
func (a *Attempt) recordIfSlow(now time.Time) {
	if !a.processingSince.IsZero() && a.isSlow(now.Sub(a.processingSince)) {
		a.recordTime(now)
	}
}

func (a *Attempt) isSlow(took time.Duration) bool {
	mean, known := a.judge.meanProcessingTime(a.key.Route)
	return known && took > time.Duration(slowFactor*float64(mean))+slowExtra
}
