package agenthttp

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/harriernotch/harriernotch/internal/failure"
)

// Headers in which a back end speaks of itself.
const (
	// headerLeaving is in all answers of one that leaves.
	headerLeaving = "X-Leaving"
	// headerRest is in refusals of one that wants nothing for so many seconds.
	headerRetryAfter = "Retry-After"
)

// takeNotice takes what an answer says of the back end itself.
func (s *Server) applyNotice(response *http.Response) {
	leaving := response.Header.Get(headerLeaving) != ""
	retryAfter := time.Duration(0)
	if response.StatusCode == http.StatusServiceUnavailable {
		retryAfter = failure.ParseWait(response.Header.Get(headerRetryAfter))
	}
	if !leaving && retryAfter == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !leaving || !s.core.Gate().IsLeaving() {
		s.config.Log.WithFields(logrus.Fields{"leaving": leaving, "rest_ms": retryAfter.Milliseconds()}).Warn("the back end wants no requests")
	}
	s.perform(s.core.ApplyNotice(time.Now(), leaving, retryAfter))
}
