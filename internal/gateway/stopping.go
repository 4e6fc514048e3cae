package gateway

import (
	"time"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// A gateway that is asked to stop knows when it will cut off what it still does. So that no request is cut off
// without an answer, a request gets no longer than until then, and one that is read late and might take longer is
// refused while it is still true that it wasn't run.

// answerTime is how much earlier than the end of a stop the requests in flight end, so that their answers get
// through.
const answerTime = 200 * time.Millisecond

// stopRetryAfter is the time after which a caller that a stopping gateway refuses may come back. Other gateways serve it
// at once.
const stopRetryAfter = 50 * time.Millisecond

// Drain marks the gateway as draining, so that it is no longer ready. It cuts off what it still does when the time
// that is left has passed.
func (s *State) Drain(left time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.draining = true
	s.stopsAt = s.clock.Now().Add(left - answerTime)
	time.AfterFunc(left-answerTime, s.endStop)
}

// Draining reports whether the gateway is about to stop.
func (s *State) Draining() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.draining
}

// BeginClosing marks a draining gateway as closing: load balancers have had the time to notice.
func (s *State) BeginClosing() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isClosing = true
}

// limitToStop shortens the request's time to the end of a stop in progress. It returns an error if the gateway is
// closing and the request might take longer.
func (h *Handler) limitToStop(c *call) error {
	stopsAt, isClosing := h.config.State.stop()
	if stopsAt.IsZero() || !c.deadline.After(stopsAt) {
		return nil
	}
	if isClosing {
		return &failure.Error{Kind: failure.Leaving, Message: "this gateway stops before the request could be finished; ask another", RetryAfter: stopRetryAfter}
	}
	c.deadline = stopsAt
	return nil
}

// isOver reports whether the request's time is over: by its deadline, or by the end of a stop that began after the
// request.
func (h *Handler) isOver(c *call) bool {
	return !h.clock().Now().Before(c.deadline) || h.config.State.stopping.Err() != nil
}

// stop returns when a draining gateway stops, or zero, and whether it is closing.
func (s *State) stop() (stopsAt time.Time, isClosing bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopsAt, s.isClosing
}
