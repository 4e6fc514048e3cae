package follower

import (
	"context"
	"sync"
)

// watches ends the waiting watches of a follower once they may wait in vain: connections to
// the store can fall silent for good without a reset, all of them together, while new ones
// work. A watch alone would notice after its whole time, which is longer than any bound on
// news.
//
// The evidence is a plain call that got no answer in time and a later one that got one. A
// store that answers nobody, or slowly, gives no such evidence, and its watches go on.
type watches struct {
	mutex sync.Mutex
	// term is the context of all watches of the moment, and end ends it.
	parent  context.Context
	current context.Context
	cancel  context.CancelFunc
	// doubted is set after a call that got no answer in time.
	timedOut bool
}

func newWatches(parent context.Context) *watches {
	w := &watches{parent: parent}
	w.current, w.cancel = context.WithCancel(parent)
	return w
}

// context returns the context for a watch that begins now.
func (w *watches) context() context.Context {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.current
}

// renew ends the watches: they began in a history of the store that has ended.
func (w *watches) restart() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cancel()
	w.current, w.cancel = context.WithCancel(w.parent)
}

// noAnswer notes a plain call that got no answer in time.
func (w *watches) noteTimeout() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.timedOut = true
}

// answered notes a plain call that got one, and ends the watches if an earlier one didn't.
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

// close ends all watches for good.
func (w *watches) close() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.cancel()
}
