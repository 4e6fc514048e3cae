package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// headTimer replaces an attempt without an answer by another one, if the core finds one, once the limit
// has passed.
type headTimer struct {
	// lag is how late this process runs. It extends the limit once, because the process may not have read
	// what has arrived.
	lag func() time.Duration
	// replace asks for the replacement, and cancels the attempt if there is one. Otherwise it returns how
	// long to wait until it is called again.
	replace func() (next dispatch.Decision, replaced bool, recheck time.Duration)

	mutex             sync.Mutex
	timer             *time.Timer
	extended, stopped bool
	next              dispatch.Decision
	replaced          bool
}

// start starts the timer; a limit of 0 never ends.
func (t *headTimer) start(limit time.Duration) *headTimer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if limit > 0 {
		t.timer = time.AfterFunc(limit, t.fire)
	}
	return t
}

func (t *headTimer) fire() {
	late := t.lag()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.stopped {
		return
	}
	if late > 0 && !t.extended {
		t.extended = true
		t.timer.Reset(late)
		return
	}
	var recheck time.Duration
	if t.next, t.replaced, recheck = t.replace(); !t.replaced {
		t.timer.Reset(recheck)
	}
}

// stop ends the timer, and returns the decision that replaces the attempt if there is one.
func (t *headTimer) stop() (next dispatch.Decision, replaced bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stopped = true
	if t.timer != nil {
		t.timer.Stop()
	}
	return t.next, t.replaced
}

// watchHead starts the timer of an attempt that waits for its answer. cancel ends the attempt.
func (h *Handler) watchHead(c *call, send dispatch.Send, cancel func()) *headTimer {
	t := &headTimer{lag: h.config.State.Lag}
	t.replace = func() (next dispatch.Decision, replaced bool, recheck time.Duration) {
		if wait := h.config.Lag.SettleWait(h.clock().Now()); wait > 0 {
			return dispatch.Decision{}, false, wait
		}
		h.config.State.decide(func(now time.Time, core *dispatch.Core) dispatch.Decision {
			next, replaced = core.ReplaceWaiting(now, c.exchange)
			return next
		})
		if replaced {
			cancel()
		}
		return next, replaced, dispatch.SilenceRecheck
	}
	return t.start(send.HeadTimeout)
}

// replacedAttempt records that an attempt was replaced because its answer didn't come.
func (h *Handler) replacedAttempt(c *call, send dispatch.Send, next dispatch.Decision) outcome {
	if c.route.MayRepeat() || c.connection == connectionReused {
		h.closeReused()
	}
	h.logFailure(c, attemptFailure{send: send, cause: errSilent.Error(), expired: true}, next)
	return outcome{next: next}
}

// silenceWatch examines a stream whenever its back end has been silent for the limit. It is paused while
// the gateway doesn't wait for the back end.
type silenceWatch struct {
	// limit is the silence after which the stream is examined; 0 if silence has no consequence.
	limit time.Duration
	// lag, unless nil, is how late this process runs. It extends the limit once per silence, because the
	// process may not have read what has arrived.
	lag func() time.Duration
	// examine moves the stream to another back end, or returns how much longer to wait.
	examine func() (moved *relocation, recheck time.Duration)

	mutex    sync.Mutex
	timer    *time.Timer
	extended bool
	paused   bool
	// dueAt is when the limit of the current silence ends: a timer of an earlier one may fire late.
	dueAt time.Time
	// moved is the relocation that began in the current silence, or nil.
	moved *relocation
}

// resume begins to watch for silence.
func (w *silenceWatch) resume() {
	if w.limit <= 0 {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.paused, w.extended, w.dueAt = false, false, time.Now().Add(w.limit)
	if w.timer == nil {
		w.timer = time.AfterFunc(w.limit, w.fire)
		return
	}
	w.timer.Reset(w.limit)
}

// pause ends the silence, and returns the relocation that began in it, or nil.
func (w *silenceWatch) pause() *relocation {
	if w.limit <= 0 {
		return nil
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timer.Stop()
	w.paused = true
	moved := w.moved
	w.moved = nil
	return moved
}

func (w *silenceWatch) fire() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.paused || w.moved != nil || time.Now().Before(w.dueAt) {
		return
	}
	if late := w.lateness(); late > 0 && !w.extended {
		w.extended = true
		w.timer.Reset(late)
		return
	}
	moved, recheck := w.examine()
	if moved == nil {
		w.timer.Reset(recheck)
	}
	w.moved = moved
}

// relocationFailed examines the stream again after recheck. It returns false if the silence has ended: then
// pause has returned the relocation.
func (w *silenceWatch) relocationFailed(failed *relocation, recheck time.Duration) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.moved != failed {
		return false
	}
	w.moved = nil
	w.timer.Reset(recheck)
	return true
}

// lateness returns by how much the limit is extended.
func (w *silenceWatch) lateness() time.Duration {
	if w.lag == nil {
		return 0
	}
	return w.lag()
}

// watchSilence returns the watch for the silence of an answer's stream, which is paused, and whether the
// events of the stream are reported to the core.
func (h *Handler) watchSilence(ctx context.Context, c *call, s *stream, result outcome) (silence *silenceWatch, byPace bool) {
	var watch dispatch.StreamWatch
	h.config.State.decide(func(_ time.Time, core *dispatch.Core) dispatch.Decision {
		watch = core.WatchStream(c.exchange)
		return dispatch.Decision{}
	})
	silence = &silenceWatch{limit: watch.Limit, paused: true}
	if !watch.ByPace {
		silence.lag = h.config.State.Lag
	}
	silence.examine = func() (*relocation, time.Duration) { return h.examineSilence(ctx, c, s, result, silence) }
	return silence, watch.ByPace
}
