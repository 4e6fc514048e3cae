package follower

import (
	"context"
	"sync"
)

// watches cancels the watches of a follower when their connections may be dead: all connections to
// the store can fall silent together, for good and without a reset, while new connections work. A
// watch itself would detect this only at the end of its wait, which is later than any limit on the
// delay of an update.
//
// The evidence is a plain call that timed out, followed by one that was answered. A store that
// answers no calls, or only slowly, gives no such evidence, and the watches continue.
type watches struct {
	mutex sync.Mutex
	// current is the context of all current watches, derived from parent, and cancel cancels it.
	parent  context.Context
	current context.Context
	cancel  context.CancelFunc
	// timedOut is set after a plain call that timed out, until one is answered.
	timedOut bool
}

func newWatches(parent context.Context) *watches {
	w := &watches{parent: parent}
	w.current, w.cancel = context.WithCancel(parent)
	return w
}

// context returns the context for a watch that starts now.
func (w *watches) context() context.Context {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.current
}

// restart cancels the current watches, after the progress of the lists has been reset: the watches
// started in an era that has ended, or before the current one settled. Later watches get a new
// context.
func (w *watches) restart() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cancel()
	w.current, w.cancel = context.WithCancel(w.parent)
}

// noteTimeout records a plain call that timed out.
func (w *watches) noteTimeout() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timedOut = true
}

// noteAnswer records a plain call that was answered, and cancels the watches if an earlier one timed
// out.
func (w *watches) noteAnswer() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.timedOut {
		return
	}
	w.timedOut = false
	w.cancel()
	w.current, w.cancel = context.WithCancel(w.parent)
}

// close cancels all watches, including later ones.
func (w *watches) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cancel()
}
