package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/harriernotch/harriernotch/internal/dispatch"
)

// headTimer ends an attempt whose answer hasn't begun within a limit. If this process itself runs late, data
// may have arrived that it hasn't read yet: the limit is then extended once by the lag.
type headTimer struct {
	timer    *time.Timer
	lag      func() time.Duration
	extended bool
	expired  atomic.Bool
	cancel   func()
}

// startHeadTimer starts a timer that calls cancel when it expires.
func startHeadTimer(limit time.Duration, lag func() time.Duration, cancel func()) *headTimer {
	t := &headTimer{lag: lag, cancel: cancel}
	started := make(chan struct{})
	t.timer = time.AfterFunc(limit, func() { <-started; t.fire() })
	close(started)
	return t
}

func (t *headTimer) fire() {
	if late := t.lag(); late > 0 && !t.extended {
		t.extended = true
		t.timer.Reset(late)
		return
	}
	t.expired.Store(true)
	t.cancel()
}

func (t *headTimer) stop() { t.timer.Stop() }

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
	w.paused, w.extended = false, false
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
	if w.paused || w.moved != nil {
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
	silence.examine = func() (*relocation, time.Duration) { return h.examineSilence(ctx, c, s, result) }
	return silence, watch.ByPace
}
