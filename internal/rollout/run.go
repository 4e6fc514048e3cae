package rollout

import "time"

// Facts are what the judge needs to know of an attempt.
type Facts struct {
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
type Run struct {
	judge  *Judge
	key    Key
	facts  Facts
	sentAt time.Time
	// workAt is when the work began whose pace is judged: for a stream its first event, which
	// comes late where a prompt must be read that the standing version has cached.
	workAt time.Time
	paced  bool
	ended  bool
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
func (j *Judge) Send(now time.Time, side Side, facts Facts) *Run {
	key := Key{Order: j.id, Route: RouteKey(facts.Route), Group: groupOf(side, facts.BackEnd)}
	run := &Run{judge: j, key: key, facts: facts, sentAt: now}
	if !facts.Stream {
		run.workAt = now
	}
	tally := j.tally(key)
	tally.Sent++
	tally.UnderWay++
	j.runs[run] = struct{}{}
	return run
}

// Failed notes an answer that reports a failure of the back end's own.
func (r *Run) Failed(now time.Time) { r.answered(now, true) }

// Answered notes the beginning of an answer that can be passed on.
func (r *Run) Answered(now time.Time) { r.answered(now, false) }

func (r *Run) answered(now time.Time, failed bool) {
	if r == nil || r.ended || !r.facts.First {
		return
	}
	tally := r.judge.tally(r.key)
	tally.Answers++
	if failed {
		tally.Failed++
		r.paced = true // how fast a failure comes says nothing
		return
	}
	if r.facts.Stream {
		r.workAt = now
		return
	}
	r.pace(now)
}

// End notes that the attempt ended; whole is true for a whole answer.
func (r *Run) End(now time.Time, whole bool) {
	if r == nil || r.ended {
		return
	}
	r.ended = true
	delete(r.judge.runs, r)
	tally := r.judge.tally(r.key)
	tally.UnderWay--
	if !whole {
		return
	}
	took := uint64(now.Sub(r.sentAt).Milliseconds())
	tally.Whole++
	tally.WholeMillis += took
	tally.WholeSquares += took * took
	if r.facts.Stream && !r.workAt.IsZero() {
		r.pace(now)
	}
}

// pace notes how long the work took.
func (r *Run) pace(now time.Time) {
	if r.paced || r.facts.Cold || !r.facts.First {
		return
	}
	r.paced = true
	took := now.Sub(r.workAt)
	tally := r.judge.tally(r.key)
	tally.Timed++
	tally.WorkMillis += uint32(took.Milliseconds())
	if r.isSlow(took) {
		tally.Slow++
	}
}

// judgePace notes work that is slow already, though it hasn't ended: a version that takes
// several times as long would be found out that much later.
func (r *Run) judgePace(now time.Time) {
	if !r.workAt.IsZero() && r.isSlow(now.Sub(r.workAt)) {
		r.pace(now)
	}
}

func (r *Run) isSlow(took time.Duration) bool {
	mean, known := r.judge.meanWork(r.key.Route)
	return known && took > time.Duration(slowFactor*float64(mean))+slowExtra
}
