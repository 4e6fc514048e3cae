package gateway

import (
	"context"
	"time"
)

// Ready reports whether the gateway knows enough to serve and isn't draining.
func (s *State) Ready() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.canServe() && !s.draining
}

// startupWait is how long after its start a gateway lets callers wait until it is ready. It
// usually is ready within 150 ms, sooner than a refused caller comes back. Where most gateways
// of a zone have just started, load balancers send callers to each of them before it is ready.
const startupWait = 250 * time.Millisecond

// AwaitReady returns once the gateway knows enough to serve, when startupWait has passed, or
// when ctx ends.
func (s *State) AwaitReady(ctx context.Context) {
	for {
		s.mutex.Lock()
		left := startupWait - s.clock.Since(s.startedAt)
		isAwaited, changed := !s.canServe() && left > 0, s.changed
		s.mutex.Unlock()
		if !isAwaited {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// canServe reports whether the gateway knows enough to serve.
func (s *State) canServe() bool { return s.view.KnowsKeyPolicy() && s.listed && s.knowsOrders() }
